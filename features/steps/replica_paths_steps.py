"""Steps for the paths from a daemon to replicas."""

from __future__ import annotations

import contextlib
import random

import anyio
import eliot.testing
import prometheus_client
from behave import given, then, when

from cactusdyke import events
from cactusdyke.clock import EventLoopClock
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.model import Replica, ReplicaState
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.reach_check import ReachCheck
from cactusdyke.serving.relay_choice import RelayChoice
from cactusdyke.serving.replica_connections import ReplicaConnections
from cactusdyke.serving.replica_paths import ReplicaPaths
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.tunnel import Tunnels, TunnelUnavailableError
from features.support.serving_values import NoTunnels
from features.support.state_fleet import FixedDaemons, peer
from standins.virtual import run_virtual

REPLICAS = ("a", "b", "c")
WAIT_S = 0.4


class _Replicas(BackendConnections):
    """Replicas of which some are not reached."""

    def __init__(self):
        self.lost = set()
        self.refused = False

    @contextlib.asynccontextmanager
    async def connect(self, address):
        if address in self.lost:
            await anyio.sleep(0 if self.refused else WAIT_S)
            raise ExchangeError(
                f"{address}: no connection", sent=False, refused=self.refused
            )
        yield None


@given("a daemon that has reached three replicas")
def reached(context):
    context.replicas = _Replicas()
    context.paths = ReplicaPaths(clock=EventLoopClock())
    clock = EventLoopClock()
    context.deployment = Deployment(clock=clock)
    context.connections = ReplicaConnections(
        clock=clock,
        direct=context.replicas,
        tunnels=NoTunnels(),
        check=ReachCheck(
            clock=clock,
            rng=random.Random(1),
            direct=context.replicas,
            deployment=context.deployment,
            paths=context.paths,
        ),
        paths=context.paths,
        relays=RelayChoice(
            clock=clock,
            rng=random.Random(1),
            daemons=FixedDaemons((peer(0, is_local=True),)),
            watch=PeerWatch(clock=clock, network=None),
        ),
        deployment=context.deployment,
        metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
    )


async def _connect(context, names):
    for name in names:
        with contextlib.suppress(ExchangeError):
            async with context.connections.connect(name):
                pass


async def _lose(context, names):
    await _connect(context, REPLICAS)
    context.replicas.lost = set(names)
    await _connect(context, REPLICAS)


async def _one_lost(context):
    await _lose(context, "a")


async def _cut(context):
    await _lose(context, REPLICAS)


async def _healed(context):
    await _lose(context, REPLICAS)
    context.replicas.lost = set()
    await _connect(context, "a")


async def _removed(context):
    await _lose(context, "a")
    context.paths.remove_unknown({"b", "c"})
    assert context.paths.unreachable_count == 0


STORIES = {
    "one replica is lost": _one_lost,
    "the host is cut from all replicas": _cut,
    "such a cut has ended": _healed,
    "a lost replica is removed": _removed,
}


@when("one replica is lost")
@when("the host is cut from all replicas")
@when("such a cut has ended")
@when("a lost replica is removed")
def story(context):
    name = context.active_outline["what"]
    logger = eliot.MemoryLogger()
    before = eliot.testing.swap_logger(logger)
    try:
        run_virtual(STORIES[name], context)
    finally:
        eliot.testing.swap_logger(before)
    context.lines = logger.messages


def _lines(context, event):
    kind = f"{event.code}:{event.name.lower()}"
    return [m for m in context.lines if m["message_type"] == kind]


@then(
    "its log names {unreachable} as unreachable, and {again} as reached again"
)
def names(context, unreachable, again):
    for event, expected in (
        (events.Event.REPLICA_UNREACHABLE, unreachable),
        (events.Event.REPLICA_REACHED_AGAIN, again),
    ):
        named = [m["address"] for m in _lines(context, event)]
        assert named == [n for n in expected.split(", ") if n != "none"], named


@then("the last connection was made {when_text}")
def last_connection(context, when_text):
    lines = _lines(context, events.Event.REPLICA_UNREACHABLE)
    waits = [line["last_connection_ms"] for line in lines]
    # Each connection that fails takes its whole timeout.
    expected = [round((n + 1) * WAIT_S * 1_000) for n in range(len(waits))]
    assert waits == expected, waits
    if when_text == "before the others":
        assert len(waits) == len(REPLICAS), waits


class _Others(Tunnels):
    """Two other daemons, which reach the replicas or do not."""

    def __init__(self):
        self.cut_off = False
        self.down = set()

    @contextlib.asynccontextmanager
    async def connect(self, relay, address):
        if self.cut_off:
            raise TunnelUnavailableError(relay)
        if address in self.down:
            raise ExchangeError(address, sent=False, refused=True)
        yield "tunnel"


TROUBLE = {
    "reaches all replicas": {},
    "has lost the path to one replica": {"lost": "a"},
    "has lost the paths to all replicas": {"lost": "abc"},
    "is refused by all replicas that others reach": {
        "lost": "abc",
        "refused": True,
    },
    "meets a replica that is down": {"lost": "a", "refused": True, "down": "a"},
    "has lost all paths as the others have": {"lost": "abc", "cut_off": True},
    "had lost all paths, which are back": {"lost": "abc", "heals": True},
}
ACTS = {
    "by itself": ("direct", "direct", "direct"),
    "through others for a": ("tunnel", "direct", "direct"),
    "through others for a, b, c": ("tunnel", "tunnel", "tunnel"),
    "by itself, and to a not at all": ("none", "direct", "direct"),
    "not at all": ("none", "none", "none"),
}
SETTLED_S = 1.2
"""Two rounds of trying lost paths, each as long as a connection may take."""


@given("a daemon among others that {trouble}")
def among_others(context, trouble):
    reached(context)
    context.trouble = TROUBLE[trouble]
    context.others = _Others()
    context.others.cut_off = context.trouble.get("cut_off", False)
    context.others.down = set(context.trouble.get("down", ""))
    context.connections._tunnels = context.others
    context.connections._relays._daemons = FixedDaemons(
        (peer(0, is_local=True), peer(1), peer(2))
    )


def _replica(address):
    return Replica(
        name=address,
        service="s",
        address=address,
        data_centre="north",
        state=ReplicaState.READY,
        slots=1,
    )


async def _how_reached(context, address):
    try:
        async with context.connections.connect(address) as exchange:
            return exchange or "direct"
    except ExchangeError:
        return "none"


@when("it connects to each replica, and again a second later")
def connects_twice(context):
    async def story():
        context.deployment.replace_replicas(map(_replica, REPLICAS))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.connections.run)
            context.replicas.lost = set(context.trouble.get("lost", ""))
            context.replicas.refused = context.trouble.get("refused", False)
            for address in REPLICAS:
                await _how_reached(context, address)
            if context.trouble.get("heals"):
                context.replicas.lost = set()
            await anyio.sleep(SETTLED_S)
            context.how = [await _how_reached(context, a) for a in REPLICAS]
            context.blamed = [
                address
                for address in REPLICAS
                if not context.connections.is_path_in_doubt(address)
            ]
            tasks.cancel_scope.cancel()

    run_virtual(story)


@then("its last connections are made {acts}")
def last_made(context, acts):
    assert tuple(context.how) == ACTS[acts], context.how


@then("the replicas to blame are {blamed}")
def to_blame(context, blamed):
    expected = [] if blamed == "none" else blamed.split(", ")
    assert context.blamed == expected, context.blamed


@when("other daemons reach two of them that it has lost")
def two_lost(context):
    async def run():
        await anyio.sleep(1)
        context.paths.record_connected("c")
        await anyio.sleep(1)
        for name in ("a", "b"):
            context.paths.record_failed(name, detail="no connection")
            context.paths.record_relayed(name)
        context.lost = context.paths.is_lost("c")
        await anyio.sleep(1)
        context.paths.record_connected("b")
        context.lost_later = context.paths.is_lost("c")

    run_virtual(run)


@then("the path to the third counts as lost, until one is reached again")
def third_lost(context):
    assert context.lost
    assert not context.lost_later


@given("six daemons of which three say that they are cut off")
def three_cut_off(context):
    context.daemons = FixedDaemons(
        (
            peer(0, is_local=True),
            *(peer(n, cut_off=True) for n in range(1, 4)),
            *(peer(n) for n in range(4, 6)),
        )
    )


@when("a daemon looks for others that reach replicas")
def look_for_relays(context):
    clock = EventLoopClock()
    relays = RelayChoice(
        clock=clock,
        rng=random.Random(1),
        daemons=context.daemons,
        watch=PeerWatch(clock=clock, network=None),
    )

    async def run():
        context.found = [
            {d.name for d in relays.candidates("north")} for _ in range(10)
        ]

    run_virtual(run)


@then("it finds the two that have not said so")
def finds_two(context):
    assert context.found == [{"d4", "d5"}] * 10, context.found
