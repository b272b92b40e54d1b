"""(h) Bookings under kills, freezes and faults of the store."""

from __future__ import annotations

import collections
import random
from typing import Any

import anyio

from features.support.booking_world import STEPS, BookingWorld
from standins.virtual import run_virtual

COLUMNS = (
    ("naive", {"cactusdyke.booking": "bench.naive.bookings"}),
    ("project", None),
)
ROUNDS = 30
TINY_ROUNDS = 2
BOOKINGS_PER_ROUND = 20
FAULTS = ("kill", "freeze", "lose", "late", "one_way", "store_down")
SERVER_FAULTS = ("refuse", "slow", "lose", "kill")
DURATIONS_MS = (50.0, 1_200.0, 2_600.0, 8_000.0)
SPACING_MS = 300.0


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for calls without records and one for the project's."""
    return [
        {"column": column, **_column(tiny, replacements)}
        for column, replacements in COLUMNS
    ]


def _column(tiny: bool, replacements: Any) -> dict[str, Any]:
    totals: collections.Counter[str] = collections.Counter()
    for seed in range(TINY_ROUNDS if tiny else ROUNDS):
        totals.update(run_virtual(_round, seed, replacements))
    writes = totals.pop("clean_writes") / totals.pop("clean_bookings")
    return {**totals, "writes_per_booking": writes}


async def _round(seed: int, replacements: Any) -> collections.Counter[str]:
    """Books under the same faults for either column."""
    rng = random.Random(seed)
    async with BookingWorld(seed=seed, replacements=replacements) as world:
        clean = await _clean_writes(world)
        for number in range(BOOKINGS_PER_ROUND):
            step, fault = rng.choice(STEPS), rng.choice(FAULTS)
            server = rng.choice(("plain-1", "plain-2"))
            server_fault = rng.choice(SERVER_FAULTS)
            duration_ms = rng.choice(DURATIONS_MS)
            if number % 2:
                world.arm(step, fault, duration_ms)
            if number % 5 == 0:
                world.strike_server(server_fault, server, duration_ms)
            world.book_with_client(f"h{number}", number)
            await world.hub.clock.sleep(SPACING_MS)
        await world.heal()
        clean.update(_judged(world))
        return clean


async def _clean_writes(world: BookingWorld) -> collections.Counter[str]:
    before = world.record_writes
    for number in range(BOOKINGS_PER_ROUND):
        await world.book_and_wait("entry-1", f"clean-{number}", number)
    await anyio.sleep(1.0)
    return collections.Counter(
        clean_writes=world.record_writes - before,
        clean_bookings=BOOKINGS_PER_ROUND,
    )


def _judged(world: BookingWorld) -> collections.Counter[str]:
    judged = collections.Counter(
        bookings=0, answered=0, doubled=0, false_not_run=0, not_run=0, unknown=0
    )
    for said in world.client_said:
        executions = world.executions(said.key)
        judged["bookings"] += 1
        judged["answered"] += said.output is not None
        judged["doubled"] += executions > 1
        judged["not_run"] += said.ran == "not_run"
        judged["false_not_run"] += said.ran == "not_run" and executions > 0
        judged["unknown"] += said.ran == "unknown"
    return judged
