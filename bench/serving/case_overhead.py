"""What a daemon adds itself: time and CPU, against calling a backend."""

from __future__ import annotations

import contextlib
import os
import pathlib
import random
import statistics
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

import anyio
import attrs

from cactusdyke.client import Client
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions, Network
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    Process,
    daemon_settings,
    token_hash,
)

DIRECTORY = pathlib.Path("build/bench/overhead")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DEADLINE_MS = 20_000.0


@attrs.frozen(kw_only=True)
class Size:
    """How much of each is measured."""

    requests: int
    streams: int
    tokens: int


FULL = Size(requests=1_500, streams=16, tokens=400)
TINY = Size(requests=20, streams=2, tokens=20)


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Measures whole answers, paced streams and streams at full speed."""
    size = TINY if tiny else FULL
    with _deployment(size) as (daemon, engine, paced):
        return anyio.run(_measure, size, daemon, engine, paced)


@contextlib.contextmanager
def _deployment(size: Size) -> Iterator[tuple[Process, Process, Process]]:
    with Fleet(DIRECTORY) as fleet:
        store = fleet.stand_in("object_service", "object-service")
        hosts = fleet.stand_in("host_list", "host-list")
        options = {"stage_ms": 0, "tokens": size.tokens, "slots": 64}
        engine = fleet.stand_in(
            "engine", "engine-1", name="engine-1", token_ms=0, **options
        )
        paced = fleet.stand_in(
            "engine", "paced-1", name="paced-1", token_ms=10, **options
        )
        (settings,) = daemon_settings(
            names=["entry-1"],
            data_centres=["glenorchy"],
            object_service=store.address,
            host_list=hosts.address,
        )
        daemon = fleet.daemon(settings)
        anyio.run(_submit, daemon, [engine, paced])
        fleet.wait_ready(["entry-1"])
        yield daemon, engine, paced


async def _submit(daemon: Process, servers: list[Process]) -> None:
    async with Client(seeds=[daemon.address], token=OPERATOR_TOKEN) as client:
        body = {"id": "bench", "answers": _answers(servers)}
        (await client.post("/v1/submissions", body)).unwrap()


def _answers(servers: list[Process]) -> dict[str, Any]:
    return {
        "deployment": "bench",
        "attainment_against_cost": 0.8,
        "when_cut_off": "refuse_bookings",
        "operators": [
            {"name": "operator", "token_hashes": [token_hash(OPERATOR_TOKEN)]}
        ],
        "customers": [
            {
                "name": "bench",
                "token_hashes": [token_hash(CUSTOMER_TOKEN)],
                "requests_per_second": 100_000,
                "burst": 100_000,
            }
        ],
        "pools": [
            {
                "name": server.name,
                "kind": "engine",
                "backend_servers": [
                    {
                        "name": server.name,
                        "address": server.address,
                        "data_centre": "glenorchy",
                        "slots": 64,
                    }
                ],
            }
            for server in servers
        ],
        "jobs": [
            {
                "name": server.name,
                "deadline_ms": DEADLINE_MS,
                "stages": [{"name": "generate", "pool": server.name}],
            }
            for server in servers
        ],
    }


async def _measure(
    size: Size, daemon: Process, engine: Process, paced: Process
) -> list[dict[str, Any]]:
    async with (
        HttpNetwork() as network,
        Client(
            seeds=[daemon.address], token=CUSTOMER_TOKEN, network=network
        ) as client,
    ):
        client.pin(daemon.address)
        return [
            await _whole_direct(size, network, engine),
            await _whole(size, client, daemon),
            await _streams(size, client, daemon, paced, "streams, paced"),
            await _streams(size, client, daemon, engine, "streams, flat out"),
        ]


async def _whole_direct(
    size: Size, network: Network, engine: Process
) -> dict[str, Any]:
    async def call(number: int) -> None:
        body = (
            b'{"request_id":"%d","stage":"generate","attempt":1,"model":"",'
            b'"input":{"n":%d},"remaining_ms":9000}' % (number, number)
        )
        request = Request(method="POST", path="/v1/run", body=body)
        answer = await network.fetch(engine.address, request, CallOptions())
        assert answer.unwrap().status == 200

    times = [await _timed(call, number) for number in range(size.requests)]
    return {"column": "whole, direct", **_row(times)}


async def _whole(size: Size, client: Client, daemon: Process) -> dict[str, Any]:
    async def call(number: int) -> None:
        answer = await client.call(
            "/v1/pipelines/engine-1", {"n": number}, deadline_ms=DEADLINE_MS
        )
        answer.unwrap()

    for number in range(size.requests // 10):
        await call(number)
    before = cpu_ms(daemon)
    times = [await _timed(call, number) for number in range(size.requests)]
    used = cpu_ms(daemon) - before
    return {
        "column": "whole, by the daemon",
        **_row(times),
        "cpu_ms_per_request": used / size.requests,
    }


async def _streams(
    size: Size, client: Client, daemon: Process, engine: Process, name: str
) -> dict[str, Any]:
    counts = []

    async def read(number: int) -> None:
        events = [e async for e in _stream(client, engine.name, number)]
        assert events[-1] == "end"
        counts.append(len(events) - 1)

    before = cpu_ms(daemon)
    async with anyio.create_task_group() as tasks:
        for number in range(size.streams):
            tasks.start_soon(read, number)
    used = cpu_ms(daemon) - before
    tokens = sum(counts)
    return {
        "column": name,
        "requests": size.streams,
        "tokens": tokens,
        "cpu_us_per_token": used * 1_000 / tokens,
        "tokens_per_core_second": tokens / max(used, 1) * 1_000,
    }


async def _stream(
    client: Client, pipeline: str, number: int
) -> AsyncIterator[str]:
    value = {"n": number, "salt": random.Random(number).random()}
    async for event in client.stream(pipeline, value, deadline_ms=DEADLINE_MS):
        yield event.name


async def _timed(call: Any, number: int) -> float:
    began = time.perf_counter()
    await call(number)
    return (time.perf_counter() - began) * 1_000


def _row(times: list[float]) -> dict[str, Any]:
    ordered = sorted(times)
    return {
        "requests": len(times),
        "median_ms": statistics.median(ordered),
        "p99_ms": ordered[int(0.99 * (len(ordered) - 1))],
    }


def cpu_ms(process: Process) -> float:
    """Returns the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_SECOND
