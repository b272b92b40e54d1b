"""What daemons say to each other of stages and placements, as JSON."""

from __future__ import annotations

from typing import Any

import attrs

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.request import Generation, PromptPart


@attrs.frozen(kw_only=True)
class StageInputs:
    """Results of one service that only the pieces they go with still need."""

    service: str
    handles: tuple[str, ...]


@attrs.frozen(kw_only=True)
class StageOutcome:
    """What became of work.

    Attributes:
        handles: The results, in the order of the pieces; empty where a piece
            has none since its inputs are gone.
        inputs_freed: Whether the inputs that went with it were freed.
    """

    handles: tuple[str, ...]
    inputs_freed: bool = False

    @property
    def complete(self) -> bool:
        """Whether every piece has its result."""
        return all(self.handles)


@attrs.frozen(kw_only=True)
class StageWork:
    """The pieces of one stage of one request.

    Attributes:
        service: The stage's service.
        name: Names the work among all.
        pieces: The pieces.
        needed_in_ms: Until when results are of full value.
        ends_in_ms: Until when they are of any.
        priority: The request's rank, 0 first.
        result_bytes: About how large one result is.
        may_refuse: Whether it may be refused at once for want of time.
        moved_bytes: What each piece moves that is made elsewhere than its
            inputs lie, or its result is fetched.
        data_centre: Where the results are likely to be fetched, for pieces
            without inputs.
        last_use_of: Inputs to free as soon as the pieces have fetched them.
        again: Whether it was made before for the request, whose later stages
            have results that wait for it.
    """

    service: str
    name: str
    pieces: tuple[Piece, ...]
    objective_in_ms: float
    deadline_in_ms: float
    priority: int
    result_bytes: float
    may_refuse: bool
    transfer_bytes: float = 0.0
    data_centre: str = ""
    last_use_of: tuple[StageInputs, ...] = ()
    repeated: bool = False


def encode_work(work: StageWork) -> dict[str, Any]:
    """Returns work as it travels."""
    return {
        "service": work.service,
        "name": work.name,
        "needed_in_ms": round(work.objective_in_ms),
        "ends_in_ms": round(work.deadline_in_ms),
        "priority": work.priority,
        "result_bytes": work.result_bytes,
        "may_refuse": work.may_refuse,
        "moved_bytes": work.transfer_bytes,
        "data_centre": work.data_centre,
        "again": work.repeated,
        "last_use_of": [[i.service, list(i.handles)] for i in work.last_use_of],
        "pieces": [
            [p.request_id, p.stage, p.number, p.key, list(p.inputs)]
            for p in work.pieces
        ],
    }


def decode_work(body: dict[str, Any]) -> StageWork:
    """Reads work.

    Raises:
        KeyError, TypeError, ValueError: The message is of no known form.
    """
    return StageWork(
        service=body["service"],
        name=body["name"],
        objective_in_ms=float(body["needed_in_ms"]),
        deadline_in_ms=float(body["ends_in_ms"]),
        priority=int(body["priority"]),
        result_bytes=float(body["result_bytes"]),
        may_refuse=bool(body["may_refuse"]),
        transfer_bytes=float(body["moved_bytes"]),
        data_centre=str(body["data_centre"]),
        repeated=bool(body["again"]),
        last_use_of=tuple(
            StageInputs(service=str(service), handles=tuple(handles))
            for service, handles in body["last_use_of"]
        ),
        pieces=tuple(
            Piece(
                request_id=request_id,
                stage=stage,
                number=number,
                key=key,
                inputs=tuple(inputs),
            )
            for request_id, stage, number, key, inputs in body["pieces"]
        ),
    )


def encode_generation(generation: Generation) -> list[Any]:
    """Returns what a request asks of an engine, as it travels."""
    return [
        generation.model,
        generation.prompt_tokens,
        generation.output_tokens,
        [[part.name, part.tokens] for part in generation.parts],
    ]


def decode_generation(value: list[Any]) -> Generation:
    """Reads what a request asks of an engine.

    Raises:
        TypeError, ValueError: The value is of no known form.
    """
    model, prompt_tokens, output_tokens, parts = value
    return Generation(
        model=model,
        prompt_tokens=int(prompt_tokens),
        output_tokens=int(output_tokens),
        parts=tuple(
            PromptPart(name=name, tokens=int(tokens)) for name, tokens in parts
        ),
    )


def encode_failure(failure: Failure) -> list[Any]:
    """Returns a failure as it travels."""
    return [failure.kind.code, failure.detail, failure.retry_after_ms]


def decode_failure(value: list[Any]) -> Failure:
    """Reads a failure."""
    code, detail, retry_after_ms = value
    return Failure(
        kind=FailureKind[str(code).upper()],
        detail=str(detail),
        retry_after_ms=retry_after_ms,
    )


def malformed_message_failure(error: Exception) -> Failure:
    """Returns the failure of a message that can't be read."""
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        detail=f"The message can't be read: {error!r}",
    )


def cancelled_failure(work: StageWork) -> Failure:
    """Returns the failure of work that was given up before it was begun."""
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"{work.name} was given up, or {work.service} is not known here",
    )
