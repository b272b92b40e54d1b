"""Steps for connections that another daemon makes, over sockets."""

from __future__ import annotations

import asyncio
import contextlib

import anyio
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport import sockets
from cactusdyke.transport.direct_server import DirectServer
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.memory_budget import Kind, MemoryBudget
from cactusdyke.transport.messages import Response
from cactusdyke.transport.tunnel import (
    SocketTunnels,
    TunnelGate,
    TunnelNotWantedError,
    TunnelUnavailableError,
)

LARGE = b"x" * (4 << 20)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
BROKEN_AFTER = 100
ENDS_WITHIN_S = 0.1


class _Gate(TunnelGate):
    """Admits tunnels to one address."""

    def __init__(self):
        self.known = ""
        self.open = 0
        self.reaching = True
        self.unwanted = False

    async def reaches_others(self, address):
        del address
        return self.reaching

    @contextlib.contextmanager
    def admit(self, address):
        if self.unwanted:
            raise TunnelNotWantedError(address)
        if address != self.known:
            raise TunnelUnavailableError(address)
        self.open += 1
        try:
            yield
        finally:
            self.open -= 1

    def record_connected(self, address):
        assert address == self.known


class _Server:
    """A server that answers each request in one way."""

    def __init__(self, way):
        self._way = way
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        match self._way:
            case "answers at once":
                writer.write(HEAD % 2 + b"ok")
            case "answers 40 MB":
                writer.write(HEAD % (10 * len(LARGE)) + 10 * LARGE)
                await writer.drain()
            case "answers 4 MB":
                writer.write(HEAD % len(LARGE) + LARGE)
                await writer.drain()
            case "ends its answer with its connection":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
                await writer.drain()
                writer.close()
            case "resets its connection midway":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nxx")
                await writer.drain()
                raw = writer.get_extra_info("socket")
                sockets.reset_socket_on_close(raw)
                writer.transport.abort()
            case "waits":
                await reader.read()
                self.ended.set()


async def _handle(request):
    del request
    return Response()


@contextlib.asynccontextmanager
async def _served(context):
    gate = context.gate
    story = context.server = _Server(context.way)
    listener = await asyncio.start_server(story.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    gate.known = f"127.0.0.1:{port}"
    if context.way in {"refuses connections", "fails as all others do"}:
        listener.close()
        await listener.wait_closed()
    if context.way == "is not known":
        gate.known = "elsewhere:1"
    server = DirectServer(
        host="127.0.0.1",
        port=0,
        handler=_handle,
        max_body_bytes=100,
        tunnels=gate if context.makes_tunnels else None,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        context.relay = server
        yield f"127.0.0.1:{server.port}", f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    listener.close()


@given("a daemon that makes connections, and a server that {way}")
def makes_connections(context, way):
    context.way = way
    context.makes_tunnels = True
    context.gate = _Gate()
    context.gate.reaching = way != "fails as all others do"
    context.gate.unwanted = way == "wants nothing from it"


@given("a daemon that makes no connections")
def makes_none(context):
    context.way = "answers at once"
    context.makes_tunnels = False
    context.gate = _Gate()


async def _request(exchange):
    await exchange.send("GET", "/", [(b"host", b"h")], b"")
    await exchange.head()
    return await exchange.whole_body(most=2 * len(LARGE))


@when("a request is sent through it")
@when("a tunnel is asked for")
def sent(context):
    async def story():
        tunnels = SocketTunnels(clock=SystemClock())
        async with _served(context) as (relay, address):
            try:
                async with tunnels.connect(relay, address) as exchange:
                    context.got = await _request(exchange)
            except (ExchangeError, TunnelUnavailableError) as error:
                context.got = error

    anyio.run(story)


@when("a request is sent through it and given up")
def given_up(context):
    async def story():
        tunnels = SocketTunnels(clock=SystemClock())
        async with _served(context) as (relay, address):
            async with tunnels.connect(relay, address) as exchange:
                await exchange.send("GET", "/", [(b"host", b"h")], b"")
                await anyio.sleep(ENDS_WITHIN_S)
                assert context.gate.open == 1
                assert not context.server.ended.is_set()
            with anyio.move_on_after(ENDS_WITHIN_S):
                await context.server.ended.wait()
            context.ended = context.server.ended.is_set()
            await anyio.sleep(ENDS_WITHIN_S)
            context.left = context.gate.open + len(context.relay._connections)

    anyio.run(story)


@when("a request is sent through it and its answer is not read")
def not_read(context):
    budget = MemoryBudget(clock=SystemClock(), memory_mb=lambda: None)
    context.gate.budget = budget

    async def story():
        tunnels = SocketTunnels(clock=SystemClock())
        async with _served(context) as (relay, address):
            async with tunnels.connect(relay, address) as exchange:
                await exchange.send("GET", "/", [(b"host", b"h")], b"")
                await anyio.sleep(10 * ENDS_WITHIN_S)
                context.held = budget.held_of(Kind.TUNNELS)
            await anyio.sleep(ENDS_WITHIN_S)
            context.held_after = budget.held_bytes

    anyio.run(story)


@then("bytes are held for the tunnel until it ends")
def held_for_tunnel(context):
    assert 0 < context.held < 512 * 1_024, context.held
    assert context.held_after == 0


@then("the asker gets {what}")
def gets(context, what):
    got = context.got
    match what:
        case "the whole answer":
            large = context.way != "answers at once"
            assert got == (LARGE if large else b"ok"), got[:BROKEN_AFTER]
        case "a broken answer":
            assert isinstance(got, ExchangeError), got
            assert got.sent
        case "that it is refused":
            assert isinstance(got, ExchangeError), got
            assert got.refused
            assert not got.sent
        case "no verdict":
            assert isinstance(got, TunnelUnavailableError), got
            assert not isinstance(got, TunnelNotWantedError), got
        case "that it is not wanted":
            assert isinstance(got, TunnelNotWantedError), got


@then("the server sees its connection end within 100 ms")
def server_sees(context):
    assert context.ended


@then("no tunnel is left")
def none_left(context):
    assert context.left == 0, context.left


@then("the asker learns that there is none")
def learns(context):
    assert isinstance(context.got, TunnelUnavailableError), context.got
