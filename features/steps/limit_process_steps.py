"""Steps for replicas that state limits, with daemons as processes."""

from __future__ import annotations

import itertools

import anyio
from behave import given, then, when

from features.steps.platform_forwarding_steps import (
    STAGE_HEADERS,
    STREAM_HEADERS,
    play,
)
from features.steps.quarantine_process_steps import platform_routes

DAEMONS = ("d1", "d2", "d3")
INTERVAL_S = 0.04
"""Between two requests, 25 a second."""
WORK_MS = {"plain": 120.0, "engine": 120.0, "stage": 60.0}
"""So long that two replicas are busy with these requests."""
LIMITED_S = 8.0
KNOWN_S = 3.0
WINDOW_S = 4.0
MOST = 11
"""One and a half times a limit of one a second in four seconds, and five."""
AFTER_S = 4.0
SETTLED_S = 2.0
"""Within this time an answer has shown that the limit has ended."""
KINDS = {
    "lookup": ("plain", {"path": "/look/a"}),
    "stream": ("engine", {"path": "/talk/stream", "headers": STREAM_HEADERS}),
    "stream with stages": (
        "stage",
        {"path": "/stage/stream", "headers": STAGE_HEADERS},
    ),
}


@given("three daemons and three replicas that serve a {kind}")
def kind_of_request(context, kind):
    context.service, context.request = KINDS[kind]


async def send_for(world, request, seconds, numbers, statuses):
    async def send(number):
        status, _, _ = await world.request(
            daemon=DAEMONS[number % len(DAEMONS)],
            request_id=f"r-{number}",
            **request,
        )
        statuses.append(status)

    async with anyio.create_task_group() as tasks:
        ends_at = anyio.current_time() + seconds
        while anyio.current_time() < ends_at:
            tasks.start_soon(send, next(numbers))
            await anyio.sleep(INTERVAL_S)


@when(
    "one states a limit of 1 a second while callers send 25 requests a second"
)
def states_limit(context):
    async def story(world):
        for service in ("plain", "engine", "stage"):
            for number in range(3):
                name = f"{service}{number}"
                replica = await world.add_replica(name, service)
                replica.work_ms = WORK_MS[service]
        world.configure(platform_routes())
        await world.start_processes(*DAEMONS)
        numbers = itertools.count()
        context.statuses = []
        sending = (world, context.request)
        await send_for(*sending, 2.0, numbers, context.statuses)
        limited = world.replicas[f"{context.service}0"]
        limited.limit = "1"
        context.limited_at = anyio.current_time()
        await send_for(*sending, LIMITED_S, numbers, context.statuses)
        limited.limit = None
        context.ended_at = anyio.current_time()
        await send_for(*sending, AFTER_S, numbers, context.statuses)
        context.arrivals = limited.arrivals

    play(story)


@then("it gets no more than it tolerates, and some")
def check_limit(context):
    bound = [
        at
        for at in context.arrivals
        if context.limited_at + KNOWN_S <= at < context.ended_at
    ]
    assert bound
    for first in bound:
        count = sum(first <= at < first + WINDOW_S for at in bound)
        assert count <= MOST, (count, bound)
    assert set(context.statuses) == {200}, set(context.statuses)


@then("it gets more than that soon after it states none")
def check_ended(context):
    settled_at = context.ended_at + SETTLED_S
    after = [at for at in context.arrivals if at >= settled_at]
    assert len(after) > MOST, len(after)
