"""Steps for callers' connections, on loopback with test handlers."""

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
MAX_BODY_BYTES = 1_000
HEAD = b"Host: h\r\n\r\n"


class Immediate(FrontHandler):
    """Answers each request with its target at once."""

    async def handle(self, request, reply):
        await reply.whole(200, [], request.target.encode())

    def refusal(self, failure):
        return failure.kind.status, [], failure.detail.encode()


class Slow(Immediate):
    """Begins each answer at once and completes it 300 ms later."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        await anyio.sleep(0.3)
        await reply.part(request.target.encode())
        await reply.end()


class Endless(Immediate):
    """Begins each answer and never completes it."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        await reply.part(request.target.encode())
        await anyio.sleep_forever()


class Failing(Immediate):
    """Begins each answer and then fails."""

    async def handle(self, request, reply):
        await reply.begin(200, [])
        raise ValueError("error while answering")


class Large(Immediate):
    """Sends answers that exceed the socket buffers."""

    async def handle(self, request, reply):
        await reply.whole(200, [], b"x" * LARGE_BYTES)


HANDLERS = {
    "are immediate": Immediate,
    "take 300 ms": Slow,
    "never end": Endless,
    "end in an error": Failing,
    "are large": Large,
}


@given("a front server whose answers {behaviour}")
def front_server(context, behaviour):
    context.handler = HANDLERS[behaviour]()


@contextlib.asynccontextmanager
async def listening_front(handler):
    """Starts a front server on loopback; yields it and its address."""
    port = free_port()
    front = Front(
        host="127.0.0.1",
        port=port,
        handler=handler,
        clock=SystemClock(),
        limits=lambda: Limits(
            max_header_bytes=4_096,
            max_body_bytes=MAX_BODY_BYTES,
            header_timeout_ms=1_000.0,
            idle_timeout_ms=5_000.0,
        ),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front.serve)
        await anyio.sleep(0.05)
        yield front, ("127.0.0.1", port)
        tasks.cancel_scope.cancel()


def connect(address, data=b""):
    """Connects, sends the data, and returns the caller's socket."""
    caller = socket.create_connection(address)
    caller.settimeout(2)
    if data:
        caller.sendall(data)
    return caller


def read_all(caller):
    """Returns what a caller receives, and whether the connection was reset."""
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def run_scenario(context, scenario):
    """Runs a scenario with a front server, and captures its log."""

    async def run():
        async with listening_front(context.handler) as (front, address):
            await scenario(front, address)

    context.log = []
    eliot.add_destinations(context.log.append)
    try:
        anyio.run(run)
    finally:
        eliot.remove_destination(context.log.append)


async def finish(front, *, refuse_after_ms):
    await front.finish(refuse_at=SystemClock().now() + refuse_after_ms)


@when("a request arrives on an idle connection just as a stop closes it")
def request_at_end(context):
    async def scenario(front, address):
        with connect(address) as caller:
            await anyio.sleep(0.1)
            caller.sendall(b"GET /late HTTP/1.1\r\n" + HEAD)
            await finish(front, refuse_after_ms=2_000)
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("the request is answered and the connection ends")
def check_at_end(context):
    assert context.received.endswith(b"/late"), context.received
    assert not context.was_reset


@when('it stops while an answer without "Connection: close" is in progress')
def stop_during_answer(context):
    async def scenario(front, address):
        with connect(address, b"GET /one HTTP/1.1\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            front.close_connections()
            began = anyio.current_time()
            await finish(front, refuse_after_ms=4_000)
            context.took_s = anyio.current_time() - began
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("the answer is complete, and the server has stopped within a second")
def check_stopped(context):
    assert b"connection: close" not in context.received.lower(), (
        context.received
    )
    assert context.received.endswith(b"4\r\n/one\r\n0\r\n\r\n"), (
        context.received
    )
    assert context.took_s < 1.0, context.took_s


@when("a caller connects to a server that is stopping and sends nothing")
def silent_at_end(context):
    async def scenario(front, address):
        front._state.ending = True
        with connect(address) as caller:
            await anyio.sleep(0.5)
            caller.settimeout(0.5)
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("its connection ends within a second")
def check_silent(context):
    assert (context.received, context.was_reset) == (b"", False)


@when("a partial request follows one answered after refusals have begun")
def partial_request(context):
    async def scenario(front, address):
        data = b"GET /one HTTP/1.1\r\n" + HEAD + b"GET /two HTTP/1.1\r\nHost"
        with connect(address, data) as caller:
            await anyio.sleep(0.1)
            front.close_connections()
            await finish(front, refuse_after_ms=50)
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("the first one is answered and the second one is refused")
def check_partial(context):
    first, _, second = context.received.partition(b"0\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200 "), context.received
    assert second.startswith(b"HTTP/1.1 503 "), context.received


@when("it aborts every connection after an answer has begun")
def abort_during_answer(context):
    async def scenario(front, address):
        with connect(address, b"GET /one HTTP/1.0\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            await front.abort()
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@when("one caller sends a request")
def send_request(context):
    async def scenario(front, address):
        with connect(address, b"GET /one HTTP/1.0\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("the caller's connection is reset")
def check_reset(context):
    assert context.received.startswith(b"HTTP/1.1 200 "), context.received
    assert context.was_reset, context.received


@when("a caller disconnects in the middle of its answer")
def disconnect_in_answer(context):
    async def scenario(front, address):
        with connect(address, b"GET /one HTTP/1.1\r\n" + HEAD) as caller:
            await anyio.sleep(0.1)
            context.received = caller.recv(1_000)
        await anyio.sleep(0.2)
        context.in_flight = front.in_flight

    run_scenario(context, scenario)


@then("no error is logged")
def check_no_error(context):
    assert context.received.startswith(b"HTTP/1.1 200 "), context.received
    assert context.in_flight == 0
    assert "CD1004" not in str(context.log), context.log


@when("a HEAD request arrives with a body that is too large")
def head_too_large(context):
    async def scenario(front, address):
        length = MAX_BODY_BYTES + 1
        head = f"HEAD / HTTP/1.1\r\nContent-Length: {length}\r\n".encode()
        with connect(address, head + HEAD) as caller:
            await anyio.sleep(0.1)
            caller.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.1)
            context.received, context.was_reset = read_all(caller)

    run_scenario(context, scenario)


@then("it is refused with a head and no body")
def check_head(context):
    assert context.received.startswith(b"HTTP/1.1 413 "), context.received
    assert context.received.endswith(b"\r\n\r\n"), context.received


@when("memory runs out as 20 kB of a request came behind one being answered")
def evicted_behind(context):
    context.handler.paths = []
    answer = context.handler.handle

    async def handle(request, reply):
        context.handler.paths.append((request.target, len(request.body)))
        await answer(request, reply)

    context.handler.handle = handle
    behind = b"POST /b HTTP/1.1\r\nContent-Length: 20000\r\n" + HEAD

    async def scenario(front, address):
        with connect(address, b"GET /a HTTP/1.1\r\n" + HEAD) as caller:
            await anyio.sleep(0.05)
            caller.sendall(behind + b"x" * 15_000)
            await anyio.sleep(0.05)
            front._budget.uploads.evict(while_needed=lambda: True)
            caller.sendall(b"x" * 5_000)
            context.received, _ = await anyio.to_thread.run_sync(
                read_all, caller
            )

    run_scenario(context, scenario)


@then("the first one is answered, and the connection ends")
def check_evicted_behind(context):
    assert context.handler.paths == [("/a", 0)], context.handler.paths
    assert context.received.count(b"HTTP/1.1 ") == 1, context.received
    assert context.received.endswith(b"0\r\n\r\n"), context.received
