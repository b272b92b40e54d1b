"""Steps of callers' connections, on loopback, with handlers of our own."""

from __future__ import annotations

import contextlib
import socket

import anyio
import eliot
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport.front import Front
from cactusdyke.transport.front_interface import FrontHandler, Limits
from standins.fleet import free_port

LARGE_BYTES = 32 << 20
MOST_BODY_BYTES = 1_000
HEAD = b"Host: h\r\n\r\n"


class AtOnce(FrontHandler):
    """Answers each request with its target."""

    async def handle(self, request, reply):
        await reply.whole(200, [], request.target.encode())

    def refusal(self, failure):
        return failure.kind.status, [], failure.detail.encode()


class Slow(AtOnce):
    """Begins its answers at once and ends them 300 ms later."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        await anyio.sleep(0.3)
        await reply.part(request.target.encode())
        await reply.end()


class Endless(AtOnce):
    """Begins its answers and does not end them."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        await reply.part(request.target.encode())
        await anyio.sleep_forever()


class Failing(AtOnce):
    """Begins its answers and meets an error."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        raise ValueError("the answer met an error")


class Large(AtOnce):
    """Answers with more than a connection takes in at once."""

    async def handle(self, request, reply):
        await reply.whole(200, [], b"x" * LARGE_BYTES)


HANDLERS = {
    "come at once": AtOnce,
    "take 300 ms": Slow,
    "never end": Endless,
    "end in an error": Failing,
    "are large": Large,
}


@given("a front whose answers {do}")
def a_front(context, do):
    context.handler = HANDLERS[do]()


@contextlib.asynccontextmanager
async def listening_front(handler):
    """Starts a front on loopback; yields it and its address."""
    port = free_port()
    front = Front(
        host="127.0.0.1",
        port=port,
        handler=handler,
        clock=SystemClock(),
        limits=lambda: Limits(
            max_header_bytes=4_096,
            max_body_bytes=MOST_BODY_BYTES,
            header_timeout_ms=1_000.0,
            idle_timeout_ms=5_000.0,
        ),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front.serve)
        await anyio.sleep(0.05)
        yield front, ("127.0.0.1", port)
        tasks.cancel_scope.cancel()


def called(address, data=b""):
    """Connects, sends, and returns the caller's socket."""
    caller = socket.create_connection(address)
    caller.settimeout(2)
    if data:
        caller.sendall(data)
    return caller


def read_all(caller):
    """Returns what a caller gets, and whether its connection was reset."""
    got = b""
    try:
        while data := caller.recv(65_536):
            got += data
    except ConnectionResetError:
        return got, True
    return got, False


def play(context, story):
    """Plays a story with a front, and keeps what is logged."""

    async def run():
        async with listening_front(context.handler) as (front, address):
            await story(front, address)

    context.log = []
    eliot.add_destinations(context.log.append)
    try:
        anyio.run(run)
    finally:
        eliot.remove_destination(context.log.append)


async def finish(front, *, refuse_after_ms):
    await front.finish(refuse_at=SystemClock().now() + refuse_after_ms)


@when("a request comes on a kept connection just as a stop closes it")
def request_at_end(context):
    async def story(front, address):
        with called(address) as caller:
            await anyio.sleep(0.1)
            caller.sendall(b"GET /late HTTP/1.1\r\n" + HEAD)
            await finish(front, refuse_after_ms=2_000)
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("the request is answered and the connection ends")
def check_at_end(context):
    assert context.got.endswith(b"/late"), context.got
    assert not context.was_reset


@when("it ends while an answer is under way that did not ask to leave")
def ends_under_answer(context):
    async def story(front, address):
        with called(address, b"GET /one HTTP/1.1\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            front.close_connections()
            began = anyio.current_time()
            await finish(front, refuse_after_ms=4_000)
            context.took_s = anyio.current_time() - began
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("the answer is whole, and the front has ended within a second")
def check_ends(context):
    assert b"connection: close" not in context.got.lower(), context.got
    assert context.got.endswith(b"4\r\n/one\r\n0\r\n\r\n"), context.got
    assert context.took_s < 1.0, context.took_s


@when("a caller connects to a front that is ending and sends nothing")
def silent_at_end(context):
    async def story(front, address):
        front._state.ending = True
        with called(address) as caller:
            await anyio.sleep(0.5)
            caller.settimeout(0.5)
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("its connection ends within a second")
def check_silent(context):
    assert (context.got, context.was_reset) == (b"", False)


@when("half a request follows one whose answer comes after all is refused")
def half_behind(context):
    async def story(front, address):
        data = b"GET /one HTTP/1.1\r\n" + HEAD + b"GET /two HTTP/1.1\r\nHost"
        with called(address, data) as caller:
            await anyio.sleep(0.1)
            front.close_connections()
            await finish(front, refuse_after_ms=50)
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("the first one is answered and the second one is refused")
def check_half(context):
    first, _, second = context.got.partition(b"0\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200 "), context.got
    assert second.startswith(b"HTTP/1.1 503 "), context.got


@when("it ends every connection after an answer has begun")
def abort_under_answer(context):
    async def story(front, address):
        with called(address, b"GET /one HTTP/1.0\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            await front.abort()
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@when("a caller asks for one")
def ask_for_one(context):
    async def story(front, address):
        with called(address, b"GET /one HTTP/1.0\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("the caller's connection is reset")
def check_reset(context):
    assert context.got.startswith(b"HTTP/1.1 200 "), context.got
    assert context.was_reset, context.got


@when("a caller leaves in the middle of its answer")
def leave_in_answer(context):
    async def story(front, address):
        with called(address, b"GET /one HTTP/1.1\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            context.got = caller.recv(1_000)
        await anyio.sleep(0.2)
        context.in_flight = front.in_flight

    play(context, story)


@then("no error is logged")
def check_no_error(context):
    assert context.got.startswith(b"HTTP/1.1 200 "), context.got
    assert context.in_flight == 0
    assert "CD1004" not in str(context.log), context.log


@when("a HEAD comes with a body that is too large")
def head_too_large(context):
    async def story(front, address):
        length = MOST_BODY_BYTES + 1
        head = f"HEAD / HTTP/1.1\r\nContent-Length: {length}\r\n".encode()
        with called(address, head + HEAD) as caller:
            await anyio.sleep(0.1)
            caller.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.1)
            context.got, context.was_reset = read_all(caller)

    play(context, story)


@then("it is refused with a head alone")
def check_head(context):
    assert context.got.startswith(b"HTTP/1.1 413 "), context.got
    assert context.got.endswith(b"\r\n\r\n"), context.got
