"""The daemon through which another one reaches replicas is killed.

A daemon that can't connect to replicas reaches them through another daemon.
The replicas' answers have no length and end with their connection. That other
daemon is killed while answers are on their way.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import signal
import sys

from review.rig import callers
from review.rig.world import BROKEN, HELD, World, route, run

FOLDER = pathlib.Path(__file__).resolve().parent
STREAMS, BOOKINGS = "cactusdyke-pool", "hire-desk"
REPLICA_ZONE = "glenorchy"
"""Daemons of this zone are preferred as the way to its replicas."""
CALLS = 4
EVENTS = 43
EVENT_MS = 100.0
QUEUE_FULL_S = 0.2
KILL_AFTER_S = 2.0
REST_MS = 3_500.0
OK = 200


def is_whole(world: World, answered: callers.wire.Message) -> bool:
    """Returns whether a success holds all that its replica sends."""
    if answered.headers.get("content-type") == "text/event-stream":
        numbers = re.findall(rb"id: (\d+)\n", answered.body)
        return [int(n) for n in numbers] == list(range(1, EVENTS + 1))
    return answered.body == world.replicas[0].body


async def case(world: World) -> int:
    """Runs the case; returns whether the rule held."""
    for service in (STREAMS, BOOKINGS):
        for _ in range(3):
            replica = await world.add_replica(service, REPLICA_ZONE)
            replica.unframed = True
            replica.events, replica.event_ms = EVENTS, EVENT_MS
            replica.rest_ms = REST_MS
    world.configure(
        [
            route("query", "streaming", STREAMS, timeout_ms=15_000),
            route("book", "non_idempotent", BOOKINGS, timeout_ms=15_000),
        ]
    )
    await world.start_daemons()
    if world.trouble:
        for replica in world.replicas:
            await replica.fill_queue()
        world.note("replicas' queues of new connections are full")
    calls = [
        asyncio.create_task(
            callers.call(
                world.daemons[0].front,
                target,
                request_id=callers.new_id(),
                method="POST",
                body=b"{}",
                deadline_ms=15_000,
            )
        )
        for target in ("/query/stream", "/book/unit")
        for _ in range(CALLS)
    ]
    if world.trouble:
        await asyncio.sleep(QUEUE_FULL_S)
        for replica in world.replicas:
            replica.accept_again()
        world.note("replicas accept connections again")
        await asyncio.sleep(KILL_AFTER_S)
        killed = next(d for d in world.daemons if REPLICA_ZONE in d.name)
        killed.signal(signal.SIGKILL)
        world.note(f"{killed.name} is killed")
    answers = await asyncio.gather(*calls)
    wrong = 0
    for answered in answers:
        looks_whole = answered.status == OK and answered.complete
        cut = looks_whole and not is_whole(world, answered)
        wrong += cut
        world.note(
            f"{answered.headers.get('x-attempt-id', '(no id)')}:"
            f" status {answered.status},"
            f" stamp {answered.headers.get('x-response-stamp')},"
            f" {len(answered.body)} bytes,"
            f" {answered.body.count(b'id: ')} events,"
            f" {'ends as complete' if answered.complete else 'breaks off'}"
            f"{': CUT SHORT' if cut else ''}"
        )
    world.note(f"successes that end early and look complete: {wrong}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
