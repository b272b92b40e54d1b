"""Steps for TCP streams and keep-alive connections."""

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
    async def run_pair(scenario):
        listener = TcpListener(host="127.0.0.1", port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            local = await tcp_stream.connect_tcp(f"127.0.0.1:{port}")
            remote = await listener.accept()
            async with local, remote:
                await scenario(local, remote)

    context.run_scenario = lambda scenario: anyio.run(run_pair, scenario)


@when("one side sends 8 MB that the other side does not read")
def send_large(context):
    async def scenario(local, remote):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(local.send, LARGE)
            await anyio.sleep(0.2)
            context.buffered_bytes = remote._protocol.unread
            received = bytearray()
            while len(received) < len(LARGE):
                received += await remote.receive()
            context.received = bytes(received)

    context.run_scenario(scenario)


@then("under 256 KB are buffered, and all of it arrives once it is read")
def check_buffered(context):
    assert 0 < context.buffered_bytes < 256 * 1024, context.buffered_bytes
    assert context.received == LARGE


@when("one side waits to receive while the connection {ends}")
def waits(context, ends):
    async def scenario(local, remote):
        async def end():
            await anyio.sleep(0.05)
            match ends:
                case "is shut down":
                    await remote.send_eof()
                case "is reset":
                    sockets.reset_on_close(remote)
                    await remote.aclose()
                case _:
                    await local.aclose()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end)
            with anyio.fail_after(2):
                try:
                    await local.receive()
                except (
                    anyio.EndOfStream,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                ) as error:
                    context.error = type(error).__name__

    context.run_scenario(scenario)


@then("the wait ends with {error}")
def check_wait(context, error):
    assert context.error == error, context.error


@when("a wait is cancelled just as bytes arrive")
def cancelled(context):
    async def scenario(local, remote):
        with anyio.move_on_after(0.05) as scope:
            await local.receive()
        assert scope.cancelled_caught
        await remote.send(b"first")
        with anyio.CancelScope() as scope:
            await anyio.sleep(0.05)
            scope.cancel()
            await anyio.lowlevel.checkpoint()
        await remote.send(b"second")
        await anyio.sleep(0.05)
        context.received = await local.receive() + await local.receive()

    context.run_scenario(scenario)


@then("the next one receives them")
def check_received(context):
    assert context.received == b"firstsecond", context.received


@given("a server that sends a second answer after the first")
def double_answers(context):
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

    async def serve_until_closed(stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await serve(stream)

    context.serve = serve_until_closed


@when("two requests follow one another")
def two_requests(context):
    async def scenario():
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

    anyio.run(scenario)


@then("the second one gets its own answer, on another connection")
def check_answers(context):
    assert context.answers == [(200, b"/a"), (200, b"/b")], context.answers
    assert context.connections == 2


@when("a listener is closed while it waits for a connection")
def close_listener(context):
    async def scenario():
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

    anyio.run(scenario)


@then("its wait ends at once")
def check_ended(context):
    assert context.ended
