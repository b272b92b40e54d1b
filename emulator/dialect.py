"""What emulated callers and backend servers speak: plain JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from result import Ok, Result

from cactusdyke.serving.dialect import (
    AnswerKind,
    AnswerVerdict,
    Dialect,
    EncodedCall,
    EventReader,
    Identity,
    MemoryReport,
    PieceFailure,
    PieceResult,
    ReplicaLoad,
    ReplicaStatement,
    StreamEvent,
)
from cactusdyke.serving.request import ClientRequest, Generation, PromptPart
from emulator.world import MB

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.errors import Failure
    from cactusdyke.serving.dialect import Piece
    from cactusdyke.serving.model import Replica, ServiceSpec
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.transport.answer_parser import AnswerHead, Headers
    from cactusdyke.transport.front_interface import ReadRequest
    from emulator.scenario import Scenario

PERCENT = 100.0
_NOT_RUN = {
    409: AnswerKind.INPUTS_GONE,
    421: AnswerKind.WRONG_REPLICA,
}
_REASONS = {
    "late": PieceFailure.LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_ROOM,
}


class EmulatedDialect(Dialect):
    """Says what has to be said, with the sizes that the scenario gives."""

    def __init__(self, *, scenario: Scenario) -> None:
        self._stages = {
            kind.name: kind.stages for kind in scenario.kinds if kind.stages
        }

    def decode_request(
        self, request: ReadRequest
    ) -> Result[ClientRequest, Failure]:
        """Returns a caller's request."""
        body = orjson.loads(request.body)
        headers = dict(request.headers)
        request_id = headers[b"id"].decode()
        parts = tuple(PromptPart(name=n, tokens=t) for n, t in body["parts"])
        generation = Generation(
            model="m",
            prompt_tokens=sum(part.tokens for part in parts),
            output_tokens=body["events"],
            parts=parts,
        )
        return Ok(
            ClientRequest(
                request_id=request_id,
                method="POST",
                host="emulated",
                target=request.target,
                path=request.target,
                headers=(),
                body=request.body,
                api_key=headers[b"customer"].decode(),
                patience_ms=float(headers[b"patience_ms"]),
                generation=generation if body["events"] else None,
                piece_counts=tuple(body["pieces"]),
                piece_key=request_id,
                resume_after=body["after"],
                arrived_at=request.arrived_at,
                resumes=body["resumes"],
            )
        )

    def encode_failure(
        self, failure: Failure, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns what tells a caller of a failure."""
        body = {
            "kind": failure.kind.code,
            "detail": failure.detail,
            "retry_after_ms": failure.retry_after_ms,
        }
        return failure.kind.status, [], orjson.dumps(body)

    def encode_attempt(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        remaining_ms: float,
        handles: Sequence[str],
        resume_after: int | None,
    ) -> EncodedCall:
        """Returns the request to send to a replica."""
        sent = orjson.loads(context.request.body)
        body = {
            "id": context.request.request_id,
            "inputs": list(handles),
            "parts": sent["parts"],
            "events": sent["events"],
            "crash": sent["crash"],
            "after": -1 if resume_after is None else resume_after,
            "expect": replica.name,
        }
        return _call("/run", body)

    def decode_answer(
        self, context: ServingContext, head: AnswerHead
    ) -> AnswerVerdict:
        """Returns what the head of an answer says."""
        kind = AnswerKind.ANSWER
        if head.get(b"ran") == b"no":
            kind = _NOT_RUN.get(head.status, AnswerKind.REFUSED)
        return AnswerVerdict(
            kind=kind,
            status=head.status,
            headers=[],
            is_event_stream=head.get(b"events") == b"yes",
            load=self.decode_load(head, context.current_replica),
            stated_limit=self.decode_stated_limit(head),
            stated_refusals=self.decode_stated_refusals(head),
            statement=self.decode_statement(head),
        )

    def decode_load(self, head: AnswerHead, replica: str) -> ReplicaLoad | None:
        """Returns the load that a replica reports, None if it reports none."""
        del replica
        value = head.get(b"load")
        if value is None:
            return None
        running, queued, slots, percent = map(int, value.split(b","))
        return ReplicaLoad(
            running=running,
            queued=queued,
            slots=slots,
            slowdown=percent / PERCENT,
        )

    def decode_stated_limit(self, head: AnswerHead) -> float | None:
        """Returns the limit that an answer states, None if it states none."""
        value = head.get(b"limit")
        return None if value is None else float(value)

    def decode_stated_refusals(self, head: AnswerHead) -> float | None:
        """Returns how many refusals a brittle replica bears, None if any."""
        value = head.get(b"brittle")
        return None if value is None else float(value)

    def decode_statement(self, head: AnswerHead) -> ReplicaStatement:
        """Returns what a replica says of itself."""
        rest_ms = head.get(b"rest_ms")
        return ReplicaStatement(
            leaves=head.get(b"leaves") == b"yes",
            rest_ms=None if rest_ms is None else float(rest_ms),
        )

    def event_reader(self) -> EventReader:
        """Returns a reader for one stream."""
        return _Events()

    def encode_pieces(
        self, replica: Replica, pieces: Sequence[tuple[Piece, float]]
    ) -> EncodedCall:
        """Returns a call for pieces."""
        items = []
        for piece, remaining_ms in pieces:
            kind = piece.request_id.partition(":")[0]
            stage = self._stages[kind][piece.stage]
            items.append(
                {
                    "id": piece.request_id,
                    "inputs": list(piece.inputs),
                    "size": stage.result_kb * 1_000,
                    "work": stage.work,
                    "remaining_ms": remaining_ms,
                }
            )
        return _call("/make", {"items": items})

    def decode_pieces(
        self, head: AnswerHead, body: bytes, count: int
    ) -> list[PieceResult] | None:
        """Returns the results in order, None if the call was refused."""
        if head.status != 200:
            return None
        return [_piece(item) for item in orjson.loads(body)["items"]]

    def encode_free(self, address: str, handles: Sequence[str]) -> EncodedCall:
        """Returns a call that frees results."""
        return _call("/free", {"handles": list(handles)})

    def encode_memory_query(self, replica: Replica) -> EncodedCall:
        """Returns a call that asks a replica for its memory and start."""
        return _call("/report", {})

    def decode_memory_report(
        self, head: AnswerHead, body: bytes
    ) -> MemoryReport | None:
        """Returns a replica's free memory, told in whole megabytes."""
        told = orjson.loads(body)["free_mb"] * MB
        return MemoryReport(min_free_bytes=told, max_free_bytes=told + MB)

    def decode_born(self, head: AnswerHead, body: bytes) -> int | None:
        """Returns the start of a replica."""
        return int(orjson.loads(body)["born"])

    def encode_health_check(
        self, replica: Replica, service: ServiceSpec
    ) -> EncodedCall | None:
        """Returns None: who answers without a length tells its start."""
        del replica, service

    def decode_identity(
        self, replica: Replica, head: AnswerHead, body: bytes
    ) -> Identity:
        """Returns who answered a memory query."""
        if head.status != 200:
            return Identity.UNTOLD
        same = self.decode_born(head, body) == replica.born
        return Identity.SAME if same else Identity.OTHER

    def replica_address_of(self, handle: str) -> str:
        """Returns the address of the replica that holds a result."""
        return handle.partition("/")[0]


class _Events(EventReader):
    def __init__(self) -> None:
        self._rest = b""

    @property
    def remainder(self) -> bytes:
        """What was fed behind the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that they complete."""
        *whole, self._rest = (self._rest + data).split(b"\n\n")
        return [
            StreamEvent(number=int(part.split()[1]), data=part + b"\n\n")
            for part in whole
        ]


def _call(path: str, body: dict[str, Any]) -> EncodedCall:
    return EncodedCall(
        method="POST", target=path, headers=[], body=orjson.dumps(body)
    )


def _piece(item: dict[str, str]) -> PieceResult:
    if "handle" in item:
        return PieceResult(handle=item["handle"])
    reason = _REASONS.get(item["reason"], PieceFailure.FAILED)
    return PieceResult(failure=reason)
