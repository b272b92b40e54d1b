"""Steps for requests that crash replicas, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.experiment import OURS, run
from emulator.scenario import Experiment, Fault, load_scenario
from emulator.world import CRASHES

SCENARIO = pathlib.Path("emulator/scenarios/crashing-request.jsonc")
SEEDS = (1, 2, 3)
MAX_SENT_ON = 3


def _further_faults(first, kind, trouble):
    """Returns the further faults that `trouble` names."""
    others = [name for name in ("query", "draft", "look") if name != kind]
    match trouble:
        case "a third of the daemons that are killed":
            return [
                Fault(what="daemons_killed", at_s=at_s, for_s=0.5, share=0.34)
                for at_s in (3.0, 6.0, 9.0)
            ]
        case "daemons that start again in turn":
            return [Fault(what="daemons_restarted", at_s=3.0, for_s=0.8)]
        case "two more such requests of other kinds":
            return [attrs.evolve(first, kind=other) for other in others]
        case "replicas that crash by themselves":
            return [
                Fault(
                    what="replica_crashed",
                    at_s=at_s,
                    for_s=1.0,
                    service="models",
                )
                for at_s in (2.5, 4.0, 5.5, 7.0, 8.5, 10.0)
            ]
        case _:
            return []


@given("the scenario of a {kind} that crashes replicas, beside {trouble}")
def crashing_scenario(context, kind, trouble):
    scenario = load_scenario(SCENARIO).unwrap()
    first = attrs.evolve(scenario.faults[0], kind=kind)
    if "only two replicas" in trouble:
        engines = {
            name: attrs.evolve(spec, replicas=2)
            for name, spec in scenario.engine_services.items()
        }
        scenario = attrs.evolve(scenario, engine_services=engines)
    faults = (first, *_further_faults(first, kind, trouble))
    context.emulated = attrs.evolve(scenario, faults=faults)


@when("it is played with three seeds")
def played(context):
    results = run(
        Experiment(scenarios={}), {"s": context.emulated}, seeds=SEEDS, jobs=2
    )
    context.plays = [results["s", OURS, seed] for seed in SEEDS]
    assert all(play.crashes >= CRASHES for play in context.plays), [
        play.crashes for play in context.plays
    ]


@then(
    "no play sends such a request to replicas over three times once it has"
    " crashed three"
)
def check_sent_on(context):
    sent_on = [play.sent_on for play in context.plays]
    assert max(sent_on) <= MAX_SENT_ON, sent_on


@then("no play refuses a sound request for it")
def check_sound(context):
    refused = [p.counts.get("sound quarantined", 0) for p in context.plays]
    assert not any(refused), refused
