"""Interface of the adapter for messages of callers and backend servers."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

from cactusdyke.transport.answer_parser import Headers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from cactusdyke.errors import Failure
    from cactusdyke.serving.model import Replica, ServiceSpec
    from cactusdyke.serving.request import ClientRequest, ServingContext
    from cactusdyke.transport.answer_parser import AnswerHead
    from cactusdyke.transport.front_interface import ReadRequest


@attrs.frozen(kw_only=True)
class EncodedCall:
    """A request to a backend server, ready to be sent."""

    method: str
    target: str
    headers: Headers
    body: bytes


class AnswerKind(enum.Enum):
    """The result of an attempt according to the head of the answer."""

    ANSWER = "answer"
    """The replica ran the request or is running it; the answer is its own."""
    REFUSED = "refused"
    """The replica states that it did not run the request."""
    WRONG_REPLICA = "wrong_replica"
    """Another replica has the address now; the request did not run."""
    INPUTS_GONE = "inputs_gone"
    """A stage's result no longer exists; the request did not run."""
    FOREIGN = "foreign"
    """The answer belongs to another request, or to none."""


@attrs.frozen(kw_only=True)
class ReplicaLoad:
    """The load that a replica reports in an answer, in requests.

    Attributes:
        running: Requests that it processes.
        queued: Requests that wait at it.
        slots: Requests that it can process at the same time.
        slowdown: Ratio of the time that work currently takes on its machine to
            the normal time, None if it is not reported.
    """

    running: int
    queued: int
    slots: int
    slowdown: float | None = None


@attrs.frozen(kw_only=True)
class ReplicaStatement:
    """What a replica says of itself in the head of an answer.

    Attributes:
        leaves: Whether it is about to end and wants no new work.
        rest_ms: How long it wants nothing more from this daemon, None if it
            does not say so.
    """

    leaves: bool = False
    rest_ms: float | None = None

    @property
    def fields(self) -> dict[str, object]:
        """What log events tell of it; empty if the replica said nothing."""
        fields: dict[str, object] = {}
        if self.leaves:
            fields["leaves"] = True
        if self.rest_ms is not None:
            fields["rest_ms"] = round(self.rest_ms)
        return fields


class Identity(enum.Enum):
    """Who answered at a replica's address, as far as the answer tells."""

    SAME = "same"
    """The replica, and not started anew since, if it tells its start."""
    OTHER = "other"
    """Another process."""
    UNTOLD = "untold"
    """The answer does not tell."""


@attrs.frozen(kw_only=True)
class AnswerVerdict:
    """The decoded head of an answer.

    Attributes:
        kind: The result of the attempt.
        status: The HTTP status.
        headers: The headers to forward to the caller.
        is_event_stream: Whether the body is a stream of events.
        load: The replica's load, None if it is not reported.
        stated_limit: Requests per second that the replica takes from all
            daemons together, None if it states no limit.
        stated_refusals: Requests that the replica may refuse in a second before
            it falls over, None if it states nothing of it.
        statement: What else the replica says of itself.
    """

    kind: AnswerKind
    status: int
    headers: Headers
    is_event_stream: bool
    load: ReplicaLoad | None
    stated_limit: float | None = None
    stated_refusals: float | None = None
    statement: ReplicaStatement = ReplicaStatement()

    @property
    def is_own(self) -> bool:
        """Whether the replica that was asked has answered, and no other."""
        return self.kind not in {AnswerKind.FOREIGN, AnswerKind.WRONG_REPLICA}

    @property
    def succeeded(self) -> bool:
        """Whether the replica itself answered with a success status."""
        return self.kind is AnswerKind.ANSWER and 200 <= self.status < 300


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event of a stream, with its bytes unchanged.

    Attributes:
        number: Its id, None if it has none that can be read.
        data: Its bytes, including the empty line that terminates it.
        is_comment: Whether it holds comments only, which have no number.
    """

    number: int | None
    data: bytes
    is_comment: bool = False


class EventStreamError(Exception):
    """The bytes received are no stream of events."""


class EventReader(abc.ABC):
    """Splits a body into events."""

    @abc.abstractmethod
    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends bytes and returns the events that they complete.

        Raises:
            EventStreamError: Too many bytes have come without an event.
        """

    @property
    @abc.abstractmethod
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""


@attrs.frozen(kw_only=True)
class Piece:
    """One piece of a stage's work.

    Attributes:
        request_id: The request that needs it.
        stage: The stage's number in the request's route.
        number: The piece's number in the stage.
        key: Identifies the content, for stages without inputs.
        inputs: Handles of the results that it takes as inputs.
    """

    request_id: str
    stage: int
    number: int
    key: str = ""
    inputs: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name that is unique among the pieces of all requests."""
        return f"{self.request_id}/{self.stage}/{self.number}"


class PieceFailure(enum.StrEnum):
    """Why a piece has no result."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class PieceResult:
    """The outcome of one piece: either a result's handle or a failure."""

    handle: str = ""
    failure: PieceFailure | None = None


@attrs.frozen(kw_only=True)
class MemoryReport:
    """A replica's recent free memory, in bytes.

    The reported value may be rounded, so it is a range.

    Attributes:
        min_free_bytes: Lower bound of the free memory.
        max_free_bytes: Upper bound of the free memory.
    """

    min_free_bytes: float
    max_free_bytes: float


class Dialect(abc.ABC):
    """Encodes and decodes messages of callers and backend servers."""

    @abc.abstractmethod
    def decode_request(
        self, request: ReadRequest
    ) -> Result[ClientRequest, Failure]:
        """Decodes a caller's request."""

    @abc.abstractmethod
    def encode_failure(
        self, failure: Failure, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body of the answer for a failure."""

    @abc.abstractmethod
    def encode_attempt(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        remaining_ms: float,
        handles: Sequence[str],
        resume_after: int | None,
    ) -> EncodedCall:
        """Returns the request to send to a replica.

        Args:
            context: The caller's request.
            replica: The replica that it goes to.
            remaining_ms: How long the caller still waits.
            handles: Handles of the stages' results.
            resume_after: Number of the last event that the caller has
                received, None for a new stream.
        """

    @abc.abstractmethod
    def decode_answer(
        self, context: ServingContext, head: AnswerHead
    ) -> AnswerVerdict:
        """Decodes the head of an answer."""

    @abc.abstractmethod
    def decode_load(self, head: AnswerHead, replica: str) -> ReplicaLoad | None:
        """Returns the load that a replica reports in the head of an answer.

        Args:
            head: The head of the answer.
            replica: Name of the replica, for the log.

        Returns:
            The load; None if it is not reported or cannot be read.
        """

    @abc.abstractmethod
    def decode_stated_limit(self, head: AnswerHead) -> float | None:
        """Returns the limit that an answer states, None if it states none.

        Returns:
            Requests per second that the replica takes from all daemons
            together. It is 0 if the stated value cannot be read.
        """

    @abc.abstractmethod
    def decode_stated_refusals(self, head: AnswerHead) -> float | None:
        """Returns how many refusals a brittle replica bears, None if any.

        Returns:
            Requests that it may refuse in a second before it falls over. It is
            0 if the stated value cannot be read.
        """

    @abc.abstractmethod
    def decode_statement(self, head: AnswerHead) -> ReplicaStatement:
        """Returns what a replica says of itself in the head of an answer.

        A value that cannot be read counts as nothing said.
        """

    @abc.abstractmethod
    def event_reader(self) -> EventReader:
        """Returns a reader for one stream."""

    @abc.abstractmethod
    def encode_pieces(
        self, replica: Replica, pieces: Sequence[tuple[Piece, float]]
    ) -> EncodedCall:
        """Returns a call that computes pieces.

        Args:
            replica: The stage replica that is called.
            pieces: The pieces, each with the milliseconds that it has left.
        """

    @abc.abstractmethod
    def decode_pieces(
        self, head: AnswerHead, body: bytes, count: int
    ) -> list[PieceResult] | None:
        """Decodes the answer to a call for pieces.

        Args:
            head: The head of the answer.
            body: The body of the answer.
            count: Number of pieces in the call.

        Returns:
            Their results in order, None if the call was refused.
        """

    @abc.abstractmethod
    def encode_free(self, address: str, handles: Sequence[str]) -> EncodedCall:
        """Returns a call that frees results."""

    @abc.abstractmethod
    def encode_memory_query(self, replica: Replica) -> EncodedCall:
        """Returns a call that queries a replica's free memory and start."""

    @abc.abstractmethod
    def decode_memory_report(
        self, head: AnswerHead, body: bytes
    ) -> MemoryReport | None:
        """Returns a replica's free memory, None if it is not reported.

        The value is some hundred milliseconds old.
        """

    @abc.abstractmethod
    def decode_born(self, head: AnswerHead, body: bytes) -> int | None:
        """Returns the start of a replica that was queried for its memory.

        Returns:
            Unix milliseconds as in its entry; None if it is not reported.
        """

    @abc.abstractmethod
    def encode_health_check(
        self, replica: Replica, service: ServiceSpec
    ) -> EncodedCall | None:
        """Returns a health check of a replica, None if it has none."""

    @abc.abstractmethod
    def decode_identity(
        self, replica: Replica, head: AnswerHead, body: bytes
    ) -> Identity:
        """Returns who answered a memory query or health check.

        Args:
            replica: The replica that was asked.
            head: The head of the answer.
            body: The body of the answer.
        """

    @abc.abstractmethod
    def replica_address_of(self, handle: str) -> str:
        """Returns the address of the replica that holds a result."""
