"""Steps for answers that end with their connection."""

from __future__ import annotations

import contextlib
import signal

import anyio
import attrs
from behave import given, then, when

from cactusdyke.clock import EventLoopClock, SystemClock
from cactusdyke.platform.store import StoreClient
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import END_CHECK_LIMIT_MS, AttemptRunner
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.http_network import HttpNetwork
from features.steps.platform_forwarding_steps import play
from features.steps.serving_steps import replica
from features.steps.tunnel_framing_steps import listening
from features.support.platform_rig import HOST, KEY, route
from standins.virtual import run_virtual

CONNECT_S = 0.4
REPLICA = replica("r1", born=5)


class _Connections(BackendConnections):
    """Refuses connections, or leaves them without an answer for a time."""

    def __init__(self, *, unreached_s=0.0, refused=False, takes_s=0.0):
        self._unreached_s = unreached_s
        self._takes_s = takes_s
        self._refused = refused
        self._began = anyio.current_time()

    @contextlib.asynccontextmanager
    async def connect(self, address):
        if self._refused:
            raise ExchangeError(f"{address}: refused", sent=False, refused=True)
        if anyio.current_time() - self._began < self._unreached_s:
            await anyio.sleep(CONNECT_S)
            raise ExchangeError(f"{address}: no connection", sent=False)
        await anyio.sleep(self._takes_s)
        yield None


class _Exchange:
    sent = True
    ends_with_connection = True


LATER = attrs.evolve(REPLICA, born=6)
OTHER = attrs.evolve(REPLICA, name="r2", service="other")
LOOKS = {
    "listens": ({}, [REPLICA]),
    "listens, and is no longer listed": ({}, []),
    "is not reached at first": ({"unreached_s": 0.3}, [REPLICA]),
    "refuses connections": ({"refused": True}, [REPLICA]),
    "is not reached any more": ({"unreached_s": 3_600.0}, [REPLICA]),
    "is reached again only after two seconds": (
        {"unreached_s": 2.0},
        [REPLICA],
    ),
    "listens, as a frozen daemon finds late": ({"takes_s": 1.2}, [REPLICA]),
    "has its address taken by another replica": ({}, [OTHER]),
    "is listed with a later start": ({}, [LATER]),
}


@given("a replica that ends its answer with its connection, and then {then}")
def ends_with_connection(context, then):
    context.look = LOOKS[then]


@when("the daemon has read the answer")
def answer_read(context):
    faults, listed = context.look

    async def run():
        clock = EventLoopClock()
        deployment = Deployment(clock=clock)
        deployment.replace_replicas(listed)
        attempts = AttemptRunner(
            clock=clock,
            dialect=PlatformDialect(),
            connections=_Connections(**faults),
            stated_limits=StatedLimits(clock=clock),
            statements=deployment.statements,
            loads=ReplicaLoads(clock=clock),
            is_replaced=deployment.is_replaced,
        )
        began = anyio.current_time()
        try:
            await attempts._confirm_end(_Exchange(), REPLICA)
            context.outcome = "whole"
        except ExchangeError as error:
            assert error.sent, error
            context.outcome = "broken"
        context.took_s = anyio.current_time() - began

    run_virtual(run)


@then("the answer counts as {outcome}")
def check_outcome(context, outcome):
    assert context.outcome == outcome
    assert context.took_s < END_CHECK_LIMIT_MS / 1_000 + 2 * CONNECT_S


@given("a daemon as a process that streams to a caller of HTTP/1.0")
def http10_caller(context):
    context.events = 20


@when("that daemon {what} in the middle of the stream")
def daemon_goes_on(context, what):
    head = (
        f"POST /draft/stream HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: r-1\r\n"
        f"X-Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\n"
        "Content-Length: 0\r\n\r\n"
    )

    async def story(world):
        replica = await world.add_replica("p1")
        replica.events, replica.event_ms = context.events, 20.0
        world.configure([route("draft", "plain", kind="streaming")])
        process = await world.start_process("d1")
        context.got, context.reset = b"", False
        settings = world.settings["d1"]
        async with await anyio.connect_tcp(
            settings.front.host, settings.front.port
        ) as stream:
            await stream.send(head.encode())
            try:
                while True:
                    context.got += await stream.receive()
                    if what == "is shot" and b"token-5" in context.got:
                        process.signal(signal.SIGKILL)
            except anyio.EndOfStream:
                pass
            except anyio.BrokenResourceError:
                context.reset = True

    play(story)


@then("the caller of HTTP/1.0 sees {end}")
def check_stream_end(context, end):
    assert context.reset == (end == "a reset connection"), context.got
    last = f"token-{context.events - 1}".encode()
    assert (last in context.got) == (not context.reset), context.got


@when("the store's answer has no length and ends behind its head")
def cut_list(context):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        writer.close()

    async def run():
        async with listening(serve) as address, HttpNetwork() as network:
            store = StoreClient(
                address=address, network=network, clock=SystemClock()
            )
            context.listed = await store.list("servers")
            context.watched = await store.watch(
                "servers", revision=1, wait_ms=0
            )

    anyio.run(run)


@then("the list counts as no answer")
def check_cut_list(context):
    assert context.listed.is_err(), context.listed
    assert context.watched.is_err(), context.watched
