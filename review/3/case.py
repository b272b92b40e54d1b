"""A replica spoils a few streams that the system may resume.

One replica of three hands out wrong bytes in three of a hundred answers: the
number of an event is wrong. It writes that event together with the two before
it. The system may go on with the stream at another replica.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys
from typing import TYPE_CHECKING

from review.rig import callers
from review.rig.replica import event
from review.rig.world import BROKEN, HELD, ZONES, World, route, run

if TYPE_CHECKING:
    from review.rig.replica import Replica

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "cactusdyke-pool"
EVENTS = 13
STREAMS_AT_ONCE = 24
ROUNDS = 12
SPOILED_EACH = 33
"""Of so many answers of the replica, one is spoiled: 3 in 100."""
SPOILED_EVENT = 7
WRITTEN_TOGETHER = (SPOILED_EVENT - 2, SPOILED_EVENT - 1)
WRONG_NUMBER = 71
OK = 200


def spoil_some(world: World, replica: Replica) -> set[str]:
    """Lets a replica spoil some streams; returns their ids."""
    spoiled: set[str] = set()

    def write(request_id: str, number: int) -> bytes:
        if number == 1 and not replica.runs.index(request_id) % SPOILED_EACH:
            spoiled.add(request_id)
            world.note(f"{replica.name} spoils event 7 of {request_id}")
        if request_id not in spoiled or number > SPOILED_EVENT:
            return event(number)
        if number in WRITTEN_TOGETHER:
            return b""
        if number == SPOILED_EVENT:
            before = b"".join(event(n) for n in WRITTEN_TOGETHER)
            return before + event(WRONG_NUMBER)
        return event(number)

    replica.spoil = write
    return spoiled


async def case(world: World) -> int:
    """Runs the case; returns whether the rule held."""
    for zone in ZONES:
        replica = await world.add_replica(SERVICE, zone)
        replica.events = EVENTS
    world.configure(
        [
            route(
                "digest",
                "streaming",
                SERVICE,
                timeout_ms=8_000,
                target_latency_ms=1_600,
                max_attempts=2,
                resumable=True,
            )
        ]
    )
    await world.start_daemons()
    spoiled: set[str] = set()
    if world.trouble:
        spoiled = spoil_some(world, world.replicas[0])
    wrong, complete = 0, 0
    for _ in range(ROUNDS):
        answers = await asyncio.gather(
            *(
                callers.call(
                    world.daemons[n % len(world.daemons)].front,
                    "/digest/stream",
                    request_id=callers.new_id(),
                    method="POST",
                    body=b"{}",
                    deadline_ms=8_000,
                )
                for n in range(STREAMS_AT_ONCE)
            )
        )
        for answered in answers:
            numbers = [
                int(n) for n in re.findall(rb"id: (\d+)\n", answered.body)
            ]
            if answered.status != OK or not answered.complete:
                world.note(
                    f"{answered.headers.get('x-attempt-id', '(no id)')}:"
                    f" status {answered.status}, breaks off after {numbers}"
                )
                continue
            complete += 1
            if numbers != list(range(1, EVENTS + 1)):
                wrong += 1
                world.note(
                    f"{answered.headers['x-attempt-id']}: complete, but with"
                    f" the events {numbers}"
                )
    ran = {r.name: len(r.runs) for r in world.replicas}
    world.note(f"runs by replica: {ran}; spoiled: {len(spoiled)}")
    world.note(f"complete streams: {complete}; lacking events: {wrong}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
