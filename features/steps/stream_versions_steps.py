"""Steps for streams of several software versions, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.scenario import Fault, load_scenario
from features.support.emulated_plays import play_seeds

SCENARIO = pathlib.Path("emulator/scenarios/versions.jsonc")
SEEDS = (1, 2)
SERVICE = "models"
NEARLY = 0.9
KILLS_S = (5.0, 8.0, 11.0, 14.0)


def _faults(what, times=KILLS_S, **changes):
    return tuple(Fault(what=what, at_s=at_s, **changes) for at_s in times)


RELEASE = Fault(
    what="release",
    service=SERVICE,
    share=0.45,
    version="v1.1",
    at_s=1.0,
    for_s=0.3,
)
DISTURBANCES = {
    "their answers break off": (),
    "daemons are killed": _faults("daemons_killed", share=0.5, for_s=0.5),
    "daemons restart in turn": _faults(
        "daemons_restarted", times=(5.0,), for_s=2.0
    ),
    "daemons lose power": _faults("daemons_lose_power", share=0.5, for_s=0.5),
    "all daemons are killed": _faults("daemons_killed", times=(8.0,)),
    "all daemons are killed as a version leaves": (
        attrs.evolve(RELEASE, share=1.0, at_s=5.0),
        *_faults("daemons_killed", times=(8.0, 13.0), for_s=1.0),
    ),
    "daemons are cut off from the others": (
        *_faults("daemons_cut_off", times=(5.0, 12.0), share=0.34, for_s=4.0),
        *_faults("daemons_killed", times=(7.0, 14.0), share=0.34, for_s=0.5),
    ),
    "daemons reach them through others": (
        *_faults(
            "daemons_cut_from_replicas",
            times=(4.0,),
            share=0.34,
            for_s=12.0,
            how="reset",
        ),
        *_faults("daemons_killed", times=(8.0, 12.0), share=0.34, for_s=0.5),
    ),
    "the decider is killed again and again": _faults(
        "daemons_killed", service=SERVICE, share=0.34, for_s=0.5
    ),
    "a release is rolled back": (
        attrs.evolve(RELEASE, share=1.0, version="v1", at_s=8.0),
        *_faults("daemons_killed", share=0.34, for_s=0.5),
    ),
    "all replicas of a version are replaced": (
        attrs.evolve(RELEASE, share=1.0, at_s=5.0),
        *_faults("daemons_killed", share=0.34, for_s=0.5),
    ),
    "entries come late": (
        attrs.evolve(RELEASE, version="v1.2", at_s=5.0, listed_late_s=2.0),
        *_faults("daemons_killed", share=0.34, for_s=0.5),
    ),
    "a daemon is cut off as a version joins": (
        attrs.evolve(RELEASE, version="v1.2", at_s=5.0),
        *_faults("daemons_out_of_step", times=(4.8,), share=0.17, for_s=6.0),
        *_faults("daemons_killed", times=(7.0, 9.0), share=0.34, for_s=0.5),
    ),
    "replicas return with other software": (
        *_faults(
            "replica_reinstalled",
            times=(4.0, 6.0, 8.0, 10.0, 12.0, 14.0),
            service=SERVICE,
            version="v1.2",
            for_s=0.2,
            listed_late_s=1.0,
        ),
        *_faults("daemons_killed", share=0.34, for_s=0.5),
    ),
}
FEW_RESUMED = {
    "their answers break off",
    "all daemons are killed",
    "all daemons are killed as a version leaves",
}
"""Disturbances in which few callers take streams up at undisturbed daemons."""
LEAST_RESUMED = 12


@given("engines of several versions while {what}")
def several_versions(context, what):
    scenario = load_scenario(SCENARIO).unwrap()
    context.what = what
    context.emulated = attrs.evolve(
        scenario, faults=(RELEASE, *DISTURBANCES[what])
    )


@when("their streams are played with two seeds")
def played(context):
    context.plays = play_seeds(context.emulated, SEEDS)


@then("no stream holds events of two software versions")
def not_mixed(context):
    mixed = [play.counts["streams of two versions"] for play in context.plays]
    assert mixed == [0] * len(SEEDS), mixed


def _sum(context, name):
    return sum(play.counts.get(name, 0) for play in context.plays)


@then("every event comes once, and streams go on as often as new ones begin")
def go_on(context):
    assert not _sum(context, "streams not whole")
    tried = {k: _sum(context, f"{k} streams tried") for k in ("new", "resumed")}
    served = {k: _sum(context, f"{k} streams served") for k in tried}
    if context.what not in FEW_RESUMED:
        assert tried["resumed"] >= LEAST_RESUMED, (tried, served)
    share_new = served["new"] / tried["new"]
    share_resumed = served["resumed"] / max(1, tried["resumed"])
    if tried["resumed"] >= LEAST_RESUMED:
        assert share_resumed >= NEARLY * share_new, (tried, served)


@then("what cannot go on is told at once")
def told_at_once(context):
    assert not _sum(context, "resumed streams refused late")
