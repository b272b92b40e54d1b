"""Steps for what the log tells of streams, with the platform's stand-ins."""

from __future__ import annotations

import anyio
from behave import given, then, when

from features.support.platform_rig import PlatformWorld, route

HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "100,5",
    "X-Prompt-Prefix": "a1:80,b2:20",
}


@given("a daemon and two engines of one software version on the platform")
def one_version(context):
    context.world = PlatformWorld()


@when("a caller resumes a stream whose engine breaks off")
def resumed_stream(context):
    async def go():
        async with context.world as world:
            for name in ("e1", "e2"):
                replica = await world.add_replica(name, "engine")
                replica.faults = {"break"}
            world.configure(
                [
                    route(
                        "talk",
                        "engine",
                        kind="streaming",
                        sticky=True,
                        resumable=True,
                        max_attempts=3,
                    )
                ]
            )
            process = await world.start_process("d1")
            await world.request(
                "/talk/stream", request_id="first", headers=HEADERS
            )
            await world.request(
                "/talk/stream",
                request_id="second",
                headers={**HEADERS, "Last-Event-Id": "1", "Resumes": "first"},
            )
            await process.stop()
            context.lines = process.logged("CD4301")

    anyio.run(go)


@then("the line that ends it names the version and the resumed attempt")
def line_names(context):
    ends = {line["request_id"]: line for line in context.lines}
    assert ends["first"]["stream_versions"] == ["v1"], ends
    assert ends["first"]["resumes"] == "", ends
    assert ends["second"]["stream_versions"] == ["v1"], ends
    assert ends["second"]["resumes"] == "first", ends


CUT_LINE_CHARACTERS = 260
"""Records of others keep this much of a line."""


@when("the only attempt of a stream breaks off in its third event")
def broken_off(context):
    async def go():
        async with context.world as world:
            replica = await world.add_replica("e1", "engine")
            replica.faults = {"break"}
            world.configure(
                [route("talk", "engine", kind="streaming", max_attempts=1)]
            )
            process = await world.start_process("d1")
            await world.request(
                "/talk/stream", request_id="first", headers=HEADERS
            )
            await process.stop()
            context.process = process

    anyio.run(go)


@then("its first fields name a broken connection and two events")
def first_fields(context):
    lines = [
        line[:CUT_LINE_CHARACTERS]
        for line in context.process.log.splitlines()
        if '"request_id":"first"' in line
    ]
    (attempt,) = [line for line in lines if "CD4001" in line]
    (ended,) = [line for line in lines if "CD4302" in line]
    assert '"end":"connection"' in attempt, attempt
    assert '"events":2,"silent_ms":' in attempt, attempt
    assert '"broken_off":true,"events":2' in ended, ended
