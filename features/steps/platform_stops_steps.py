"""Steps of planned stops, with each daemon as a process of its own."""

from __future__ import annotations

import json

import anyio
from behave import then, when

from features.steps.platform_forwarding_steps import STREAM_HEADERS, play
from features.support.platform_rig import route, until


def logged(process, code):
    """Returns the log lines of an event."""
    lines = [json.loads(line) for line in process.log.splitlines()]
    return [line for line in lines if line["event"].startswith(code)]


@when("a daemon is asked to stop under a stream that lasts longer")
def stop_under_stream(context):
    async def story(world):
        world.grace_s = 1
        engine = await world.add_replica("e1", "engine")
        engine.events = 100
        engine.event_ms = 100.0
        world.configure(
            [route("talk", "engine", kind="streaming", timeout_ms=20_000)]
        )
        process = await world.start_process("d1")
        async with anyio.create_task_group() as tasks:

            async def ask():
                context.answer = await world.request(
                    "/talk/stream", headers=STREAM_HEADERS
                )

            tasks.start_soon(ask)
            await until(lambda: bool(engine.runs))
            await process.stop()
        context.cut = logged(process, "CD4304")
        context.ended = logged(process, "CD1003")

    play(story)


@then("the log tells how many requests were cut, and where each one was")
def check_cut(context):
    status, _, body = context.answer
    assert (status, body) == (200, None), "the stream must not look complete"
    (line,) = context.cut
    assert line["request_id"] == "r-1"
    assert line["waiting_for"] == ["e1"]
    assert line["events"] > 0
    assert [line["in_flight"] for line in context.ended] == [1]
