"""One caller's connection: its requests, its answers and its end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import attrs
import h11

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.transport import sockets
from cactusdyke.transport.front_interface import (
    BrokenOffError,
    Headers,
    ReadRequest,
    Reply,
)
from cactusdyke.transport.memory_budget import MEGABYTE, Kind, NoMemoryError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.transport.front_interface import FrontHandler, Limits
    from cactusdyke.transport.memory_budget import Held, MemoryBudget
    from cactusdyke.transport.slow_readers import PendingReader, SlowReaders
    from cactusdyke.transport.tcp_stream import TcpStream

READ_BYTES = 65_536
HEADERS_TOO_LARGE_STATUS = 431
"""What h11 suggests as the answer to headers beyond the limit."""
BODY_PROGRESS_MS = 5_000.0
"""A body that brings no byte for so long is refused."""
MOST_AHEAD_BYTES = MEGABYTE
"""Of a stream; parts that come with so much unsent wait for the caller."""
AHEAD_CHECK_INTERVAL_MS = 100.0
"""The socket reports only that it has taken everything."""
LINGER_MS = 1_000.0
"""How long the rest of a refused request is read before closing."""
MOST_PIPELINED_BYTES = 65_536
LAST_LOOK_MS = 20.0
"""How long an idle connection is still read as it is about to be closed."""


_UNANSWERED = {h11.SEND_RESPONSE, h11.SEND_BODY}


@attrs.define(kw_only=True)
class FrontState:
    """How far a front has come with its stop.

    Attributes:
        closing: Answers ask callers to use another connection.
        ending: Connections close as soon as they are idle.
        refusing: Requests that are not read whole are refused.
    """

    closing: bool = False
    ending: bool = False
    refusing: bool = False


class _RefusedError(Exception):
    """What was sent can't be read as a request."""

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(detail)
        self.failure = Failure(kind=kind, detail=detail)


class FrontConnection:
    """One caller's connection."""

    def __init__(
        self,
        *,
        stream: TcpStream,
        handler: FrontHandler,
        clock: Clock,
        limits: Callable[[], Limits],
        state: FrontState,
        budget: MemoryBudget,
        readers: SlowReaders,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._clock = clock
        self._current_limits = limits
        self._limits = limits()
        self._state = state
        self._budget = budget
        self._readers = readers
        self._pending: PendingReader | None = None
        self._patience_set = False
        self._head_only = False
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        self._ahead = b""
        self._body: Held | None = None
        self._idle = True
        self._answering = False
        self._writing = False
        self._reading = anyio.CancelScope()

    @property
    def answering(self) -> bool:
        """Whether a request was read and is not answered."""
        return self._answering

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return self._idle

    @property
    def asks_to_leave(self) -> bool:
        """Whether an answer that begins now is the connection's last.

        Requests that were read behind the one that is answered are served too.
        """
        return self._state.closing and not self._read_ahead

    @property
    def _read_ahead(self) -> bool:
        return bool(self._ahead or self._h11.trailing_data[0])

    def close_if_idle(self) -> None:
        """Ends the connection where it waits for a request."""
        if self._idle:
            self._reading.cancel()

    def refuse_unread(self) -> None:
        """Refuses the request that is being read, if there is one."""
        self._reading.cancel()

    async def abort(self) -> None:
        """Ends the connection; a write that waits for its caller fails.

        Its socket is closed on return.
        """
        if self._answering:
            sockets.reset_on_close(self._stream)
        await anyio.aclose_forcefully(self._stream)

    async def run(self) -> None:
        """Answers requests until the connection ends."""
        try:
            await self._answer_all()
        finally:
            self._forget_pending()

    async def _answer_all(self) -> None:
        while True:
            self._limits = self._current_limits()
            try:
                kept = await self._answer_next()
            except _RefusedError as refused:
                await self._refuse(refused)
                return
            if kept is None:
                return
            if not kept:
                await self._finish()
                return
            self._h11.start_next_cycle()

    async def _answer_next(self) -> bool | None:
        """Answers a request.

        Returns:
            Whether the connection goes on, None where it has ended.
        """
        with self._budget.hold(Kind.BODIES) as self._body:
            request = await self._next_request()
            if request is None:
                return None
            if self._patience_set:
                # It has read the answer that was pending.
                sockets.set_reader_patience(self._stream, unlimited=False)
                self._patience_set = False
            self._answering = True
            try:
                kept = await self._answer(request)
                # While a slow caller reads its answer, the request is not held.
                del request
                self._body.release()
                if self._h11.our_state not in _UNANSWERED:
                    await self._flush()
            finally:
                self._answering = False
        return kept

    async def _flush(self) -> None:
        """Returns once the socket has taken all that was written.

        Raises:
            anyio.BrokenResourceError, anyio.ClosedResourceError: The caller is
                gone, or was disconnected.
        """
        if self._pending is not None:
            await self._stream.drain()

    async def _next_request(self) -> ReadRequest | None:
        """Returns a request, or None where the connection has ended."""
        self._idle = not self._read_ahead
        while True:
            self._reading = self._reading_scope()
            with self._reading:
                return await self._read_request()
            if not self._idle:
                raise _RefusedError(
                    FailureKind.STOPPING,
                    "this daemon ends before the request was read",
                )
            self._ahead = await self._read_once_more()
            if not self._ahead:
                return None
            self._idle = False

    def _reading_scope(self) -> anyio.CancelScope:
        scope = anyio.CancelScope()
        if self._state.refusing or (self._state.ending and self._idle):
            scope.cancel()
        return scope

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
        arrived_at = self._clock.now()
        self._head_only = head.method == b"HEAD"
        self._check_length(head)
        body = await self._read_body()
        return ReadRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=body,
            arrived_at=arrived_at,
        )

    async def _read_head(self) -> h11.Request | None:
        """Returns a head, or None where the connection ended between two."""
        begun = bool(self._h11.trailing_data[0])
        timeout_ms = self._limits.idle_timeout_ms
        until = self._clock.now() + (
            self._limits.header_timeout_ms if begun else timeout_ms
        )
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
                raise _RefusedError(
                    FailureKind.TIMED_OUT, "the request's head came too slowly"
                )
            if data and not begun:
                begun = True
                self._idle = False
                until = self._clock.now() + self._limits.header_timeout_ms
            if not data and not begun:
                return None
            self._h11.receive_data(data)

    def _check_length(self, head: h11.Request) -> None:
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Whoever reads the other length sees another request in the
            # body: a smuggled one.
            raise _RefusedError(
                FailureKind.BAD_REQUEST, "two lengths for one body"
            )
        if names.count(b"host") != 1:
            raise _RefusedError(
                FailureKind.BAD_REQUEST, "exactly one Host header is needed"
            )
        for name, value in head.headers:
            if name != b"content-length":
                continue
            if int(value) > self._limits.max_body_bytes:
                raise _RefusedError(
                    FailureKind.TOO_LARGE, "the body is too large"
                )

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise _RefusedError(
                        FailureKind.TOO_LARGE, "the body is too large"
                    )
                await self._hold(len(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if self._h11.they_are_waiting_for_100_continue:
                await self._send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            data: bytes | None = None
            with self._clock.timeout(BODY_PROGRESS_MS):
                data = await self._receive()
            if data is None:
                raise _RefusedError(
                    FailureKind.TIMED_OUT, "the request's body came too slowly"
                )
            self._h11.receive_data(data)

    async def _hold(self, size: int) -> None:
        assert self._body is not None
        try:
            await self._body.add(size)
        except NoMemoryError as error:
            self._budget.record_refusal()
            raise _RefusedError(
                FailureKind.OVERLOADED, "no memory for the body became free"
            ) from error

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
            raise _RefusedError(kind, str(error)) from error

    async def _receive(self) -> bytes:
        if self._ahead:
            data, self._ahead = self._ahead, b""
            return data
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _answer(self, request: ReadRequest) -> bool:
        """Answers a request; returns whether the connection goes on."""
        reply = _Reply(
            connection=self, protocol=self._h11, head_only=self._head_only
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, tasks.cancel_scope)
                await self._handle(request, reply)
                tasks.cancel_scope.cancel()
        except* BrokenOffError:
            sockets.reset_on_close(self._stream)
        return self._h11.our_state is h11.DONE and (
            self._h11.their_state is h11.DONE
        )

    async def _handle(self, request: ReadRequest, reply: Reply) -> None:
        try:
            await self._handler.handle(request, reply)
        except BrokenOffError:
            raise
        except Exception as error:
            if self._writing:
                # The write failed: the caller is gone.
                raise
            events.log(
                events.Event.INTERNAL_ERROR, path="front", error=repr(error)
            )
            if self._h11.our_state is not h11.SEND_RESPONSE:
                raise BrokenOffError from error
            status, headers, body = self._handler.refusal(_unexpected())
            await reply.whole(status, headers, body)

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        """Cancels the answer as soon as its caller has left without it."""
        while len(self._ahead) < MOST_PIPELINED_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                if self._h11.our_state in _UNANSWERED:
                    scope.cancel()
                return
            self._ahead += data

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self.write(data)

    async def write(self, data: bytes, reply: Reply | None = None) -> None:
        """Hands bytes to the socket; what it does not take yet is held.

        Raises:
            anyio.BrokenResourceError, anyio.ClosedResourceError: The caller is
                gone, or was disconnected.
        """
        self._writing = True
        if not self._stream.write(data):
            self._hold_unsent(len(data), reply)
        self._writing = False

    def _hold_unsent(self, size: int, reply: Reply | None) -> None:
        if self._stream.closed:
            raise anyio.BrokenResourceError
        if self._pending is None:
            self._pending = self._readers.add(
                self._stream,
                last_resort=reply is not None and reply.last_resort,
            )
            self._patience_set = True
            self._stream.call_when_drained(self._forget_pending)
        else:
            self._pending.count(size)
        if reply is not None:
            reply.full = self._stream.unsent >= MOST_AHEAD_BYTES

    def _forget_pending(self) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            self._readers.remove(pending)

    def set_reset_on_close(self, *, enabled: bool) -> None:
        """Sets whether the end of the connection, or the process, resets it."""
        sockets.reset_on_close(self._stream, enabled=enabled)

    async def wait_until_read(self) -> None:
        """Returns once less than `MOST_AHEAD_BYTES` are unsent.

        Raises:
            anyio.BrokenResourceError, anyio.ClosedResourceError: The caller is
                gone, or was disconnected.
        """
        self._writing = True
        while self._stream.unsent >= MOST_AHEAD_BYTES:
            with self._clock.timeout(AHEAD_CHECK_INTERVAL_MS):
                await self._stream.drain()
        self._writing = False

    async def _refuse(self, refused: _RefusedError) -> None:
        if self._h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        status, headers, body = self._handler.refusal(refused.failure)
        head = h11.Response(
            status_code=status,
            headers=[
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ],
        )
        data = h11.Data(data=b"" if self._head_only else body)
        answer = (head, data, h11.EndOfMessage())
        await self.write(b"".join(self._h11.send(e) or b"" for e in answer))
        await self._finish()

    async def _finish(self) -> None:
        """Closes so that the caller can read what was sent.

        Closing with unread bytes resets the connection, and the caller sees
        the reset in place of the answer that was sent before it.
        """
        if self._h11.our_state not in {h11.MUST_CLOSE, h11.DONE, h11.CLOSED}:
            return
        await self._flush()
        with self._clock.timeout(LINGER_MS):
            await self._stream.send_eof()
            while await self._receive():
                pass


class _Reply(Reply):
    """Writes an answer through the connection's h11 state."""

    def __init__(
        self,
        *,
        connection: FrontConnection,
        protocol: h11.Connection,
        head_only: bool,
    ) -> None:
        self._connection = connection
        self._h11 = protocol
        self._head_only = head_only
        self._in_chunks = False

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer in one write."""
        length = [] if status in {204, 304} else [_length(headers, body)]
        data = self._head(status, [*_without_length(headers), *length])
        if body and not self._head_only:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        await self._connection.write(data, self)

    async def begin(self, status: int, headers: Headers) -> None:
        """Begins an answer in chunks, or up to the end of the connection."""
        head = self._head(status, _without_length(headers))
        self._in_chunks = b"\r\ntransfer-encoding: chunked\r\n" in head.lower()
        if not self._in_chunks:
            # To a caller of HTTP/1.0 an orderly end would look like the end of
            # the answer, also as the kernel closes what a killed process had.
            self._connection.set_reset_on_close(enabled=True)
        await self._connection.write(head, self)

    async def part(self, data: bytes) -> None:
        """Sends a part."""
        if not data or self._head_only:
            return
        if self.full:
            await self._connection.wait_until_read()
            self.full = False
        # Framed here: h11 takes several times as long as the write, and keeps
        # no state of the parts of an answer without a length.
        framed = b"%x\r\n%b\r\n" % (len(data), data)
        await self._connection.write(framed if self._in_chunks else data, self)

    async def end(self) -> None:
        """Ends the answer as complete."""
        sent = self._h11.send(h11.EndOfMessage())
        if sent:
            await self._connection.write(sent, self)
        if not self._in_chunks:
            self._connection.set_reset_on_close(enabled=False)

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._connection.asks_to_leave:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self._h11.send(response) or b""


def _unexpected() -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        detail="the daemon met an unexpected error",
        ran=Ran.UNKNOWN,
    )


def _without_length(headers: Headers) -> Headers:
    dropped = {b"content-length", b"transfer-encoding", b"connection"}
    return [pair for pair in headers if pair[0].lower() not in dropped]


def _length(headers: Headers, body: bytes) -> tuple[bytes, bytes]:
    """Returns the length to tell; that of a HEAD's answer is as given."""
    if not body:
        for name, value in headers:
            if name.lower() == b"content-length":
                return (b"Content-Length", value)
    return (b"Content-Length", str(len(body)).encode())
