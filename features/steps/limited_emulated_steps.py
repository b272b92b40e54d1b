"""Steps for replicas that state limits, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.experiment import OURS
from emulator.scenario import Fault, Policy, load_scenario
from features.steps.cold_emulated_steps import play, total

LIMIT = "cactusdyke.serving.core.StatedRequestLimit"
IGNORED = "as to others"
NOTHING = "nothing while limited"
SCENARIO = pathlib.Path("emulator/scenarios/limited.jsonc")
TROUBLES = {
    "nothing more": (),
    "daemons that start again in turn": (
        Fault(what="daemons_restarted", at_s=4.0, for_s=0.9),
    ),
    "a third of the daemons being killed": tuple(
        Fault(what="daemons_killed", at_s=at_s, for_s=0.5, share=0.34)
        for at_s in (3.5, 6.0, 13.0, 15.5)
    ),
    "a third of the daemons being cut": tuple(
        Fault(what="daemons_cut_off", at_s=at_s, for_s=2.0, share=0.34)
        for at_s in (3.5, 7.0, 13.0)
    ),
}


@given("the scenario of limited replicas, beside {trouble}")
def limited_scenario(context, trouble):
    scenario = load_scenario(SCENARIO).unwrap()
    context.emulated = attrs.evolve(
        scenario, faults=(*scenario.faults, *TROUBLES[trouble])
    )


@then("limited replicas get requests, and none gets more than it states")
def check_limits(context):
    assert total(context, OURS, "requests to limited") > 20
    too_many = total(context, OURS, "requests too many for limited")
    assert not too_many, too_many


@when("it is played with our limit, with none, and with limited ones left out")
def played_three_ways(context):
    naive = {IGNORED: "LimitsIgnored", NOTHING: "NothingWhileLimited"}
    play(
        context,
        {
            name: Policy(replace={LIMIT: f"emulator.naive.{other}"})
            for name, other in naive.items()
        },
    )


@then("limited replicas get more than they state without a limit")
def check_ignored(context):
    assert total(context, IGNORED, "requests too many for limited")
    assert not total(context, OURS, "requests too many for limited")


@then("they get more requests with ours than if they are left out")
def check_some(context):
    ours = total(context, OURS, "requests to limited")
    assert ours > 2 * total(context, NOTHING, "requests to limited"), ours
