"""Steps for slow callers, on loopback with small memory budgets."""

from __future__ import annotations

import re
import socket
from unittest import mock

import anyio
import eliot
import prometheus_client
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.serving.memory_metrics import MemoryMetrics
from cactusdyke.transport import exchange
from cactusdyke.transport.memory_budget import (
    DISCONNECT_MARK,
    MEGABYTE,
    Held,
    Kind,
    MemoryBudget,
)
from features.steps.platform_forwarding_steps import play as play_on_platform
from features.support.platform_rig import HOST as HOST_NAME
from features.support.platform_rig import KEY, route
from features.support.slow_readers import (
    HOST,
    POLICIES,
    SMALL_HOST_MB,
    RecordingBudget,
    World,
)

EVENTS = 4_000
SLOW_CALLERS = 60
SLOW_S = 5.0


async def wait_for(condition, most_s=3.0):
    with anyio.fail_after(most_s):
        while not condition():
            await anyio.sleep(0.02)


def play(story):
    anyio.run(story, backend="asyncio")


@given("callers of a small host that are served {policy}")
def given_policy(context, policy):
    budget, handler = POLICIES[policy]
    context.world = World(budget=budget, handler=handler)


@when("60 callers read answers and streams of a megabyte slowly")
def many_slow_callers(context):
    world = context.world

    async def story():
        async with world.run() as tasks:
            tasks.start_soon(world.ask_fast)
            async with anyio.create_task_group() as callers:
                for number in range(SLOW_CALLERS):
                    target = "/stream" if number % 2 else "/whole"
                    callers.start_soon(world.read_slowly, target, SLOW_S)
                await anyio.sleep(SLOW_S - 1)
                context.unreleased = world.replica.writing

            await wait_for(lambda: not world.budget.held_bytes)

    play(story)


@then("what was held stays below the mark, and replicas are released")
def check_bounds(context):
    world = context.world
    assert world.budget.most <= DISCONNECT_MARK * world.budget.size
    assert context.unreleased == 0, context.unreleased
    assert max(world.replica.held_ms) < 1_000, max(world.replica.held_ms)


@then("each answer is whole, or does not look complete")
def check_endings(context):
    endings = context.world.endings
    assert len(endings) == SLOW_CALLERS
    assert endings.count("whole") >= 2, endings
    assert endings.count("reset") >= 2, endings


@then("others are answered quickly, and nothing is held at the end")
def check_others(context):
    fast = sorted(context.world.fast_ms)
    assert len(fast) > 20, len(fast)
    assert fast[len(fast) * 9 // 10] < 100, fast[-10:]


@then("replicas are not released")
def check_unreleased(context):
    assert context.unreleased >= SLOW_CALLERS // 4, context.unreleased


@then("what was held passes the budget")
def check_over_budget(context):
    assert context.world.budget.most > 2 * context.world.budget.size


@when("one caller reads nothing and another 1 kB a second for 13 seconds")
def stalled_caller(context):
    world = context.world = World(budget=RecordingBudget)

    async def story():
        async with world.run() as tasks:
            tasks.start_soon(world.read_slowly, "/whole", 13.0)
            with await world.connect("/whole"):
                await wait_for(lambda: len(world.budget.readers) == 2)
                await anyio.sleep(8)
                context.before = len(world.budget.readers)
                await anyio.sleep(5)
                context.after = len(world.budget.readers)
            await wait_for(lambda: world.endings, 5.0)

    play(story)


@then("only the one that reads nothing is disconnected, after 10 seconds")
def check_stalled(context):
    counts = context.before, context.after
    assert counts == (2, 1), counts
    assert context.world.endings == ["whole"], context.world.endings


@when("bytes are pending for a stream as {end}")
def pending_stream(context, end):
    cut_after = 512 * 1_024 if end == "its replica cuts it" else None
    world = context.world = World(budget=RecordingBudget, cut_after=cut_after)

    async def story():
        async with world.run() as tasks:
            if end == "the daemon stops":
                tasks.start_soon(world.read_slowly, "/stream", 60.0)
                await wait_for(lambda: world.budget.held_bytes > 300_000)
                with anyio.move_on_after(0.5):
                    await world.front.finish(refuse_at=world.clock.now())
                context.stopped_with = world.front.in_flight
                await world.front.abort()
                world.hurry = True
                await wait_for(lambda: world.endings)
            elif end == "its replica cuts it":
                await world.read_slowly("/stream", 1.0)
            else:
                with await world.connect("/stream"):
                    await wait_for(lambda: world.budget.held_bytes > 300_000)
            await wait_for(lambda: not world.budget.held_bytes)

    play(story)


@when("a caller reads a stream slowly on a stack that does not tell")
def untold_stream(context):
    world = context.world = World(budget=RecordingBudget)

    async def story():
        async with world.run() as tasks:
            tasks.start_soon(world.read_slowly, "/stream", 60.0)
            await wait_for(lambda: world.budget.held_bytes > 300_000)
            # Until a caller has been observed once.
            await anyio.sleep(1.2)
            world.hurry = True
            await wait_for(lambda: world.endings)

    with mock.patch("fcntl.ioctl", side_effect=OSError("not supported")):
        play(story)


@then("it gets the whole stream")
def check_whole_stream(context):
    assert context.world.endings == ["whole"], context.world.endings


@then("they are given back, and the answer does not look complete")
def check_given_back(context):
    world = context.world
    assert world.budget.most > 300_000
    assert not world.budget.readers
    assert set(world.endings) <= {"reset", "cut"}, world.endings
    assert getattr(context, "stopped_with", 1) == 1


async def read_late(world, condition):
    """Reads a stream only once a condition holds; returns its bytes."""
    front = world.settings["d1"].front
    head = (
        f"POST /talk/stream HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Attempt-Id: late\r\nAuthorization: Bearer {KEY}\r\n"
        "X-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Counts: 100,5\r\n"
        "X-Prompt-Prefix: a1:80,b2:20\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    with socket.socket() as raw:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        raw.connect((front.host, front.port))
        raw.sendall(head.encode())
        await wait_for(condition, 6.0)
        received = bytearray()
        raw.settimeout(2.0)
        while data := await anyio.to_thread.run_sync(raw.recv, 65_536):
            received += data
    return bytes(received)


@when("an engine breaks off a stream that its caller has not read yet")
def late_reader(context):
    async def story(world):
        for name in ("e1", "e2"):
            replica = await world.add_replica(name, "engine")
            replica.faults = {"break"}
            replica.events, replica.event_ms = EVENTS, 0.0
            replica.break_at = EVENTS // 2
        world.configure(
            [
                route(
                    "talk",
                    "engine",
                    kind="streaming",
                    resumable=True,
                    max_attempts=3,
                    timeout_ms=9_000,
                )
            ]
        )
        daemon = await world.start_daemon("d1")
        replicas = list(world.replicas.values())

        def both_ran():
            return sum(len(r.runs) for r in replicas) >= 2 and (
                not daemon._core.forwarder._in_flight._requests
            )

        context.received = await read_late(world, both_ran)
        context.runs = [len(r.runs) for r in replicas]

    play_on_platform(story)


@then("the caller gets every event once and in order, from both engines")
def check_events(context):
    assert min(context.runs) >= 1, context.runs
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert body.endswith(b"0\r\n\r\n"), body[-100:]
    numbers = [int(n) for n in re.findall(rb"id: (\d+)\ndata: token-", body)]
    assert numbers == list(range(EVENTS)), numbers[:10]


@when("three bodies of a megabyte come as the budget is spent")
def refused_bodies(context):
    world = context.world = World(budget=RecordingBudget)
    context.registry = prometheus_client.CollectorRegistry()
    MemoryMetrics(context.registry).watch(world.budget)
    context.answers = []
    context.logged = []

    async def send():
        body = b"x" * MEGABYTE
        headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
        address = f"{HOST}:{world.port}"
        async with exchange.connect(address, clock=world.clock) as caller:
            await caller.send("POST", "/fast", headers, body)
            head = await caller.head()
            context.answers.append(
                (head.status, await caller.whole_body(most=99))
            )

    async def story():
        held = Held(world.budget, Kind.BODIES)
        held.set(world.budget.size)
        async with world.run(), anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send)

    eliot.add_destinations(context.logged.append)
    # The first destination gets messages that were logged before it was added.
    context.logged.clear()
    try:
        play(story)
    finally:
        eliot.remove_destination(context.logged.append)


@then("they are refused with 503, counted, and logged once")
def check_refused_bodies(context):
    refused = (503, b"no memory for the body became free")
    assert context.answers == [refused] * 3, context.answers
    metrics = prometheus_client.generate_latest(context.registry).decode()
    assert "cactusdyke_refused_bodies_total 3.0" in metrics, metrics
    assert 'cactusdyke_held_bytes{kind="bodies"}' in metrics, metrics
    lines = [m for m in context.logged if "CD1010" in str(m)]
    assert len(lines) == 1, lines


@when("a request of 8 MB is sent to a replica that does not read")
def slow_replica(context):
    clock = SystemClock()
    budget = MemoryBudget(clock=clock, memory_mb=lambda: SMALL_HOST_MB)

    async def story():
        with socket.create_server((HOST, 0)) as server:
            address = "{}:{}".format(*server.getsockname())
            connections = exchange.SocketConnections(clock=clock, budget=budget)
            with anyio.move_on_after(0.5):
                async with connections.connect(address) as backend:
                    body = b"x" * (8 * MEGABYTE)
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(backend.send, "POST", "/", [], body)
                        await anyio.sleep(0.2)
                        context.held = budget.held_of(Kind.REPLICAS)
        context.held_after = budget.held_bytes

    play(story)


@then("its bytes are held until the request is given up")
def check_slow_replica(context):
    assert context.held >= 8 * MEGABYTE, context.held
    assert context.held_after == 0
