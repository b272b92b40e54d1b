"""Orders: calls to the store, time without a holder, and requests cut."""

from __future__ import annotations

from typing import Any

from features.support.order_fleet import NaiveOrderFleet, OrderFleet
from standins.virtual import run_virtual

SIZES = (3, 6, 12, 24, 48)
TINY_SIZES = (3, 6)
STEADY_MS = 60_000.0
SETTLE_MS = 150_000.0
PAUSE_MS = 45_000.0
LIMIT_MS = 120_000.0
VERSIONS = {"naive": NaiveOrderFleet, "project": OrderFleet}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each version and number of daemons."""
    return [
        {"version": version, **run_virtual(_measure, kind, size)}
        for version, kind in VERSIONS.items()
        for size in (TINY_SIZES if tiny else SIZES)
    ]


async def _measure(kind: type, daemons: int) -> dict[str, Any]:
    async with kind(checks_fencing=False, daemons=daemons) as fleet:
        clock = fleet.hub.clock
        await clock.sleep(SETTLE_MS)
        before = sum(fleet.store.counts.values())
        await clock.sleep(STEADY_MS)
        calls = sum(fleet.store.counts.values()) - before
        paused = fleet.holders()[0]
        fleet.hub.freeze(paused)
        fleet.demand = {"summary": 0.0, "quote": 40.0}
        taken = await _until_other(fleet, paused)
        await clock.sleep(PAUSE_MS)
        fleet.hub.wake(paused)
        await clock.sleep(300)
        ordered = await _until_placed(fleet)
        return {
            "daemons": daemons,
            "store_calls_per_s": calls / (STEADY_MS / 1000),
            "taken_over_ms": taken,
            "placed_after_wake_ms": ordered,
            "most_believers": fleet.most_holders,
            "cut": fleet.cut(),
        }


async def _until_other(fleet: OrderFleet, paused: str) -> float:
    began = fleet.hub.clock.now()
    while not [name for name in fleet.holders() if name != paused]:
        if fleet.hub.clock.now() - began > LIMIT_MS:
            break
        await fleet.hub.clock.sleep(50)
    return fleet.hub.clock.now() - began


async def _until_placed(fleet: OrderFleet) -> float:
    """Waits until four of five engines have the model in demand."""
    began = fleet.hub.clock.now()
    while fleet.hub.clock.now() - began < 4 * LIMIT_MS:
        models = [e.orders.desired["models"][0] for e in fleet.engines.values()]
        if models.count("quote") >= len(models) - 1:
            break
        await fleet.hub.clock.sleep(500)
    return fleet.hub.clock.now() - began
