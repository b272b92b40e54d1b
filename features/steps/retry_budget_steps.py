"""Steps for the retries that all daemons send together."""

from __future__ import annotations

import pathlib

import attrs
from behave import given, then, when

from cactusdyke.serving.retry_budget import RetryAllowance, RetryBudget
from emulator.scenario import Fault, load_scenario
from features.steps.endless_answers_steps import (
    ANSWERS,
    EndlessServer,
    attempt_stream,
)
from features.steps.platform_forwarding_steps import plain_world, play, runs
from features.steps.serving_steps import ManualClock, route
from features.support import serving_values as values
from features.support.emulated_plays import play_seeds
from features.support.retry_fleet import (
    REQUESTS_PER_S,
    SEEDS,
    TROUBLES,
    RetryFleet,
    random_mix,
)


@when("{count:d} daemons retry as often as they may without trouble")
def without_trouble(context, count):
    context.fleet = RetryFleet(count=count, seed=1, step_ms=20.0)
    context.fleet.run()


@when("{count:d} daemons retry as often as they may as {trouble}")
def with_trouble(context, count, trouble):
    context.excess = {}
    for seed in range(1, SEEDS + 1):
        fleet = RetryFleet(count=count, seed=seed)
        TROUBLES[trouble](fleet)
        fleet.run()
        assert len(fleet.traffic.retries) > fleet.allowance.slack, (
            "too few retries"
        )
        context.excess[seed] = fleet.worst_excess()


@when("{count:d} daemons share a slack of {slack:d}")
def with_slack(context, count, slack):
    context.fleet = RetryFleet(count=count, seed=1)
    context.fleet.allowance = RetryAllowance(ratio=0.2, slack=slack)
    context.fleet.run()
    context.excess = {slack: context.fleet.worst_excess()}


@then("they use at least {percent:d} in a hundred of it")
def check_used_of_small(context, percent):
    used = context.fleet.share_used()
    assert used >= percent / 100, used


@given("a daemon that has charged all retries that it may")
def charge_all(context):
    context.clock = ManualClock()
    context.budget = RetryBudget(
        clock=context.clock,
        allowance=lambda: RetryAllowance(slack=50),
        daemon_count=values.daemon_count(6, context.clock),
    )
    context.clock.ms += 10_000.0
    for _ in range(20):
        context.budget.record_request("service")
    context.permits = []
    while (permit := context.budget.charge("service")) is not None:
        context.permits.append(permit)
    assert len(context.permits) == 7, len(context.permits)


@when("each of them is {ended} nine seconds later")
def end_charged(context, ended):
    context.clock.ms += 9_000.0
    for permit in context.permits:
        if ended == "sent":
            permit.mark_sent()
        permit.release()


@when("one of them is written to a replica")
def write_one(context):
    request = values.serving_context(route())
    request.sends, request.retry = 1, context.permits[0]
    attempt_stream(EndlessServer(*ANSWERS["zeros"]), request)


@then("one fewer is still to be sent")
def check_written(context):
    left = len(context.permits) - 1
    assert context.budget.pending_count == left, context.budget.pending_count
    context.permits[0].release()
    assert context.budget.pending_count == left, context.budget.pending_count


@then("{count:d} more are allowed at once, and {later:d} after a window")
def check_more(context, count, later):
    def charged():
        permits = []
        while (permit := context.budget.charge("service")) is not None:
            permits.append(permit)
        for permit in permits:
            permit.release()
        return len(permits)

    assert charged() == count, charged()
    assert context.budget.pending_count == 0
    context.clock.ms += 9_900.0
    # Less than a window after they were sent; one may be earned by its slack.
    assert charged() <= count + 1, charged()
    context.clock.ms += 200.0
    assert charged() == later, charged()


@when("daemons with 40 random mixes of troubles retry as often as they may")
def with_mixes(context):
    context.excess = {}
    sizes = sorted(REQUESTS_PER_S)
    for seed in range(40):
        fleet = RetryFleet(count=sizes[seed % len(sizes)], seed=seed)
        names = random_mix(fleet)
        fleet.run()
        context.excess[(seed, fleet.count, *names)] = fleet.worst_excess()


@then("replicas get no more retries in any window than the allowance")
def within_allowance(context):
    above = {k: round(v, 1) for k, v in context.excess.items() if v > 0}
    assert not above, above


@then("they use at least seven tenths of the allowance")
def check_used(context):
    assert context.fleet.worst_excess() <= 0
    assert context.fleet.share_used() >= 0.7, context.fleet.share_used()


LEAST_RETRIES = 10


@when("replicas fail the first request of a daemon that has just started")
def just_started(context):
    async def story(world):
        world.further_bounds = {"budget_window_s": 10}
        await plain_world(world, replicas=("p1", "p2"))
        for replica in world.replicas.values():
            replica.faults.add("errors")
        await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@then("it is not sent again")
def check_not_again(context):
    assert len(context.runs) == 1, context.runs


MASS_RESTART = pathlib.Path("emulator/scenarios/mass-restart.jsonc")


@when("replicas crash in a row before daemons of which half are killed twice")
def play_crashes(context):
    scenario = load_scenario(MASS_RESTART).ok_value
    crashes = [
        Fault(what="replica_crashed", at_s=at / 2, for_s=0.8, service="models")
        for at in range(4, 26)
    ]
    kill = Fault(what="daemons_killed", at_s=7.0, for_s=0.6, share=0.5)
    context.plays = play_seeds(
        attrs.evolve(scenario, seconds=14.0, faults=(*crashes, kill)), (1, 2)
    )


@then("no service gets more retries in any window than the allowance")
def check_plays(context):
    allowance = RetryAllowance()
    excess = [
        {name: t.worst_excess(allowance) for name, t in play.traffic.items()}
        for play in context.plays
    ]
    assert all(most <= 0 for each in excess for most in each.values()), excess
    sent = [len(play.traffic["models"].retries) for play in context.plays]
    assert min(sent) >= LEAST_RETRIES, sent


@then("no daemon holds a charged retry once its requests have ended")
def check_none_pending(context):
    pending = [play.retries_pending for play in context.plays]
    assert not any(pending), pending
