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

import anyio
import httptools

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    failure_response,
)
from cactusdyke.transport.safe_handler import respond
from cactusdyke.transport.tcp_stream import listen
from cactusdyke.transport.tunnel import TunnelGate, serve_tunnel
from cactusdyke.transport.tunnel_framing import HEADER_NAME, HEADER_VALUE

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
        tunnels: TunnelGate | None = None,
    ) -> None:
        self._socket = listen(host, port)
        self._tunnels = tunnels
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._connections: set[_Connection] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._socket.getsockname()[1])

    async def serve(self) -> None:
        """Serves until it is cancelled; ends all connections then."""
        loop = asyncio.get_running_loop()
        # A task group takes a few times the processor time of such a request.
        answers: set[asyncio.Task[None]] = set()
        server = await loop.create_server(
            lambda: _Connection(
                handler=self._handler,
                answers=answers,
                max_body_bytes=self._max_body_bytes,
                connections=self._connections,
                tunnels=self._tunnels,
            ),
            sock=self._socket,
        )
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            for connection in tuple(self._connections):
                connection.abort()
            for answer in answers:
                answer.cancel()
            with anyio.CancelScope(shield=True):
                await asyncio.gather(*answers, return_exceptions=True)


class _Connection(asyncio.Protocol):
    """One connection: its requests in order, and an answer to each."""

    def __init__(
        self,
        *,
        handler: Handler,
        answers: set[asyncio.Task[None]],
        max_body_bytes: int,
        connections: set[_Connection],
        tunnels: TunnelGate | None,
    ) -> None:
        self._tunnels = tunnels
        self._tunnel_address = ""
        self._handler = handler
        self._answers = answers
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
        self._refused = False

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)
        self._set_timer(READ_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all timers; an answer that is being made goes nowhere."""
        del exc
        self._connections.discard(self)
        self._set_timer(None)
        self._set_stall_timer(None)

    def data_received(self, data: bytes) -> None:
        """Parses what has come."""
        if self._refused:
            return
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
        self._body = bytearray()
        if not self._answering:
            self._set_timer(READ_TIMEOUT_S)

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target; called by the parser."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; called by the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count_head(len(name) + len(value))

    def on_body(self, data: bytes) -> None:
        """Takes a part of a body; called by the parser."""
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._body.clear()
            self._refuse(
                FailureKind.TOO_LARGE,
                f"The body is over {self._max_body_bytes} bytes",
            )

    def on_message_complete(self) -> None:
        """Takes the end of a request; called by the parser."""
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
        keep_alive = bool(self._parser.should_keep_alive())
        if len(self._waiting) >= MAX_PIPELINED:
            self._refuse(FailureKind.BAD_REQUEST, "Too many requests at once")
            return
        self._waiting.append((request, keep_alive))
        self._start_next()

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
        answer = asyncio.get_running_loop().create_task(
            self._answer(*self._waiting.popleft())
        )
        self._answers.add(answer)
        answer.add_done_callback(self._answers.discard)

    def _start_tunnel(self) -> None:
        assert self._transport is not None
        self._answering = True
        self._set_timer(None)
        self._transport.pause_reading()
        tunnel = asyncio.get_running_loop().create_task(
            self._serve_tunnel(self._transport)
        )
        self._answers.add(tunnel)
        tunnel.add_done_callback(self._answers.discard)

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
        if refusal is not None:
            self._write(refusal, keep_alive=False)

    async def _answer(self, request: Request, keep_alive: bool) -> None:
        response = await respond(self._handler, request)
        self._write(response, keep_alive=keep_alive)
        self._answering = False
        if keep_alive:
            self._set_timer(IDLE_TIMEOUT_S)
            self._start_next()

    def _refuse(self, kind: FailureKind, detail: str) -> None:
        if not self._refused:
            self._refused = True
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
