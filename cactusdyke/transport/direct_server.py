"""Serves a handler over HTTP/1.1 straight from a protocol of the event loop.

uvicorn with ASGI takes a few times the processor time of such an exchange,
and its import is a part of each start. Daemons call each other several times
for each request.
"""

from __future__ import annotations

import asyncio
import collections
import http
import urllib.parse
from typing import TYPE_CHECKING, Any

import anyio
import httptools

from cactusdyke import events
from cactusdyke.clock import Clock, SystemClock
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.connection_limit import (
    ConnectionLimit,
    LimitedConnection,
)
from cactusdyke.transport.framing_limit import FramingLimit
from cactusdyke.transport.listener_shares import (
    MOST_CONNECTIONS,
    RECEIVE_BUFFER_BYTES,
)
from cactusdyke.transport.memory_budget import Held, Kind, MemoryBudget
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    failure_response,
)
from cactusdyke.transport.received_bytes import CountedUpload
from cactusdyke.transport.safe_handler import respond
from cactusdyke.transport.tcp_stream import listen
from cactusdyke.transport.tunnel import TunnelGate, serve_tunnel
from cactusdyke.transport.tunnel_framing import HEADER_NAME, HEADER_VALUE
from cactusdyke.transport.uploads import STALL_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ACCEPTED_PER_TURN = 8
"""Of the event loop."""
ACCEPT_PAUSE_MS = 100.0
READ_BYTES = 16_384
CONNECTION_BYTES = 8_192
"""An idle connection was measured at 4 kB."""
MAX_HEAD_BYTES = 65_536
READ_TIMEOUT_S = 10.0
"""Longest time for a whole request, from its first byte."""
IDLE_TIMEOUT_S = 75.0
WRITE_STALL_S = 15.0
"""Longest time for a caller to take in what is written to it."""
MAX_PIPELINED = 16


class DirectServer:
    """Listens on one address; each request is a task of its own.

    Args:
        host: The address to listen on.
        port: The port to listen on, 0 for any.
        handler: Answers the requests; its answers must not be streams.
        max_body_bytes: Largest body of a request.
        clock: This daemon's clock.
        budget: Counts what is held of requests, and evicts those that are not
            whole.
        connections: How many connections there may be.
        receive_buffer_bytes: What the kernel keeps of a connection.
        tunnels: Decides which connections are made for callers that ask for a
            tunnel (CONNECT); None makes none.

    Raises:
        OSError: The address can't be bound.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        max_body_bytes: int,
        clock: Clock | None = None,
        budget: MemoryBudget | None = None,
        connections: ConnectionLimit | None = None,
        receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
        tunnels: TunnelGate | None = None,
    ) -> None:
        self._socket = listen(
            host, port, receive_buffer_bytes=receive_buffer_bytes
        )
        self._clock = clock or SystemClock()
        self._budget = budget or MemoryBudget(
            clock=self._clock, memory_mb=lambda: None
        )
        self._limit = connections or ConnectionLimit(
            listener="internal",
            most=lambda: MOST_CONNECTIONS,
            clock=self._clock,
        )
        self._tunnels = tunnels
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._socket.getsockname()[1])

    async def serve(self) -> None:
        """Serves until it is cancelled; ends all connections then."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        loop.add_reader(self._socket, self._accept, loop)
        try:
            await anyio.sleep_forever()
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()
            for connection in tuple(self._connections):
                connection.abort()
            for task in self._tasks:
                task.cancel()
            with anyio.CancelScope(shield=True):
                await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, loop: asyncio.AbstractEventLoop) -> None:
        """Accepts a few connections.

        The event loop's own servers accept a hundred in a turn, before any of
        them is counted.
        """
        for _ in range(ACCEPTED_PER_TURN):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause_accepting(loop, error)
                return
            self._start(
                loop.connect_accepted_socket(self._new_connection, accepted)
            )

    def _pause_accepting(
        self, loop: asyncio.AbstractEventLoop, error: OSError
    ) -> None:
        """Accepts nothing for a while: descriptors are free again later."""
        events.log(events.Event.ACCEPT_FAILED, error=repr(error))
        loop.remove_reader(self._socket)

        async def go_on() -> None:
            await self._clock.sleep(ACCEPT_PAUSE_MS)
            loop.add_reader(self._socket, self._accept, loop)

        self._start(go_on())

    def _start(self, task: Coroutine[Any, Any, object]) -> None:
        """Runs a task that ends with the server.

        A task group takes a few times the processor time of a request.
        """
        started = asyncio.get_running_loop().create_task(task)
        self._tasks.add(started)
        started.add_done_callback(self._tasks.discard)

    def _new_connection(self) -> _Connection:
        return _Connection(
            handler=self._handler,
            start=self._start,
            max_body_bytes=self._max_body_bytes,
            connections=self._connections,
            clock=self._clock,
            budget=self._budget,
            limit=self._limit,
            tunnels=self._tunnels,
        )


class _Connection(asyncio.Protocol, CountedUpload, LimitedConnection):
    """One connection: its requests in order, and an answer to each."""

    def __init__(
        self,
        *,
        handler: Handler,
        start: Callable[[Coroutine[Any, Any, object]], None],
        max_body_bytes: int,
        connections: set[_Connection],
        clock: Clock,
        budget: MemoryBudget,
        limit: ConnectionLimit,
        tunnels: TunnelGate | None,
    ) -> None:
        CountedUpload.__init__(self, budget=budget, clock=clock)
        self._limit = limit
        self._counted = Held(budget, Kind.CONNECTIONS)
        self._tunnels = tunnels
        self._tunnel_address = ""
        self._handler = handler
        self._start = start
        self._max_body_bytes = max_body_bytes
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._answering = False
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._chunks = 0
        self._framing = FramingLimit(most_bytes=MAX_HEAD_BYTES)
        self._receiving = False
        self._head_is_whole = False
        self._queued_bytes = 0
        self._refused = False

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return not (self._receiving or self._answering or self._waiting)

    def evict(self) -> None:
        """Drops what has come of requests that are not being answered.

        The connection ends, after the answer that is under way if there is one.
        """
        self._refuse(FailureKind.OVERLOADED, "no memory for the request")

    @property
    def grace_ms(self) -> float:
        """How long the caller may take before it makes way for another."""
        return 0.0 if self.idle else STALL_MS

    def free_slot(self) -> None:
        """Ends the connection if it is idle; refuses its request if not."""
        if self.idle:
            self.abort()
        else:
            self._refuse(FailureKind.OVERLOADED, "too many connections")

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._transport = transport
        if not self._limit.admit(self):
            transport.abort()
            return
        self._counted.set(CONNECTION_BYTES)
        self._connections.add(self)
        self._set_timer(READ_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all timers; an answer that is being made goes nowhere."""
        del exc
        self._connections.discard(self)
        self._end_counting()
        self._set_timer(None)
        self._set_stall_timer(None)
        # It refers to this connection and keeps what came of a head: both would
        # stay until the garbage collector finds them.
        del self._parser

    def data_received(self, data: bytes) -> None:
        """Parses what has come, and counts what is held of it."""
        if self._refused:
            return
        in_body = self._receiving and self._head_is_whole
        self._body_bytes = 0
        self._chunks = 0
        self._parse(data)
        if self._refused:
            return
        if self._receiving and not self._head_is_whole:
            self._count_head(len(data))
        elif in_body and not self._framing.allows(
            len(data) - self._body_bytes, chunks=self._chunks
        ):
            self._refuse(
                FailureKind.BAD_REQUEST, "too many bytes around a body's chunks"
            )
        self._count()
        if self._waiting and self._transport is not None:
            # They are read on once those that have come are answered.
            self._transport.pause_reading()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if self._tunnel_address and error.args[0] == len(data):
                self._start_tunnel()
            else:
                self._refuse(FailureKind.BAD_REQUEST, "no upgrade is known")
        except httptools.HttpParserError as error:
            self._refuse(FailureKind.BAD_REQUEST, f"no HTTP request: {error}")

    def pause_writing(self) -> None:
        """Notes that the caller does not take in what is written."""
        self._set_stall_timer(WRITE_STALL_S)

    def resume_writing(self) -> None:
        """Notes that the caller goes on reading."""
        self._set_stall_timer(None)

    def on_message_begin(self) -> None:
        """Takes the begin of a request; called by the parser."""
        self._url = b""
        self._headers = {}
        self._head_bytes = 0
        self._head_is_whole = False
        self._receiving = True
        self._body = bytearray()
        self._framing = FramingLimit(most_bytes=MAX_HEAD_BYTES)
        if not self._answering:
            self._limit.wait_for_caller(self)
            self._set_timer(READ_TIMEOUT_S)

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target; called by the parser."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; called by the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Takes the end of a head; called by the parser."""
        self._head_is_whole = True
        length = self._headers.get("content-length", "0")
        if length.isdecimal() and int(length) > self._max_body_bytes:
            self._refuse_size()

    def on_chunk_header(self) -> None:
        """Takes the begin of a chunk; called by the parser."""
        self._chunks += 1

    def on_body(self, data: bytes) -> None:
        """Takes a part of a body; called by the parser."""
        self._body_bytes += len(data)
        if self._refused:
            return
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._refuse_size()

    def on_message_complete(self) -> None:
        """Takes the end of a request; called by the parser."""
        self._receiving = False
        if self._refused:
            return
        if self._parser.get_method() == b"CONNECT":
            if self._tunnels is not None and not self._answering:
                self._tunnel_address = self._url.decode("latin-1")
            return
        path, _, query = self._url.partition(b"?")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=urllib.parse.unquote(path.decode("latin-1")),
            query=_decode_query(query) if query else {},
            headers=self._headers,
            body=bytes(self._body),
        )
        self._body = bytearray()
        self._limit.stop_waiting(self)
        keep_alive = bool(self._parser.should_keep_alive())
        if len(self._waiting) >= MAX_PIPELINED:
            self._refuse(FailureKind.BAD_REQUEST, "Too many requests at once")
            return
        self._waiting.append((request, keep_alive))
        self._queued_bytes += _size(request)
        self._start_next()

    def _refuse_size(self) -> None:
        self._refuse(
            FailureKind.TOO_LARGE,
            f"The body is over {self._max_body_bytes} bytes",
        )

    def _count(self) -> None:
        """Counts what is held of requests that are not being answered."""
        head_bytes = 0 if self._head_is_whole else self._head_bytes
        size = head_bytes + len(self._body) + self._queued_bytes
        self._count_received(size)

    def _end_counting(self) -> None:
        self._limit.remove(self)
        self._counted.release()
        self._drop()

    def _drop(self) -> None:
        self._body = bytearray()
        self._head_bytes = 0
        self._waiting.clear()
        self._queued_bytes = 0
        self._count()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(
                FailureKind.HEADERS_TOO_LARGE,
                f"The head is over {MAX_HEAD_BYTES} bytes",
            )

    def _start_next(self) -> None:
        if self._answering or not self._waiting:
            return
        self._answering = True
        self._set_timer(None)
        request, keep_alive = self._waiting.popleft()
        self._queued_bytes -= _size(request)
        self._count()
        self._start(self._answer(request, keep_alive))

    def _start_tunnel(self) -> None:
        assert self._transport is not None
        self._limit.stop_waiting(self)
        self._answering = True
        self._set_timer(None)
        self._transport.pause_reading()
        self._start(self._serve_tunnel(self._transport))

    async def _serve_tunnel(self, transport: asyncio.Transport) -> None:
        assert self._tunnels is not None
        try:
            refusal = await serve_tunnel(
                transport,
                self._tunnel_address,
                self._tunnels,
                framed=self._headers.get(HEADER_NAME) == HEADER_VALUE,
            )
        finally:
            # The tunnel's own protocol is told of the connection's end.
            self._connections.discard(self)
            self._end_counting()
        if refusal is not None:
            self._write(refusal, keep_alive=False)

    async def _answer(self, request: Request, keep_alive: bool) -> None:
        size = len(request.body)
        with self._budget.hold(Kind.BODIES) as held:
            held.set(size)
            response = await respond(self._handler, request)
        keep_alive = keep_alive and not self._refused
        self._write(response, keep_alive=keep_alive)
        self._answering = False
        if not keep_alive:
            return
        if self._waiting:
            self._start_next()
            return
        self._limit.wait_for_caller(self)
        self._set_timer(READ_TIMEOUT_S if self._receiving else IDLE_TIMEOUT_S)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _refuse(self, kind: FailureKind, detail: str) -> None:
        if self._refused:
            return
        self._refused = True
        self._limit.stop_waiting(self)
        self._drop()
        if self._answering:
            # The connection ends with the answer that is under way.
            return
        # A caller that does not read must not keep the connection either.
        self._set_timer(READ_TIMEOUT_S)
        self._write(
            failure_response(Failure(kind=kind, detail=detail)),
            keep_alive=False,
        )

    def _write(self, response: Response, *, keep_alive: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(_encode(response, keep_alive=keep_alive))
        if not keep_alive:
            transport.close()

    def _set_timer(self, delay_s: float | None) -> None:
        """Ends the connection after a time unless the timer is set again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.abort)

    def _set_stall_timer(self, delay_s: float | None) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._stall_timer = loop.call_later(delay_s, self.abort)


def _size(request: Request) -> int:
    assert isinstance(request.body, bytes)
    return len(request.body) + len(request.path)


def _decode_query(query: bytes) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(query.decode("latin-1")))


def _encode(response: Response, *, keep_alive: bool) -> bytes:
    assert isinstance(response.body, bytes)
    status = http.HTTPStatus(response.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"content-length: {len(response.body)}")
    if not keep_alive:
        lines.append("connection: close")
    head = "\r\n".join([*lines, "", ""])
    return head.encode("latin-1") + response.body
