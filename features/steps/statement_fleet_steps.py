"""Steps for fleets whose replicas leave or ask for rest."""

from __future__ import annotations

import collections

import anyio
from behave import given, then, when

from cactusdyke.serving.statement_exchange import STATEMENTS_PATH
from features.support.statement_fleet import REST_MS, StatementFleet
from standins import virtual

REQUESTS_PER_S = 120.0
LEAVING = ("e0", "e1", "p0")
RESTING = ("e2", "p1")
LEAVE_S = 2.0
LAPSE_S = 5.0
LAPSED_S = 1.0
REST_S = 7.0
RESTED_S = 8.0
END_S = 17.0
KNOWN_MS = 1_000.0
REST_KNOWN_MS = 500.0
CUT_S = (4.0, 4.0)
"""When two daemons are cut from the rest, and for how long."""
MOST_TELLINGS = 4


@given("{count:d} daemons whose replicas leave or ask for rest")
def fleet(context, count):
    context.count = count


@when("they send requests beside {trouble}")
def send(context, trouble):
    context.cut = {"d0", "d1"} if trouble.startswith("two") else set()

    async def run():
        fleet = context.fleet = StatementFleet(
            count=context.count, requests_per_s=REQUESTS_PER_S
        )
        async with fleet, anyio.create_task_group() as tasks:
            tasks.start_soon(_speak, fleet)
            tasks.start_soon(_trouble, fleet, trouble)
            await anyio.sleep(END_S)
            tasks.cancel_scope.cancel()

    virtual.run_virtual(run, seed=1)


async def _speak(fleet):
    await anyio.sleep(LEAVE_S)
    fleet.leaving = set(LEAVING)
    await anyio.sleep(LAPSE_S - LEAVE_S)
    fleet.lapse()
    await anyio.sleep(LAPSED_S)
    fleet.list_again()
    await anyio.sleep(REST_S - LAPSE_S - LAPSED_S)
    fleet.resting = set(RESTING)
    await anyio.sleep(RESTED_S)
    fleet.resting = set()


async def _trouble(fleet, trouble):
    match trouble:
        case "nothing else":
            return
        case "daemons that are killed":
            for _ in range(2):
                await anyio.sleep(4.0)
                await fleet.kill(fleet.decider())
        case "two daemons that are cut from the rest":
            await anyio.sleep(CUT_S[0] - LEAVE_S)
            await fleet.cut_off([0, 1], CUT_S[1])
        case _:
            raise ValueError(trouble)


@then(
    "a second after any was told no daemon in touch sends to a leaving replica"
)
def check_leaving(context):
    fleet = context.fleet
    assert set(fleet.told_at) == set(LEAVING), fleet.told_at
    late = [
        arrival
        for arrival in fleet.arrivals
        if arrival.replica in LEAVING
        and arrival.daemon not in context.cut
        and arrival.at_ms > fleet.told_at[arrival.replica] + KNOWN_MS
    ]
    assert not late, late


@then("no daemon sends to a replica within the rest that it asked for")
def check_resting(context):
    fleet = context.fleet
    assert fleet.refused
    for arrival in fleet.arrivals:
        for at_ms in fleet.refused[arrival.daemon, arrival.replica]:
            since_ms = arrival.at_ms - at_ms
            assert not REST_KNOWN_MS < since_ms < REST_MS, arrival


@then("requests go to the other replicas")
def check_served(context):
    counts = collections.Counter(a.replica for a in context.fleet.arrivals)
    assert not context.fleet.counts["no engine"], context.fleet.counts
    for name in ("e3", "e8", "p2"):
        assert counts[name] > REQUESTS_PER_S / 4, counts


@then("daemons tell each other of a leaving replica a few times at most")
def check_tellings(context):
    tellings = context.fleet.counts[STATEMENTS_PATH]
    most = MOST_TELLINGS * context.count * len(LEAVING)
    assert 0 < tellings <= most, tellings
