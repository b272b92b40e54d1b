"""Steps of planned stops of a daemon that relays for others, as a process."""

from __future__ import annotations

import contextlib

import anyio
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.tunnel import SocketTunnels
from features.steps.platform_forwarding_steps import STREAM_HEADERS, play, runs
from features.support.platform_rig import route, until

GRACE_S = 8
"""Streams are cut 0.3 s before it ends, requests refused 0.8 s before."""
LONG_MS = 20_000
EVENT_MS = 100.0
LASTS_S = {
    "in the middle of a stream": 5.0,
    "half a second before its last moment": 7.4,
}
"""From the signal on."""
UNHEARD_S = 1.0
UNHEARD_LASTS_S = 5.0


class _NoPath(BackendConnections):
    """The paths of a daemon that reaches no replica by itself."""

    @contextlib.asynccontextmanager
    async def connect(self, address):
        raise ExchangeError(f"{address}: no path", sent=False)
        yield


async def _start_relay(world):
    """Starts a daemon as a process, and an engine that it reaches."""
    world.grace_s = GRACE_S
    engine = await world.add_replica("e1", "engine")
    engine.event_ms = EVENT_MS
    world.configure(
        [
            route(
                "talk",
                "engine",
                kind="streaming",
                timeout_ms=LONG_MS,
                target_latency_ms=2_000,
                resumable=True,
            )
        ]
    )
    return engine, await world.start_process("d1")


def _events(body):
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


@given("a daemon that reaches a replica through another one only")
@given("a daemon that relays, with nothing in flight")
def relaying(context):
    """The story starts it."""


@when("the other one is asked to stop {when_text}")
def stop_relay(context, when_text):
    async def story(world):
        engine, process = await _start_relay(world)
        seeds = [world.settings["d1"].peer.address]
        asker = await world.start_daemon("d2", seeds=seeds)
        asker._core._connections._direct = _NoPath()
        await until(lambda: any(d.name == "d1" for d in asker._view.all()))
        await until(lambda: all(d.ready for d in asker._view.all()))
        engine.events = round(LASTS_S[when_text] * 1_000 / EVENT_MS)
        headers = {**STREAM_HEADERS, "X-Deadline-Ms": str(LONG_MS)}
        async with anyio.create_task_group() as tasks:

            async def ask():
                context.answer = await world.request(
                    "/talk/stream", daemon="d2", headers=headers
                )

            tasks.start_soon(ask)
            await until(lambda: bool(engine.runs))
            await process.stop()
        context.events = engine.events
        context.runs = runs(world)

    play(story)


@then("the caller has every event of one attempt, and the end")
def check_relayed(context):
    status, _, body = context.answer
    assert status == 200
    assert body is not None, "the stream was cut"
    assert _events(body) == list(range(context.events))
    assert context.runs == ["r-1"], context.runs


@when("a stream is sent through it one second after it was asked to stop")
def stream_unheard(context):
    async def story(world):
        engine, process = await _start_relay(world)
        engine.events = round(UNHEARD_LASTS_S * 1_000 / EVENT_MS)
        tunnels = SocketTunnels(clock=SystemClock())
        relay = world.settings["d1"].peer.address
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.stop)
            await anyio.sleep(UNHEARD_S)
            async with tunnels.connect(relay, engine.address) as exchange:
                headers = [(b"Host", b"e1"), (b"Content-Length", b"0")]
                await exchange.send("POST", "/talk/stream", headers, b"")
                await exchange.head()
                try:
                    body = await exchange.whole_body(most=1 << 20)
                except ExchangeError as error:
                    context.cut = str(error)
                else:
                    context.cut = ""
                    context.got = _events(body)
        context.events = engine.events

    play(story)


@then("the stream has every event")
def check_unheard(context):
    assert not context.cut, context.cut
    assert context.got == list(range(context.events)), context.got
