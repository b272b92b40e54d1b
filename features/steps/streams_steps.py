"""Steps of TCP streams and connections that are kept."""

from __future__ import annotations

import contextlib
import socket

import anyio
import anyio.lowlevel
from behave import given, then, when

from cactusdyke.transport import sockets, tcp_stream
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from cactusdyke.transport.tcp_stream import TcpListener

LARGE = b"x" * (8 << 20)


@given("a connection between two streams")
def two_streams(context):
    async def pair(story):
        listener = TcpListener(host="127.0.0.1", port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            near = await tcp_stream.connect_tcp("127.0.0.1", port)
            far = await listener.accept()
            async with near, far:
                await story(near, far)

    context.play = lambda story: anyio.run(pair, story)


@when("one side sends 8 MB that the other one does not receive")
def send_large(context):
    async def story(near, far):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(near.send, LARGE)
            await anyio.sleep(0.2)
            context.held = far._protocol.unread
            received = bytearray()
            while len(received) < len(LARGE):
                received += await far.receive()
            context.received = bytes(received)

    context.play(story)


@then("under 256 KB of it are held, and all of it comes once it is received")
def check_held(context):
    assert 0 < context.held < 256 * 1024, context.held
    assert context.received == LARGE


@when("one side waits to receive as the connection {ends}")
def waits(context, ends):
    async def story(near, far):
        async def end():
            await anyio.sleep(0.05)
            match ends:
                case "is ended in order":
                    await far.send_eof()
                case "is reset":
                    sockets.reset_on_close(far)
                    await far.aclose()
                case _:
                    await near.aclose()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end)
            with anyio.fail_after(2):
                try:
                    await near.receive()
                except (
                    anyio.EndOfStream,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                ) as error:
                    context.error = type(error).__name__

    context.play(story)


@then("the wait ends with {error}")
def check_wait(context, error):
    assert context.error == error, context.error


@when("a wait is cancelled just as bytes come")
def cancelled(context):
    async def story(near, far):
        with anyio.move_on_after(0.05) as scope:
            await near.receive()
        assert scope.cancelled_caught
        await far.send(b"first")
        with anyio.CancelScope() as scope:
            await anyio.sleep(0.05)
            scope.cancel()
            await anyio.lowlevel.checkpoint()
        await far.send(b"second")
        await anyio.sleep(0.05)
        context.received = await near.receive() + await near.receive()

    context.play(story)


@then("the next one receives them")
def check_received(context):
    assert context.received == b"firstsecond", context.received


@given("a server that sends a second answer behind the first")
def doubled_answers(context):
    context.connections = 0

    async def serve(stream):
        context.connections += 1
        async with stream:
            while data := await stream.receive():
                path = data.split()[1]
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
                    len(path),
                    path,
                )
                await stream.send(answer)
                await anyio.sleep(0.02)
                await stream.send(answer.replace(b"200", b"201"))

    async def guarded(stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await serve(stream)

    context.serve = guarded


@when("two requests follow one another")
def two_requests(context):
    async def story():
        listener = TcpListener(host="127.0.0.1", port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with (
            listener,
            anyio.create_task_group() as tasks,
            HttpNetwork() as network,
        ):
            tasks.start_soon(listener.serve, context.serve, tasks)
            context.answers = []
            for path in ("/a", "/b"):
                answer = await network.fetch(
                    f"127.0.0.1:{port}",
                    Request(method="GET", path=path),
                    CallOptions(),
                )
                context.answers.append(
                    (answer.unwrap().status, answer.unwrap().body)
                )
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(story)


@then("the second one gets its own answer, on another connection")
def check_answers(context):
    assert context.answers == [(200, b"/a"), (200, b"/b")], context.answers
    assert context.connections == 2


@when("a listener is closed while it waits for a caller")
def close_listener(context):
    async def story():
        listener = TcpListener(host="127.0.0.1", port=0)
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        assert isinstance(raw, socket.socket)
        context.ended = False

        async def accept():
            try:
                await listener.accept()
            except anyio.ClosedResourceError:
                context.ended = True

        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(accept)
                await anyio.sleep(0.05)
                await listener.aclose()

    anyio.run(story)


@then("its wait ends at once")
def check_ended(context):
    assert context.ended
