"""Steps for daemons that are cut off from replicas, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.scenario import load_scenario
from features.support.emulated_plays import play_seeds

SCENARIO = pathlib.Path("emulator/scenarios/cut-from-replicas.jsonc")
SEEDS = (1, 2)
HOW = {
    "hangs connections": "hang",
    "resets connections": "reset",
    "spares open connections": "spare",
}
WHICH = {
    "a third": {"service": ""},
    "a data centre": {"service": "", "share": 1.0, "data_centre": "b"},
    "the decider of a stage": {"service": "roster", "share": 0.1},
    "the decider of the engines": {"service": "models", "share": 0.1},
}
NEARLY = 0.9
TOLERATED_FAILURES = 10
TOLERATED_SHARE = 0.02
"""Failed first tries that the users tolerate at daemons that are cut off."""
MOST_LOSS = 0.05
"""Of a window's worth, against the window before the cut."""
BEFORE = 0
AFTER = 8
"""Windows of two seconds: one before the cut, one three seconds after it."""


@given("daemons of which {which} lose all replicas by a cut that {does}")
def cut_scenario(context, which, does):
    scenario = load_scenario(SCENARIO).unwrap()
    (fault,) = scenario.faults
    fault = attrs.evolve(fault, how=HOW[does], **WHICH[which])
    context.emulated = attrs.evolve(scenario, faults=(fault,))


@when("they are played with two seeds")
def played(context):
    context.plays = play_seeds(context.emulated, SEEDS)


def _share(play, where):
    tries = play.counts.get(f"first tries {where}", 0)
    served = play.counts.get(f"first tries served {where}", 0)
    return tries, served, served / max(1, tries)


@then("first tries at cut daemons are served nearly as often as elsewhere")
def served_alike(context):
    for play in context.plays:
        tries, served, share = _share(play, "at cut")
        tries_elsewhere, _, share_elsewhere = _share(play, "elsewhere")
        seen = (tries, share, tries_elsewhere, share_elsewhere)
        assert tries > 50, seen
        assert tries_elsewhere > 50, seen
        most = TOLERATED_FAILURES + TOLERATED_SHARE * tries
        assert tries - served <= most, seen
        assert share >= NEARLY * share_elsewhere, seen
        assert share_elsewhere >= NEARLY, seen


@then("nothing runs twice, nothing refused has run, and streams are whole")
def safe(context):
    for play in context.plays:
        for name in ("ran twice", "refused and ran", "streams not whole"):
            assert not play.counts.get(name, 0), (name, play.counts)


@then("all is as before three seconds after the cut")
def as_before(context):
    for play in context.plays:
        before, after = play.windows[BEFORE], play.windows[AFTER]
        assert after >= before - MOST_LOSS, play.windows
