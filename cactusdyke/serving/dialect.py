"""What the core asks of an adapter to callers and to backend servers."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

from cactusdyke.transport.exchange import Headers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from cactusdyke.errors import Failure
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ClientRequest, ServingContext
    from cactusdyke.transport.exchange import AnswerHead
    from cactusdyke.transport.front_interface import ReadRequest


@attrs.frozen(kw_only=True)
class EncodedCall:
    """A request to a backend server, ready to be sent."""

    method: str
    target: str
    headers: Headers
    body: bytes


class AnswerKind(enum.Enum):
    """What the head of an answer says of the attempt."""

    ANSWER = "answer"
    """The replica ran the request, or runs it; the answer is its own."""
    REFUSED = "refused"
    """The replica says that it did not run it."""
    WRONG_REPLICA = "wrong_replica"
    """Another replica has the address; it did not run."""
    INPUTS_GONE = "inputs_gone"
    """A stage's result is gone; it did not run."""
    FOREIGN = "foreign"
    """The answer belongs to another request, or to none."""


@attrs.frozen(kw_only=True)
class ReplicaLoad:
    """What a replica says of its load in an answer."""

    running: int
    queued: int
    slots: int


@attrs.frozen(kw_only=True)
class AnswerVerdict:
    """The head of an answer, understood.

    Attributes:
        kind: What it says of the attempt.
        status: The HTTP status.
        headers: What is passed on to the caller.
        events: Whether the body is a series of events.
        load: The replica's load, if told.
    """

    kind: AnswerKind
    status: int
    headers: Headers
    is_event_stream: bool
    load: ReplicaLoad | None

    @property
    def succeeded(self) -> bool:
        """Whether it is a success of the replica's own."""
        return self.kind is AnswerKind.ANSWER and 200 <= self.status < 300


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event of a stream, with its bytes unchanged.

    Attributes:
        number: Its id, None if it has none.
        data: Its bytes, with the empty line that ends it.
    """

    number: int | None
    data: bytes


class EventReader(abc.ABC):
    """Cuts a body into events."""

    @abc.abstractmethod
    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that they complete."""

    @property
    @abc.abstractmethod
    def remainder(self) -> bytes:
        """What was fed behind the last whole event."""


@attrs.frozen(kw_only=True)
class Piece:
    """One piece of a stage's work.

    Attributes:
        request_id: The request that needs it.
        stage: The stage's number in the request's route.
        number: The piece's number in the stage.
        key: Names the content, for stages without inputs.
        inputs: Handles of the results that it works on.
    """

    request_id: str
    stage: int
    number: int
    key: str = ""
    inputs: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Names the piece among all pieces."""
        return f"{self.request_id}/{self.stage}/{self.number}"


class PieceFailure(enum.StrEnum):
    """Why a piece has no result."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class PieceResult:
    """How one piece ended: with a handle, or with a failure."""

    handle: str = ""
    failure: PieceFailure | None = None


@attrs.frozen(kw_only=True)
class MemoryReport:
    """A replica's word of the memory that it had left lately, in bytes.

    Attributes:
        at_least: So much was free.
        at_most: Not more than so much was; its word may be rounded.
    """

    min_free_bytes: float
    max_free_bytes: float


class Dialect(abc.ABC):
    """Encodes and decodes what is said to callers and backend servers."""

    @abc.abstractmethod
    def decode_request(
        self, request: ReadRequest
    ) -> Result[ClientRequest, Failure]:
        """Returns a caller's request as the core knows it."""

    @abc.abstractmethod
    def encode_failure(
        self, failure: Failure, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body that tell a caller of a failure."""

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
        """Returns the request to send to a replica."""

    @abc.abstractmethod
    def decode_answer(
        self, context: ServingContext, head: AnswerHead
    ) -> AnswerVerdict:
        """Returns what the head of an answer says."""

    @abc.abstractmethod
    def event_reader(self) -> EventReader:
        """Returns a reader for one stream."""

    @abc.abstractmethod
    def encode_pieces(
        self, replica: Replica, pieces: Sequence[tuple[Piece, float]]
    ) -> EncodedCall:
        """Returns a call for pieces, each with its remaining milliseconds."""

    @abc.abstractmethod
    def decode_pieces(
        self, head: AnswerHead, body: bytes, count: int
    ) -> list[PieceResult] | None:
        """Returns the results in order, None if the call was refused."""

    @abc.abstractmethod
    def encode_free(self, address: str, handles: Sequence[str]) -> EncodedCall:
        """Returns a call that frees results."""

    @abc.abstractmethod
    def encode_memory_query(self, replica: Replica) -> EncodedCall:
        """Returns a call that asks a stage replica for its free memory."""

    @abc.abstractmethod
    def decode_memory_report(
        self, head: AnswerHead, body: bytes
    ) -> MemoryReport | None:
        """Returns a replica's free memory, None if it is not told.

        It is as of some hundred milliseconds ago.
        """

    @abc.abstractmethod
    def replica_address_of(self, handle: str) -> str:
        """Returns the address of the replica that holds a result."""
