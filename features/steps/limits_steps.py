"""Steps for customers' limits over a fleet of daemons."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when

from bench.naive.static_limits import NoLimits, StaticLimits
from cactusdyke.limits import account, fleet
from cactusdyke.limits.account import QuotaLease
from cactusdyke.limits.held_quota import HeldQuota
from features.support import limits_fleet, limits_machine
from features.support.limits_fleet import LimitsFleet, excess
from standins.virtual import run_virtual

TERM_S = account.LEASE_TERM_MS / 1000.0
OVERLOAD_RATE = 30.0


def make_static(world: LimitsFleet, name: str) -> StaticLimits:
    return StaticLimits(
        clock=world.hub.clock_of(name),
        daemons=lambda: len(world.seen_by(name)),
    )


def make_none(world: LimitsFleet, name: str) -> NoLimits:
    return NoLimits()


def _world(context: Any, make_limiter: Any = None) -> LimitsFleet:
    return LimitsFleet(
        count=context.daemon_count,
        customers=limits_fleet.customers(
            {"customer": (context.rate, context.burst)}
        ),
        make_limiter=make_limiter,
    )


def _run(context: Any, script: Any, make_limiter: Any = None) -> LimitsFleet:
    """Runs a script in a fleet and stores the script for later steps."""

    async def run() -> LimitsFleet:
        world = _world(context, make_limiter)
        async with world:
            await script(world)
            await world.hub.clock.sleep(2_000)
        return world

    context.script = script
    return run_virtual(run)


def _excess(context: Any, world: LimitsFleet) -> float:
    times = world.admitted("customer")
    return excess(times, rate=context.rate, burst=context.burst)


@given(
    "a limits fleet of {count:d} daemons and a customer with {rate:d}"
    " requests a second"
)
def given_fleet(context, count, rate):
    context.daemon_count = count
    context.rate = float(rate)
    context.burst = float(rate)


@given("its burst is {burst:d}")
def given_burst(context, burst):
    context.burst = float(burst)


@when(
    "its callers send {rate:d} a second to {where} daemon for"
    " {duration:d} seconds"
)
def when_sent(context, rate, where, duration):
    async def script(world):
        names = list(world.daemons)
        await world.offer(
            "customer",
            rate=rate,
            duration_ms=duration * 1000,
            choose=lambda: (
                names[1] if where == "one" else world.rng.choice(names)
            ),
        )

    context.duration = duration
    context.world = _run(context, script)


@when(
    "its callers send {rate:d} a second and the owner dies after"
    " {after:d} seconds"
)
def when_owner_dies(context, rate, after):
    async def script(world):
        owner = world.owner("customer")
        others = [name for name in world.daemons if name != owner]

        def choose():
            return world.rng.choice(others)

        for _ in range(2):
            await world.offer(
                "customer", rate=rate, duration_ms=after * 1000, choose=choose
            )
            world.kill(owner)

    context.world = _run(context, script)


@when(
    "its owner is suspended for {duration:d} seconds and resumes under overload"
)
def when_owner_suspended(context, duration):
    async def script(world):
        owner = world.owner("customer")
        names = list(world.daemons)

        async def overload(seconds):
            await world.offer(
                "customer",
                rate=OVERLOAD_RATE,
                duration_ms=seconds * 1000,
                choose=lambda: world.rng.choice(names),
            )

        await overload(40)
        world.freeze(owner)
        await overload(duration)
        world.wake(owner)
        await overload(10)

    context.world = _run(context, script)


@when("its owner is suspended for {duration:d} ms and is never suspected")
def when_owner_suspended_briefly(context, duration):
    async def script(world):
        owner = world.owner("customer")
        names = list(world.daemons)

        async def overload(duration_ms):
            await world.offer(
                "customer",
                rate=6 * OVERLOAD_RATE,
                duration_ms=duration_ms,
                choose=lambda: world.rng.choice(names),
            )

        await world.request(owner, "customer")
        await world.hub.clock.sleep(10_000)
        await overload(10_000)
        world.freeze(owner)
        await overload(duration)
        world.wake(owner)
        await overload(5_000)

    context.world = _run(context, script)


@when("a caller's daemon does not know the owner that just started")
def when_newcomer(context):
    async def script(world):
        owner = world.owner("customer")
        last = next(n for n in world.daemons if n != owner)
        for name in world.daemons:
            if name != owner:
                world.hidden.add((name, owner))
        await world.hub.clock.sleep(300)
        second = world.owner("customer", seen_by=last)
        caller = next(n for n in world.daemons if n not in (owner, second))
        world.hidden.discard((second, owner))
        await world.hub.clock.sleep(300)
        await world.offer(
            "customer", rate=5, duration_ms=20_000, choose=lambda: caller
        )
        context.granting = [
            name
            for name, running in world.running.items()
            if running.quota_owner.subset_size("customer") is not None
        ]
        context.owner = owner

    context.world = _run(context, script)


@when("its callers send {rate:d} a second while every daemon stops")
def when_all_stop(context, rate):
    async def script(world):
        names = list(world.daemons)
        for _ in range(4):
            await world.offer(
                "customer",
                rate=rate,
                duration_ms=10_000,
                choose=lambda: names[0],
            )
            world.leaving.update(names[:3] if not world.leaving else names)

    context.world = _run(context, script)


@then("only the owner that just started has granted leases")
def then_one_grants(context):
    assert context.granting == [context.owner], context.granting


@when(
    "a daemon with a lease of {tokens:d} tokens is suspended for"
    " {duration:d} seconds"
)
def when_lessee_suspended(context, tokens, duration):
    held = HeldQuota(now=0.0)
    lease = QuotaLease(
        customer="customer",
        tokens=tokens,
        rate=5.0,
        term_ms=account.LEASE_TERM_MS,
        size=6,
        retry_after_ms=0.0,
    )
    held.add(lease, requested_at=0.0, now=1.0)
    assert held.take(2.0)
    context.taken = held.take(duration * 1000.0)


@then("it has none of them when it resumes")
def then_has_none(context):
    assert context.taken is False


@when("its halves are partitioned for {duration:d} seconds under overload")
def when_cut(context, duration):
    async def script(world):
        names = list(world.daemons)

        async def overload(seconds):
            await world.offer(
                "customer",
                rate=2 * OVERLOAD_RATE,
                duration_ms=seconds * 1000,
                choose=lambda: world.rng.choice(names),
            )

        await overload(5)
        world.cut(names[:3], names[3:])
        world.cut(names[3:], names[:3])
        await overload(duration)
        world.heal()
        await overload(5)

    context.world = _run(context, script)


@then("without tracking lost daemons it exceeds them by more than {most:d}")
def then_untracked_exceeds(context, most):
    retention_ms = fleet.LOSS_RETENTION_MS
    fleet.LOSS_RETENTION_MS = 0.0
    try:
        world = _run(context, context.script)
    finally:
        fleet.LOSS_RETENTION_MS = retention_ms
    assert _excess(context, world) > most, _excess(context, world)


@when("its limit is lowered to {rate:d} under overload")
def when_lowered(context, rate):
    async def script(world):
        names = list(world.daemons)

        async def overload():
            await world.offer(
                "customer",
                rate=3 * context.rate,
                duration_ms=20_000,
                choose=lambda: world.rng.choice(names),
            )

        await overload()
        world.customers["customer"] = attrs.evolve(
            world.customers["customer"],
            requests_per_second=float(rate),
            burst=float(rate),
        )
        context.since = world.now + account.LEASE_TERM_MS
        await overload()

    context.lowered = float(rate)
    context.world = _run(context, script)


@then("after one lease term no time window exceeded the lower limit and burst")
def then_lowered(context):
    times = [t for t in context.world.admitted("customer") if t > context.since]
    over = excess(times, rate=context.lowered, burst=context.lowered)
    assert times
    assert over <= context.lowered * TERM_S, over


@then("the limits fleet refused none of them")
def then_refused_none(context):
    assert len(context.world.admitted("customer")) > 0
    assert context.world.refused("customer") == 0


@then("the limits fleet refused at most {most:d} percent of them")
def then_refused_few(context, most):
    sent = len(context.world.log)
    refused = context.world.refused("customer")
    assert sent > 0
    assert refused <= sent * most / 100, (refused, sent)


@then("the static limits refuse more than half of the same requests")
def then_static_refuses(context):
    world = _run(context, context.script, make_static)
    assert world.refused("customer") > len(world.log) / 2


@then("the limits fleet admitted at least {least:d} percent of the limit")
def then_admitted(context, least):
    admitted = len(context.world.admitted("customer"))
    assert admitted >= context.rate * context.duration * least / 100, admitted


@then("no time window exceeded limit and burst by more than one lease term")
def then_within_term(context):
    over = _excess(context, context.world)
    assert over <= context.rate * TERM_S, over


@then("no time window exceeded limit and burst by more than {most:d}")
def then_within(context, most):
    over = _excess(context, context.world)
    assert len(context.world.admitted("customer")) > 0
    assert over <= most, over


@then("the owner of the limit got at most {most:d} lease requests a second")
def then_lease_requests(context, most):
    per_second = context.world.messages / context.duration
    assert 0 < per_second <= most, per_second


@then("without limits the same requests exceed the limit")
def then_none_exceeds(context):
    world = _run(context, context.script, make_none)
    assert _excess(context, world) > context.rate * TERM_S


@then("no period of only refusals lasted longer than {most:d} ms")
def then_refusals_end(context, most):
    longest = limits_fleet.longest_refusal_ms(context.world.log, "customer")
    assert longest <= most, longest


@when("the limits machine runs {count:d} examples of the project's limits")
def when_machine(context, count):
    context.examples = count
    limits_machine.run(None, examples=count)


@then("the limits oracle finds no violation")
def then_nothing(context):
    assert context.examples > 0


@then("the limits oracle detects static shares and missing limits")
def then_detects(context):
    for make in (make_static, make_none):
        try:
            limits_machine.run(make, examples=context.examples)
        except (AssertionError, BaseExceptionGroup):
            continue
        raise AssertionError(f"{make.__name__} was not detected")
