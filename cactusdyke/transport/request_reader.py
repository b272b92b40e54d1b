"""Reads a caller's requests, and counts what is held of those not yet whole."""

from __future__ import annotations

import enum
import math
import re
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import h11
from result import Err

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.chunked_body import ChunkedBody, ChunkedBodyError
from cactusdyke.transport.front_interface import ReadRequest
from cactusdyke.transport.memory_budget import NoMemoryError
from cactusdyke.transport.received_bytes import CountedUpload
from cactusdyke.transport.uploads import SMALL_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.front_interface import FrontHandler, Limits
    from cactusdyke.transport.memory_budget import MemoryBudget
    from cactusdyke.transport.tcp_stream import TcpStream

READ_BYTES = 16_384
HEADERS_TOO_LARGE_STATUS = 431
"""What h11 suggests as the answer to headers beyond the limit."""
BODY_PROGRESS_MS = 5_000.0
"""A body that brings no byte for so long is refused."""
LAST_LOOK_MS = 20.0
"""How long an idle connection is still read as it is about to be closed."""
MOST_PIPELINED_BYTES = 16_384
NO_MEMORY = "no memory for the body became free"
LAST_CHUNK = b"0\r\n\r\n"
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3


class RefusedError(Exception):
    """What was sent can't be read as a request, or is not wanted."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def _refused(kind: FailureKind, detail: str) -> RefusedError:
    return RefusedError(Failure(kind=kind, detail=detail))


class _Phase(enum.Enum):
    READING = enum.auto()
    ANSWERING = enum.auto()
    DISCARDING = enum.auto()


class RequestReader(CountedUpload):
    """Reads one connection's requests, one after the other.

    h11 reads heads and keeps the state of the connection. Of a chunked body it
    sees only the end.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        handler: FrontHandler,
        clock: Clock,
        budget: MemoryBudget,
        limits: Limits,
        on_begun: Callable[[], None],
    ) -> None:
        super().__init__(budget=budget, clock=clock)
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._on_begun: Callable[[], None] | None = on_begun
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._phase = _Phase.READING
        self._eviction: Failure | None = None
        self._idle = True
        self._head_only = False
        self._ahead = b""
        self._head_tail = b""
        self._head_bytes = 0
        self._body = bytearray()
        self._body_until: Instant | None = None
        self._waiting = False
        self._scope = anyio.CancelScope()
        stream.call_when_received(self._on_received)

    @property
    def protocol(self) -> h11.Connection:
        """The state of the connection."""
        return self._h11

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return self._idle

    @property
    def head_only(self) -> bool:
        """Whether the answer to the request must not have a body."""
        return self._head_only

    @property
    def read_ahead(self) -> bool:
        """Whether bytes have come behind the request that is answered."""
        return bool(self._ahead)

    @property
    def cut(self) -> bool:
        """Whether what came behind the request that is answered was dropped."""
        return self._eviction is not None

    @property
    def progressed_at(self) -> Instant:
        """When bytes came last, or were not read for lack of memory."""
        return self._clock.now() if self._waiting else self._progressed_at

    def evict(self) -> None:
        """Drops what has come of a request that is not whole.

        A request that is being read is refused. What came behind one that is
        being answered is dropped, and the connection ends with the answer. One
        that is read only to be discarded is ended.
        """
        self.refuse(NO_MEMORY)

    def refuse(self, detail: str) -> None:
        """Does the same, for another reason."""
        self._eviction = Failure(kind=FailureKind.OVERLOADED, detail=detail)
        self._drop()
        if self._phase is _Phase.READING:
            self._scope.cancel()
        elif self._phase is _Phase.DISCARDING:
            self._stream.abort()

    def stop_reading(self) -> None:
        """Ends `next_request`: a request is awaited or refused no longer."""
        self._scope.cancel()

    def release(self) -> None:
        """Gives back what is held, as the connection ends.

        Nothing refers to the connection any longer: what h11 keeps of a head
        would stay until the garbage collector finds it.
        """
        self._drop()
        self._stream.call_when_received(None)
        self._on_begun = None

    async def next_request(
        self, limits: Limits, *, may_wait: Callable[[], bool]
    ) -> ReadRequest | None:
        """Returns the next request, or None where the connection has ended.

        Args:
            limits: Bounds on the request.
            may_wait: Whether the connection is read on; asked at the begin and
                after `stop_reading`.

        Raises:
            RefusedError: The request is not read any further.
        """
        self._limits = limits
        self._phase = _Phase.READING
        self._idle = not self.read_ahead
        while True:
            self._scope = anyio.CancelScope()
            if self._eviction is not None or not may_wait():
                self._scope.cancel()
            with self._scope:
                request = await self._read_request()
                self._phase = _Phase.ANSWERING
                return request
            if self._eviction is not None:
                self._budget.record_refusal()
                raise RefusedError(self._eviction)
            if not self._idle:
                raise _refused(
                    FailureKind.STOPPING,
                    "this daemon ends before the request was read",
                )
            self._ahead = await self._read_once_more()
            if not self._ahead:
                return None
            self._begin()

    async def watch(self) -> None:
        """Reads on while a request is answered.

        Returns, and leaves the rest to the kernel, when enough has come behind
        the request.

        Raises:
            anyio.EndOfStream, anyio.BrokenResourceError,
            anyio.ClosedResourceError: The caller has left.
        """
        while len(self._ahead) < MOST_PIPELINED_BYTES:
            data = await self._stream.receive(READ_BYTES)
            if not self.cut:
                self._ahead += data
            self._count()

    async def discard(self, most_bytes: int) -> None:
        """Reads and drops bytes up to the end of the connection.

        Args:
            most_bytes: After how many it returns, also without an end.
        """
        self._phase = _Phase.DISCARDING
        self._drop()
        while most_bytes > 0:
            data = await self._receive()
            self._count()
            if not data:
                return
            most_bytes -= len(data)

    async def _read_once_more(self) -> bytes:
        """Returns what has come while the connection was being closed."""
        data = b""
        with self._clock.timeout(LAST_LOOK_MS):
            data = await self._receive()
        return data

    async def _read_request(self) -> ReadRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        self._head_only = head.method == b"HEAD"
        request = ReadRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=b"",
            arrived_at=self._clock.now(),
        )
        length = self._check_length(head)
        self._body = bytearray()
        self._body_until = None
        if length is None:
            await self._read_chunked(request)
        else:
            await self._read_sized(request, length)
        if self._eviction is not None:
            # What was dropped is missing, though the end has come.
            raise RefusedError(self._eviction)
        body, self._body = self._body, bytearray()
        self._head_bytes = 0
        self._count()
        return attrs.evolve(request, body=bytes(body)) if body else request

    async def _read_head(self) -> h11.Request | None:
        """Returns a head, or None where the connection ended between two."""
        begun = False
        until = self._clock.now() + self._limits.idle_timeout_ms
        self._head_tail = b""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            data: bytes | None = None
            with self._clock.timeout(until - self._clock.now()):
                data = await self._receive()
            if data is None:
                if not begun:
                    return None
                raise _refused(
                    FailureKind.TIMED_OUT, "the request's head came too slowly"
                )
            if data and not begun:
                begun = True
                self._begin()
                until = self._clock.now() + self._limits.header_timeout_ms
            if not data and not begun:
                return None
            self._feed_head(data)

    def _begin(self) -> None:
        self._idle = False
        if self._on_begun is not None:
            self._on_begun()

    def _feed_head(self, data: bytes) -> None:
        """Hands h11 what belongs to the head; keeps what follows it."""
        searched = self._head_tail + data
        end = _HEAD_END.search(searched)
        if end is not None:
            head_bytes = end.end() - len(self._head_tail)
            self._ahead = data[head_bytes:]
            data = data[:head_bytes]
            self._head_bytes = 0
        else:
            self._head_tail = searched[1 - _HEAD_END_BYTES :]
            self._head_bytes += len(data)
        self._count()
        self._h11.receive_data(data)

    def _check_length(self, head: h11.Request) -> int | None:
        """Returns the length of the body, None if it comes in chunks."""
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Whoever reads the other length sees another request in the
            # body: a smuggled one.
            raise _refused(FailureKind.BAD_REQUEST, "two lengths for one body")
        if names.count(b"host") != 1:
            raise _refused(
                FailureKind.BAD_REQUEST, "exactly one Host header is needed"
            )
        if b"transfer-encoding" in names:
            return None
        length = int(dict(head.headers).get(b"content-length", b"0"))
        self._check_size(length)
        return length

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise _refused(FailureKind.TOO_LARGE, "the body is too large")

    async def _read_sized(self, request: ReadRequest, length: int) -> None:
        while len(self._body) < length:
            data = await self._receive_body(request)
            part = data[: length - len(self._body)]
            self._ahead = data[len(part) :]
            self._body += part
            self._feed_body(part)
        self._feed_body(None)

    async def _read_chunked(self, request: ReadRequest) -> None:
        body = ChunkedBody(max_framing_bytes=self._limits.max_header_bytes)
        while not body.done:
            data = await self._receive_body(request)
            if not data:
                self._feed_body(data)
            try:
                self._ahead = body.feed(data)
            except ChunkedBodyError as error:
                raise _refused(FailureKind.BAD_REQUEST, str(error)) from error
            self._body += body.take()
            self._check_size(len(self._body))
            self._count()
        self._feed_body(LAST_CHUNK)

    def _feed_body(self, data: bytes | None) -> None:
        """Hands h11 a part of the body, and takes what it tells.

        Raises:
            RefusedError: The connection has ended within the body.
        """
        if data is not None:
            self._count()
            self._h11.receive_data(data)
        while isinstance(self._next_event(), h11.Data):
            pass

    async def _receive_body(self, request: ReadRequest) -> bytes:
        """Returns the next bytes of a body, empty at the connection's end."""
        if not self._ahead and not self._stream.unread:
            await self._before_wait(request)
        await self._wait_for_room()
        data: bytes | None = None
        until = math.inf if self._body_until is None else self._body_until
        left_ms = until - self._clock.now()
        with self._clock.timeout(min(BODY_PROGRESS_MS, left_ms)):
            data = await self._receive()
        if data is None:
            raise _refused(
                FailureKind.TIMED_OUT, "the request's body came too slowly"
            )
        return data

    async def _before_wait(self, request: ReadRequest) -> None:
        """Refuses what would be refused whatever its body is.

        A body that has come with its head is not worth the look.
        """
        if self._body_until is not None:
            return
        screened = self._handler.screen(request)
        if isinstance(screened, Err):
            raise RefusedError(screened.err_value)
        self._body_until = screened.ok_value
        if not self._body and self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send(self._h11.send(go_on) or b"")

    async def _wait_for_room(self) -> None:
        if self._received.size <= SMALL_BYTES:
            return
        self._waiting = True
        try:
            await self._received.add(0)
        except NoMemoryError as error:
            self._budget.record_refusal()
            raise _refused(FailureKind.OVERLOADED, NO_MEMORY) from error
        finally:
            self._waiting = False
            self._progressed_at = self._clock.now()

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == HEADERS_TOO_LARGE_STATUS
            kind = (
                FailureKind.HEADERS_TOO_LARGE
                if too_large
                else FailureKind.BAD_REQUEST
            )
            raise _refused(kind, str(error)) from error

    async def _receive(self) -> bytes:
        """Returns the next bytes, empty at the connection's end."""
        if self._ahead:
            data, self._ahead = self._ahead, b""
            return data
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""

    def _on_received(self) -> None:
        if self.cut and self._phase is _Phase.ANSWERING:
            self._stream.drop_unread()
        self._count()

    def _count(self) -> None:
        """Counts what is held of requests that are not whole."""
        size = (
            self._stream.unread
            + len(self._ahead)
            + self._head_bytes
            + len(self._body)
        )
        self._count_received(size)

    def _drop(self) -> None:
        self._ahead = b""
        self._head_bytes = 0
        self._body = bytearray()
        self._stream.drop_unread()
        self._count()
