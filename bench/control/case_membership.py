"""Membership: cost by daemon, and time to notice, by size of the fleet."""

from __future__ import annotations

from typing import Any

from bench.naive.members import FullMeshMembers
from cactusdyke.membership.members import Members
from features.support.member_fleet import MemberFleet
from standins.virtual import run_virtual

SIZES = (6, 12, 24, 48)
TINY_SIZES = (4, 8)
STEADY_MS = 30_000.0
JOIN_LIMIT_MS = 120_000.0
NOTICE_LIMIT_MS = 60_000.0
TARGET = 350
VERSIONS = {"naive": FullMeshMembers, "project": Members}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each version and size, and for the slope at 350."""
    sizes = TINY_SIZES if tiny else SIZES
    rows = []
    for version, kind in VERSIONS.items():
        measured = [run_virtual(_measure, kind, size) for size in sizes]
        rows += [{"version": version, **row} for row in measured]
        rows.append({"version": version, **_at_target(measured)})
    return rows


async def _measure(kind: type, count: int) -> dict[str, Any]:
    async with MemberFleet(kind=kind) as fleet:
        fleet.start_all(count)
        joined = await fleet.until(
            lambda: all(len(fleet.listed(n)) == count for n in fleet.names),
            limit_ms=JOIN_LIMIT_MS,
        )
        await fleet.hub.clock.sleep(STEADY_MS)
        steady = await _steady(fleet)
        leaving = await _leave(fleet, fleet.names[-1])
        dead = await _kill(fleet, fleet.names[-2])
        return {
            "daemons": count,
            **steady,
            "join_ms": joined,
            "leaving_unlisted_ms": leaving,
            "dead_unlisted_ms": dead,
        }


async def _steady(fleet: MemberFleet) -> dict[str, float]:
    traffic = [daemon.traffic for daemon in fleet.daemons.values()]
    before = [(t.messages_sent, t.bytes_sent) for t in traffic]
    await fleet.hub.clock.sleep(STEADY_MS)
    seconds = STEADY_MS / 1000 * len(traffic)
    after = [(t.messages_sent, t.bytes_sent) for t in traffic]
    pairs = list(zip(before, after, strict=True))
    return {
        "messages_per_s": sum(b[0] - a[0] for a, b in pairs) / seconds,
        "bytes_per_s": sum(b[1] - a[1] for a, b in pairs) / seconds,
    }


async def _leave(fleet: MemberFleet, name: str) -> float:
    began = fleet.hub.clock.now()
    await fleet.leave(name)
    await _unlisted(fleet, name)
    return fleet.hub.clock.now() - began


async def _kill(fleet: MemberFleet, name: str) -> float:
    began = fleet.hub.clock.now()
    fleet.kill(name)
    await _unlisted(fleet, name)
    return fleet.hub.clock.now() - began


async def _unlisted(fleet: MemberFleet, name: str) -> None:
    await fleet.until(
        lambda: all(name not in fleet.listed(n) for n in fleet.daemons),
        limit_ms=NOTICE_LIMIT_MS,
    )


def _at_target(rows: list[dict[str, Any]]) -> dict[str, Any]:
    first, last = rows[0], rows[-1]
    grown = last["daemons"] - first["daemons"]
    projected: dict[str, Any] = {"daemons": f"{TARGET} by slope"}
    for name in ("messages_per_s", "bytes_per_s"):
        slope = (last[name] - first[name]) / grown
        projected[name] = last[name] + slope * (TARGET - last["daemons"])
    return projected
