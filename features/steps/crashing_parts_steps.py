"""Steps for prompts with parts that crash replicas, played by the emulator."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from emulator.scenario import Burst, Fault, load_scenario
from emulator.world import CRASHES
from features.support.emulated_plays import play_seeds

SCENARIO = pathlib.Path("emulator/scenarios/crashing-part.jsonc")
SEEDS = (1, 2)
MAX_SENT_AFTER_THIRD = 3
MIN_SERVED_RATIO = 0.9
MIN_FIRST_TRIES = 20
LONG_PROMPT_TOKENS = 20_000


def _crash(at_s, for_s=1.0):
    return Fault(
        what="replica_crashed", at_s=at_s, for_s=for_s, service="models"
    )


def _troubles(trouble):
    """Returns the faults beside the crashing parts."""
    match trouble:
        case "daemons that are killed":
            return [
                Fault(what="daemons_killed", at_s=at_s, for_s=0.5, share=0.34)
                for at_s in (4.0, 6.0, 9.0)
            ]
        case "daemons that start again in turn":
            return [Fault(what="daemons_restarted", at_s=4.0, for_s=1.0)]
        case "daemons that lose power":
            return [
                Fault(
                    what="daemons_lose_power", at_s=5.0, for_s=1.0, share=0.5
                ),
                Fault(what="daemons_lose_power", at_s=9.0, for_s=1.0),
            ]
        case "a decider that is killed":
            return [
                Fault(
                    what="daemons_killed",
                    at_s=at_s,
                    for_s=1.0,
                    share=0.17,
                    service="models",
                )
                for at_s in (4.0, 5.0, 6.0)
            ]
        case "daemons that are cut off":
            return [
                Fault(what="daemons_cut_off", at_s=4.0, for_s=3.0, share=0.34)
            ]
        case "replicas that crash by themselves":
            return [_crash(2.5 + 1.2 * n) for n in range(8)]
        case "waves of crashes" | "waves of crashes under a heavy load":
            return [
                _crash(at_s + 0.05 * n)
                for at_s in (3.5, 7.0, 10.5)
                for n in range(4)
            ]
        case "all replicas crashing together":
            return [
                Fault(
                    what="data_centre_cold",
                    at_s=at_s,
                    for_s=1.5,
                    data_centre=place,
                )
                for at_s in (4.0, 8.0)
                for place in ("a", "b", "c")
            ]
        case _:
            return []


def _load(trouble):
    scenario = load_scenario(SCENARIO).unwrap()
    if "heavy load" in trouble:
        burst = Burst(from_s=1.0, for_s=14.0, times=4.0)
        scenario = attrs.evolve(scenario, bursts=(burst,))
    if "end with their connection" in trouble:
        engines = {
            name: attrs.evolve(spec, unframed=True)
            for name, spec in scenario.engine_services.items()
        }
        scenario = attrs.evolve(scenario, engine_services=engines)
    return scenario


def _part_faults(first, part):
    if "each by itself" in part:
        return [first, attrs.evolve(first, at_s=first.at_s + 0.2)]
    if "together" in part:
        return [attrs.evolve(first, parts=2)]
    if "harmless" in part:
        return [attrs.evolve(first, at_s=0.5, for_s=14.5, harmless_s=4.0)]
    return [first]


@given("the scenario of {kind} requests with {part}, beside {trouble}")
def crashing_parts(context, kind, part, trouble):
    scenario = _load(trouble)
    if "long prompt" in part:
        kinds = [
            attrs.evolve(spec, own_tokens=LONG_PROMPT_TOKENS)
            if spec.name == "draft"
            else spec
            for spec in scenario.kinds
        ]
        scenario = attrs.evolve(scenario, kinds=tuple(kinds))
        kind = "draft"
    first = attrs.evolve(scenario.faults[0], kind=kind)
    faults = (*_part_faults(first, part), *_troubles(trouble))
    context.emulated = attrs.evolve(scenario, faults=faults)
    context.crashing = True


@given("the scenario without such requests, beside {trouble}")
def no_crashing_parts(context, trouble):
    faults = tuple(_troubles(trouble))
    context.emulated = attrs.evolve(_load(trouble), faults=faults)
    context.crashing = False


@when("it is played twice")
def played(context):
    context.plays = play_seeds(context.emulated, SEEDS)
    if context.crashing:
        crashes = [play.crashes for play in context.plays]
        assert min(crashes) >= CRASHES, crashes


@then("at most three such requests reach replicas after the third crash")
def check_sent_after(context):
    sent = [play.sent_after_third for play in context.plays]
    crashes = [play.crashes for play in context.plays]
    assert max(sent) <= MAX_SENT_AFTER_THIRD, (sent, crashes)


def _share(play, phase):
    tried = play.counts.get(f"first tries {phase}", 0)
    assert tried >= MIN_FIRST_TRIES, (phase, tried)
    return play.counts[f"first tries served {phase}"] / tried


@then("requests of the same kind are served as often as before the crashes")
def check_served(context):
    shares = [
        (_share(play, "beside crashes"), _share(play, "before crashes"))
        for play in context.plays
    ]
    assert all(
        beside >= MIN_SERVED_RATIO * before for beside, before in shares
    ), shares
