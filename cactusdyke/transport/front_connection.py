"""One caller's connection: its requests, its answers and its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import h11

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.transport import sockets
from cactusdyke.transport.connection_limit import LimitedConnection
from cactusdyke.transport.front_interface import (
    BrokenOffError,
    Headers,
    ReadRequest,
    Reply,
)
from cactusdyke.transport.memory_budget import (
    MEGABYTE,
    PACE_WINDOW_MS,
    Kind,
)
from cactusdyke.transport.request_reader import RefusedError, RequestReader
from cactusdyke.transport.uploads import STALL_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.transport.connection_limit import ConnectionLimit
    from cactusdyke.transport.front_interface import FrontHandler, Limits
    from cactusdyke.transport.memory_budget import MemoryBudget
    from cactusdyke.transport.slow_readers import PendingReader, SlowReaders
    from cactusdyke.transport.tcp_stream import TcpStream

CONNECTION_BYTES = 16_384
"""An idle connection was measured at 10 kB."""
MOST_AHEAD_BYTES = MEGABYTE
"""Of a stream; parts that come with so much unsent wait for the caller."""
AHEAD_CHECK_INTERVAL_MS = 100.0
"""The socket reports only that it has taken everything."""
DISCARDED_BODIES = 4
"""How much of a refused request is read before closing, in largest bodies."""
LINGER_MS = 1_000.0
"""How long the rest of a refused request is read before closing."""


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


class FrontConnection(LimitedConnection):
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
        connections: ConnectionLimit,
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
        self._connections = connections
        self._reader = RequestReader(
            stream=stream,
            handler=handler,
            clock=clock,
            budget=budget,
            limits=self._limits,
            on_begun=lambda: connections.wait_for_caller(self),
        )
        self._h11 = self._reader.protocol
        self._leaving = False
        self._flushing = False
        self._answering = False
        self._writing = False

    @property
    def answering(self) -> bool:
        """Whether a request was read and is not answered."""
        return self._answering

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return self._reader.idle

    @property
    def asks_to_leave(self) -> bool:
        """Whether an answer that begins now is the connection's last.

        Requests that were read behind the one that is answered are served too.
        """
        reader = self._reader
        leaving = self._state.closing or self._leaving
        return reader.cut or (leaving and not reader.read_ahead)

    def close_if_idle(self) -> None:
        """Ends the connection where it waits for a request."""
        if self.idle:
            self._reader.stop_reading()

    def refuse_unread(self) -> None:
        """Refuses the request that is being read, if there is one."""
        self._reader.stop_reading()

    @property
    def grace_ms(self) -> float:
        """How long the caller may take before it makes way for another."""
        if self._flushing:
            return PACE_WINDOW_MS
        return 0.0 if self.idle else STALL_MS

    def free_slot(self) -> None:
        """Ends the connection if it is idle; refuses its request if not.

        Where its caller has yet to read an answer it is reset.
        """
        if self._flushing:
            sockets.reset_on_close(self._stream)
            self._stream.abort()
        elif self.idle:
            self._leaving = True
            self._reader.stop_reading()
        else:
            self._reader.refuse("there are too many connections")

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
            with self._budget.hold(Kind.CONNECTIONS) as held:
                held.set(CONNECTION_BYTES)
                await self._answer_all()
        finally:
            self._reader.release()
            self._stream.call_when_drained(None)
            self._forget_pending()

    async def _answer_all(self) -> None:
        while True:
            self._limits = self._current_limits()
            try:
                kept = await self._answer_next()
            except RefusedError as refused:
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
        self._connections.wait_for_caller(self)
        with self._budget.hold(Kind.BODIES) as held:
            try:
                request = await self._reader.next_request(
                    self._limits, may_wait=self._may_wait
                )
            finally:
                self._connections.stop_waiting(self)
            if request is None:
                return None
            held.set(len(request.body))
            if self._patience_set:
                # It has read the answer that was pending.
                sockets.set_reader_patience(self._stream, unlimited=False)
                self._patience_set = False
            self._answering = True
            try:
                kept = await self._answer(request)
                # While a slow caller reads its answer, the request is not held.
                del request
                held.release()
                if self._h11.our_state not in _UNANSWERED:
                    await self._flush()
            finally:
                self._answering = False
        return kept and not self._reader.cut

    def _may_wait(self) -> bool:
        """Returns whether the connection is read on."""
        ends = self._state.ending or self._leaving
        return not (self._state.refusing or (ends and self.idle))

    async def _flush(self) -> None:
        """Returns once the socket has taken all that was written.

        Raises:
            anyio.BrokenResourceError, anyio.ClosedResourceError: The caller is
                gone, or was disconnected.
        """
        if self._pending is None:
            return
        self._flushing = True
        self._connections.wait_for_caller(self)
        try:
            await self._stream.drain()
        finally:
            self._flushing = False
            self._connections.stop_waiting(self)

    async def _answer(self, request: ReadRequest) -> bool:
        """Answers a request; returns whether the connection goes on."""
        reply = _Reply(
            connection=self,
            protocol=self._h11,
            head_only=self._reader.head_only,
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
        try:
            await self._reader.watch()
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            if self._h11.our_state in _UNANSWERED:
                scope.cancel()

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

    async def _refuse(self, refused: RefusedError) -> None:
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
        data = h11.Data(data=b"" if self._reader.head_only else body)
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
            await self._reader.discard(
                DISCARDED_BODIES * self._limits.max_body_bytes
            )


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
