"""Steps for waits that are prolonged, over sockets."""

from __future__ import annotations

import asyncio
import math

import anyio
from behave import given, then, when
from result import Ok

from cactusdyke.clock import SystemClock
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions, ProgressLimit

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@given("a server that answers after {delay_ms:d} ms")
def slow_server(context, delay_ms):
    context.delay_ms = delay_ms


@when("it is called with a limit of {limit_ms:d} ms, which {kind}")
def call(context, limit_ms, kind):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(context.delay_ms / 1_000)
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        clock = SystemClock()
        began = clock.now()
        may_from = {
            "may be given up": 0.0,
            "may be given up after 300 ms": 300.0,
        }.get(kind, math.inf)
        latest = began + 300.0 if kind.startswith("ends") else math.inf
        limit = ProgressLimit(
            until=began + limit_ms,
            may_give_up=lambda: clock.now() >= began + may_from,
            latest=latest,
        )
        async with server, HttpNetwork() as network:
            context.got = await network.fetch(
                f"127.0.0.1:{port}",
                Request(method="GET", path="/"),
                CallOptions(limit=limit),
            )
            context.took_ms = clock.now() - began

    anyio.run(run)


@then("the call fails within {bound_ms:d} ms")
def check_failed(context, bound_ms):
    assert not isinstance(context.got, Ok)
    assert context.took_ms <= bound_ms, context.took_ms


@then("the call has the answer")
def check_answered(context):
    assert isinstance(context.got, Ok), context.got
    assert context.got.ok_value.body == b"ok"
