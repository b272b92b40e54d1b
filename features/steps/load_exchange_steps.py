"""Steps on reports of how slow replicas are, between daemons."""

from __future__ import annotations

import contextlib
import json

import anyio
import attrs
import orjson
from behave import given, then, when
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.decided_services import DecidedServices
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.decider_directory import DeciderDirectory
from cactusdyke.serving.decider_interface import DeciderInterface
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dispatch import (
    NOTIFICATIONS_PATH,
    PLACEMENT_PATH,
    Dispatch,
)
from cactusdyke.serving.model import (
    CallerLimits,
    ServiceSpec,
    ServingConfiguration,
)
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.peers import service_hash
from cactusdyke.serving.replica_load import SIGNIFICANT_RATIO, ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections, Exchange
from cactusdyke.transport.messages import Request, json_response
from features.steps.deciders_steps import TwoDeciders, UnusedDecider
from features.steps.serving_steps import ENGINE, prompt, replica, route
from features.steps.stage_queue_steps import batch_spec, group
from features.support.serving_values import (
    NoConnections,
    request_limits,
    serving_context,
)
from features.support.slow_replicas import SLOW, HandClock
from features.support.watched_attempts import end_check
from standins.virtual import run_virtual

SERVICE = "engine"


def _deployment(clock, count=12):
    deployment = Deployment(clock=clock)
    spec = ServiceSpec(name=SERVICE, max_connections=100, engine=ENGINE)
    deployment.apply(
        ServingConfiguration(
            version=1,
            routes=(),
            services={SERVICE: spec},
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    deployment.replace_replicas(
        [replica(f"e{n}", SERVICE, slots=64) for n in range(count)]
    )
    return deployment


class EngineDeciders(TwoDeciders):
    """Three daemons, one of the other two announced for the engines."""

    def all(self):
        hashes = frozenset({service_hash(SERVICE)})
        return tuple(
            attrs.evolve(daemon, decided_hashes=hashes)
            if daemon.name == self.decider
            else attrs.evolve(daemon, decided_hashes=frozenset())
            for daemon in super().all()
        )


class HereDirectory:
    """Takes its daemon for the decider of every service."""

    def decider_by_membership(self, service):
        del service
        return self

    is_local = True


class Daemons:
    """A daemon that asks deciders, which hear it through their interfaces."""

    def __init__(self):
        self.clock = EventLoopClock()
        self.members = EngineDeciders()
        self.bodies = []
        self.loads = None
        self._interfaces = {}
        self.deployments = {n: _deployment(self.clock) for n in "abc"}
        watch = PeerWatch(clock=self.clock, network=self)
        deciders = DeciderDirectory(
            clock=self.clock, daemons=self.members, watch=watch
        )
        self.own = self.deployments["a"].loads
        self.dispatch = Dispatch(
            clock=self.clock,
            network=self,
            deciders=deciders,
            watch=watch,
            decider=UnusedDecider(),
            decided=DecidedServices(clock=self.clock, deciders=deciders),
            deployment=self.deployments["a"],
            stated_limits=StatedLimits(clock=self.clock),
            announce=lambda: None,
        )

    def decider_loads(self, name):
        return self.deployments[name].loads

    async def fetch(self, address, request, options):
        del options
        name = {"d2": "b", "d3": "c"}[address.partition(":")[0]]
        body = orjson.loads(request.body)
        if self.loads is not None:
            body["loads"] = json.loads(self.loads)
        self.bodies.append(body)
        sent = Request(
            method="POST",
            path=request.path,
            headers=request.headers,
            body=orjson.dumps(body),
        )
        handlers = {
            PLACEMENT_PATH: self._interface(name).handle_placement,
            NOTIFICATIONS_PATH: self._interface(name).handle_notifications,
        }
        answer = await handlers[request.path](sent)
        if self.loads is not None and request.path == PLACEMENT_PATH:
            value = {**orjson.loads(answer.body), "loads": body["loads"]}
            answer = json_response(value)
        return Ok(answer)

    def _interface(self, name):
        if name not in self._interfaces:
            deployment = self.deployments[name]
            decider = Decider(
                clock=self.clock,
                deployment=deployment,
                dialect=None,
                connections=NoConnections(),
                tracing=Tracing(daemon=name),
                request_limits=request_limits(self.clock, deployment),
            )
            self._interfaces[name] = DeciderInterface(
                deciders=HereDirectory(), decider=decider
            )
        return self._interfaces[name]

    async def place(self, number):
        return await self.dispatch.place(
            SERVICE, str(number), prompt(number), (), {}
        )

    def answer(self, number, slowdown):
        engine = self.deployments["a"].replica(f"e{number}")
        self.own.record(engine, slowdown)
        return engine


@given("a daemon and the decider of 12 engines")
def daemon_and_decider(context):
    context.story = []
    context.seen = {}


@when("the daemon has answers of all engines, one of them slow at last")
def answers_of_all(context):
    async def part(daemons):
        for number in range(12):
            daemons.answer(number, SLOW if number == 11 else 1.0)

    context.story.append(part)


@when("it asks the decider for an engine")
def asks(context):
    async def part(daemons):
        chosen = await daemons.place(1)
        # Its end is a notification, after all reports were sent.
        daemons.dispatch.notify_end(chosen, failed=False)
        await anyio.sleep(0.05)

    context.story.append(part)


@when("another daemon decides from then on")
def another_decides(context):
    async def part(daemons):
        daemons.members.decider = "d3"

    context.story.append(part)


@when("the decider knows 10 slow engines and is asked for an engine")
def decider_knows(context):
    async def part(daemons):
        for engine in daemons.deployments["b"].usable_replicas(SERVICE)[:10]:
            daemons.decider_loads("b").record(engine, SLOW)
        await daemons.place(1)

    context.story.append(part)


@when("messages and answers have {loads} for reports")
def messages_have(context, loads):
    async def part(daemons):
        daemons.loads = None if loads == "nothing" else loads
        chosen = await daemons.place(1)
        context.chosen = chosen
        daemons.dispatch.notify_end(chosen, failed=False)
        await anyio.sleep(0.05)

    context.story.append(part)


def _play(context, check):
    """Plays the story, then checks its end at the same moment."""

    async def run():
        daemons = Daemons()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemons.dispatch.run)
            for part in context.story:
                await part(daemons)
            await check(daemons)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def _knows(daemons, name):
    deployment = daemons.deployments[name]
    engine = deployment.replica("e11")
    return deployment.loads.slowdown(engine) > SIGNIFICANT_RATIO


@then("the message had 8 reports, and the decider knows that engine as slow")
def check_message(context):
    async def check(daemons):
        assert len(daemons.bodies[0]["loads"]) == 8, daemons.bodies[0]
        assert _knows(daemons, "b")
        assert daemons.decider_loads("b").fresh_count == 8

    _play(context, check)


@then("a message without new answers has no report")
def check_second(context):
    async def check(daemons):
        assert len(daemons.bodies) == 2, daemons.bodies
        assert "loads" not in daemons.bodies[1], daemons.bodies

    _play(context, check)


@then("the daemon still knows the engine as slow, the new decider does not")
def check_lost(context):
    async def check(daemons):
        assert _knows(daemons, "a")
        assert not _knows(daemons, "c")

    _play(context, check)


@then("the new decider knows it with the daemon's next answer of it")
def check_next(context):
    async def check(daemons):
        daemons.answer(11, SLOW)
        await daemons.place(2)
        assert _knows(daemons, "c")

    _play(context, check)


@then("the daemon knows 8 of them")
def check_heard(context):
    async def check(daemons):
        assert daemons.own.slow_count == 8, daemons.own.slow_count

    _play(context, check)


@then("the daemon gets an engine from the decider")
def check_placed(context):
    async def check(daemons):
        assert context.chosen.decider.name == "d2", context.chosen
        assert len(daemons.bodies) == 2, daemons.bodies

    _play(context, check)


def _slow_head(status):
    refused = [] if status == 200 else [(b"x-not-executed", b"1")]
    return AnswerHead(
        status=status,
        headers=[
            (b"x-attempt-id", b"request"),
            (b"x-response-stamp", b"stamp"),
            (b"x-replica-load", b"3,0,8,250"),
            *refused,
        ],
    )


@when("a replica answers a request with {status:d} and says that it is slow")
def answers_request(context, status):
    clock = HandClock()
    context.loads = ReplicaLoads(clock=clock)
    context.replica = replica("e1")
    attempts = AttemptRunner(
        clock=clock,
        dialect=PlatformDialect(),
        connections=None,
        stated_limits=StatedLimits(clock=clock),
        statements=ReplicaStatements(clock=clock),
        end_check=end_check(clock, None),
        loads=context.loads,
    )
    attempts._decode_head(
        serving_context(route()), context.replica, _slow_head(status), 0.0
    )
    context.slowdown = context.loads.slowdown(context.replica)


class SlowStage(BackendConnections):
    """Answers each call with one result, and says that it is slow."""

    def __init__(self, status):
        self.status = status

    @contextlib.asynccontextmanager
    async def connect(self, address):
        yield SlowExchange(address, self.status)


class SlowExchange(Exchange):
    """One call of a slow stage replica."""

    sent = True
    ends_with_connection = False

    def __init__(self, address, status):
        self._address = address
        self._status = status

    async def send(self, method, target, headers, body):
        """Takes anything."""

    async def head(self):
        return _slow_head(self._status)

    async def body(self):
        yield orjson.dumps({"items": [{"handle": f"{self._address}/0"}]})


@when(
    "a stage replica answers a {call} with {status:d} and says that it is slow"
)
def answers_call(context, call, status):
    async def run():
        clock = EventLoopClock()
        deployment = _deployment(clock, count=1)
        only = deployment.replica("e0")
        async with anyio.create_task_group() as tasks:
            batcher = StageBatcher(
                service=SERVICE,
                spec=batch_spec(),
                clock=clock,
                deployment=deployment,
                dialect=PlatformDialect(),
                connections=SlowStage(status),
                tasks=tasks,
                free_inputs=lambda service, handles: False,
                request_limits=request_limits(clock, deployment),
            )
            if call == "free":
                batcher.free([f"{only.address}/0"])
                await anyio.sleep(0.1)
            else:
                await batcher.run(
                    group("a", 1, now=clock.now()), may_refuse=False
                )
            context.slowdown = deployment.loads.slowdown(only)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the daemon takes it for {speed}")
def check_speed(context, speed):
    is_slow = context.slowdown > SIGNIFICANT_RATIO
    assert is_slow == (speed == "slow"), context.slowdown
