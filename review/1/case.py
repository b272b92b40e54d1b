"""An entry that can't be read, put into the list of replicas.

Callers look units up on kept connections. Then another writer puts an entry
into the list of replicas whose address can't be read. Daemons that end by
themselves are started again, as the platform does.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

from review.rig import callers
from review.rig.world import BROKEN, HELD, World, route, run

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "hire-desk"
ZONES = ("new-norfolk", "glenorchy", "bridgewater")
CALLERS_PER_DAEMON = 4
QUIET_S = 5.0
TROUBLE_S = 20.0
RESTART_S = 1.0
MOST_LOST = 3
"""LOST is broken by more than three requests."""
UNREADABLE = {
    "service": SERVICE,
    "address": "\ufffd\ufffd\ufffd\ufffd:8080",
    "zone": "glenorchy",
    "version": "v1",
    "capacity": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


class Totals:
    """What callers and the platform saw.

    Attributes:
        answers: How often each status was answered.
        lost: Requests from kept connections that a sound replica was passed,
            and whose connection ended without an answer.
        unreached: Connections that could not be made.
        ends: How often each daemon ended by itself.
    """

    def __init__(self) -> None:
        self.answers: dict[int, int] = {}
        self.lost: list[str] = []
        self.unreached = 0
        self.ends: dict[str, int] = {}


async def look_up(world: World, front: tuple[str, int], totals: Totals) -> None:
    """Sends one request after the other, on one connection if it lasts."""
    caller = callers.Caller(front)
    while True:
        request_id = callers.new_id()
        try:
            answered = await caller.ask("/look/unit", request_id=request_id)
        except OSError:
            totals.unreached += 1
            await asyncio.sleep(0.2)
            continue
        status = answered.status
        totals.answers[status] = totals.answers.get(status, 0) + 1
        ran_at = [r.name for r in world.replicas if request_id in r.runs]
        if not status and caller.answered and ran_at:
            totals.lost.append(request_id)
            world.note(f"lost: {request_id}, run by {ran_at[0]}")


async def supervise(world: World, totals: Totals) -> None:
    """Starts daemons again that have ended by themselves."""
    ended_at: dict[str, float] = {}
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(0.05)
        for daemon in world.daemons:
            if daemon.exit_code is None:
                continue
            if daemon.name not in ended_at:
                ended_at[daemon.name] = loop.time()
                totals.ends[daemon.name] = totals.ends.get(daemon.name, 0) + 1
                world.note(f"{daemon.name} ended, exit {daemon.exit_code}")
            elif loop.time() - ended_at[daemon.name] >= RESTART_S:
                del ended_at[daemon.name]
                daemon.start()


async def case(world: World) -> int:
    """Runs the case; returns whether the rule held."""
    for zone in ZONES:
        await world.add_replica(SERVICE, zone)
    world.configure([route("look", "idempotent", SERVICE, max_attempts=2)])
    await world.start_daemons()
    totals = Totals()
    tasks = [asyncio.create_task(supervise(world, totals))]
    for daemon in world.daemons:
        for _ in range(CALLERS_PER_DAEMON):
            work = look_up(world, daemon.front, totals)
            tasks.append(asyncio.create_task(work))
    await asyncio.sleep(QUIET_S)
    world.note(f"before: answers {totals.answers}, lost {len(totals.lost)}")
    if world.trouble:
        world.store.put("servers", "i-7f3a91c2", UNREADABLE)
        world.note(f"entry i-7f3a91c2: {UNREADABLE}")
    await asyncio.sleep(TROUBLE_S)
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)
    world.note(f"answers by status (0: connection closed): {totals.answers}")
    world.note(f"connections that could not be made: {totals.unreached}")
    world.note(f"daemons that ended by themselves: {totals.ends}")
    world.note(f"lost: {len(totals.lost)}, allowed: {MOST_LOST}")
    return BROKEN if len(totals.lost) > MOST_LOST else HELD


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
