"""Steps for evacuated data centres."""

from __future__ import annotations

from behave import given, then, when

from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.model import EngineSpec
from cactusdyke.serving.request import Generation, PromptPart
from features.steps import cold_replica_steps
from features.steps.cold_replica_steps import DATA_CENTRES, WallClock
from features.support.cold_machine import deployment_with_cold_replica
from features.support.decider_machine import SERVICE

GENERATION = Generation(
    model="m",
    prompt_tokens=13_300,
    output_tokens=20,
    parts=(
        PromptPart(name="subject", tokens=13_000),
        PromptPart(name="own", tokens=300),
    ),
)


def _usable(context):
    return {r.name for r in context.deployment.usable_replicas(SERVICE)}


def _names(context, *data_centres):
    return {r.name for r in context.replicas if r.data_centre in data_centres}


def _evacuate(context, *data_centres):
    context.deployment.replace_evacuated(
        frozenset(data_centres), source="the store"
    )


@given("replicas in three data centres")
def three_data_centres(context):
    context.clock = WallClock()
    context.replicas = cold_replica_steps.replicas(6, "none")
    context.deployment = deployment_with_cold_replica(
        context.clock, context.replicas
    )


@when("one data centre is evacuated")
def evacuate_one(context):
    context.chosen = context.deployment.usable_replicas(SERVICE)[0]
    assert context.chosen.data_centre == "a"
    _evacuate(context, "a")


@then("none of its replicas is usable, nor one that was chosen before")
def check_evacuated(context):
    assert _usable(context) == _names(context, "b", "c")
    assert not context.deployment.is_usable(context.chosen)


@then("they are usable and cold once it is taken back")
def check_returned(context):
    _evacuate(context)
    assert _usable(context) == _names(context, *DATA_CENTRES)
    assert context.deployment.is_usable(context.chosen)
    assert context.deployment.cold_count == 2
    context.clock.ms += 3_001.0
    assert context.deployment.cold_count == 0


@when("two data centres are evacuated and the first is taken back")
def evacuate_two(context):
    _evacuate(context, "a", "b")
    assert _usable(context) == _names(context, "c")
    _evacuate(context, "b")


@then("only the replicas of the second are not usable")
def check_second(context):
    assert _usable(context) == _names(context, "a", "c")


@when("another replica is listed there and the list is read again")
def another_listed(context):
    more = cold_replica_steps.replicas(7, "none")
    context.deployment.put_replica(more[-1])
    assert more[-1].data_centre == "a"
    context.deployment.replace_replicas(more)


@given("replicas in three data centres, and no word of evacuations yet")
def no_word(context):
    three_data_centres(context)
    context.unknowing = Deployment(
        clock=context.clock, follows_evacuations=True
    )
    context.unknowing.apply(context.deployment.configuration, source="test")
    context.unknowing.replace_replicas(context.replicas)


@then("the deployment is ready only once they are known")
def check_ready(context):
    assert context.deployment.ready
    assert not context.unknowing.ready
    context.unknowing.replace_evacuated(frozenset(), source="test")
    assert context.unknowing.ready


@given("a decider with engines in three data centres")
def decider_with_engines(context):
    spec = EngineSpec(slots=64, kv_tokens=600_000)
    context.replicas = cold_replica_steps.replicas(9, "none")
    cold_replica_steps.create_decider(context, context.replicas, engine=spec)


def _place(context, name):
    engine = context.decider.place(SERVICE, name, GENERATION, (), {})
    context.decider.record_first_token(SERVICE, name)
    context.decider.record_end(SERVICE, name, failed=False)
    context.clock.ms += 400.0
    return engine


@when("the data centre of a subject's engine is evacuated")
def evacuate_subject(context):
    context.left = _place(context, "before").data_centre
    _evacuate(context, context.left)
    context.engines = [_place(context, f"after {n}") for n in range(5)]


@then("the subject is placed in another data centre, and stays there")
def check_subject(context):
    assert {e.name for e in context.engines} == {context.engines[0].name}
    assert context.engines[0].data_centre != context.left


@when("all three are evacuated")
def evacuate_all(context):
    _evacuate(context, *DATA_CENTRES)


@then("no replica is usable")
def check_none_usable(context):
    assert not _usable(context)
