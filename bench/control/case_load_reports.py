"""Load reports: age at the routers and cost by daemon, three ways."""

from __future__ import annotations

import statistics
from typing import Any

from bench.control.case_membership import TARGET
from bench.naive.collectors import AllReadAll, PiggybackOnly
from cactusdyke.load.collector import LoadCollector
from features.support.load_fleet import LoadFleet
from standins.virtual import run_virtual

SIZES = (6, 12, 24, 48)
TINY_SIZES = (3, 6)
REPLICAS_A_DAEMON = 1800 / 350
WARM_MS = 20_000.0
WINDOW_MS = 10_000.0
SAMPLES = 5
VERSIONS = {
    "all read all": AllReadAll,
    "answers only": PiggybackOnly,
    "project": LoadCollector,
}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each version and size, and for the slope at 350."""
    rows = []
    for version, kind in VERSIONS.items():
        measured = [
            run_virtual(_measure, kind, size)
            for size in (TINY_SIZES if tiny else SIZES)
        ]
        rows += [{"version": version, **row} for row in measured]
        rows.append({"version": version, **_at_target(measured)})
    return rows


async def _measure(kind: type, count: int) -> dict[str, Any]:
    replicas = round(count * REPLICAS_A_DAEMON)
    async with LoadFleet(replicas=replicas, collector=kind) as load:
        fleet = load.fleet
        fleet.start_all(count)
        await fleet.hub.clock.sleep(WARM_MS)
        traffic = [d.traffic for d in fleet.daemons.values()]
        messages = sum(t.messages_sent for t in traffic)
        size = sum(t.bytes_sent for t in traffic)
        ages = []
        for _ in range(SAMPLES):
            await fleet.hub.clock.sleep(WINDOW_MS / SAMPLES + 37)
            ages += load.ages()
        seconds = (WINDOW_MS + 37 * SAMPLES) / 1000 * count
        return {
            "daemons": count,
            "replicas": replicas,
            "messages_per_s": (sum(t.messages_sent for t in traffic) - messages)
            / seconds,
            "bytes_per_s": (sum(t.bytes_sent for t in traffic) - size)
            / seconds,
            "median_age_ms": statistics.median(ages),
            "worst_age_ms": max(ages),
        }


def _at_target(rows: list[dict[str, Any]]) -> dict[str, Any]:
    first, last = rows[0], rows[-1]
    # What a daemon holds grows with the replicas of its data centre: 180 of
    # ten data centres at the target, a third of all here.
    before, after = first["replicas"] / 3, last["replicas"] / 3
    row: dict[str, Any] = {"daemons": f"{TARGET} by slope", "replicas": 1800}
    for name in ("messages_per_s", "bytes_per_s"):
        slope = (last[name] - first[name]) / (after - before)
        row[name] = last[name] + slope * (180 - after)
    return row
