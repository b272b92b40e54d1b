"""Steps of kinds that share stages which have lost replicas."""

from __future__ import annotations

import itertools
import pathlib

from behave import given, then, when

from emulator.scenario import load_scenario
from features.support.emulated_plays import play_seeds

SCENARIO = pathlib.Path("emulator/scenarios/lost-stage-replica.jsonc")
SEEDS = (1, 2, 3)


@given("the scenario of a lost replica of the second stage")
def given_lost_replica(context):
    context.emulated = load_scenario(SCENARIO).unwrap()


@when("the lost replica is played with three seeds")
def when_played(context):
    context.shares = [
        play.kinds for play in play_seeds(context.emulated, SEEDS)
    ]


@then("each kind earns at least {floor:f} of its worth in each play")
def then_floor(context, floor):
    starved = [
        (seed, kind, round(share, 3))
        for seed, shares in zip(SEEDS, context.shares, strict=True)
        for kind, share in shares.items()
        if share < floor
    ]
    assert not starved, starved


@then("no kind of the chain earns {gap:f} less than a less urgent one")
def then_order(context, gap):
    chain = sorted(
        (kind for kind in context.emulated.kinds if len(kind.stages) > 1),
        key=lambda kind: kind.priority,
    )
    assert len(chain) > 1
    behind = [
        (seed, urgent.name, other.name)
        for seed, shares in zip(SEEDS, context.shares, strict=True)
        for urgent, other in itertools.pairwise(chain)
        if shares[urgent.name] < shares[other.name] - gap
    ]
    assert not behind, behind
