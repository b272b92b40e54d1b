"""Steps for fleets of daemons whose engines state limits."""

from __future__ import annotations

import anyio
from behave import given, then, when

from features.steps.stage_queue_steps import machine_fails
from features.support import limit_machine
from features.support.limit_fleet import LIMITED, LimitFleet
from standins import virtual

REQUESTS_PER_S = 90.0
WINDOW_MS = 4_000.0
KNOWN_MS = 3_000.0
OVERSHOOT = 1.5
SLACK = 5.0
CHANGES = ((3.0, 1.0), (11.0, 4.0), (18.0, None), (22.0, 0.5))
"""When the limit of the engines changes, in seconds, and to what."""
END_S = 30.0


@given("{count:d} daemons whose engines state limits")
def fleet(context, count):
    context.count = count


@when("they serve requests beside {trouble}")
def serve(context, trouble):
    async def run():
        fleet = context.fleet = LimitFleet(
            count=context.count, requests_per_s=REQUESTS_PER_S
        )
        async with fleet, anyio.create_task_group() as tasks:
            tasks.start_soon(_change_limits, fleet, context)
            tasks.start_soon(_trouble, fleet, trouble)
            await anyio.sleep(END_S)
            context.known_limits = fleet.known_limits()
            tasks.cancel_scope.cancel()

    virtual.run_virtual(run, seed=1)


async def _change_limits(fleet, context):
    context.periods = []
    began = anyio.current_time()
    for at_s, limit in CHANGES:
        await anyio.sleep(began + at_s - anyio.current_time())
        fleet.limit = limit
        context.periods.append((fleet.hub.clock.now(), limit))
    await anyio.sleep_forever()


async def _trouble(fleet, trouble):
    match trouble:
        case "nothing else":
            return
        case "deciders that stop in turn":
            for _ in range(3):
                await anyio.sleep(6.5)
                await fleet.stop(fleet.decider())
        case "deciders that are killed":
            for _ in range(2):
                await anyio.sleep(7.0)
                await fleet.kill(fleet.decider())
        case "deciders that freeze":
            for _ in range(3):
                await anyio.sleep(5.0)
                await fleet.freeze(fleet.decider(), 3.0)
        case "two daemons that are cut from the rest":
            await anyio.sleep(7.0)
            decider = fleet.decider()
            beside = next(n for n in range(2) if n != decider)
            await fleet.cut_off([decider, beside], 9.0)
        case _:
            raise ValueError(trouble)


def _periods(context):
    ends = [at for at, _ in context.periods[1:]] + [END_S * 1_000 + 1e9]
    return [
        (began, ended, limit)
        for (began, limit), ended in zip(context.periods, ends, strict=True)
    ]


@then("no engine gets more than it tolerates, three seconds after each change")
def check_bound(context):
    for began, ended, limit in _periods(context):
        if limit is None:
            continue
        most = OVERSHOOT * limit * WINDOW_MS / 1_000 + SLACK
        for name in LIMITED:
            at = [
                a.at_ms
                for a in context.fleet.arrivals
                if a.replica == name and began + KNOWN_MS <= a.at_ms < ended
            ]
            for first in at:
                count = sum(first <= other < first + WINDOW_MS for other in at)
                assert count <= most, (name, limit, count, most, first)


@then("the limited engines get some requests, and the decider knows the limits")
def check_served(context):
    assert {a.replica for a in context.fleet.arrivals} == set(LIMITED)
    assert context.known_limits == len(LIMITED), context.known_limits
    assert not context.fleet.counts["no engine"], context.fleet.counts


@when("the machine of a stated limit runs 60 examples")
def run_machine(context):
    context.violation = machine_fails(limit_machine.LimitMachine, 60)


@then("no example exceeds the stated limit")
def check_machine(context):
    assert not context.violation, context.violation


@then("daemons that leave out any of the guards exceed it")
def check_naive_machines(context):
    for naive in (
        limit_machine.OwnLimitMachine,
        limit_machine.NaiveMachine,
        limit_machine.AnySideMachine,
        limit_machine.AnyDeciderMachine,
    ):
        found = machine_fails(naive, 60)
        assert "requests in four seconds" in found, (naive.__name__, found)
