"""Encodes and decodes the messages of callers and replicas."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import (
    AnswerKind,
    AnswerVerdict,
    Dialect,
    EncodedCall,
    EventReader,
    EventStreamError,
    Identity,
    MemoryReport,
    Piece,
    PieceFailure,
    PieceResult,
    ReplicaLoad,
    ReplicaStatement,
    StreamEvent,
)
from cactusdyke.serving.request import ClientRequest, Generation, PromptPart
from cactusdyke.util.delimited import DelimitedReader, PartTooLongError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.model import Replica, ServiceSpec
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.transport.answer_parser import AnswerHead, Headers
    from cactusdyke.transport.front_interface import ReadRequest

ID = b"X-Attempt-Id"
BYTES_PER_MB = 1_000_000.0
SIGNATURE = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
UNAVAILABLE_STATUS = 503
LOAD = b"x-replica-load"
MAX_LOAD_BYTES = 64
MAX_EVENT_BYTES = 65_536
MAX_NUMBER_DIGITS = 18
PERCENT = 100.0

_ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_OURS = frozenset(
    {
        b"authorization",
        b"x-deadline-ms",
        b"x-expect-replica",
        b"x-expect-version",
        b"x-tenant",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-inputs",
        b"last-event-id",
    }
)
"""Headers that only the system sets; a caller's own values are dropped."""
_NOT_FOR_CALLERS = frozenset({LOAD, b"x-replica-id"})

_LOAD_FIGURES = re.compile(
    rb"(\d{1,9})[ \t]*,[ \t]*(\d{1,9})[ \t]*,[ \t]*(\d{1,9})"
    rb"(?:[ \t]*,[ \t]*(\d{1,9}(?:\.\d{1,9})?))?"
)

_HANDLE = re.compile(r"[!-+\--.0-~]{1,256}/[!-+\--~]{1,256}")
"""An address and an id; without commas, which separate handles."""

_REASONS = {
    "late": PieceFailure.LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_ROOM,
}


class PlatformDialect(Dialect):
    """The protocol of the platform's callers and replicas."""

    def __init__(self) -> None:
        self._malformed_loads = 0

    def decode_request(
        self, request: ReadRequest
    ) -> Result[ClientRequest, Failure]:
        """Decodes a caller's request."""
        values = _Values(request.headers)
        if not request.target.startswith("/"):
            return Err(_bad("the path does not begin with a slash"))
        request_id = values.text(b"x-attempt-id")
        if not request_id:
            return Err(_bad("the request names no id"))
        patience = values.text(b"x-deadline-ms")
        try:
            return Ok(
                ClientRequest(
                    request_id=request_id,
                    method=request.method,
                    host=_host(values.text(b"host")),
                    target=request.target,
                    path=request.target.partition("?")[0],
                    headers=tuple(_passed_on(request.headers)),
                    body=request.body,
                    api_key=_key(values.text(b"authorization")),
                    patience_ms=_positive(patience) if patience else None,
                    generation=_generation(values),
                    piece_counts=_counts(values.text(b"x-pieces")),
                    piece_key=values.text(b"x-piece-key"),
                    resume_after=_resume(values.text(b"last-event-id")),
                    arrived_at=request.arrived_at,
                    resumes=values.text(b"resumes"),
                )
            )
        except ValueError as error:
            return Err(_bad(f"a header can't be read: {error}"))

    def encode_failure(
        self, failure: Failure, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns status, headers and a body with one line of explanation."""
        headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        if request_id:
            headers.append((ID, request_id.encode("latin-1")))
        if failure.retry_after_ms is not None:
            seconds = max(0.0, failure.retry_after_ms / MS_PER_SECOND)
            headers.append((b"Retry-After", f"{seconds:.3f}".encode()))
        line = failure.message.replace("\n", " ") + "\n"
        return failure.kind.status, headers, line.encode()

    def encode_attempt(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        remaining_ms: float,
        handles: Sequence[str],
        resume_after: int | None,
    ) -> EncodedCall:
        """Encodes a request to a replica."""
        request = context.request
        headers = [
            *request.headers,
            (b"X-Deadline-Ms", str(math.floor(remaining_ms)).encode()),
            (b"X-Expect-Replica", replica.name.encode("latin-1")),
        ]
        if context.customer is not None:
            name = context.customer.name.encode("latin-1")
            headers.append((b"X-Tenant", name))
        if handles:
            joined = ",".join(handles).encode("latin-1")
            headers.append((b"X-Inputs", joined))
        if resume_after is not None:
            headers.append((b"Last-Event-Id", str(resume_after).encode()))
        if request.body or request.method in {"POST", "PUT", "PATCH"}:
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        return EncodedCall(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )

    def decode_answer(
        self, context: ServingContext, head: AnswerHead
    ) -> AnswerVerdict:
        """Decodes the head of an answer."""
        content_type = head.get(b"content-type") or b""
        return AnswerVerdict(
            kind=_kind(context, head),
            status=head.status,
            headers=[
                pair
                for pair in _without(head.headers, _ONE_CONNECTION)
                if pair[0].lower() not in _NOT_FOR_CALLERS
            ],
            is_event_stream=content_type.startswith(b"text/event-stream"),
            load=self.decode_load(head, context.current_replica),
            stated_limit=self.decode_stated_limit(head),
            stated_refusals=self.decode_stated_refusals(head),
            statement=self.decode_statement(head),
        )

    def decode_load(self, head: AnswerHead, replica: str) -> ReplicaLoad | None:
        """Returns a replica's load, None if it is absent or malformed."""
        values = [value for name, value in head.headers if name == LOAD]
        if not values:
            return None
        load = _load(values[0]) if len(values) == 1 else None
        if load is None:
            self._log_malformed_load(replica, values)
        return load

    def _log_malformed_load(self, replica: str, values: list[bytes]) -> None:
        """Logs the first malformed header, the second, the fourth and so on.

        A replica may send one with every answer.
        """
        self._malformed_loads += 1
        if self._malformed_loads.bit_count() == 1:
            events.log(
                events.Event.REPLICA_LOAD_MALFORMED,
                backend_server=replica,
                headers=len(values),
                value=values[0][:MAX_LOAD_BYTES].decode("latin-1"),
                count=self._malformed_loads,
            )

    def decode_stated_limit(self, head: AnswerHead) -> float | None:
        """Returns the limit that an answer states, None if it states none."""
        value = head.get(b"server-limit")
        return None if value is None else _rate(value)

    def decode_stated_refusals(self, head: AnswerHead) -> float | None:
        """Returns how many refusals a brittle replica bears, None if any."""
        value = head.get(b"server-brittle")
        return None if value is None else _rate(value)

    def decode_statement(self, head: AnswerHead) -> ReplicaStatement:
        """Returns what a replica says of itself in the head of an answer."""
        rest_ms: float | None = None
        if head.status == UNAVAILABLE_STATUS:
            rest_ms = _rest_ms(head)
        return ReplicaStatement(
            leaves=(head.get(b"server-leaving") or b"").strip() == b"1",
            rest_ms=rest_ms,
        )

    def event_reader(self) -> EventReader:
        """Returns a reader for one stream."""
        return _EventStreamReader()

    def encode_pieces(
        self, replica: Replica, pieces: Sequence[tuple[Piece, float]]
    ) -> EncodedCall:
        """Encodes a call that computes pieces."""
        items = []
        for piece, remaining_ms in pieces:
            item: dict[str, object] = {
                "id": piece.request_id,
                "stage": piece.stage,
                "piece": piece.number,
                "remaining_ms": max(1, int(remaining_ms)),
            }
            if piece.inputs:
                item["inputs"] = list(piece.inputs)
            else:
                item["key"] = piece.key
            items.append(item)
        return _json_call(
            replica.address, "/-/stage-run", {"items": items}, replica
        )

    def decode_pieces(
        self, head: AnswerHead, body: bytes, count: int
    ) -> list[PieceResult] | None:
        """Returns the results in order, None if the call was refused."""
        if head.status != 200:
            return None
        try:
            items = orjson.loads(body)["items"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return None
        if not isinstance(items, list) or len(items) != count:
            return None
        return [_piece_result(item) for item in items]

    def encode_free(self, address: str, handles: Sequence[str]) -> EncodedCall:
        """Encodes a call that frees results."""
        return _json_call(address, "/-/stage-free", {"handles": list(handles)})

    def encode_memory_query(self, replica: Replica) -> EncodedCall:
        """Encodes a query of a replica's free memory and start."""
        return _query(replica, "/-/report")

    def decode_memory_report(
        self, head: AnswerHead, body: bytes
    ) -> MemoryReport | None:
        """Returns a replica's free memory, None if it is not reported.

        Replicas report whole megabytes, rounded down.
        """
        try:
            value = (
                orjson.loads(body)["free_mb"] if head.status == 200 else None
            )
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return None
        if not isinstance(value, int | float) or not math.isfinite(value):
            return None
        whole = float(value).is_integer()
        return MemoryReport(
            min_free_bytes=value * BYTES_PER_MB,
            max_free_bytes=(value + whole) * BYTES_PER_MB,
        )

    def decode_born(self, head: AnswerHead, body: bytes) -> int | None:
        """Returns the start of a replica, None if it is not reported."""
        try:
            born = orjson.loads(body)["born"] if head.status == 200 else None
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return None
        return born if isinstance(born, int) else None

    def encode_health_check(
        self, replica: Replica, service: ServiceSpec
    ) -> EncodedCall | None:
        """Encodes a health check, None if the service has no path for it."""
        if not service.health_path:
            return None
        return _query(replica, service.health_path)

    def decode_identity(
        self, replica: Replica, head: AnswerHead, body: bytes
    ) -> Identity:
        """Returns who answered a memory query or health check.

        Health checks tell the name and reports the start, which differs if a
        replica was started again under its name.
        """
        name = head.get(b"x-replica-id")
        if name is not None and name != replica.name.encode("latin-1"):
            return Identity.OTHER
        born = self.decode_born(head, body)
        if born is not None and replica.born:
            return Identity.SAME if born == replica.born else Identity.OTHER
        return Identity.UNTOLD if name is None else Identity.SAME

    def replica_address_of(self, handle: str) -> str:
        """Returns the address of the replica that holds a result."""
        return handle.partition("/")[0]


class _EventStreamReader(EventReader):
    """Splits a body of type text/event-stream into its events."""

    def __init__(self) -> None:
        self._reader = DelimitedReader(b"\n\n", max_bytes=MAX_EVENT_BYTES)
        self._empty_bytes = 0

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._reader.remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends bytes and returns the events that they complete."""
        try:
            parts = self._reader.feed(data)
        except PartTooLongError as error:
            raise EventStreamError(f"an event of {error}") from error
        whole = [_event(part + b"\n\n") for part in parts if part.strip()]
        self._empty_bytes = 0 if whole else self._empty_bytes + len(data)
        if self._empty_bytes > MAX_EVENT_BYTES:
            raise EventStreamError(
                f"no event in over {MAX_EVENT_BYTES} bytes of a stream"
            )
        return whole


class _Values:
    """Access to a request's headers by name, as text."""

    def __init__(self, headers: Headers) -> None:
        self._values = dict(headers)

    def text(self, name: bytes) -> str:
        """Returns a header's value, empty if it is absent."""
        return self._values.get(name, b"").decode("latin-1").strip()


def _kind(context: ServingContext, head: AnswerHead) -> AnswerKind:
    echoed = head.get(ID.lower())
    own = context.request.request_id.encode("latin-1")
    if echoed is not None and echoed != own:
        return AnswerKind.FOREIGN
    if head.get(NOT_RUN) is not None or head.status == 421:
        if head.status == 421:
            return AnswerKind.WRONG_REPLICA
        if head.status == 409:
            return AnswerKind.INPUTS_GONE
        return AnswerKind.REFUSED
    if echoed is None or head.get(SIGNATURE) is None:
        return AnswerKind.FOREIGN
    return AnswerKind.ANSWER


def _passed_on(headers: Headers) -> Headers:
    return _without(headers, _ONE_CONNECTION | _OURS)


def _without(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Drops headers, and those that `Connection` names as hop-by-hop."""
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in named
    ]


def _query(replica: Replica, path: str) -> EncodedCall:
    return EncodedCall(
        method="GET",
        target=path,
        headers=[(b"Host", replica.address.encode("latin-1"))],
        body=b"",
    )


def _json_call(
    address: str, path: str, body: object, replica: Replica | None = None
) -> EncodedCall:
    data = orjson.dumps(body)
    headers = [
        (b"Host", address.encode("latin-1")),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(data)).encode()),
    ]
    if replica is not None:
        headers.append((b"X-Expect-Replica", replica.name.encode("latin-1")))
    return EncodedCall(method="POST", target=path, headers=headers, body=data)


def _piece_result(item: object) -> PieceResult:
    if isinstance(item, dict):
        handle = item.get("handle")
        if isinstance(handle, str) and _HANDLE.fullmatch(handle):
            return PieceResult(handle=handle)
        reason = _REASONS.get(str(item.get("reason")), PieceFailure.FAILED)
        return PieceResult(failure=reason)
    return PieceResult(failure=PieceFailure.FAILED)


def _event(data: bytes) -> StreamEvent:
    begin = 0 if data.startswith(b"id:") else data.find(b"\nid:") + 1
    if not begin and not data.startswith(b"id:"):
        lines = data.split(b"\n")
        is_comment = all(line.startswith(b":") for line in lines if line)
        return StreamEvent(number=None, data=data, is_comment=is_comment)
    end = data.index(b"\n", begin)
    # Two ids are two events of which the line between was spoiled.
    has_other = data.find(b"\nid:", end) >= 0
    number = None if has_other else _event_number(data[begin + 3 : end].strip())
    return StreamEvent(number=number, data=data)


def _event_number(text: bytes) -> int | None:
    is_number = text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None


def _generation(values: _Values) -> Generation | None:
    counts = values.text(b"x-token-counts")
    if not counts:
        return None
    prompt, _, output = counts.partition(",")
    parts = []
    for entry in values.text(b"x-prompt-prefix").split(","):
        name, _, tokens = entry.strip().partition(":")
        if name and tokens:
            parts.append(PromptPart(name=name, tokens=_whole_number(tokens)))
    return Generation(
        model=values.text(b"x-model"),
        prompt_tokens=_whole_number(prompt),
        output_tokens=_whole_number(output or "0"),
        parts=tuple(parts),
    )


def _counts(text: str) -> tuple[int, ...]:
    if not text:
        return ()
    return tuple(_whole_number(part) for part in text.split(","))


def _whole_number(text: str) -> int:
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        raise ValueError(f"no whole number: {text!r:.40}")
    if len(digits) > MAX_NUMBER_DIGITS:
        raise ValueError(f"a number of over {MAX_NUMBER_DIGITS} digits")
    return int(digits)


def _resume(text: str) -> int | None:
    return _whole_number(text) if text.isdigit() else None


def _positive(text: str) -> float:
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError(f"{text} is no time to wait")
    return value


def _key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _host(text: str) -> str:
    return text.rpartition(":")[0].lower() if ":" in text else text.lower()


def _load(value: bytes) -> ReplicaLoad | None:
    """Decodes three or four figures; None if they contradict each other."""
    if len(value) > MAX_LOAD_BYTES:
        return None
    figures = _LOAD_FIGURES.fullmatch(value)
    if figures is None:
        return None
    running, queued, slots = map(int, figures.group(1, 2, 3))
    percent = figures[4]
    slowdown = None if percent is None else float(percent) / PERCENT
    if slots < 1 or running > slots or slowdown == 0:
        return None
    return ReplicaLoad(
        running=running, queued=queued, slots=slots, slowdown=slowdown
    )


def _rate(value: bytes) -> float:
    """Decodes a number of requests per second; 0 if it is malformed."""
    try:
        rate = float(value)
    except ValueError:
        return 0.0
    return rate if math.isfinite(rate) and rate > 0 else 0.0


def _rest_ms(head: AnswerHead) -> float | None:
    """Decodes the time for which a replica wants nothing, None if unreadable.

    Several values are as unreadable as none: they contradict each other.
    """
    values = [v for n, v in head.headers if n.lower() == b"retry-after"]
    try:
        seconds = float(values[0]) if len(values) == 1 else 0.0
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return seconds * MS_PER_SECOND


def _bad(detail: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, detail=detail)
