"""Steps for cold replicas and the limit on their requests."""

from __future__ import annotations

import collections
from functools import partial

import anyio
import attrs
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.cold_replicas import WINDOW_MS, ColdAllowance
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.model import (
    CallerLimits,
    EngineSpec,
    Replica,
    ReplicaState,
    ServingConfiguration,
)
from cactusdyke.serving.request import Generation, PromptPart
from features.steps.stage_queue_steps import batch_spec, group, machine_fails
from features.steps.stage_retry_steps import FailingOnce
from features.support import cold_machine
from features.support.decider_machine import SERVICE, HandClock
from features.support.serving_values import NoConnections, request_limits
from standins.virtual import run_virtual

DATA_CENTRES = ("a", "b", "c")
BURST_MS = 2_000.0
BURST_INTERVAL_MS = 2.5
"""400 requests a second."""
STAGE_CALL_MS = 20.0
WARM = attrs.evolve(cold_machine.COLD, cold_left_ms=0.0)
SILENT = attrs.evolve(cold_machine.COLD, cold_left_ms=None)


class WallClock(HandClock):
    """A clock that is advanced manually; its time of day is its instant."""

    def wall(self):
        return int(self.ms)


@given("a replica that {reports}")
def replica_that(context, reports):
    clock = context.clock = WallClock()
    clock.ms = 100_000.0
    deployment = cold_machine.deployment_with_cold_replica(clock, ())
    cold = attrs.evolve(cold_machine.COLD, cold_left_ms=3_000.0)
    context.deployment, context.replica = deployment, cold
    match reports:
        case "says that it is cold for three seconds":
            deployment.put_replica(cold)
        case "said so four seconds ago":
            deployment.put_replica(cold)
            clock.ms += 4_000.0
        case "said so, and is listed again four seconds later":
            deployment.put_replica(cold)
            clock.ms += 4_000.0
            deployment.replace_replicas([cold])
        case "says that it is warm":
            deployment.put_replica(WARM)
        case "says nothing and started a second ago":
            deployment.put_replica(attrs.evolve(SILENT, born=99_000))
        case "says nothing and started a minute ago":
            deployment.put_replica(attrs.evolve(SILENT, born=40_000))
        case "says nothing, not even when it started":
            deployment.put_replica(SILENT)
        case "turns cold again":
            deployment.put_replica(WARM)
            deployment.put_replica(cold)
        case "is warm in a data centre that was taken back":
            deployment.put_replica(WARM)
            deployment.replace_evacuated(frozenset({"here"}), source="test")
            deployment.replace_evacuated(frozenset(), source="test")
        case "belongs to a service whose cold ones need no limit":
            context.replica = attrs.evolve(cold, service="other")
            deployment.put_replica(context.replica)


@when("it reports shorter times ten times")
def reports_again(context):
    context.changes = []
    context.deployment.on_change(lambda: context.changes.append(1))
    for number in range(1, 11):
        context.clock.ms += 100.0
        context.deployment.put_replica(
            attrs.evolve(context.replica, cold_left_ms=3_000.0 - 200.0 * number)
        )


@then("the deployment announces no change, and the replica is cold as reported")
def check_no_change(context):
    assert not context.changes
    assert context.deployment.cold_left_ms(context.replica) == 1_000.0


@then("the replica counts as {expected}")
def check_cold(context, expected):
    is_cold = context.deployment.is_cold(context.replica)
    assert is_cold == (expected == "cold"), expected


def replicas(count, cold_data_centre):
    return [
        Replica(
            name=f"r{number}",
            service=SERVICE,
            address=f"r{number}:1",
            data_centre=DATA_CENTRES[number % 3],
            state=ReplicaState.READY,
            slots=64,
            cold_left_ms=(
                10_000.0
                if cold_data_centre in {DATA_CENTRES[number % 3], "all"}
                else 0.0
            ),
        )
        for number in range(count)
    ]


def create_decider(context, listed, *, announced=True, **capacity):
    clock = context.clock = WallClock()
    deployment = context.deployment = cold_machine.deployment_with_cold_replica(
        clock, listed
    )
    spec = attrs.evolve(deployment.service(SERVICE), **capacity)
    deployment.apply(
        ServingConfiguration(
            version=2,
            routes=(),
            services={SERVICE: spec},
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    context.limit = request_limits(
        clock, deployment, announced=announced, overshoot=1.5, slack=5.0
    )
    context.decider = Decider(
        clock=clock,
        deployment=deployment,
        dialect=None,
        connections=NoConnections(),
        tracing=Tracing(daemon="d1"),
        request_limits=context.limit,
    )


@given("a decider of nine engines, three of which come back cold")
def nine_engines(context):
    spec = EngineSpec(slots=64, kv_tokens=600_000)
    create_decider(context, replicas(9, "a"), engine=spec)


@given("a daemon that is not the announced decider of nine engines")
def not_the_decider(context):
    spec = EngineSpec(slots=64, kv_tokens=600_000)
    create_decider(context, replicas(9, "a"), announced=False, engine=spec)


@when("a burst of 400 requests a second comes for one subject")
def burst_for_one(context):
    _burst(context, subjects=1)


@when("a burst of 400 requests a second comes for 100 subjects")
def burst_for_many(context):
    _burst(context, subjects=100)


def _burst(context, subjects):
    """Places a burst; engines read 13,000 tokens at the speed assumed."""
    context.placed = []
    first_token_at = {}
    number = 0
    while context.clock.ms < BURST_MS:
        name = f"p{number}"
        parts = (
            PromptPart(name=f"subject-{number % subjects}", tokens=13_000),
            PromptPart(name=f"own-{number}", tokens=300),
        )
        generation = Generation(
            model="m", prompt_tokens=13_300, output_tokens=20, parts=parts
        )
        chosen = context.decider.place(SERVICE, name, generation, (), {})
        context.placed.append((context.clock.ms, chosen))
        first_token_at[name] = context.clock.ms + 300.0
        for other, at in list(first_token_at.items()):
            if at <= context.clock.ms:
                context.decider.record_first_token(SERVICE, other)
                context.decider.record_end(SERVICE, other, failed=False)
                del first_token_at[other]
        number += 1
        context.clock.ms += BURST_INTERVAL_MS


def _sent_to_cold(context):
    sent = collections.defaultdict(list)
    for at, replica in context.placed:
        if replica is not None and context.deployment.is_cold(replica):
            sent[replica.name].append(at)
    return sent


def _most_in_a_second(instants):
    return max(
        sum(at <= other < at + 1_000.0 for other in instants) for at in instants
    )


@then("no cold engine is given over eight requests in a second")
def check_eight(context):
    sent = _sent_to_cold(context)
    assert all(_most_in_a_second(at) <= 8 for at in sent.values()), sent


@then("every request is placed")
def check_placed(context):
    assert all(replica is not None for _, replica in context.placed)


@then("the cold engines are given requests too")
def check_given(context):
    sent = _sent_to_cold(context)
    assert len(sent) == 3, sent
    assert all(_most_in_a_second(at) <= 8 for at in sent.values()), sent


@then("no cold engine is given any")
def check_none(context):
    assert not _sent_to_cold(context)


@given("a decider of a plain service whose three replicas are cold")
def plain_cold(context):
    create_decider(context, replicas(3, "all"))


@when("60 requests ask for one of them within a second")
def ask_sixty(context):
    context.chosen = collections.Counter()
    for _ in range(60):
        chosen = context.decider.choose_limited(SERVICE, "a", ())
        context.chosen[chosen.name if chosen else None] += 1
        context.clock.ms += 15.0


@then("24 of them are sent, eight to each, and the others are refused")
def check_sixty(context):
    assert context.chosen == {"r0": 8, "r1": 8, "r2": 8, None: 36}


class CountingConnections(FailingOnce):
    """Answers all calls for pieces and records when each replica was called."""

    def __init__(self):
        super().__init__(way="none")
        self.called_at = collections.defaultdict(list)

    async def call(self, address, items):
        self.called_at[address].append(anyio.current_time() * 1_000)
        await anyio.sleep(STAGE_CALL_MS / 1_000)
        return 200, [{"handle": f"{address}/{i['id']}"} for i in items]


async def _run_stage(context):
    clock = EventLoopClock()
    deployment = cold_machine.deployment_with_cold_replica(
        clock, replicas(2, "a")
    )
    async with anyio.create_task_group() as tasks:
        batcher = StageBatcher(
            service=SERVICE,
            spec=batch_spec(call_ms=STAGE_CALL_MS, batch=1),
            clock=clock,
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=context.connections,
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=request_limits(
                clock, deployment, overshoot=1.5, slack=5.0
            ),
        )
        with clock.timeout(BURST_MS):
            async with anyio.create_task_group() as requests:
                for number in range(300):
                    pieces = group(f"r{number}", 1, 0.0, deadline_at=60_000.0)
                    requests.start_soon(
                        partial(batcher.run, pieces, may_refuse=False)
                    )
        tasks.cancel_scope.cancel()


@given("a decider of a stage service with one cold and one warm replica")
def stage_cold(context):
    context.connections = CountingConnections()


@when("it makes calls for two seconds without a pause")
def calls_without_pause(context):
    run_virtual(_run_stage, context)


@then("the cold one is called no more than it tolerates")
def check_calls(context):
    called_at = context.connections.called_at
    assert 8 <= len(called_at["r0:1"]) <= 16, called_at
    assert _most_in_a_second(called_at["r0:1"]) <= 8, called_at
    assert len(called_at["r1:1"]) > 80, called_at


@when("the machine of a cold replica runs 60 examples")
def run_cold_machine(context):
    context.violation = machine_fails(cold_machine.ColdMachine, 60)


@then("no example exceeds the limit")
def check_machine(context):
    assert not context.violation, context.violation


@then("daemons that each limit only what they send themselves exceed it")
def check_naive_machine(context):
    for naive in (
        cold_machine.NaiveMachine,
        cold_machine.AnySideMachine,
        cold_machine.AnyDeciderMachine,
    ):
        found = machine_fails(naive, 60)
        assert "requests in a second" in found, (naive.__name__, found)


@then("two deciders together stay within any allowance of two requests or more")
def check_allowance(context):
    del context
    for tolerated in (0.5, 1.0, 8.0, 20.0, 100.0):
        for overshoot in (1.0, 1.5, 3.0):
            for slack in (1.0, 5.0, 20.0):
                allowance = ColdAllowance(overshoot=overshoot, slack=slack)
                most = tolerated * overshoot + slack
                own = allowance.per_decider(tolerated)
                assert own >= 1
                if most >= 2:
                    assert 2 * own <= most, (tolerated, overshoot, slack)
    assert WINDOW_MS >= 1_000.0
