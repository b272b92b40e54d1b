"""Steps for the server of internal requests."""

from __future__ import annotations

import contextlib

import anyio
from behave import given, then, when

from cactusdyke.transport import direct_server
from cactusdyke.transport.direct_server import DirectServer
from cactusdyke.transport.messages import Response

MAX_BODY_BYTES = 100
SHORT_READ_TIMEOUT_S = 0.2
BODY = b"POST /echo?a=b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
REQUESTS = {
    "in one piece": [BODY],
    "byte by byte": [BODY[n : n + 1] for n in range(len(BODY))],
    "in chunks": [
        BODY.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")[:-4],
        b"2\r\nbo\r\n",
        b"2\r\ndy\r\n0\r\n\r\n",
    ],
    "with a wish to close": [
        BODY.replace(b"Host", b"Connection: close\r\nHost")
    ],
    "with a body that is too large": [
        BODY.replace(b"Length: 4", b"Length: 200"),
        b"a" * 196,
    ],
    "with a head that is too large": [
        BODY.replace(b"Host: h", b"Host: h\r\nX-A: " + b"a" * 70_000)
    ],
    "that is none": [b"\x00\x01\r\n\r\n"],
    "that meets an error": [BODY.replace(b"/echo", b"/error")],
}


async def _echo(request):
    if request.path == "/error":
        raise ZeroDivisionError
    wait_ms = float(request.query.get("wait_ms", "0"))
    await anyio.sleep(wait_ms / 1_000)
    text = f"{request.method} {request.path} {dict(request.query)} "
    return Response(body=text.encode() + request.body)


@contextlib.asynccontextmanager
async def _served():
    server = DirectServer(
        host="127.0.0.1", port=0, handler=_echo, max_body_bytes=MAX_BODY_BYTES
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        yield server, tasks.cancel_scope
        tasks.cancel_scope.cancel()


async def _read_answer(stream):
    """Returns the status and the body of one answer."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += await stream.receive()
    return int(head.split()[1]), body[:length], body[length:]


async def _is_open(stream):
    with anyio.move_on_after(0.1):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False
    return True


@given("a direct server that echoes requests")
def direct(context):
    context.read_timeout_s = direct_server.READ_TIMEOUT_S


@when("an internal request comes {how}")
def request_comes(context, how):
    async def run():
        async with _served() as (server, _):
            stream = await anyio.connect_tcp("127.0.0.1", server.port)
            async with stream:
                for piece in REQUESTS[how]:
                    await stream.send(piece)
                context.status, context.body, _ = await _read_answer(stream)
                context.open = await _is_open(stream)

    anyio.run(run)


@then("it is answered {status:d}, and the connection is {kept}")
def check_answered(context, status, kept):
    assert context.status == status, (context.status, context.body)
    assert context.open == (kept == "kept")
    if status == 200:
        assert context.body == b"POST /echo {'a': 'b'} body", context.body


@when("five requests come at once, the first of which takes longest")
def five_at_once(context):
    async def run():
        async with _served() as (server, _):
            stream = await anyio.connect_tcp("127.0.0.1", server.port)
            async with stream:
                data = b"".join(
                    b"GET /%d?wait_ms=%d HTTP/1.1\r\nHost: h\r\n\r\n"
                    % (n, 50 - 10 * n)
                    for n in range(5)
                )
                await stream.send(data)
                answers = b""
                while answers.count(b"HTTP/1.1 200") < 5:
                    answers += await stream.receive()
        context.answers = answers

    anyio.run(run)


@then("each gets its own answer, in order")
def check_in_order(context):
    found = [context.answers.index(b"GET /%d " % n) for n in range(5)]
    assert found == sorted(found), context.answers


@when("half a head comes and no more")
def half_head(context):
    async def run():
        async with _served() as (server, _):
            stream = await anyio.connect_tcp("127.0.0.1", server.port)
            async with stream:
                await stream.send(BODY[:20])
                began = anyio.current_time()
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await stream.receive()
                context.took_s = anyio.current_time() - began

    direct_server.READ_TIMEOUT_S = SHORT_READ_TIMEOUT_S
    try:
        anyio.run(run)
    finally:
        direct_server.READ_TIMEOUT_S = context.read_timeout_s


@then("its connection is ended when its time is over")
def check_ended(context):
    assert SHORT_READ_TIMEOUT_S * 0.9 <= context.took_s < 2, context.took_s


@when("it ends while a request is being answered")
def ends_meanwhile(context):
    async def run():
        async with _served() as (server, scope):
            stream = await anyio.connect_tcp("127.0.0.1", server.port)
            await stream.send(BODY.replace(b"a=b", b"wait_ms=5000"))
            await anyio.sleep(0.05)
            context.port = server.port
            scope.cancel()
        context.open = await _is_open(stream)
        try:
            await anyio.connect_tcp("127.0.0.1", context.port)
            context.listens = True
        except OSError:
            context.listens = False

    anyio.run(run)


@then("the connection ends at once, and nothing listens")
def check_ends(context):
    assert not context.open
    assert not context.listens
