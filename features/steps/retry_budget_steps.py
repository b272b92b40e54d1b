"""Steps for the retries that all daemons send together."""

from __future__ import annotations

from behave import then, when

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
        assert len(fleet.arrivals) > fleet.allowance.slack, "too few retries"
        context.excess[seed] = fleet.worst_excess()


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
