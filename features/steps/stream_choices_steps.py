"""Steps for deciders that choose engines of one software version."""

from __future__ import annotations

import anyio
import attrs
from behave import given, then, when

from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.model import RepeatPolicy
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.stream_continuation import StreamContinuation
from cactusdyke.serving.stream_origins import StreamOrigins
from features.steps.serving_steps import ManualClock, route
from features.support import serving_values
from features.support.limit_fleet import REPLICAS, SERVICE, LimitFleet
from standins import virtual

DAEMONS = 6
NO_REQUESTS_PER_S = 0.001
SETTLED_S = 1.0
QUESTIONS = 40
WANTED = "v2"


@given("six daemons and engines of two software versions")
def two_versions(context):
    context.replicas = [
        attrs.evolve(replica, version=f"v{1 + number % 2}")
        for number, replica in enumerate(REPLICAS)
    ]


def _generation(number):
    return Generation(
        model="m",
        prompt_tokens=700,
        output_tokens=20,
        parts=(
            PromptPart(name=f"subject-{number % 10}", tokens=600),
            PromptPart(name=f"own-{number}", tokens=100),
        ),
    )


def _ask(context, *, believed):
    async def run():
        fleet = LimitFleet(count=DAEMONS, requests_per_s=NO_REQUESTS_PER_S)
        async with fleet:
            decider = fleet.decider()
            for name, core in fleet.cores.items():
                listed = believed if name == f"d{decider}" else context.replicas
                core._decider._deployment.replace_replicas(listed)
            await anyio.sleep(SETTLED_S)
            asker = fleet.cores[f"d{(decider + 1) % DAEMONS}"]
            context.decider = f"d{decider}"
            context.chosen = [
                await asker._dispatch.place(
                    SERVICE, f"r{n}/0", _generation(n), (), {}, WANTED
                )
                for n in range(QUESTIONS)
            ]

    virtual.run_virtual(run, seed=1)


@when("a daemon asks the decider for engines of v2")
def ask(context):
    _ask(context, believed=context.replicas)


@when("a daemon asks a decider that takes all engines for v2")
def ask_outdated(context):
    believed = [attrs.evolve(r, version=WANTED) for r in context.replicas]
    _ask(context, believed=believed)


@then("the decider chose each of them, and all are of v2")
def by_decider(context):
    assert {c.decider.name for c in context.chosen} == {context.decider}
    assert {c.replica.version for c in context.chosen} == {WANTED}


@then("all are of v2 by the list of the daemon that asked")
def by_own_list(context):
    assert {c.replica.version for c in context.chosen} == {WANTED}


class _ToldOrigins:
    """Records what other daemons are told."""

    def __init__(self):
        self.told = []

    def tell(self, stream_id, origin):
        self.told.append((stream_id, origin.version))


def _begin(context, version):
    clock = ManualClock()
    context.engines = [
        attrs.evolve(replica, version=version, born=1)
        for replica in REPLICAS[:2]
    ]
    context.deployment = Deployment(clock=clock)
    context.deployment.replace_replicas(context.engines)
    context.others = _ToldOrigins()
    context.continuation = StreamContinuation(
        clock=clock,
        deployment=context.deployment,
        dialect=None,
        connections=None,
        origins=StreamOrigins(clock=clock),
        exchange=context.others,
    )
    talk = route(streaming=True, repeat_policy=RepeatPolicy.RESUMABLE)
    context.request = serving_values.serving_context(talk)
    context.continuation.begin(context.request, context.engines[0])


@given("a stream that began at an engine whose entry tells no version")
def began_without_version(context):
    _begin(context, "")


@given("a stream that began at an engine of v1")
def began_at_v1(context):
    _begin(context, "v1")


@when("another engine's entry tells none either")
def other_without_version(context):
    assert context.engines[1].version == ""


@when("the engine's entry tells another start and v2")
def other_entry(context):
    assert context.continuation.allows(context.request, context.engines[1])
    context.deployment.put_replica(
        attrs.evolve(context.engines[0], version="v2", born=2)
    )


@then("the stream may not go on there")
def may_not_go_on(context):
    other = context.engines[1]
    assert not context.continuation.allows(context.request, other)
    assert not context.continuation.can_follow(other, context.engines[0])


@then("the stream may not go on at other engines of v1, and others are told")
def unknown_everywhere(context):
    other = context.engines[1]
    assert not context.continuation.allows(context.request, other)
    assert context.others.told == [("request", "v1"), ("request", "")]
