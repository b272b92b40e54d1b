"""Steps for replicas that are silent for a while, or for good."""

from __future__ import annotations

import anyio
from behave import given, then, when

from features.steps.platform_forwarding_steps import play
from features.support.platform_rig import route

EVENTS = 6
PAUSE_MS = 2_000.0
"""Longer than a daemon waits if it may go on elsewhere, shorter than a caller
does."""
FOR_GOOD_MS = 60_000.0
CALLER_WAITS_MS = 6_000
OBJECTIVE_MS = 1_000
"""Callers wait four times as long for an event."""
LATE_MS = 4_300
"""From the begin of a stream until it breaks off."""
SILENT_S = 3.2
"""More than half of the time that callers wait."""
SHORT_TIMEOUT_MS = 1_500
WARM_REQUESTS = 12
CALLERS = 4
HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "100,50",
    "X-Prompt-Prefix": "a1:80,b2:20",
    "X-Deadline-Ms": str(CALLER_WAITS_MS),
}
STAGE_HEADERS = {"X-Pieces": "1", "X-Piece-Key": "7c1e07a291bd"}
STREAM = "the middle of a stream"
FIRST_EVENT = "the first event of a stream"
LOOKUP = "the answer to a lookup"


@given("a daemon that has just started")
@given("a daemon that has just started, and two replicas")
def without_share(context):
    context.bounds = {"budget_window_s": 30}
    context.has_stage = context.stage_fills = False


@given("a daemon that has its share of retries, and two replicas")
def with_share(context):
    context.bounds = {}
    context.has_stage = context.stage_fills = False


@given("a stage service")
def with_stage(context):
    context.has_stage = True


@given("a stage service that is full once the stream has begun")
def with_full_stage(context):
    context.has_stage = context.stage_fills = True


def _route(context, service):
    stages = {}
    if context.has_stage:
        stage = {"service": "stage", "after": [], "bytes": 1_000}
        stages = {"stages": [stage]}
    return route(
        "ask",
        service,
        kind="idempotent" if service == "plain" else "streaming",
        sticky=service == "engine",
        resumable=service == "engine",
        timeout_ms=CALLER_WAITS_MS,
        target_latency_ms=OBJECTIVE_MS,
        **stages,
    )


async def _ask(context, world, service, prepare):
    """Asks once; the replica that is asked is late as `prepare` makes it."""
    for name in ("r1", "r2"):
        replica = await world.add_replica(name, service)
        replica.events = EVENTS
        prepare(replica)
    if context.has_stage:
        await world.add_replica("s1", "stage")
    world.configure([_route(context, service)])
    await world.start_daemon("d1")
    path = "/ask/stream" if service == "engine" else "/ask/a"
    headers = HEADERS | (STAGE_HEADERS if context.has_stage else {})
    context.answer = await world.request(path, headers=headers)
    context.replicas = [world.replicas[name] for name in ("r1", "r2")]


def _late_answer(answer, pause_ms):
    """Returns what makes an answer late at each replica."""

    def prepare(replica):
        if answer == LOOKUP:
            replica.work_ms = 0.75 * CALLER_WAITS_MS
        else:
            replica.pause_at = 3 if answer == STREAM else 0
            replica.pause_ms = pause_ms

    return prepare


@when("{answer} is late by a pause of its replica that is sound")
def late(context, answer):
    pause_ms = PAUSE_MS if answer == STREAM else 0.6 * 4 * OBJECTIVE_MS

    async def story(world):
        world.further_bounds = context.bounds
        prepare = _late_answer(answer, pause_ms)
        service = "plain" if answer == LOOKUP else "engine"
        if context.stage_fills:
            world.tasks.start_soon(_fill_stage, world)
        await _ask(context, world, service, prepare)

    play(story)


async def _fill_stage(world):
    """Makes the stage's replica refuse once an engine streams."""
    while not any(r.runs for r in world.replicas.values()):
        await anyio.sleep(0.01)
    world.replicas["s1"].faults.add("full")


@when("{answer} does not come from the replica that was asked")
def hangs(context, answer):
    async def story(world):
        world.further_bounds = context.bounds
        service = "plain" if answer == LOOKUP else "engine"

        def prepare(replica):
            if answer == LOOKUP:
                replica.faults.add("hang")
            else:
                _late_answer(answer, FOR_GOOD_MS)(replica)

        world.tasks.start_soon(_mend_others, world)
        await _ask(context, world, service, prepare)

    play(story)


async def _mend_others(world):
    """Mends the replica that is not asked once the other one is."""
    while not any(r.runs for r in world.replicas.values()):
        await anyio.sleep(0.01)
    for replica in world.replicas.values():
        if not replica.runs:
            replica.faults.clear()
            replica.pause_at = None


@when("a stream breaks off after the time within which it had to begin")
def breaks_late(context):
    async def story(world):
        def prepare(replica):
            replica.event_ms = LATE_MS / EVENTS
            replica.break_at = EVENTS - 1
            replica.faults.add("break")

        world.tasks.start_soon(_mend_others, world)
        await _ask(context, world, "engine", prepare)

    play(story)


@when("its only replica hangs with two requests for half of their time")
def hangs_with_two(context):
    async def story(world):
        world.further_bounds = context.bounds
        replica = await world.add_replica("r1")
        replica.faults.add("hang")
        world.configure([_route(context, "plain")])
        daemon = await world.start_daemon("d1")

        async def ask():
            await world.request("/ask/a", headers=HEADERS)

        for _ in range(2):
            world.tasks.start_soon(ask)
        await anyio.sleep(SILENT_S)
        health = daemon._core.forwarder._health
        context.failures = health._stats["r1"].failures
        context.in_flight = health.in_flight("r1")

    play(story)


@then("the daemon has counted two failures of it, and the requests go on")
def check_counted(context):
    assert context.in_flight == 2, context.in_flight
    assert 1.5 < context.failures <= 2.0, context.failures


@when("the replica that has served hangs, and four callers ask 8 times each")
def served_then_hangs(context):
    async def story(world):
        world.further_bounds = context.bounds
        replicas = [await world.add_replica(name) for name in ("r1", "r2")]
        world.configure([route("ask", "plain", timeout_ms=SHORT_TIMEOUT_MS)])
        await world.start_daemon("d1")
        for _ in range(WARM_REQUESTS):
            await world.request("/ask/a")
        hanging = max(replicas, key=lambda replica: len(replica.heads))
        hanging.faults.add("hang")
        before = len(hanging.heads)

        async def ask():
            for _ in range(8):
                await world.request("/ask/a")

        async with anyio.create_task_group() as callers:
            for _ in range(CALLERS):
                callers.start_soon(ask)
        context.sent_to_hanging = len(hanging.heads) - before

    play(story)


@then("at most one request of each caller is sent to it")
def avoided(context):
    assert context.sent_to_hanging <= CALLERS, context.sent_to_hanging


def _check_whole(context):
    status, _, body = context.answer
    assert status == 200, context.answer
    assert body is not None, "the answer was broken off"
    if body.startswith(b"id:"):
        found = [line for line in body.splitlines() if line.startswith(b"id:")]
        assert found == [b"id: %d" % n for n in range(EVENTS)], body
    else:
        assert body == b"answer to r-1", body


@then("its caller gets it whole, and the other replica was sent nothing")
def whole_from_one(context):
    _check_whole(context)
    runs = sorted(len(replica.runs) for replica in context.replicas)
    assert runs == [0, 1], runs


@then("its caller gets it whole, in part from the other replica")
def whole_from_both(context):
    _check_whole(context)
    runs = [len(replica.runs) for replica in context.replicas]
    assert runs == [1, 1], runs
