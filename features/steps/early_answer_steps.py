"""Steps for answers that are no whole answers, before a whole daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio
import attrs
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport import sockets
from cactusdyke.transport.exchange import (
    ExchangeError,
    SocketExchange,
    connect,
)
from cactusdyke.transport.tcp_stream import READ_BYTES, TcpStream, _Protocol
from cactusdyke.transport.tunnel import SocketTunnels
from features.steps.platform_forwarding_steps import play
from features.steps.tunnel_framing_steps import listening, relaying
from features.support.platform_rig import configuration, replica_entry, route

UPLOAD = b"u" * 1_000_000
UNREAD_BYTES = 16_384
"""Receive buffer of a server, so that uploads wait in their senders."""
STAMP = b"X-Response-Stamp: s.1\r\n"
PART = b"HTTP/1.1 200 OK\r\n" + STAMP + b"\r\npart of the answer"
SOUND = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 5\r\n\r\nsound"
HEAD = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 0\r\n\r\n"


def _status(text: bytes) -> bytes:
    return SOUND.replace(b"200", text)


@attrs.frozen
class Sent:
    """What a server sends after the head of a request, and how it ends."""

    data: bytes = PART
    end: str = "closes"
    by_byte: bool = False


ANSWERS = {
    "a part of its answer at once and resets": Sent(end="resets"),
    "a part of its answer at once and closes": Sent(),
    "the status 000": Sent(_status(b"000")),
    "the status 099": Sent(_status(b"099")),
    "the status 600": Sent(_status(b"600")),
    "the status 999": Sent(_status(b"999")),
    "the status 000 before a sound answer": Sent(_status(b"000") + SOUND),
    "the status 20": Sent(_status(b"20")),
    "the status 2000": Sent(_status(b"2000")),
    "half of its status line": Sent(HEAD[:10]),
    "its status line alone": Sent(HEAD[: HEAD.index(b"\n") + 1]),
    "half of a header": Sent(HEAD[:-10]),
    "its head without the empty line": Sent(HEAD[:-2]),
    "its head but for the last byte": Sent(HEAD[:-1]),
    "the same, a byte at a time": Sent(HEAD[:-1], by_byte=True),
    "half of its head and resets": Sent(HEAD[:30], end="resets"),
    "two heads, the second cut": Sent(
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD[:-2]
    ),
}


async def _end(writer, end):
    raw = writer.get_extra_info("socket")
    if end == "resets":
        await anyio.sleep(0.02)
        sockets.reset_socket_on_close(raw)
        writer.transport.abort()
        return
    writer.close()


@contextlib.asynccontextmanager
async def _server(sent):
    """Serves one kind of answer; gives the address while the block runs."""

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            size = 1 if sent.by_byte else len(sent.data)
            for start in range(0, len(sent.data), size):
                writer.write(sent.data[start : start + size])
                await writer.drain()
            await _end(writer, sent.end)

    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
    raw.bind(("127.0.0.1", 0))
    listener = await asyncio.start_server(serve, sock=raw, limit=UNREAD_BYTES)
    try:
        yield f"127.0.0.1:{raw.getsockname()[1]}"
    finally:
        listener.close()


@given("a server that answers uploads with {what}")
def given_server(context, what):
    context.sent = ANSWERS[what]


async def _ask(exchange):
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(UPLOAD))]
    await exchange.send("POST", "/", headers, UPLOAD)
    head = await exchange.head()
    return head.status, await exchange.whole_body(most=len(UPLOAD))


@when("1 MB is uploaded to it {way}")
def uploaded(context, way):
    async def story():
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(_server(context.sent))
            if way == "through another daemon":
                relay = await stack.enter_async_context(relaying())
                tunnels = SocketTunnels(clock=SystemClock())
                connection = tunnels.connect(relay, address)
            else:
                connection = connect(address, clock=SystemClock())
            try:
                with anyio.fail_after(3):
                    async with connection as exchange:
                        context.got = await _ask(exchange)
            except ExchangeError as error:
                context.got = error

    anyio.run(story)


@then("there is no answer")
def check_no_answer(context):
    assert isinstance(context.got, ExchangeError), context.got
    assert context.got.sent


@when("1 MB is uploaded to a daemon before it")
def uploaded_to_daemon(context):
    async def story(world):
        async with _server(context.sent) as address:
            limits = {
                **configuration([])["limits"],
                "max_body_bytes": len(UPLOAD),
            }
            world.store.put("servers", "r1", replica_entry(address))
            world.configure([route("book", "plain")], limits=limits)
            await world.start_daemon("d1")
            context.answer = await world.request("/book/a", body=UPLOAD)

    play(story)


@then("the caller gets a failure, and nothing of the answer")
def check_failure(context):
    status, headers, body = context.answer
    assert status in {502, 504}, context.answer
    assert "x-response-stamp" not in headers, headers
    assert b"part" not in body and b"sound" not in body, body


class _BreakingStream:
    """Takes one slice of a request; an answer and an end can be received."""

    def __init__(self, answer):
        self._received = [answer]
        self._sends = 0

    async def send(self, data):
        del data
        self._sends += 1
        if self._sends > 1:
            raise anyio.BrokenResourceError

    async def receive(self, max_bytes):
        del max_bytes
        if self._received:
            return self._received.pop()
        raise anyio.EndOfStream


async def _ask_breaking(answer):
    return await _ask(
        SocketExchange(stream=_BreakingStream(answer), address="")
    )


async def _ask_reset(answer):
    """Asks on a connection that has been ended and then reset."""

    async def serve(reader, writer):
        del reader
        writer.write(answer)
        writer.write_eof()
        await anyio.sleep(0.02)
        sockets.reset_socket_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()

    async with (
        listening(serve) as address,
        connect(address, clock=SystemClock()) as exchange,
    ):
        await anyio.sleep(0.1)
        return await _ask(exchange)


class _DroppingTransport:
    """Drops what it is given, as asyncio's do after the error of a write."""

    def __init__(self):
        self._closing = False

    def write(self, data):
        del data
        self._closing = True

    def is_closing(self):
        return self._closing


async def _ask_dropping(answer):
    """Asks on a connection whose error the protocol has not heard of yet."""
    protocol = _Protocol(read_bytes=READ_BYTES)
    protocol.data_received(answer)
    protocol.eof_received()
    stream = TcpStream(_DroppingTransport(), protocol)
    return await _ask(SocketExchange(stream=stream, address=""))


ASKED = {
    "breaks while the upload is sent": _ask_breaking,
    "was ended and reset before": _ask_reset,
    "breaks and ends in one turn": _ask_dropping,
}


@given("a connection that {breaks}, behind a part of an answer")
def given_connection(context, breaks):
    context.ask = ASKED[breaks]


@when("1 MB is sent by it")
def sent_by_it(context):
    async def ask(answer):
        try:
            return await context.ask(answer)
        except ExchangeError as error:
            return error

    context.framed = anyio.run(ask, SOUND)
    context.got = anyio.run(ask, PART)


@then("the answer with a length is whole, and the one without is broken")
def check_broken(context):
    assert context.framed == (200, b"sound"), context.framed
    assert isinstance(context.got, ExchangeError), context.got
