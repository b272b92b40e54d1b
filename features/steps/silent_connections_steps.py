"""Steps with real processes, signals and a relay that forgets."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import time

import anyio
from behave import given, then, when

from cactusdyke.client import Client
from features.support.relay import Relay
from standins.engine import Engine, generate
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    daemon_settings,
    request_json,
    token_hash,
)

TOKENS = 40
LOOKS = 20
LOOK_EVERY_S = 0.01
# Generous: nothing here asserts on elapsed time, only on who answered.
DEADLINE_MS = 4_000.0


def _start(context, engines, relays, token_ms=1):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    directory = pathlib.Path("build/features/silent_connections")
    fleet = stack.enter_context(Fleet(directory))
    store = fleet.stand_in("object_service", "object-service")
    hosts = fleet.stand_in("host_list", "host-list")
    servers = [
        fleet.stand_in(
            "engine",
            f"engine-{number}",
            name=f"engine-{number}",
            tokens=TOKENS,
            token_ms=token_ms,
        )
        for number in range(1, engines + 1)
    ]
    addresses = [server.address for server in servers]
    if relays:
        relay = stack.enter_context(Relay(addresses[0]))
        context.relay = relay
        addresses = [relay.address]
    (settings,) = daemon_settings(
        names=["entry-1"],
        data_centres=["glenorchy"],
        object_service=store.address,
        host_list=hosts.address,
    )
    context.daemon = fleet.daemon(settings)
    context.fleet = fleet
    context.engines = servers
    anyio.run(_submit, context.daemon, addresses)
    fleet.wait_ready(["entry-1"])


async def _submit(daemon, addresses):
    async with Client(seeds=[daemon.address], token=OPERATOR_TOKEN) as client:
        body = {"id": "first", "answers": _answers(addresses)}
        (await client.post("/v1/submissions", body)).unwrap()


def _answers(addresses):
    return {
        "deployment": "test",
        "attainment_against_cost": 0.8,
        "when_cut_off": "refuse_bookings",
        "operators": [
            {"name": "operator", "token_hashes": [token_hash(OPERATOR_TOKEN)]}
        ],
        "customers": [
            {
                "name": "road-crews",
                "token_hashes": [token_hash(CUSTOMER_TOKEN)],
                "requests_per_second": 1000,
                "burst": 1000,
            }
        ],
        "pools": [
            {
                "name": "engines",
                "kind": "engine",
                "backend_servers": [
                    {
                        "name": f"engine-{number}",
                        "address": address,
                        "data_centre": "glenorchy",
                    }
                    for number, address in enumerate(addresses, 1)
                ],
            }
        ],
        "jobs": [
            {
                "name": "summary",
                "deadline_ms": DEADLINE_MS,
                "stages": [{"name": "generate", "pool": "engines"}],
            }
        ],
    }


@given("a daemon before one engine behind a relay")
def given_relay(context):
    _start(context, 1, True)


@given("a daemon before two engines that take {token_ms:d} ms for a token")
def given_two(context, token_ms):
    _start(context, 2, False, token_ms=token_ms)


def _client(context):
    client = Client(seeds=[context.daemon.address], token=CUSTOMER_TOKEN)
    client.pin(context.daemon.address)
    return client


async def _call(context, numbers):
    engine = Engine(clock=None, name="engine-1")
    async with _client(context) as client:
        for number in numbers:
            value = {"number": number}
            answer = await client.call(
                "/v1/pipelines/summary", value, deadline_ms=DEADLINE_MS
            )
            output = answer.unwrap()["output"]
            assert output == engine.output(value), output


async def _call_together(context, numbers):
    async with anyio.create_task_group() as tasks:
        for number in numbers:
            tasks.start_soon(_call, context, [number])


def _retries(context):
    page = request_text(context.daemon.address)
    return sum(
        float(line.split()[-1])
        for line in page.splitlines()
        if line.startswith("cactusdyke_retries_total")
    )


def request_text(address):
    """Returns the daemon's metrics page."""
    import urllib.request  # noqa: PLC0415

    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        return response.read().decode()


@when("{count:d} requests are answered and the relay forgets its connections")
def when_forgets(context, count):
    anyio.run(_call_together, context, range(count))
    context.opened = context.relay.opened
    context.relay.forget()


@then("the next request is answered whole over a new connection")
def then_answered(context):
    anyio.run(_call, context, [100])
    assert context.relay.opened > context.opened
    assert _retries(context) == 1


@then("{count:d} more requests are answered whole without a further retry")
def then_no_time_out(context, count):
    anyio.run(_call, context, range(200, 200 + count))
    assert _retries(context) == 1


@when("a stream's engine gets {name} after {count:d} tokens")
def when_signal(context, name, count):
    anyio.run(_stream, context, getattr(signal, name), count)


async def _stream(context, number, count):
    context.tokens, context.ended = [], False
    async with _client(context) as client:
        async for event in client.stream(
            "summary", {"plan": "A10"}, deadline_ms=DEADLINE_MS
        ):
            if event.name == "end":
                context.ended = True
                continue
            assert event.name == "token", event
            context.tokens.append((event.data["position"], event.data["text"]))
            if len(context.tokens) == count:
                context.hit = _streaming(context)
                context.hit.send(number)


def _streaming(context):
    """Returns the engine that streams.

    Another one may have been tried first, if it stood still, and sees a moment
    later that its caller has left.
    """
    for _ in range(LOOKS):
        streaming = [e for e in context.engines if _has_stream(e)]
        if len(streaming) == 1:
            return streaming[0]
        time.sleep(LOOK_EVERY_S)
    raise AssertionError(f"{len(streaming)} engines stream")


def _has_stream(engine):
    counts = request_json("GET", engine.address, "/stats")["counts"]
    ended = counts.get("streams_ended", 0) + counts.get("streams_left", 0)
    return counts.get("calls", 0) > ended


@then("the stream ends whole, with every token once and in order")
def then_whole(context):
    expected = list(enumerate(generate({"plan": "A10"}, TOKENS)))
    assert context.tokens == expected, context.tokens
    assert context.ended


@when("the frozen engine gets SIGCONT")
def when_continued(context):
    context.hit.send(signal.SIGCONT)


@then("{count:d} requests after that get their own whole answers")
def then_own(context, count):
    anyio.run(_call, context, range(count))
