"""Steps for cold replicas and evacuations, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.experiment import OURS, run
from emulator.scenario import Experiment, Fault, Policy, load_scenario

SCENARIO = pathlib.Path("emulator/scenarios/cold-return.jsonc")
SEEDS = (1, 2)
LIMIT = "cactusdyke.serving.core.ColdRequestLimit"
NO_LIMIT = "as to warm ones"
NOTHING = "nothing while cold"
TROUBLES = {
    "nothing else": (),
    "daemons that start again in turn": (
        Fault(what="daemons_restarted", at_s=3.0, for_s=0.8),
    ),
    "a third of the daemons being killed": tuple(
        Fault(what="daemons_killed", at_s=at_s, for_s=0.5, share=0.34)
        for at_s in (4.5, 6.0, 11.0, 13.2)
    ),
    "the loss of all daemons": (
        Fault(what="daemons_killed", at_s=4.0, for_s=0.5),
    ),
}


@given("the scenario of a cold return, beside {trouble}")
def cold_scenario(context, trouble):
    scenario = load_scenario(SCENARIO).unwrap()
    context.emulated = attrs.evolve(
        scenario, faults=(*scenario.faults, *TROUBLES[trouble])
    )


@given("the scenario of a cold return of all desks")
def cold_desks(context):
    scenario = load_scenario(SCENARIO).unwrap()
    context.emulated = attrs.evolve(
        scenario,
        seconds=7.0,
        bursts=(),
        kinds=tuple(k for k in scenario.kinds if k.service == "desk"),
        faults=tuple(
            Fault(
                what="data_centre_cold", at_s=2.0, for_s=0.3, data_centre=name
            )
            for name in scenario.data_centres
        ),
    )


@then("cold replicas get requests, and none gets more than it tolerates")
def check_desks(context):
    assert total(context, OURS, "requests to cold") > 10
    assert not total(context, OURS, "requests too many for cold")


def play(context, policies):
    results = run(
        Experiment(scenarios={}, policies=policies),
        {"s": context.emulated},
        seeds=SEEDS,
        jobs=2,
    )
    context.counts = {
        policy: [results["s", policy, seed].counts for seed in SEEDS]
        for policy in (OURS, *policies)
    }
    context.hows = [results["s", OURS, seed].hows for seed in SEEDS]


@when("it is played with two seeds")
def played_twice(context):
    play(context, {})


@when("it is played with our limit, with none, and with nothing for cold ones")
def played_three_ways(context):
    naive = {NO_LIMIT: "ColdLikeWarm", NOTHING: "NothingWhileCold"}
    play(
        context,
        {
            name: Policy(replace={LIMIT: f"emulator.naive.{other}"})
            for name, other in naive.items()
        },
    )


def total(context, policy, name):
    return sum(counts.get(name, 0) for counts in context.counts[policy])


@then("no cold replica gets more than it tolerates")
def check_tolerated(context):
    assert not total(context, OURS, "requests too many for cold")


@then("nothing reaches an evacuated data centre")
def check_evacuated(context):
    assert not total(context, OURS, "requests to evacuated")


@then("cold replicas get more than they tolerate without a limit")
def check_without(context):
    assert total(context, NO_LIMIT, "requests too many for cold")
    assert not total(context, OURS, "requests too many for cold")


@then("they get some requests with ours, and none with nothing for cold ones")
def check_some(context):
    ours = total(context, OURS, "requests to cold")
    nothing = total(context, NOTHING, "requests to cold")
    assert ours > 10 * nothing, (ours, nothing)
