"""Steps for answers that never end."""

from __future__ import annotations

import contextlib
import math
import time

import anyio
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cactusdyke.clock import SystemClock
from cactusdyke.configuration.model import BackendServer
from cactusdyke.errors import CactusdykeError, Ran
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.messages import StageCall
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stream_state import StreamState
from cactusdyke.transport.exchange import SocketConnections
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions, ProgressLimit
from cactusdyke.util.delimited import DelimitedReader
from features.steps.platform_forwarding_steps import (
    plain_world,
    stage_world,
    staged,
)
from features.steps.serving_steps import replica, route
from features.support.platform_rig import PlatformWorld
from features.support.serving_values import serving_context
from features.support.watched_attempts import end_check, watched

PIECE_BYTES = 16_384
MOST_SENT_BYTES = 64 * 1024 * 1024
"""So that a reader without bounds ends some time."""
MOST_READ_BYTES = 24 * 1024 * 1024
"""The longest answer that may be checked, and what two sockets buffer."""
MOST_TIME_S = 2.0
TIMEOUT_S = 60.0
STAGED_REQUESTS = 10

OK = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: request\r\nX-Response-Stamp: s\r\n"
    b"Content-Type: %s\r\n"
)
STREAM = OK % b"text/event-stream"
PLAIN = OK % b"text/plain"
CHUNKED = STREAM + b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b": ping \n\n"
"""A comment: unlike other events it needs no number."""
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)

ANSWERS = {
    "zeros": (b"", b"\0"),
    "blank lines": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Some: value\r\n"),
    "a stream without a blank line": (STREAM + b"\r\n", b"data: 1\n"),
    "a stream in one line": (STREAM + b"\r\n", b"a"),
    "a stream of blank lines": (STREAM + b"\r\n", b"\n"),
    "a body without a length": (PLAIN + b"\r\n", b"a"),
    "one trailer": (CHUNKED + CHUNK + b"0\r\nX-Long: ", b"a"),
    "trailers": (CHUNKED + CHUNK + b"0\r\n", b"X-Some: value\r\n"),
    "a chunk extension": (CHUNKED + b"9;", b"a"),
    "chunks that are mostly extensions": (
        CHUNKED,
        b"9;%s\r\n%s\r\n" % (b"a" * 8_000, EVENT),
    ),
    "a chunk's size": (CHUNKED, b"0"),
}


class EndlessServer:
    """Sends a head and then the same bytes until its caller closes."""

    def __init__(self, head: bytes, more: bytes) -> None:
        self._head = head
        self._more = more * max(1, PIECE_BYTES // len(more))
        self.sent_bytes = 0
        self.address = ""

    @contextlib.asynccontextmanager
    async def serving(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            try:
                yield
            finally:
                tasks.cancel_scope.cancel()
        await listener.aclose()

    async def _serve(self, stream):
        async with stream:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await stream.receive()
                await stream.send(self._head)
                while self.sent_bytes < MOST_SENT_BYTES:
                    await stream.send(self._more)
                    self.sent_bytes += len(self._more)


def _run(server, work):
    """Runs work beside a server; returns its result."""

    async def run():
        async with server.serving():
            with anyio.fail_after(TIMEOUT_S):
                return await work()

    return anyio.run(run)


@given("an endless answer of {what}")
def endless(context, what):
    context.server = EndlessServer(*ANSWERS[what])


@when("a stream is attempted at it")
def attempt(context):
    began = time.process_time()
    context.result, context.to_blame = attempt_stream(
        context.server, serving_context(route())
    )
    context.took_s = time.process_time() - began


def attempt_stream(server, request):
    """Returns the result of an attempt, and whether to blame its replica."""
    clock = SystemClock()

    async def work():
        attempts = AttemptRunner(
            clock=clock,
            dialect=PlatformDialect(),
            connections=SocketConnections(clock=clock),
            stated_limits=StatedLimits(clock=clock),
            statements=ReplicaStatements(clock=clock),
            end_check=end_check(clock, SocketConnections(clock=clock)),
            loads=ReplicaLoads(clock=clock),
        )
        place = replica("r1", address=server.address)
        limit_ms = TIMEOUT_S * 1_000.0
        async with watched(clock, limit_ms) as watch:
            result = await attempts.stream(
                request,
                place,
                IgnoredReply(),
                StreamState(),
                handles=(),
                watch=watch,
                gap_limit_ms=limit_ms,
                on_first_event=lambda: None,
            )
        return result, attempts.is_replica_to_blame(place, result)

    return _run(server, work)


class IgnoredReply:
    """A caller that reads everything."""

    full = False

    async def begin(self, status, headers):
        pass

    async def part(self, data):
        pass

    async def end(self):
        pass


@then("the attempt fails as {detail}, and its replica is to blame")
def check_failed(context, detail):
    assert context.result.ran is Ran.UNKNOWN, context.result
    assert detail in context.result.detail, context.result.detail
    assert context.to_blame


@then("little of it was read, in little time")
def check_little(context):
    assert context.server.sent_bytes < MOST_READ_BYTES, (
        context.server.sent_bytes
    )
    assert context.took_s < MOST_TIME_S, context.took_s


@when(
    "{count:d} requests are made to a daemon with this replica and a sound one"
)
def ask_daemon(context, count):
    async def work():
        async with PlatformWorld() as world:
            await world.add_replica("endless")
            world.list_replica("endless", address=context.server.address)
            await plain_world(world, replicas=("sound",))
            for number in range(count):
                began = time.monotonic()
                status, _, body = await world.request(
                    "/look/a", request_id=f"r-{number}"
                )
                took_s = time.monotonic() - began
                context.answers.append((status, body, took_s))

    context.answers = []
    _run(context.server, work)
    context.count = count


@then("all of them get the sound one's answer within a second each")
def check_answers(context):
    assert len(context.answers) == context.count
    for number, (status, body, took_s) in enumerate(context.answers):
        expected = (200, f"answer to r-{number}".encode())
        assert (status, body) == expected, (number, status, body[:80])
        assert took_s < 1.0, took_s
    assert context.server.sent_bytes > 0, "the replica was never asked"


@when("requests with a stage are made to a daemon with this replica for it")
def ask_staged(context):
    async def work():
        async with PlatformWorld() as world:
            await stage_world(world)
            for name in [n for n in world.replicas if n.startswith("s")]:
                world.list_replica(
                    name, "stage", address=context.server.address
                )
            async with anyio.create_task_group() as tasks:
                for number in range(STAGED_REQUESTS):
                    tasks.start_soon(ask, world, f"r-{number}")

    async def ask(world, request_id):
        status, _, _ = await staged(world, request_id)
        context.answers.append(status)

    context.answers = []
    _run(context.server, work)


@then("each is answered, and little was read")
def check_staged(context):
    assert context.answers == [503] * STAGED_REQUESTS, context.answers
    assert 0 < context.server.sent_bytes < MOST_SENT_BYTES, (
        context.server.sent_bytes
    )


@when("it is called as another daemon")
def call_daemon(context):
    async def work():
        async with HttpNetwork() as network:
            return await network.fetch(
                context.server.address,
                Request(method="GET", path="/"),
                CallOptions(),
            )

    context.detail = _run(context.server, work).err_value.detail


@when("a stage is called there")
def call_stage(context):
    async def work():
        async with HttpNetwork() as network:
            stream = BackendClient(network=network).stream(
                BackendServer(
                    name="b1", address=context.server.address, data_centre="d"
                ),
                StageCall(
                    request_id="request",
                    stage="s",
                    attempt=1,
                    model="m",
                    input="",
                    remaining_ms=TIMEOUT_S * 1_000.0,
                    stream=True,
                ),
                limit=ProgressLimit(until=math.inf),
            )
            try:
                async for _ in stream:
                    pass
            except CactusdykeError as error:
                return error.failure.detail

    context.detail = _run(context.server, work)


@then("the call fails as {detail}")
def check_call(context, detail):
    assert detail in context.detail, context.detail
    assert context.server.sent_bytes < MOST_SENT_BYTES


@when("drawn bytes are split in drawn pieces")
def split_drawn(context):
    context.checked = 0
    pieces = st.lists(st.binary(max_size=5).map(_few_values), max_size=30)

    @settings(max_examples=300, database=None, deadline=None)
    @drawn(pieces)
    def check(parts):
        reader = DelimitedReader(b"\n\n", max_bytes=1_000)
        found = [part for piece in parts for part in reader.feed(piece)]
        *whole, rest = b"".join(parts).split(b"\n\n")
        assert (found, reader.remainder) == (whole, rest)
        context.checked += 1

    check()


def _few_values(data: bytes) -> bytes:
    """Returns bytes of which every second one is a line end."""
    return bytes(b"\na"[value % 2] for value in data)


@then("the parts are those of the whole bytes")
def check_split(context):
    assert context.checked >= 300
