"""Listens to callers with h11, where uvicorn can't meet what is promised.

uvicorn offers no time-out for heads, does not say whether a request was read,
and can't break off an answer so that it does not look complete.
"""

from __future__ import annotations

import abc
import contextlib
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import h11

from cactusdyke import events
from cactusdyke.clock import Instant
from cactusdyke.transport import sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from cactusdyke.clock import Clock

READ_BYTES = 65_536
BACKLOG = 1_024
BODY_PROGRESS_MS = 5_000.0
"""A body that brings no byte for so long is refused."""
WRITE_TIMEOUT_MS = 4_000.0
"""A caller that takes no byte of its answer for so long is gone."""
LINGER_MS = 1_000.0
"""How long the rest of a refused request is read before closing."""
MOST_BODY_BYTES_IN_ALL = 64 * 1024 * 1024
"""Of bodies not yet answered; a fifth of the smallest host's memory."""
MOST_PIPELINED_BYTES = 65_536
IDLE_LOOK_MS = 50.0
LAST_LOOK_MS = 20.0
"""How long an idle connection is still read as it is about to be closed."""

Headers = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on a caller, times in milliseconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@attrs.frozen(kw_only=True)
class ReadRequest:
    """A request that was read whole; header names in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: Instant


class BrokenOffError(Exception):
    """An answer that has begun can't be finished; it must not look whole."""


class Reply(abc.ABC):
    """Where the answer to one request goes."""

    @abc.abstractmethod
    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Begins an answer that comes in parts."""

    @abc.abstractmethod
    async def part(self, data: bytes) -> None:
        """Sends a part of it."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Ends it as complete."""


class FrontHandler(abc.ABC):
    """Answers callers' requests."""

    @abc.abstractmethod
    async def handle(self, request: ReadRequest, reply: Reply) -> None:
        """Answers a request; it is cancelled when the caller leaves.

        Raises:
            BrokenOffError: The answer had begun and can't be finished.
        """

    @abc.abstractmethod
    def refusal(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Returns headers and body that refuse what could not be read."""


class Front:
    """Accepts callers' connections, a task each."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: FrontHandler,
        clock: Clock,
        limits: Callable[[], Limits],
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._clock = clock
        self._limits = limits
        self._closing = False
        self._ending = False
        self._refusing = False
        self._listening: anyio.CancelScope | None = None
        self._connections: set[_Connection] = set()
        self._in_flight = 0
        self._body_bytes = 0
        self._body_room = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Requests that were read and are not answered."""
        return self._in_flight

    @property
    def closing(self) -> bool:
        """Whether answers ask callers to use another connection."""
        return self._closing

    @property
    def ending(self) -> bool:
        """Whether connections close as soon as they are idle."""
        return self._ending

    @property
    def refusing(self) -> bool:
        """Whether requests that are not read whole are refused."""
        return self._refusing

    def close_connections(self) -> None:
        """Ends each connection with its next answer."""
        self._closing = True

    async def serve(self) -> None:
        """Serves until it is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._host,
            local_port=self._port,
            backlog=BACKLOG,
            reuse_port=False,
        )
        async with anyio.create_task_group() as connections:
            with anyio.CancelScope() as self._listening:
                async with listener:
                    await listener.serve(self._connection, connections)

    async def finish(self, *, refuse_at: Instant) -> None:
        """Ends `serve`: closes each connection once it owes no answer.

        Args:
            refuse_at: When requests that are still being read are refused.
        """
        with self._clock.timeout(refuse_at - self._clock.now()):
            while any(not c.idle for c in self._connections):
                await self._clock.sleep(IDLE_LOOK_MS)
        self._ending = True
        if self._listening is not None:
            self._listening.cancel()
        for connection in self._connections:
            connection.close_if_idle()
        with self._clock.timeout(refuse_at - self._clock.now()):
            await self._wait_until_closed()
        self._refusing = True
        for connection in self._connections:
            connection.refuse_unread()
        await self._wait_until_closed()

    async def _wait_until_closed(self) -> None:
        while self._connections:
            await self._clock.sleep(IDLE_LOOK_MS)

    async def _connection(self, stream: SocketStream) -> None:
        connection = _Connection(front=self, stream=stream)
        self._connections.add(connection)
        try:
            sockets.guard_against_silence(stream)
            await connection.run()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The caller is gone, which ends what it asked for.
            pass
        except Exception as error:
            # A bug met by one request must not end the requests of all other
            # callers with the process.
            events.log(
                events.Event.INTERNAL_ERROR, path="front", error=repr(error)
            )
        finally:
            self._connections.discard(connection)
            await anyio.aclose_forcefully(stream)

    async def reserve(self, size: int) -> None:
        """Waits until another `size` bytes of bodies may be held."""
        # Many callers that send large bodies at once would hold more than a
        # small host has (seen by its end for want of memory). The reader
        # waits instead, and the callers' windows fill.
        while self._body_bytes and (
            self._body_bytes + size > MOST_BODY_BYTES_IN_ALL
        ):
            self._body_room = anyio.Event()
            await self._body_room.wait()
        self._body_bytes += size

    def release(self, size: int) -> None:
        """Gives back what `reserve` took."""
        self._body_bytes -= size
        self._body_room.set()

    @contextlib.contextmanager
    def answering(self) -> Any:
        """Counts a request as in flight while the block runs."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1


class _RefusedError(Exception):
    """What was sent can't be read as a request."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Connection:
    """One caller's connection."""

    def __init__(self, *, front: Front, stream: SocketStream) -> None:
        self._front = front
        self._stream = stream
        self._clock = front._clock
        self._limits = front._limits()
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        self._ahead = b""
        self._held = 0
        self._idle = True
        self._reading = anyio.CancelScope()

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return self._idle

    def close_if_idle(self) -> None:
        """Ends the connection where it waits for a request."""
        if self._idle:
            self._reading.cancel()

    def refuse_unread(self) -> None:
        """Refuses the request that is being read, if there is one."""
        self._reading.cancel()

    async def run(self) -> None:
        """Answers requests until the connection ends."""
        while True:
            self._limits = self._front._limits()
            try:
                request = await self._next_request()
            except _RefusedError as refused:
                await self._refuse(refused)
                return
            if request is None:
                return
            try:
                with self._front.answering():
                    kept = await self._answer(request)
            finally:
                self._front.release(self._held)
                self._held = 0
            if not kept:
                await self._finish()
                return
            self._h11.start_next_cycle()

    async def _next_request(self) -> ReadRequest | None:
        """Returns a request, or None where the connection has ended."""
        self._idle = not (self._ahead or self._h11.trailing_data[0])
        while True:
            self._reading = self._reading_scope()
            with self._reading:
                return await self._read_request()
            if not self._idle:
                raise _RefusedError(
                    503, "this daemon ends before the request was read"
                )
            self._ahead = await self._look_once_more()
            if not self._ahead:
                return None
            self._idle = False

    def _reading_scope(self) -> anyio.CancelScope:
        scope = anyio.CancelScope()
        if self._front.refusing or (self._front.ending and self._idle):
            scope.cancel()
        return scope

    async def _look_once_more(self) -> bytes:
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
                raise _RefusedError(408, "the request's head came too slowly")
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
            raise _RefusedError(400, "two lengths for one body")
        if names.count(b"host") != 1:
            raise _RefusedError(400, "exactly one Host header is needed")
        for name, value in head.headers:
            if name != b"content-length":
                continue
            if int(value) > self._limits.max_body_bytes:
                raise _RefusedError(413, "the body is too large")

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise _RefusedError(413, "the body is too large")
                await self._front.reserve(len(event.data))
                self._held += len(event.data)
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
                raise _RefusedError(408, "the request's body came too slowly")
            self._h11.receive_data(data)

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedError(error.error_status_hint, str(error)) from error

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
        reply = _Reply(connection=self, request=request)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, tasks.cancel_scope)
                await self._front._handler.handle(request, reply)
                tasks.cancel_scope.cancel()
        except* BrokenOffError:
            sockets.reset_on_close(self._stream)
        return self._h11.our_state is h11.DONE and (
            self._h11.their_state is h11.DONE
        )

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        """Cancels the answer as soon as its caller has left."""
        while len(self._ahead) < MOST_PIPELINED_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                scope.cancel()
                return
            self._ahead += data

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self.write(data)

    async def write(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            anyio.BrokenResourceError: The caller is gone, or takes nothing.
        """
        with self._clock.timeout(WRITE_TIMEOUT_MS) as scope:
            await self._stream.send(data)
        if scope.cancelled_caught:
            raise anyio.BrokenResourceError

    async def _refuse(self, refused: _RefusedError) -> None:
        if self._h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        headers, body = self._front._handler.refusal(
            refused.status, refused.reason
        )
        head = h11.Response(
            status_code=refused.status,
            headers=[
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ],
        )
        answer = (head, h11.Data(data=body), h11.EndOfMessage())
        await self.write(b"".join(self._h11.send(e) or b"" for e in answer))
        await self._finish()

    async def _finish(self) -> None:
        """Closes so that the caller can read what was sent.

        Closing with unread bytes resets the connection, and the caller sees
        the reset in place of the answer that was sent before it.
        """
        if self._h11.our_state not in {h11.MUST_CLOSE, h11.DONE, h11.CLOSED}:
            return
        with self._clock.timeout(LINGER_MS):
            await self._stream.send_eof()
            while await self._receive():
                pass


class _Reply(Reply):
    """Writes an answer through the connection's h11 state."""

    def __init__(
        self, *, connection: _Connection, request: ReadRequest
    ) -> None:
        self._connection = connection
        self._h11 = connection._h11
        self._head_only = request.method == "HEAD"

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer in one write."""
        length = [] if status in {204, 304} else [_length(headers, body)]
        data = self._head(status, [*_without_length(headers), *length])
        if body and not self._head_only:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        await self._connection.write(data)

    async def begin(self, status: int, headers: Headers) -> None:
        """Begins an answer in chunks."""
        await self._connection.write(
            self._head(status, _without_length(headers))
        )

    async def part(self, data: bytes) -> None:
        """Sends a part."""
        if data and not self._head_only:
            sent = self._h11.send(h11.Data(data=data))
            await self._connection.write(sent or b"")

    async def end(self) -> None:
        """Ends the answer as complete."""
        sent = self._h11.send(h11.EndOfMessage())
        if sent:
            await self._connection.write(sent)

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._connection._front.closing:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self._h11.send(response) or b""


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
