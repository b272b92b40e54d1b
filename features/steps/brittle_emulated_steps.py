"""Steps for brittle replicas, played by the emulator."""

from __future__ import annotations

import pathlib

from behave import given, then

from emulator.experiment import OURS
from emulator.scenario import load_scenario
from features.steps.cold_emulated_steps import total

SCENARIO = pathlib.Path("emulator/scenarios/brittle.jsonc")
REPLICAS = 3
MOST_FALLS = 2 + 0.1 * REPLICAS
"""What the users tolerate in one time in which replicas are brittle."""
NEARLY = 0.9


@given("the scenario of brittle replicas")
def brittle_scenario(context):
    context.emulated = load_scenario(SCENARIO).unwrap()


@then("they fall over no more often than is tolerated")
def check_falls(context):
    falls = [
        counts.get("brittle fallen over", 0) for counts in context.counts[OURS]
    ]
    assert max(falls) <= MOST_FALLS, falls


@then("nearly all requests are answered")
def check_answered(context):
    answered = total(context, OURS, "answered")
    assert answered >= NEARLY * total(context, OURS, "asked")
