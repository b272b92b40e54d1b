"""Steps for slow replicas and unequal customers, played by the emulator."""

from __future__ import annotations

import collections
import pathlib
import random

import attrs
from behave import given, then, when

from emulator.arrivals import draw
from emulator.experiment import OURS, run
from emulator.scenario import Experiment, load_experiment, load_scenario

FOLDER = pathlib.Path("emulator/scenarios")
BLIND = "blind to reported slowdown"
SEEDS = (1, 2, 3)
KIND = "dossier"
SERVICES = ("roster", "models")
DRAWN_S = 60.0


@given("the scenario of hard load, cut down to dossiers")
def hard_load(context):
    whole = load_scenario(FOLDER / "hard-load.jsonc").unwrap()
    context.emulated = attrs.evolve(
        whole,
        seconds=5.0,
        daemons=3,
        kinds=tuple(
            attrs.evolve(kind, per_s=28.0)
            for kind in whole.kinds
            if kind.name == KIND
        ),
        engine_services={
            "models": attrs.evolve(whole.engine_services["models"], replicas=7)
        },
        faults=tuple(f for f in whole.faults if f.service in SERVICES),
    )


@when("it is played as it is and blind to the reported slowdown")
def played_blind(context):
    loaded = load_experiment(FOLDER / "hard-loads.jsonc").unwrap()
    policies = {BLIND: loaded.policies[BLIND]}
    context.plays = run(
        Experiment(scenarios={}, policies=policies),
        {"s": context.emulated},
        seeds=SEEDS,
        jobs=1,
    )


@then("at least as much is earned as without the reports")
def earned_as_much(context):
    ours, blind = (
        [context.plays["s", policy, seed].worth for seed in SEEDS]
        for policy in (OURS, BLIND)
    )
    assert sum(ours) >= sum(blind), (ours, blind)


@when("its requests are drawn with and without customers")
def drawn_both(context):
    scenario = attrs.evolve(context.emulated, seconds=DRAWN_S)
    context.drawn, context.plain = (
        draw(attrs.evolve(scenario, customers=customers), random.Random(1))
        for customers in (scenario.customers, ())
    )


@then("they differ in their customers only")
def differ_in_customers(context):
    assert all(one.customer for one in context.drawn)
    same = [attrs.evolve(one, customer="") for one in context.drawn]
    assert same == context.plain


@then("the large customer sends five times as many as others")
def check_demand(context):
    counts = collections.Counter(one.customer for one in context.drawn)
    large = counts.pop("c0")
    mean = sum(counts.values()) / len(counts)
    assert 4.0 < large / mean < 6.0, (large, mean)
