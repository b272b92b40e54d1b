"""Steps for deciders that choose engines of one software version."""

from __future__ import annotations

import anyio
import attrs
from behave import given, then, when

from cactusdyke.errors import FailureKind, Ran
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.model import (
    RepeatPolicy,
    ReplicaState,
    WeightedService,
)
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.retry_policy import RetryPolicy
from cactusdyke.serving.stream_continuation import StreamContinuation
from cactusdyke.serving.stream_origins import StreamOrigin, StreamOrigins
from features.steps.serving_steps import ManualClock, route
from features.support import serving_values
from features.support.limit_fleet import REPLICAS, SERVICE, LimitFleet
from features.support.state_fleet import DATA_CENTRES, peer
from features.support.stream_fleet import StreamFleet
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

    def __init__(self, origins):
        self.told = []
        self.known = {}
        self._origins = origins

    async def find_agreed(self, stream_id):
        for origin in self.known.get(stream_id, ()):
            self._origins.put(stream_id, origin)
        return self._origins.find(stream_id)

    def tell(self, stream_id, origin):
        self.told.append((stream_id, origin.version))


def _start(context, version):
    clock = ManualClock()
    context.engines = [
        attrs.evolve(replica, version=version, born=1)
        for replica in REPLICAS[:2]
    ]
    context.deployment = Deployment(clock=clock)
    context.deployment.replace_replicas(context.engines)
    context.origins = StreamOrigins(clock=clock)
    context.others = _ToldOrigins(context.origins)
    context.continuation = StreamContinuation(
        clock=clock,
        deployment=context.deployment,
        dialect=None,
        connections=None,
        origins=context.origins,
        exchange=context.others,
    )


def _talk(*services):
    return route(
        streaming=True,
        repeat_policy=RepeatPolicy.RESUMABLE,
        max_attempts=3,
        targets=tuple(
            WeightedService(service=service, weight=1.0) for service in services
        ),
    )


def _begin(context, version):
    _start(context, version)
    context.request = serving_values.serving_context(_talk(SERVICE))
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


@given("a stream that {who} began at an engine of v1")
def began_by(context, who):
    if who == "this daemon":
        _begin(context, "v1")
        return
    _start(context, "v1")
    origin = StreamOrigin(
        service=SERVICE, version="v1", replica=context.engines[0].name, born=1
    )
    context.origins.put("first", origin)
    _take_up(context, SERVICE)


@when("it is to go on, and the first engine {says}")
def to_go_on(context, says):
    first, second = context.engines
    starts = {first.name: 1, second.name: 1}
    match says:
        case "tells a later start":
            starts[first.name] = 2
        case "does not answer":
            starts[first.name] = None
        case "has an entry of v2 by now":
            later = attrs.evolve(first, version="v2", born=2)
            context.deployment.put_replica(later)
        case "has a later entry of v1":
            context.deployment.put_replica(attrs.evolve(first, born=2))

    async def query_born(replica):
        return starts[replica.name]

    context.continuation._query_born = query_born
    context.goes_on = anyio.run(
        context.continuation.admits, context.request, second
    )


@then("it goes on")
def check_goes_on(context):
    assert context.goes_on


@then("it may not go on")
def check_may_not_go_on(context):
    assert not context.goes_on
    assert context.others.told[-1][1] == "", context.others.told


@given("a daemon that knows a stream that began at an engine of v1")
def known_stream(context):
    _start(context, "v1")
    origin = StreamOrigin(service=SERVICE, version="v1")
    context.origins.put("first", origin)


def _take_up(context, *services):
    context.request = serving_values.serving_context(
        _talk(*services), resume_after=3, resumes="first"
    )
    context.refusal = anyio.run(context.continuation.resume, context.request)


@when("a caller takes the stream up and gets an event")
def taken_up(context):
    _take_up(context, SERVICE)
    assert context.refusal is None, context.refusal
    context.continuation.begin(context.request, context.engines[1])


@then("others are told of the stream under the id of its first attempt")
def told_again(context):
    assert context.others.told == [("first", "v1")], context.others.told


@when("its route splits traffic, and chance names the other service")
def split(context):
    _take_up(context, "other", SERVICE)


@then("the stream goes on at the service that began it")
def same_service(context):
    assert context.refusal is None, context.refusal
    assert context.request.service == SERVICE


@when("its route leads to another service alone")
def other_route(context):
    _take_up(context, "other")


@then("the stream is refused as not run")
def refused(context):
    assert context.refusal.kind is FailureKind.STREAM_LOST
    assert context.refusal.ran is Ran.NOT_RUN


@given("a stream at the only engine of v1 beside engines of v2")
def only_engine(context):
    _begin(context, "v1")
    context.deployment.put_replica(
        attrs.evolve(context.engines[1], version="v2")
    )
    context.policy = RetryPolicy(
        rng=None,
        data_centre="",
        deployment=context.deployment,
        health=None,
        budget=None,
        connection_share=None,
        request_limits=None,
        continuation=context.continuation,
    )


@when("the engine falls silent")
def falls_silent(context):
    # How long it may be silent is set before its first event.
    context.request.origin = None


@then("the stream is given time, and less once another engine has v1")
def patience(context):
    engine = context.engines[0]
    begun = attrs.evolve(
        context.request,
        origin=StreamOrigin(service=SERVICE, version="v1"),
    )
    assert context.policy.can_fail_over(context.request, engine)
    assert not context.policy.can_fail_over(begun, engine)
    assert not context.policy.can_resume_elsewhere(context.request, engine)
    context.deployment.put_replica(
        attrs.evolve(context.engines[1], version="v1", born=3)
    )
    assert context.policy.can_resume_elsewhere(context.request, engine)


@when("one of them tells how a stream began")
def one_tells(context):
    async def run():
        async with StreamFleet(count=context.count) as fleet:
            exchange = fleet._exchanges[0]
            origin = StreamOrigin(service=SERVICE, version="v1")
            context.told = []
            for number in range(QUESTIONS):
                exchange.tell(f"s{number}", origin)
                context.told.append(set(exchange._queued))
                exchange._queued.clear()

    virtual.run_virtual(run, seed=1)


@then("daemons of each data centre are told")
def told_everywhere(context):
    for addresses in context.told:
        numbers = [int(a.partition(":")[0][1:]) for a in addresses]
        places = {peer(number).data_centre for number in numbers}
        assert places == set(DATA_CENTRES), addresses


@given("a stream of a prompt of its own that began at an engine of v1")
def began_with_prompt(context):
    _start(context, "v1")
    context.first = serving_values.serving_context(
        _talk(SERVICE), generation=_generation(1)
    )
    context.continuation.begin(context.first, context.engines[0])
    context.generation = _generation(1)


@when("its caller takes it up, does not name it, and {what}")
def unnamed(context, what):
    first, second = context.engines
    newer = attrs.evolve(second, name="newer", version="v2", born=3)
    began = context.first
    (_, content) = began.stream_names
    match what:
        case "nothing else has happened":
            pass
        case "only another daemon knows it":
            context.others.known[content] = [
                attrs.evolve(context.origins.find(content), is_local=False)
            ]
            context.origins._origins.clear()
        case "an engine of v2 serves as well":
            context.deployment.put_replica(newer)
        case "an engine of v2 is about to leave":
            context.deployment.put_replica(
                attrs.evolve(newer, state=ReplicaState.DRAINING)
            )
        case "it began at another engine too":
            again = serving_values.serving_context(
                _talk(SERVICE), generation=_generation(1), request_id="again"
            )
            context.continuation.begin(again, second)
        case "others know that it began elsewhere":
            context.others.known[content] = [
                StreamOrigin(
                    service=SERVICE,
                    version="v1",
                    replica=second.name,
                    born=second.born,
                )
            ]
        case "its engine has come back as v2":
            back = attrs.evolve(first, version="v2", born=2)
            context.deployment.put_replica(back)
            context.deployment.put_replica(attrs.evolve(back, version="v1"))
        case "another prompt is asked for":
            context.generation = _generation(2)
        case "no part of the prompt is its own":
            context.generation = attrs.evolve(_generation(1), parts=())
            equal = serving_values.serving_context(
                _talk(SERVICE), generation=context.generation
            )
            context.continuation.begin(equal, first)
        case "nobody knows it":
            context.origins._origins.clear()
    context.request = serving_values.serving_context(
        _talk(SERVICE),
        generation=context.generation,
        request_id="third",
        resume_after=3,
    )
    context.refusal = anyio.run(context.continuation.resume, context.request)


@then("the unnamed stream goes on")
def unnamed_goes_on(context):
    assert context.refusal is None, context.refusal
    assert context.continuation.allows(context.request, context.engines[1])
    newer = attrs.evolve(context.engines[1], version="v2")
    assert not context.continuation.allows(context.request, newer)


@then("the unnamed stream is refused")
def unnamed_refused(context):
    assert context.refusal is not None
    refused(context)
    assert "does not name" in context.refusal.detail
