"""Time from an accepted submission to in force at every daemon."""

from __future__ import annotations

import pathlib
import time
from typing import Any

from bench.control.configuration_fleet import FleetWorld, play, spread
from standins.fleet import OPERATOR_TOKEN, request_json, small_fleet

SIZES = (6, 12, 24, 48)
CHANGES = 20
TINY_CHANGES = 2
PROCESSES = 6
PAUSE_MS = 1_700.0
OUTAGE_MS = 600_000.0
FLEET = pathlib.Path("build/bench/in-force-fleet")


async def plain(world: FleetWorld, changes: int) -> list[float]:
    """Nothing is broken."""
    took = []
    for number in range(changes):
        await world.hub.clock.sleep(PAUSE_MS)
        daemon = f"entry-{number % len(world.revisions()) + 1}"
        took.append(await world.change(daemon))
    return took


async def peer_cut(world: FleetWorld, changes: int) -> list[float]:
    """One data centre is cut from the others, but not from the store."""
    names = list(world.revisions())
    for a in names[::3]:
        for b in set(names) - set(names[::3]):
            world.hub.link(a, b).cut = world.hub.link(b, a).cut = True
    return await plain(world, changes)


async def store_cut(world: FleetWorld, changes: int) -> list[float]:
    """One data centre is cut from the store, but not from the others."""
    for a in list(world.revisions())[1::3]:
        world.hub.link(a, "store").cut = True
    took = []
    for _ in range(changes):
        await world.hub.clock.sleep(PAUSE_MS)
        took.append(await world.change())
    return took


async def silent_watches(world: FleetWorld, changes: int) -> list[float]:
    """Every open connection to the store goes silent before each change."""
    took = []
    for _ in range(changes):
        await world.hub.clock.sleep(PAUSE_MS)
        for name in world.revisions():
            world.hub.silence_open(name, "store")
        took.append(await world.change())
    return took


async def outage_end(world: FleetWorld, changes: int) -> list[float]:
    """From the end of an outage; a change is submitted from then on."""
    took = []
    for _ in range(min(changes, 3)):
        world.deployment.store.faults["down"] = True
        await world.hub.clock.sleep(OUTAGE_MS)
        world.deployment.store.faults["down"] = False
        began = world.hub.clock.now()
        marker = float(len(world.sent) + 1)
        sent = await world.submit("entry-1", marker=marker)
        while sent.told[-1][0] != "accepted":
            await world.hub.clock.sleep(100)
            await world.send(sent, "entry-1")
        await world.until_shown(marker)
        took.append(world.hub.clock.now() - began)
    return took


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each size, fault and column."""
    changes = TINY_CHANGES if tiny else CHANGES
    rows = []
    for size in SIZES[:1] if tiny else SIZES:
        for column in ("naive", "project"):
            rows.append(_row(plain, size, changes, column))
    faults = (peer_cut, store_cut, silent_watches, outage_end)
    for size in SIZES[:1] if tiny else (6, 24):
        for story in faults[:3] if tiny else faults:
            rows.append(_row(story, size, changes, "project"))
    if not tiny:
        rows.append(_processes(PROCESSES, changes))
    return rows


def _row(story: Any, size: int, changes: int, column: str) -> dict[str, Any]:
    took = play(
        lambda world: story(world, changes), daemons=size, column=column
    )
    return {
        "column": column,
        "fault": story.__name__,
        "daemons": size,
        "changes": len(took),
        **spread(took),
    }


def _processes(daemons: int, changes: int) -> dict[str, Any]:
    """Measures real processes by asking each in turn for its revision."""
    names = [f"entry-{number}" for number in range(1, daemons + 1)]
    took = []
    with small_fleet(FLEET, daemons=daemons) as (fleet, answers):
        for number in range(changes + 1):
            answers["customers"][0]["burst"] = 1000 + number
            body = {"id": f"change-{number}", "answers": answers}
            address = fleet[names[number % daemons]].address
            revision = request_json(
                "POST",
                address,
                "/v1/submissions",
                body,
                token=OPERATOR_TOKEN,
            )["revision"]
            began = time.monotonic()
            for name in names:
                while _revision(fleet[name].address) < revision:
                    time.sleep(0.002)
            if number:
                took.append((time.monotonic() - began) * 1_000)
    return {
        "column": "project",
        "fault": "real processes",
        "daemons": daemons,
        "changes": changes,
        **spread(took),
    }


def _revision(address: str) -> int:
    status = request_json(
        "GET", address, "/v1/configuration", token=OPERATOR_TOKEN
    )
    return int(status["revision"])
