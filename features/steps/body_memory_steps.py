"""Steps for the limit on the memory of all request bodies."""

from __future__ import annotations

import contextlib

import anyio
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.transport.body_memory import (
    MOST_BYTES,
    BodyMemory,
    NoBodyMemoryError,
)
from cactusdyke.transport.exchange import ExchangeError
from features.steps.platform_forwarding_steps import play
from features.support.platform_rig import HOST, KEY, configuration, route
from standins.virtual import run_virtual

MEGABYTE = 1 << 20
ANSWER_TIMEOUT_S = 4.0


@given("bodies that hold nearly all of the memory for bodies")
def given_nearly_full_memory(context):
    context.memory = BodyMemory(clock=EventLoopClock())


async def read(context, size, name):
    """Reads a body and holds it; records when it was read or refused."""
    try:
        with context.memory.hold() as body:
            await body.add(size)
            context.read[name] = anyio.current_time()
            await anyio.sleep_forever()
    except NoBodyMemoryError:
        context.refused[name] = anyio.current_time()


async def hold_bodies(context, *, answered_after_s):
    with context.memory.hold() as body:
        await body.add(MOST_BYTES - 1_000)
        await anyio.sleep(answered_after_s)


def run_bodies(context, names, *, answered_after_s):
    """Runs bodies of a megabyte that come while others hold the memory."""
    context.read = {}
    context.refused = {}

    async def run():
        async with anyio.create_task_group() as tasks:

            async def hold():
                await hold_bodies(context, answered_after_s=answered_after_s)

            tasks.start_soon(hold)
            await anyio.sleep(0.001)
            for name in names:
                tasks.start_soon(read, context, MEGABYTE, name)
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("another body of a megabyte comes")
def another_body(context):
    run_bodies(context, ["one"], answered_after_s=1)


@then("it is read only after one of the others is answered")
def check_read_after_answer(context):
    assert list(context.read) == ["one"]
    assert 1.0 <= context.read["one"] < 1.1, context.read


@when("two more bodies come and the others are answered")
def two_bodies(context):
    run_bodies(context, ["one", "two"], answered_after_s=1)


@then("both are read")
def check_both_read(context):
    assert sorted(context.read) == ["one", "two"], context.read
    assert max(context.read.values()) < 1.1, context.read


@when("another body comes and none is answered")
def none_answered(context):
    run_bodies(context, ["one"], answered_after_s=10)


@then("it is refused after two seconds")
def check_refused(context):
    assert context.read == {}
    assert 2.0 <= context.refused["one"] < 2.1, context.refused


async def unfinished_upload(world, linger_s):
    settings = world.settings["d1"]
    head = (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Content-Length: {8 * MEGABYTE}\r\n\r\n"
    )
    stream = await anyio.connect_tcp(settings.front.host, settings.front.port)
    async with stream:
        with anyio.move_on_after(linger_s):
            await stream.send(head.encode() + b"x" * (7 * MEGABYTE))
            await anyio.sleep(linger_s)


@when("ten bodies of seven megabytes {end} and another request comes")
def unfinished_bodies(context, end):
    linger_s = {"are left by callers": 0.3, "come too slowly": 5.5}[end]

    async def scenario(world):
        await world.add_replica("p1")
        limits = configuration([])["limits"]
        world.configure(
            [route("look", "plain")],
            limits={**limits, "max_body_bytes": 8 * MEGABYTE},
        )
        await world.start_daemon("d1")
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(unfinished_upload, world, linger_s)
                await anyio.sleep(0.1)
        context.answer = None
        with (
            anyio.move_on_after(ANSWER_TIMEOUT_S),
            contextlib.suppress(ExchangeError),
        ):
            context.answer = await world.request(
                "/look/a", body=b"b" * MEGABYTE
            )

    play(scenario)


@then("the request with a body is answered")
def check_answered_body(context):
    assert context.answer is not None, "the body was not read"
    assert context.answer[0] == 200, context.answer
