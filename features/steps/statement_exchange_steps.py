"""Steps for daemons that pass on what replicas say."""

from __future__ import annotations

import random

import anyio
import orjson
import prometheus_client
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.membership.member import Member
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import ReplicaStatement
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.planned_stop import StopTimes
from cactusdyke.serving.reach_check import ReachCheck
from cactusdyke.serving.relay import Relay
from cactusdyke.serving.relay_choice import RelayChoice
from cactusdyke.serving.replica_connections import ReplicaConnections
from cactusdyke.serving.replica_paths import ReplicaPaths
from cactusdyke.serving.statement_exchange import (
    STATEMENTS_PATH,
    StatementExchange,
)
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from cactusdyke.transport.tunnel import TunnelNotWantedError, Tunnels
from features.steps.replica_paths_steps import _Replicas
from features.steps.serving_steps import replica
from features.steps.statement_send_steps import STATEMENTS
from features.support.state_fleet import FixedDaemons, peer
from standins import virtual
from standins.hub import Hub

LEAVES = ReplicaStatement(leaves=True)
RESTS = ReplicaStatement(rest_ms=3_000.0)
DELAY_MS = 1.0
TOLD_S = 0.5
REPLICA = replica("r1", born=5)
OTHER = replica("r2", born=6)


class _Fleet:
    """Daemons that have only an exchange, and a replica in their lists."""

    def __init__(self, count):
        self.hub = Hub()
        self.count = count
        self.told = dict.fromkeys(range(count), 0)
        self.deployments = []
        self.exchanges = []
        self.relays = {}

    async def __aenter__(self):
        await self.hub.__aenter__()
        for number in range(self.count):
            self._start(number)
        return self

    async def __aexit__(self, *error):
        await self.hub.__aexit__(*error)

    def _start(self, number):
        name = f"d{number}"
        clock = self.hub.clock_of(name)
        deployment = Deployment(clock=clock)
        deployment.replace_replicas([REPLICA])
        exchange = StatementExchange(
            clock=clock,
            rng=random.Random(number),
            network=self.hub.network(name),
            daemons=FixedDaemons(
                tuple(peer(n, is_local=n == number) for n in range(self.count))
            ),
            deployment=deployment,
            relay_of=lambda address: self.relays.get(name),
        )

        async def handle(request):
            self.told[number] += 1
            await self.hub.clock.sleep(DELAY_MS)
            return await exchange.handle(request)

        self.deployments.append(deployment)
        self.exchanges.append(exchange)
        self.hub.listen(f"{name}:1", handle, owner=name)
        self.hub.start(exchange.run)

    def say(self, number, statement):
        self.deployments[number].statements.record(REPLICA, statement)

    def knowing(self):
        """Returns the numbers of the daemons that send nothing there."""
        return {
            number
            for number, deployment in enumerate(self.deployments)
            if not deployment.statements.accepts(REPLICA)
        }


@given("{count:d} daemons of which all hear at once that a replica leaves")
@given("{count:d} daemons of which one hears that a replica leaves")
@given("{count:d} daemons of which one reaches a replica through another")
def fleet(context, count):
    context.count = count


def _play(context, story):
    async def run():
        async with _Fleet(context.count) as context.fleet:
            await anyio.sleep(0.01)
            await story(context.fleet)

    virtual.run_virtual(run, seed=1)


@when("they tell each other")
def tell(context):
    async def story(fleet):
        for number in range(context.count):
            fleet.say(number, LEAVES)
        await anyio.sleep(TOLD_S)
        context.knowing = fleet.knowing()

    _play(context, story)


@then("all daemons know it, and each was told {most:d} times at most")
def check_told(context, most):
    assert context.knowing == set(range(context.count)), context.knowing
    assert max(context.fleet.told.values()) <= most, context.fleet.told


@when("the message to another one is lost")
def lost(context):
    async def story(fleet):
        fleet.hub.link("d0", "d5").cut = True
        fleet.say(0, LEAVES)
        await anyio.sleep(TOLD_S)
        context.before = fleet.knowing()
        value = fleet.exchanges[3].attachment.write(_member("d5"))
        fleet.exchanges[5].attachment.read(_member("d3"), value)
        context.after = fleet.knowing()

    _play(context, story)


def _member(name):
    return Member(
        name=name,
        address=f"{name}:1",
        data_centre="north",
        region="",
        incarnation=1,
    )


@then("it knows it with its next probe")
def check_probe(context):
    assert context.before == {0, 1, 2, 3, 4}, context.before
    assert context.after == set(range(6)), context.after


@when("the replica asks it for rest")
def asks_through_relay(context):
    async def story(fleet):
        fleet.relays["d0"] = peer(4)
        fleet.say(0, RESTS)
        await anyio.sleep(TOLD_S)
        context.knowing = fleet.knowing()

    _play(context, story)


@then("it and its relay send nothing there, and the others may")
def check_relay(context):
    assert context.knowing == {0, 4}, context.knowing


BODIES = {
    "nothing is known": {"later": [1]},
    "the leaving is malformed": {"leaving": [["r1"]]},
    "the rest is no number": {"rests": [["r1", 5, "long"]]},
    "the rest is negative": {"rests": [["r1", 5, -3]]},
}


@when("another daemon gets a message of which {what}")
def message(context, what):
    async def story(fleet):
        request = Request(
            method="POST",
            path=STATEMENTS_PATH,
            headers={"content-type": "application/json"},
            body=orjson.dumps(BODIES[what]),
        )
        network = fleet.hub.network("d1")
        answer = await network.fetch("d2:1", request, CallOptions())
        context.status = answer.unwrap().status

    _play(context, story)


@then("it answers with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


class _UnwantedTunnels(Tunnels):
    """Tunnels of a relay from which replicas want nothing."""

    def connect(self, relay, address):
        raise TunnelNotWantedError(f"{relay}: {address}")


@given("a daemon that relays to two replicas of which one {wants}")
def relays(context, wants):
    clock = EventLoopClock()

    async def run():
        deployment = Deployment(clock=clock)
        deployment.replace_replicas([REPLICA, OTHER])
        paths = ReplicaPaths(clock=clock)
        lost = _Replicas()
        lost.lost = {REPLICA.address, OTHER.address}
        check = ReachCheck(
            clock=clock,
            rng=random.Random(1),
            direct=lost,
            deployment=deployment,
            paths=paths,
        )
        relay = Relay(
            clock=clock,
            check=check,
            deployment=deployment,
            paths=paths,
            stop_times=StopTimes,
        )
        deployment.statements.record(REPLICA, STATEMENTS[wants])
        context.admitted = []
        for one in (REPLICA, OTHER):
            try:
                with relay.admit(one.address):
                    context.admitted.append(one.name)
            except TunnelNotWantedError:
                continue
        await _ask_relay(context, clock, deployment, paths, check, lost)

    virtual.run_virtual(run, seed=1)


async def _ask_relay(context, clock, deployment, paths, check, lost):
    """Asks for a connection through a relay from which it is not wanted."""
    context.relays = RelayChoice(
        clock=clock,
        rng=random.Random(1),
        daemons=FixedDaemons((peer(0, is_local=True), peer(1))),
        watch=PeerWatch(clock=clock, network=None),
    )
    connections = ReplicaConnections(
        clock=clock,
        direct=lost,
        tunnels=_UnwantedTunnels(),
        check=check,
        paths=paths,
        relays=context.relays,
        deployment=deployment,
        metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
    )
    try:
        async with connections.connect(REPLICA.address):
            raise AssertionError("there is no connection")
    except ExchangeError as error:
        assert not error.sent
    context.left = [d.name for d in context.relays.candidates("")]


@then("it makes connections to the other one alone")
def check_admitted(context):
    assert context.admitted == ["r2"], context.admitted


@then("the asker may still ask it for the other one")
def check_not_avoided(context):
    assert context.left == ["d1"], context.left
