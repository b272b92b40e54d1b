"""JSON messages between daemons about stage work and engine placement."""

from __future__ import annotations

from typing import Any

import attrs

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.request import Generation, PromptPart

MAX_DIGEST_CHARACTERS = 64
"""Twice the length of the digest, which a decider keeps in its memory."""


@attrs.frozen(kw_only=True)
class StageInputs:
    """Results of one service that no other pieces need."""

    service: str
    handles: tuple[str, ...]


@attrs.frozen(kw_only=True)
class StageOutcome:
    """The results of computing the pieces of a stage.

    Attributes:
        handles: Handles of the results, in the order of the pieces; an empty
            string for a piece whose inputs no longer exist.
        inputs_freed: Whether the inputs in `StageWork.last_use_of` were freed.
    """

    handles: tuple[str, ...]
    inputs_freed: bool = False

    @property
    def complete(self) -> bool:
        """Whether every piece has a result."""
        return all(self.handles)


@attrs.frozen(kw_only=True)
class StageWork:
    """The pieces of one stage of one request.

    Attributes:
        service: Service that computes the stage.
        name: Identifies the work across all daemons.
        pieces: The pieces to compute.
        objective_in_ms: Time left until the objective; results have their full
            value until then.
        deadline_in_ms: Time left until the deadline; results have no value
            after it.
        priority: Priority of the request; 0 is the highest.
        result_bytes: Approximate size of one result.
        may_refuse: Whether the work may be refused at once if too little time
            is left for it.
        transfer_bytes: Bytes transferred between data centres for each piece
            that is computed in another data centre than that of its inputs or
            of the consumer of its result.
        data_centre: Data centre that is likely to fetch the results, for
            pieces without inputs.
        last_use_of: Inputs to free as soon as the pieces have fetched them.
        repeated: Whether the work was already done once for the request, and
            results of its later stages wait for it.
        customer: Name of the request's customer, empty if unknown.
        digest: Equal for each retry of the request; empty if the request may
            have run, or if the sender is of a release without it.
        caller_left_ms: How long the caller still waits; 0 if unknown.
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
    customer: str = ""
    digest: str = ""
    caller_left_ms: float = 0.0


def encode_work(work: StageWork) -> dict[str, Any]:
    """Encodes work as a JSON object."""
    return {
        "digest": work.digest,
        "caller_left_ms": round(work.caller_left_ms),
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
        "customer": work.customer,
        "last_use_of": [[i.service, list(i.handles)] for i in work.last_use_of],
        "pieces": [
            [p.request_id, p.stage, p.number, p.key, list(p.inputs)]
            for p in work.pieces
        ],
    }


def decode_work(body: dict[str, Any]) -> StageWork:
    """Decodes work.

    Raises:
        KeyError, TypeError, ValueError: The message is malformed.
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
        customer=_decode_customer(body),
        digest=decode_digest(body),
        caller_left_ms=float(body.get("caller_left_ms", 0.0)),
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


def _decode_customer(body: dict[str, Any]) -> str:
    """Returns the customer; unknown if an older release does not state it."""
    customer = body.get("customer", "")
    return customer if isinstance(customer, str) else ""


def decode_digest(body: dict[str, Any]) -> str:
    """Decodes a request's digest, empty if the message has none.

    Raises:
        ValueError: The digest is malformed.
    """
    digest = body.get("digest", "")
    if not isinstance(digest, str) or len(digest) > MAX_DIGEST_CHARACTERS:
        raise ValueError("the digest is malformed")
    return digest


def encode_generation(generation: Generation) -> list[Any]:
    """Encodes the parameters of a generation as a JSON array."""
    return [
        generation.model,
        generation.prompt_tokens,
        generation.output_tokens,
        [[part.name, part.tokens] for part in generation.parts],
    ]


def decode_generation(value: list[Any]) -> Generation:
    """Decodes the parameters of a generation.

    Raises:
        TypeError, ValueError: The value is malformed.
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
    """Encodes a failure as a JSON array."""
    return [failure.kind.code, failure.detail, failure.retry_after_ms]


def decode_failure(value: list[Any]) -> Failure:
    """Decodes a failure."""
    code, detail, retry_after_ms = value
    return Failure(
        kind=FailureKind[str(code).upper()],
        detail=str(detail),
        retry_after_ms=retry_after_ms,
    )


def malformed_message_failure(error: Exception) -> Failure:
    """Returns the failure for a message that cannot be decoded."""
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        detail=f"The message can't be read: {error!r}",
    )


def cancelled_failure(work: StageWork) -> Failure:
    """Returns the failure for work that was cancelled before it started."""
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"{work.name} was given up, or {work.service} is not known here",
    )
