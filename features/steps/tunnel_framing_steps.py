"""Steps for how the end of a tunnel shows how it came about."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys

import anyio
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport import sockets, tunnel
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.tunnel import SocketTunnels
from cactusdyke.transport.tunnel_framing import END_MARK, frame_header
from standins.tunnel_relay import open_relay

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
BODY = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
PARTS = (HEAD[:7], HEAD[7:] + BODY[:11], BODY[11:])
MAX_BODY_BYTES = 1_000
READ_BYTES = 65_536
PROCESS_END_S = 0.3


@contextlib.asynccontextmanager
async def listening(serve):
    """Serves connections; gives the address while the block runs."""
    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    finally:
        listener.close()


@contextlib.asynccontextmanager
async def relaying():
    relay = open_relay()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay.serve)
        yield f"127.0.0.1:{relay.port}"
        tasks.cancel_scope.cancel()


async def ask(relay, address):
    """Returns the answer through a tunnel, or why it is broken."""
    tunnels = SocketTunnels(clock=SystemClock())
    try:
        async with tunnels.connect(relay, address) as exchange:
            await exchange.send("GET", "/", [(b"host", b"h")], b"")
            await exchange.head()
            return await exchange.whole_body(most=MAX_BODY_BYTES)
    except ExchangeError as error:
        return error


@given("a daemon between that passes on frames, and ends by {end} at any byte")
def ends_at_any_byte(context, end):
    context.resets = end == "a reset"


@when("an answer without a length is asked for through it")
def asked_at_any_byte(context):
    sent = b"".join(frame_header(len(p)) + p for p in PARTS) + END_MARK
    context.got = {}

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(tunnel.FRAMED_ESTABLISHED)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent[: context.cut])
        await writer.drain()
        if context.resets:
            # What was sent before has to arrive first.
            await anyio.sleep(0.002)
            raw = writer.get_extra_info("socket")
            sockets.reset_socket_on_close(raw)
        writer.close()

    async def story():
        async with listening(serve) as relay:
            for context.cut in range(len(sent) + 1):
                context.got[context.cut] = await ask(relay, "10.0.0.1:80")

    anyio.run(story)
    context.whole_at = len(sent)


@then("it is whole only with its end mark, and broken otherwise")
def check_any_byte(context):
    assert context.got.pop(context.whole_at) == BODY
    looks_whole = {
        cut: got
        for cut, got in context.got.items()
        if not isinstance(got, ExchangeError)
    }
    assert not looks_whole, looks_whole
    assert all(error.sent for error in context.got.values())


@given("{asker} and a daemon of {relay}")
def releases(context, asker, relay):
    context.old_asker = asker.endswith("the one before")
    context.old_relay = relay == "the one before"


@when("an answer {framing} is asked for through the tunnel")
def asked_between_releases(context, framing):
    length = b"Content-Length: %d\r\n" % len(BODY)
    head = HEAD[:-2] + (length if framing == "with a length" else b"") + b"\r\n"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + BODY)
        writer.close()

    between = _relaying_as_before if context.old_relay else relaying
    ask_through = _ask_as_before if context.old_asker else ask

    async def story():
        async with listening(serve) as address, between() as relay:
            context.got = await ask_through(relay, address)

    anyio.run(story)


def _relaying_as_before():
    """Serves tunnels as the release before frames did."""

    async def copy(reader, writer):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
        writer.close()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        host, _, port = head.split()[1].decode().rpartition(":")
        there, to_there = await asyncio.open_connection(host, int(port))
        writer.write(tunnel.ESTABLISHED)
        await asyncio.gather(copy(reader, to_there), copy(there, writer))

    return listening(serve)


async def _ask_as_before(relay, address):
    host, _, port = relay.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"CONNECT {address} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode()
    )
    assert await reader.readuntil(b"\r\n\r\n") == tunnel.ESTABLISHED
    writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    _, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return body


@then("{what} comes of it")
def check_releases(context, what):
    if what == "the whole answer":
        assert context.got == BODY, context.got
    else:
        assert isinstance(context.got, ExchangeError), context.got


@given("a relay as a process, and an answer without a length on its way")
def relay_process(context):
    context.process = subprocess.Popen(
        [sys.executable, "-m", "standins.tunnel_relay"],
        stdout=subprocess.PIPE,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.kill)


@when("the relay gets {signals}")
def process_ended(context, signals):
    process = context.process
    port = int(process.stdout.readline())

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + BODY[:15])
        await anyio.sleep(PROCESS_END_S)
        for name in signals.split(" and "):
            process.send_signal(signal.Signals[name])
            await anyio.sleep(PROCESS_END_S)
        writer.close()

    async def story():
        async with listening(serve) as address:
            context.got = await ask(f"127.0.0.1:{port}", address)

    anyio.run(story)


@then("the asker gets a broken answer")
def check_process(context):
    assert isinstance(context.got, ExchangeError), context.got
    assert context.got.sent
