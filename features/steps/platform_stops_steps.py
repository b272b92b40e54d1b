"""Steps of planned stops, with each daemon as a process of its own."""

from __future__ import annotations

import contextlib

import anyio
import eliot
from behave import then, when

from cactusdyke.transport.exchange import ExchangeError
from features.steps.platform_forwarding_steps import (
    LARGE_BYTES,
    STAGE_HEADERS,
    STREAM_HEADERS,
    play,
    runs,
)
from features.support.platform_rig import (
    HOST,
    KEY,
    configuration,
    route,
    until,
)

LONG_MS = 20_000
STREAMS = 5
SLOW_CALL_MS = 4_000
LAST_S = 0.8
HELD_UP_MS = 10_000.0
"""Longer than any stop of these stories."""


async def ask(context, world, path, **changes):
    """Notes what a caller gets, and when; None for a connection that closed."""
    try:
        context.answer = await world.request(path, **changes)
    except ExchangeError:
        context.answer = None
    context.answered_at = anyio.current_time()


async def stop(context, world, process):
    """Stops a daemon; notes when it had ended, and what it logged."""
    context.asked_at = anyio.current_time()
    await process.stop()
    context.ended_at = anyio.current_time()
    context.cut = process.logged("CD4304")
    context.ended = process.logged("CD1003")
    context.runs = runs(world)


async def held_up_world(world):
    """Starts a daemon whose stage replica takes its time."""
    world.grace_s = 5
    await world.add_replica("e1", "engine")
    stage = await world.add_replica("s1", "stage")
    stage.work_ms = HELD_UP_MS
    world.configure(
        [
            route(
                "talk",
                "engine",
                kind="streaming",
                timeout_ms=LONG_MS,
                target_latency_ms=2_000,
                stages=[{"service": "stage", "after": [], "bytes": 1_000}],
            )
        ]
    )
    return await world.start_process("d1")


async def ask_staged(context, world):
    headers = {**STAGE_HEADERS, "X-Pieces": "1", "X-Deadline-Ms": str(LONG_MS)}
    await ask(context, world, "/talk/stream", headers=headers)


@when("a daemon is asked to stop and reads a request that its stages hold up")
def held_up_after_signal(context):
    async def story(world):
        process = await held_up_world(world)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop, context, world, process)
            await anyio.sleep(0.3)
            await ask_staged(context, world)

    play(story)


@when("a daemon is asked to stop under a request that its stages hold up")
def held_up_before_signal(context):
    async def story(world):
        process = await held_up_world(world)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_staged, context, world)
            await until(lambda: bool(world.replicas["s1"].stage_calls))
            await stop(context, world, process)

    play(story)


@then("the caller is told before the end that it did not run")
def check_refused(context):
    assert context.answer is not None, "closed without an answer"
    status, headers, _ = context.answer
    assert status == 503, context.answer
    assert 0 < float(headers["retry-after"]) < 1
    assert context.runs == []
    assert context.answered_at < context.ended_at


@then("nothing was cut by the daemon's end")
def check_nothing_cut(context):
    assert context.cut == []
    assert [line["in_flight"] for line in context.ended] == [0]


@when("a daemon is asked to stop while a replica holds a booking for longer")
def held_booking(context):
    async def story(world):
        world.grace_s = 4
        replica = await world.add_replica("p1")
        replica.faults.add("hang")
        world.configure(
            [
                route(
                    "look",
                    "plain",
                    kind="non_idempotent",
                    timeout_ms=LONG_MS,
                )
            ]
        )
        process = await world.start_process("d1")
        headers = {"X-Deadline-Ms": str(LONG_MS)}
        async with anyio.create_task_group() as tasks:

            async def book():
                await ask(context, world, "/look/a", headers=headers)

            tasks.start_soon(book)
            await until(lambda: bool(replica.runs))
            await stop(context, world, process)

    play(story)


@then("the caller is told before the end that its outcome is unknown")
def check_unknown(context):
    assert context.answer is not None, "closed without an answer"
    status, headers, _ = context.answer
    assert status in {502, 504}, context.answer
    assert "retry-after" not in headers
    assert context.runs == ["r-1"]
    assert context.answered_at < context.ended_at


@when("a booking comes in the last second of a stop, and its replica holds it")
def last_second_booking(context):
    async def story(world):
        world.grace_s = context.grace_s = 4
        replica = await world.add_replica("p1")
        replica.faults.add("hang")
        bookings = {"kind": "non_idempotent", "timeout_ms": LONG_MS}
        world.configure([route("look", "plain", **bookings)])
        process = await world.start_process("d1")
        headers = {"X-Deadline-Ms": str(LONG_MS)}
        async with anyio.create_task_group() as tasks:

            async def first():
                with contextlib.suppress(ExchangeError):
                    await world.request("/look/a", headers=headers)

            # The daemon does not end before this one is answered.
            tasks.start_soon(first)
            await until(lambda: bool(replica.runs))
            settings = world.settings["d1"].front
            stream = await anyio.connect_tcp(settings.host, settings.port)
            async with stream:
                tasks.start_soon(stop, context, world, process)
                await anyio.sleep(world.grace_s - LAST_S)
                await stream.send(head_of_body(0).replace(b"r-1", b"r-late"))
                context.answer = b""
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    context.answer = await stream.receive()
                context.answered_at = anyio.current_time()

    play(story)


@then("the caller learns before the end what is known of its booking")
def check_last_second(context):
    assert context.answer, "closed without an answer"
    status = int(context.answer.split(b" ", 2)[1])
    ran = "r-late" in context.runs
    assert status in ({502, 504} if ran else {503}), (status, context.runs)
    # The platform kills what is left then; the rig does not.
    assert context.answered_at - context.asked_at < context.grace_s


def head_of_body(length):
    """Returns the head of a request whose body has that length."""
    return (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r-1\r\n"
        f"X-Deadline-Ms: {LONG_MS}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def send_body(context, world, *, parts, every_s):
    """Sends a body a byte at a time; notes the answer that comes."""
    settings = world.settings["d1"]
    got = b""
    stream = await anyio.connect_tcp(settings.front.host, settings.front.port)
    async with stream, anyio.create_task_group() as tasks:

        async def send():
            await stream.send(head_of_body(parts))
            for _ in range(parts):
                await anyio.sleep(every_s)
                await stream.send(b"x")

        tasks.start_soon(send)
        try:
            while not got.endswith(b"\n") and b"answer to" not in got:
                got += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        context.answered_at = anyio.current_time()
        tasks.cancel_scope.cancel()
    context.got = got


@when("the body of a request arrives over the moment at which a stop is idle")
def body_over_idle(context):
    async def story(world):
        world.grace_s = 8
        await world.add_replica("p1")
        world.configure([route("look", "plain", timeout_ms=LONG_MS)])
        process = await world.start_process("d1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop, context, world, process)
            await anyio.sleep(2.5)
            await send_body(context, world, parts=5, every_s=0.3)

    play(story)


@then("the caller has the replica's answer")
def check_body_served(context):
    assert context.got.startswith(b"HTTP/1.1 200 "), context.got
    assert context.got.endswith(b"answer to r-1"), context.got
    assert context.runs == ["r-1"]


@when("a daemon is asked to stop under a body that goes on for longer")
def body_over_end(context):
    async def story(world):
        world.grace_s = 4
        await world.add_replica("p1")
        world.configure([route("look", "plain", timeout_ms=LONG_MS)])
        process = await world.start_process("d1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop, context, world, process)
            await send_body(context, world, parts=100, every_s=0.2)
        context.answer = refusal(context.got)

    play(story)


def refusal(got):
    """Returns status, headers and body of an answer, None if there is none."""
    head, _, body = got.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    if not status:
        return None
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return int(status.split()[1]), headers, body


@when("a daemon is asked to stop under an answer that nobody reads")
def stop_under_stalled_reader(context):
    async def story(world):
        world.grace_s = 6
        replica = await world.add_replica("p1")
        replica.padding = b"x" * LARGE_BYTES
        replica.work_ms = 1_900.0
        world.configure([route("look", "plain", timeout_ms=LONG_MS)])
        process = await world.start_process("d1")
        settings = world.settings["d1"]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop, context, world, process)
            await anyio.sleep(2.6)
            stream = await anyio.connect_tcp(
                settings.front.host, settings.front.port
            )
            async with stream:
                await stream.send(head_of_body(0))
                await anyio.sleep(5.0)
        (asked,) = process.logged("CD1002")
        (ended,) = process.logged("CD1003")
        context.stop_ms = ended["at"] - asked["at"]
        context.grace_ms = world.grace_s * 1_000

    play(story)


@then("it has ended by itself before it would be killed")
def check_ended(context):
    assert context.runs == ["r-1"]
    assert context.stop_ms < context.grace_ms, context.stop_ms


@when("a daemon is asked to stop under a request and can't announce it")
def stop_unannounced(context):
    async def story(world):
        replica = await world.add_replica("p1")
        replica.work_ms = 1_000.0
        world.configure([route("look", "plain")])
        daemon = await world.start_daemon("d1")

        async def fail():
            raise RuntimeError("the announcement failed")

        daemon._members.announce_stop = fail
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, context, world, "/look/a")
            await until(lambda: bool(replica.runs))
            await daemon.stop()

    context.log = []
    eliot.add_destinations(context.log.append)
    try:
        play(story)
    finally:
        eliot.remove_destination(context.log.append)


@then("the request is answered before the daemon ends")
def check_unannounced(context):
    assert context.answer is not None, "closed without an answer"
    assert context.answer[0] == 200, context.answer
    assert "the announcement failed" in str(context.log)


@when("more callers come to a daemon than it has descriptors for")
def out_of_descriptors(context):
    async def story(world):
        replica = await world.add_replica("p1")
        replica.work_ms = 1_000.0
        world.configure([route("look", "plain")])
        # More than the kernel grants, or the daemon would keep below the limit.
        world.host_limits = {"max_fds": 4_100}
        process = await world.start_process("d1", most_descriptors=64)
        settings = world.settings["d1"]
        async with contextlib.AsyncExitStack() as callers:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, context, world, "/look/a")
                await until(lambda: bool(replica.runs))
                with contextlib.suppress(OSError):
                    for _ in range(80):
                        caller = await anyio.connect_tcp(
                            settings.front.host, settings.front.port
                        )
                        await callers.enter_async_context(caller)
            context.under_way = context.answer
        await anyio.sleep(0.5)
        await ask(context, world, "/look/a", request_id="r-2")
        await process.stop()
        context.warned = process.logged("CD1008")

    play(story)


@then("the request under way is answered, and new callers are served later")
def check_descriptors(context):
    assert context.under_way is not None, "closed without an answer"
    assert context.under_way[0] == 200, context.under_way
    assert context.answer is not None, "the daemon has ended"
    assert context.answer[0] == 200, context.answer
    assert context.warned


@when("two requests come at once on a connection to a stopping daemon")
def two_at_once(context):
    async def story(world):
        world.grace_s = 8
        await world.add_replica("p1")
        world.configure([route("look", "plain")])
        daemon = await world.start_daemon("d1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemon.stop)
            await until(lambda: daemon._stopping.started)
            context.got = await world.raw(head_of_body(0) * 2)
            tasks.cancel_scope.cancel()

    play(story)


@then("both are answered, and only the last answer asks the caller to leave")
def check_two(context):
    answers = context.got.split(b"HTTP/1.1 200 ")[1:]
    assert len(answers) == 2, context.got
    asked = [b"connection: close" in answer.lower() for answer in answers]
    assert asked == [False, True], context.got


@when("a daemon is asked to stop while it makes another one's pieces")
def stop_under_others_pieces(context):
    async def story(world):
        world.grace_s = 8
        await world.add_replica("p1")
        stage = await world.add_replica("s1", "stage")
        stage.work_ms = SLOW_CALL_MS
        services = configuration([])["services"]
        services[2]["pieces"].update(call_ms=SLOW_CALL_MS, handle_s=20)
        stages = [{"service": "stage", "after": [], "bytes": 1_000}]
        world.configure(
            [route("look", "plain", timeout_ms=LONG_MS, stages=stages)],
            services=services,
        )
        process = await world.start_process("d1")
        # A daemon that has run for two seconds goes before others.
        await anyio.sleep(2.2)
        seeds = [world.settings["d1"].peer.address]
        other = await world.start_daemon("d2", seeds=seeds)
        await until(lambda: other._core.decider_of("stage") == "d1")
        headers = {
            "X-Pieces": "1",
            "X-Piece-Key": "k",
            "X-Deadline-Ms": str(LONG_MS),
        }
        async with anyio.create_task_group() as tasks:

            async def ask_other():
                await ask(
                    context, world, "/look/a", daemon="d2", headers=headers
                )

            tasks.start_soon(ask_other)
            await until(lambda: bool(stage.stage_calls))
            await stop(context, world, process)
        context.stage_calls = stage.stage_calls

    play(story)


@then("they are made once, and the other one's caller has its answer")
def check_others_pieces(context):
    assert context.answer is not None
    assert context.answer[0] == 200, context.answer
    assert context.stage_calls == [1], context.stage_calls


@when("a stream comes three seconds after a daemon was asked to stop")
def late_stream(context):
    async def story(world):
        world.grace_s = 8
        replica = await world.add_replica("p1")
        replica.work_ms = HELD_UP_MS
        await world.add_replica("e1", "engine")
        world.configure(
            [
                route("look", "plain", timeout_ms=LONG_MS),
                route("talk", "engine", kind="streaming", timeout_ms=LONG_MS),
            ]
        )
        daemon = await world.start_daemon("d1")
        async with anyio.create_task_group() as tasks:

            async def hold():
                headers = {"X-Deadline-Ms": str(LONG_MS)}
                await world.request("/look/a", headers=headers)

            tasks.start_soon(hold)
            await until(lambda: bool(replica.runs))
            tasks.start_soon(daemon.stop)
            await anyio.sleep(3.1)
            context.answer = await world.request(
                "/talk/stream", request_id="r-2", headers=STREAM_HEADERS
            )
            tasks.cancel_scope.cancel()
        context.runs = world.replicas["e1"].runs

    play(story)


@when("a daemon is asked to stop under streams that last longer")
def stop_under_streams(context):
    async def story(world):
        world.grace_s = 1
        engine = await world.add_replica("e1", "engine")
        engine.events = 100
        engine.event_ms = 100.0
        world.configure(
            [route("talk", "engine", kind="streaming", timeout_ms=LONG_MS)]
        )
        process = await world.start_process("d1")
        context.answers = []

        async def stream(number):
            answer = await world.request(
                "/talk/stream", request_id=f"r-{number}", headers=STREAM_HEADERS
            )
            context.answers.append(answer)

        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(stream, number)
            await until(lambda: len(engine.runs) == STREAMS)
            await stop(context, world, process)

    play(story)


@then("the log tells how many requests were cut, and where each one was")
def check_cut(context):
    for status, _, body in context.answers:
        assert (status, body) == (200, None), "it must not look complete"
    assert len(context.cut) == STREAMS
    for line in context.cut:
        assert line["waiting_for"] == ["e1"]
        assert line["events"] > 0
    assert [line["in_flight"] for line in context.ended] == [STREAMS]
