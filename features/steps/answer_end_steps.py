"""Steps for answers that end with their connection."""

from __future__ import annotations

import contextlib
import signal

import anyio
import attrs
from behave import given, then, when

from cactusdyke.clock import EventLoopClock, SystemClock
from cactusdyke.platform.decode import configuration as decode_configuration
from cactusdyke.platform.store import StoreClient
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import ReplicaStatement
from cactusdyke.serving.end_check import (
    END_CHECK_DELAY_MS,
    END_CHECK_LIMIT_MS,
    EndCheck,
)
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.http_network import HttpNetwork
from features.steps.platform_forwarding_steps import play
from features.steps.serving_steps import replica
from features.steps.tunnel_framing_steps import listening
from features.support.platform_rig import (
    HOST,
    KEY,
    configuration,
    route,
    until,
)
from standins.virtual import run_virtual

CONNECT_S = 0.4
MOST_ASKED = 12
"""A replica without free connections is not asked all the time."""
REPLICA = replica("r1", born=5, cold_left_ms=0.0)


REPORT = (200, {}, b'{"born": 5}')
NO_REPORT = (400, {"x-not-executed": "1"}, b"")
HEALTHY = (200, {"x-replica-id": "r1"}, b"")
LEAVING = (503, {"x-replica-id": "r1"}, b"")


class _Connections(BackendConnections):
    """Refuses connections, or leaves them without an answer for a time.

    Attributes:
        asked: The paths that were asked for.
    """

    def __init__(
        self,
        *,
        unreached_s=0.0,
        refused=False,
        frozen_s=0.0,
        full_s=0.0,
        silent=False,
        report=REPORT,
        health=NO_REPORT,
    ):
        self._unreached_s = unreached_s
        self._frozen_s = frozen_s
        self._full_s = full_s
        self._silent = silent
        self._answers = {"/-/report": report, "/h": health}
        self._refused = refused
        self._began = anyio.current_time()
        self.asked = []

    @contextlib.asynccontextmanager
    async def connect(self, address):
        if self._refused:
            raise ExchangeError(f"{address}: refused", sent=False, refused=True)
        if anyio.current_time() - self._began < self._unreached_s:
            await anyio.sleep(CONNECT_S)
            raise ExchangeError(f"{address}: no connection", sent=False)
        # The daemon, not the replica: its time-outs can't end what it does.
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self._frozen_s)
        yield self

    async def send(self, method, target, headers, body):
        assert (method, body) == ("GET", b""), (method, body)
        assert headers == [(b"Host", REPLICA.address.encode())], headers
        self.asked.append(target)
        if anyio.current_time() - self._began < self._full_s:
            raise ExchangeError("the connection was reset", sent=True)
        if self._silent:
            await anyio.sleep_forever()

    async def head(self):
        status, headers, _ = self._answers[self.asked[-1]]
        pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
        return AnswerHead(status=status, headers=pairs)

    async def whole_body(self, *, most):
        assert most > 0, most
        return self._answers[self.asked[-1]][2]


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
    "listens, as a frozen daemon finds late": ({"frozen_s": 1.2}, [REPLICA]),
    "resets connections for 300 ms, as it is full": (
        {"full_s": 0.3},
        [REPLICA],
    ),
    "is followed by a process with another start": (
        {"report": (200, {}, b'{"born": 6}')},
        [REPLICA],
    ),
    "is followed by a process with another name": (
        {"report": (200, {"x-replica-id": "r2"}, b'{"born": 5}')},
        [REPLICA],
    ),
    "is followed by a process that is silent": ({"silent": True}, [REPLICA]),
    "reports nothing, and is healthy": (
        {"report": NO_REPORT, "health": HEALTHY},
        [REPLICA],
    ),
    "reports nothing, and says that it leaves": (
        {"report": NO_REPORT, "health": LEAVING},
        [REPLICA],
    ),
    "reports nothing, and another one is healthy": (
        {"report": NO_REPORT, "health": (200, {"x-replica-id": "r2"}, b"")},
        [REPLICA],
    ),
    "reports nothing, and has no name": (
        {"report": NO_REPORT, "health": (200, {}, b"")},
        [REPLICA],
    ),
    "reports nothing, and is cold": (
        {"report": NO_REPORT, "health": HEALTHY},
        [attrs.evolve(REPLICA, cold_left_ms=5_000.0)],
    ),
    "reports nothing, and has no health check": (
        {"report": NO_REPORT, "health": HEALTHY},
        [REPLICA],
    ),
    "says that it leaves": (
        {"report": (200, {"server-leaving": "1"}, b'{"born": 5}')},
        [REPLICA],
    ),
    "another one, there now, says it leaves": (
        {"report": (200, {"server-leaving": "1"}, b'{"born": 6}')},
        [REPLICA],
    ),
    "reports nothing, and has asked for rest": (
        {"report": NO_REPORT, "health": HEALTHY},
        [REPLICA],
    ),
    "has its address taken by another replica": ({}, [OTHER]),
    "is listed with a later start": ({}, [LATER]),
}


@given("a replica that ends its answer with its connection, and then {then}")
def ends_with_connection(context, then):
    context.look = LOOKS[then]
    context.rests = "asked for rest" in then
    context.health_path = "" if "no health check" in then else "/h"


@when("the daemon has read the answer")
def answer_read(context):
    faults, listed = context.look

    async def run():
        clock = EventLoopClock()
        deployment = Deployment(clock=clock)
        services = [
            {
                "name": REPLICA.service,
                "health_path": context.health_path,
                "max_conns": 8,
                "cold_s": 10,
                "cold_per_s": 1,
            }
        ]
        config = decode_configuration(
            configuration([], services=services)
        ).unwrap()
        deployment.apply(config, source="test")
        deployment.replace_replicas(listed)
        if context.rests:
            rest = ReplicaStatement(rest_ms=5_000.0)
            deployment.statements.record(REPLICA, rest)
        connections = _Connections(**faults)
        attempts = AttemptRunner(
            clock=clock,
            dialect=PlatformDialect(),
            connections=connections,
            stated_limits=StatedLimits(clock=clock),
            statements=deployment.statements,
            loads=ReplicaLoads(clock=clock),
            end_check=EndCheck(
                clock=clock,
                dialect=PlatformDialect(),
                connections=connections,
                deployment=deployment,
            ),
        )
        began = anyio.current_time()
        try:
            await attempts._confirm_end(_Exchange(), REPLICA)
            context.outcome = "whole"
        except ExchangeError as error:
            assert error.sent, error
            context.outcome = "broken"
        context.took_s = anyio.current_time() - began
        context.asked = connections.asked
        context.leaves = deployment.statements.leaves(REPLICA)

    run_virtual(run)


@then("the answer counts as {outcome}")
def check_outcome(context, outcome):
    assert context.outcome == outcome
    assert context.took_s < END_CHECK_LIMIT_MS / 1_000 + 2 * CONNECT_S
    assert len(context.asked) <= MOST_ASKED, context.asked


@then("this is known at once")
def check_at_once(context):
    assert context.took_s < 2 * END_CHECK_DELAY_MS / 1_000, context.took_s


@then("the replica {verb} known to leave")
def check_leaves(context, verb):
    assert context.leaves == (verb == "is"), verb


@then("it was asked for {what}")
def check_asked(context, what):
    expected = {"its report alone": {"/-/report"}, "both": {"/-/report", "/h"}}
    assert set(context.asked) == expected[what], context.asked


@given("a replica whose listening socket is kept by a supervisor")
def supervised(context):
    async def prepare(world):
        replica = await world.add_replica("p1")
        replica.faults.add("unframed")
        replica.keeps_listener = True
        replica.crash_after_ms = 10.0
        # Its new process is listed late.
        replica.on_start = lambda before: None
        world.configure(
            [
                route("book", "plain", kind="non_idempotent"),
                route("talk", "plain", kind="streaming"),
            ]
        )
        return replica

    context.prepare = prepare


@when("it crashes within a {kind} without a length and starts again {how}")
def crashes_within(context, kind, how):
    path = {"booking": "/book/a", "stream": "/talk/stream"}[kind]

    async def story(world):
        replica = await context.prepare(world)
        replica.keeps_name = "under its id" in how
        if "another start" in how:
            replica.born = 5
            world.list_replica("p1", born=5)
        daemon = await world.start_daemon("d1")
        replica.faults.add("crash_within")
        began = anyio.current_time()
        context.cut = await world.request(path)
        context.took_s = anyio.current_time() - began
        await anyio.sleep(2 * replica.down_ms / 1_000)
        world.store.remove("servers", "p1")
        world.replicas[replica.name] = replica
        told = {"born": replica.born} if replica.born else {}
        world.list_replica(replica.name, **told)

        def is_known():
            entry = daemon._deployment.replica_at(replica.address)
            started = replica.born or 0
            return entry and (entry.name, entry.born) == (
                replica.name,
                started,
            )

        await until(is_known)
        context.whole = await world.request(path)
        context.runs = replica.runs

    play(story)


@then("the caller is not told that this is all")
def check_cut(context):
    status, _, body = context.cut
    assert body is None or status == 502, context.cut
    assert context.took_s < 2 * END_CHECK_LIMIT_MS / 1_000, context.took_s


@then("an answer that its new process ends is whole")
def check_new_whole(context):
    status, _, body = context.whole
    assert status == 200, context.whole
    assert body is not None, context.whole
    assert len(context.runs) == 2, context.runs


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
