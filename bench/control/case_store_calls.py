"""Calls to the object service by kind, and bytes that a change costs."""

from __future__ import annotations

import contextlib
from typing import Any
from unittest import mock

from bench.control.configuration_fleet import FleetWorld, play
from bench.control.target import INTERVAL_MS, change_costs, stored_target
from cactusdyke.configuration import peers
from features.support.deployment import Deployment
from standins.virtual import run_virtual

SIZES = (6, 12, 24, 48)
CHANGES = 12
OUTAGE_MS = 3_600_000.0
TINY_OUTAGE_MS = 20_000.0
AFTER_MS = 30_000.0
KINDS = {
    "read": "reads",
    "write": "writes",
    "list": "lists",
    "watch": "watches",
}


async def steady(world: FleetWorld, changes: int) -> dict[str, float]:
    """Counts calls while changes come as often as at the target."""
    world.reset()
    began = world.hub.clock.now()
    for _ in range(changes):
        await world.hub.clock.sleep(INTERVAL_MS)
        await world.change_one()
    seconds = (world.hub.clock.now() - began) / 1_000
    return {
        **{
            f"{plural}_per_s": world.calls[kind] / seconds
            for kind, plural in KINDS.items()
        },
        "store_kb_per_s_per_daemon": (
            world.bytes_read / 1_000 / seconds / len(world.revisions())
        ),
    }


async def outage(world: FleetWorld, duration_ms: float) -> dict[str, float]:
    """Counts calls through an outage and after its end."""
    world.reset()
    world.deployment.store.faults["down"] = True
    await world.hub.clock.sleep(duration_ms)
    calls = world.calls.total()
    world.deployment.store.faults["down"] = False
    world.reset()
    await world.hub.clock.sleep(AFTER_MS)
    return {
        "outage_s": duration_ms / 1_000,
        "calls_per_s_per_daemon_in_it": (
            calls / duration_ms * 1_000 / len(world.revisions())
        ),
        "most_calls_in_a_second_after_it": max(world.by_second.values()),
    }


def all_start(daemons: int) -> dict[str, float]:
    """Starts daemons at once on a configuration of the target's size."""

    async def run() -> dict[str, float]:
        async with Deployment() as deployment:
            world = FleetWorld(deployment)
            world.connect(daemons)
            for version, (key, data) in enumerate(stored_target().items()):
                deployment.store.objects[key] = (version + 1, data)
            names = tuple(f"entry-{n + 1}" for n in range(daemons))
            for name in names:
                await deployment.start_daemon(name, names)
            began = world.hub.clock.now()
            while set(world.revisions().values()) != {1}:
                await world.hub.clock.sleep(1)
            return {
                "all_started_ms": world.hub.clock.now() - began,
                "reads_at_start": world.calls["read"],
                "most_reads_in_a_second": max(world.by_second.values()),
            }

    return run_virtual(run)


def _watchers(count: int | None) -> contextlib.AbstractContextManager[Any]:
    """Sets how many daemons of a data centre watch, None for the usual."""
    if count is None:
        return contextlib.nullcontext()
    return mock.patch.object(peers, "WATCHERS_PER_DATA_CENTRE", count)


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each size and column, and for each layout."""
    rows = []
    for size in SIZES[:1] if tiny else SIZES:
        for column in ("naive", "all daemons watch", "project"):
            with _watchers(1_000 if column.startswith("all") else None):
                counted = play(
                    lambda world: steady(world, 2 if tiny else CHANGES),
                    daemons=size,
                    column="naive" if column == "naive" else "project",
                )
            rows.append({"column": column, "daemons": size, **counted})
    for guarded in (False, True):
        duration_ms = TINY_OUTAGE_MS if tiny else OUTAGE_MS
        counted = play(
            lambda world, ms=duration_ms: outage(world, ms),
            daemons=SIZES[0],
            column="project",
            guarded=guarded,
        )
        column = "project" if guarded else "project, unguarded store"
        rows.append({"column": column, "daemons": SIZES[0], **counted})
    for size in (SIZES[0],) if tiny else (SIZES[0], SIZES[-1]):
        started = all_start(size)
        rows.append({"column": "all start", "daemons": size, **started})
    return rows + change_costs()
