"""Sends load to a deployment in virtual time and counts what comes back.

Virtual time gives the same figures in each run and on each machine; what a
daemon costs in real time is measured by `case_overhead`.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import anyio
import attrs
import orjson
from result import Err, Ok

from cactusdyke.client import Client
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.observe.cost import CostBook
from features.support.deployment import Deployment, answers
from standins.engine import generate
from standins.virtual import run_virtual

NAIVE = {"cactusdyke.pipeline": "bench.naive.pipeline"}
DAEMONS = 3
MS_PER_SECOND = 1_000.0


@attrs.frozen(kw_only=True)
class Load:
    """What is sent, to what, and what goes wrong meanwhile.

    Attributes:
        seconds: For how long requests come.
        per_second: Requests a second, at random instants.
        deadline_ms: The deadline of each.
        engines: How many engines there are.
        slots: Requests that an engine runs at once.
        options: Further options of the engines.
        stream: Whether answers are streamed.
        value: Makes the input of a request from its number and a random one.
        fault: Runs beside the load and breaks things.
        expected_ms: How long the stage usually takes.
    """

    seconds: float
    per_second: float
    deadline_ms: float
    engines: int = 10
    slots: int = 4
    options: Mapping[str, Any] = attrs.field(factory=dict)
    stream: bool = False
    value: Callable[[int, random.Random], dict[str, Any]] = attrs.field(
        default=lambda number, rng: {"number": number}
    )
    fault: Callable[[Deployment], Awaitable[None]] | None = None
    expected_ms: float = 100.0


@attrs.define(kw_only=True)
class Counts:
    """What callers saw."""

    sent: int = 0
    whole_in_time: int = 0
    wrong: int = 0
    cut: int = 0
    false_not_run: int = 0
    unknown: int = 0
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    times_ms: list[float] = attrs.field(factory=list)


def measure(
    load: Load, columns: Mapping[str, Mapping[str, str] | None]
) -> list[dict[str, Any]]:
    """Returns a row for each column, a set of replaced extensions."""
    return [
        {"column": name, **run_virtual(_run, load, replacements)}
        for name, replacements in columns.items()
    ]


async def _run(
    load: Load, replacements: Mapping[str, str] | None
) -> dict[str, Any]:
    counts = Counts()
    async with Deployment(seed=1, replacements=replacements) as deployment:
        for number in range(1, load.engines + 1):
            deployment.engine(
                f"engine-{number}", slots=load.slots, **load.options
            )
        names = await deployment.start_daemons(DAEMONS)
        await deployment.submit(_answers(deployment, load), submission="bench")
        async with anyio.create_task_group() as tasks:
            if load.fault is not None:
                tasks.start_soon(load.fault, deployment)
            await _send_all(deployment, names, load, counts)
            tasks.cancel_scope.cancel()
        return _row(deployment, load, counts)


def _answers(deployment: Deployment, load: Load) -> dict[str, Any]:
    value = answers(deployment)
    for server in value["pools"][0]["backend_servers"]:
        server["slots"] = load.slots
    stage = {
        "name": "generate",
        "pool": "engine",
        "usually_takes_ms": load.expected_ms,
    }
    value["customers"][0]["requests_per_second"] = 100_000
    value["customers"][0]["burst"] = 100_000
    value["jobs"] = [
        {"name": "job", "deadline_ms": load.deadline_ms, "stages": [stage]}
    ]
    return value


async def _send_all(
    deployment: Deployment, names: Sequence[str], load: Load, counts: Counts
) -> None:
    rng = random.Random(2)
    async with anyio.create_task_group() as tasks:
        clients = []
        for name in names:
            client = deployment.client()
            client.pin(f"{name}:1")
            await client.__aenter__()
            clients.append(client)
        for number in range(int(load.seconds * load.per_second)):
            value = load.value(number, rng)
            client = clients[number % len(clients)]
            tasks.start_soon(_send, deployment, client, load, value, counts)
            gap_s = rng.expovariate(load.per_second)
            await deployment.hub.clock.sleep(gap_s * MS_PER_SECOND)


async def _send(
    deployment: Deployment,
    client: Client,
    load: Load,
    value: dict[str, Any],
    counts: Counts,
) -> None:
    began = deployment.hub.clock.now()
    counts.sent += 1
    output: Any = None
    failure: Failure | None = None
    if load.stream:
        output, failure = await _stream(client, load, value)
        expected: Any = generate(
            value, deployment.servers["engine-1"].token_count
        )  # type: ignore[attr-defined]
    else:
        answer = await client.call(
            "/v1/pipelines/job", value, deadline_ms=load.deadline_ms
        )
        expected = deployment.servers["engine-1"].output(value)  # type: ignore[attr-defined]
        match answer:
            case Ok(body):
                output = body["output"]
            case Err(found):
                failure = found
    took = deployment.hub.clock.now() - began
    if failure is not None:
        _count_failure(deployment, value, failure, counts)
    elif output != expected:
        counts.wrong += 1
    elif took <= load.deadline_ms:
        counts.whole_in_time += 1
        counts.times_ms.append(took)


async def _stream(
    client: Client, load: Load, value: dict[str, Any]
) -> tuple[list[str], Failure | None]:
    tokens: list[str] = []
    try:
        async for event in client.stream(
            "job", value, deadline_ms=load.deadline_ms
        ):
            if event.name == "token":
                tokens.append(event.data["text"])
            elif event.name == "error":
                return tokens, _failure(event.data["error"])
    except CactusdykeError as error:
        return tokens, error.failure
    return tokens, None


def _failure(body: Mapping[str, Any]) -> Failure:
    return Failure(
        kind=FailureKind[body["kind"].upper()],
        detail=body["message"],
        ran=Ran(body["ran"]),
    )


def _count_failure(
    deployment: Deployment,
    value: dict[str, Any],
    failure: Failure,
    counts: Counts,
) -> None:
    counts.refusals[failure.kind.code] += 1
    if failure.ran is not Ran.NOT_RUN:
        counts.unknown += 1
        return
    key = orjson.dumps(value)
    ran = any(
        key in server.executions_by_input  # type: ignore[attr-defined]
        for server in deployment.servers.values()
    )
    counts.false_not_run += ran


def _row(deployment: Deployment, load: Load, counts: Counts) -> dict[str, Any]:
    calls = sum(s.counts["calls"] for s in deployment.servers.values())
    hits = sum(s.counts["cache_hits"] for s in deployment.servers.values())
    cost = sum(
        row["cost"]
        for app in deployment.daemons.values()
        for row in app.service("cost", CostBook).table()
    )
    ordered = sorted(counts.times_ms) or [0.0]
    good = max(counts.whole_in_time, 1)
    return {
        "sent": counts.sent,
        "attainment": counts.whole_in_time / max(counts.sent, 1),
        "median_ms": ordered[len(ordered) // 2],
        "p99_ms": ordered[int(0.99 * (len(ordered) - 1))],
        "extra_attempts": calls / max(counts.sent, 1) - 1,
        "cache_hits": hits / max(calls, 1),
        "cost_per_1000": 1_000 * cost / good,
        "wrong": counts.wrong,
        "false_not_run": counts.false_not_run,
        "unknown": counts.unknown,
        "refusals": dict(counts.refusals),
    }
