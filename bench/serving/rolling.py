"""Restarts every daemon of a fleet while callers go on calling."""

from __future__ import annotations

import collections
import json
import pathlib
import random
import signal
from collections.abc import Sequence
from typing import Any

import anyio
import attrs
import orjson
from result import Err, Ok

from cactusdyke import client_answers
from cactusdyke.client import Client
from cactusdyke.errors import CactusdykeError, FailureKind
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from standins.fleet import (
    CUSTOMER_TOKEN,
    DAEMON_MODULE,
    OPERATOR_TOKEN,
    Fleet,
    request_json,
    small_fleet,
)

NAMES = ("entry-1", "entry-2", "entry-3")
LINGER_MS = 4_000.0
PAUSE_S = 0.01
BOOKING_PATH = "/v1/services/hire-booking"


@attrs.define(kw_only=True)
class Rolled:
    """What a rolling restart did to the callers.

    Attributes:
        answered: Requests answered whole, by kind of call.
        cut: Requests whose outcome was lost, by kind of call.
        refused: Requests that were refused as not run.
        limited: Requests over the customer's limit; no restart's doing.
        doubled: Bookings that were made more than once.
        exits: The daemons' exit statuses.
    """

    answered: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    cut: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: int = 0
    limited: int = 0
    doubled: int = 0
    exits: list[int] = attrs.field(factory=list)
    details: list[str] = attrs.field(factory=list)


def roll(
    directory: pathlib.Path,
    *,
    callers: int,
    module: str = DAEMON_MODULE,
    impatient: bool = False,
    restarted: Sequence[str] = NAMES,
) -> Rolled:
    """Restarts daemons of three in turn under load.

    Args:
        directory: Where logs and settings go.
        callers: How many callers call at once.
        module: The module that runs a daemon.
        impatient: Whether a second SIGTERM follows the first.
        restarted: Which of the daemons are restarted.
    """
    with small_fleet(directory, linger_ms=LINGER_MS, module=module) as (
        fleet,
        answers,
    ):
        restart = _Restart(fleet, directory, module, impatient, restarted)
        return anyio.run(restart.run, answers, callers)


class _Restart:
    def __init__(
        self,
        fleet: Fleet,
        directory: pathlib.Path,
        module: str,
        impatient: bool,
        restarted: Sequence[str],
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._module = module
        self._impatient = impatient
        self._restarted = restarted
        self._seeds = [fleet[name].address for name in NAMES]
        self._over = False
        self._rng = random.Random(0)
        self.rolled = Rolled()

    async def run(self, answers: dict[str, Any], callers: int) -> Rolled:
        async with Client(seeds=self._seeds, token=OPERATOR_TOKEN) as operator:
            submission = {"id": "rolling", "answers": answers}
            (await operator.post("/v1/submissions", submission)).unwrap()
        await anyio.to_thread.run_sync(self._fleet.wait_ready, NAMES)
        async with anyio.create_task_group() as tasks:
            for number in range(callers):
                tasks.start_soon(self._call, number)
            for name in self._restarted:
                await anyio.sleep(1.0)
                await anyio.to_thread.run_sync(self._restart, name)
            await anyio.sleep(1.0)
            self._over = True
        stats = request_json("GET", self._fleet["plain-1"].address, "/stats")
        runs = stats["executions_by_key"].values()
        self.rolled.doubled = sum(count > 1 for count in runs)
        return self.rolled

    def _restart(self, name: str) -> None:
        process = self._fleet[name]
        process.send(signal.SIGTERM)
        if self._impatient:
            process.send(signal.SIGTERM)
        self.rolled.exits.append(process.popen.wait(60))
        path = self._directory / f"{name}.json"
        self._fleet.daemon(json.loads(path.read_text()), module=self._module)
        self._fleet.wait_ready([name])

    async def _call(self, number: int) -> None:
        # A client of its own keeps its own addresses and connections. Every
        # second caller is a plain one, which tries once and never fails over.
        async with (
            Client(seeds=self._seeds, token=CUSTOMER_TOKEN) as client,
            HttpNetwork() as network,
        ):
            count = 0
            while not self._over:
                count += 1
                kind = ("whole", "stream", "booking")[(number // 2 + count) % 3]
                if number % 2:
                    await self._once_plainly(
                        client, network, f"{number}-{count}"
                    )
                    await anyio.sleep(PAUSE_S)
                    continue
                try:
                    await self._once(client, kind, f"{number}-{count}")
                except CactusdykeError as error:
                    self._failed(kind, error.failure)
                await anyio.sleep(PAUSE_S)

    async def _once(self, client: Client, kind: str, key: str) -> None:
        if kind == "stream":
            last = ""
            async for event in client.stream("summary", key):
                last = event.name
            self.rolled.answered[kind] += last == "end"
            self.rolled.cut[kind] += last != "end"
            return
        if kind == "booking":
            answer = await client.call(BOOKING_PATH, key, idempotency_key=key)
        else:
            answer = await client.call("/v1/pipelines/summary", key)
        if isinstance(answer, Ok):
            self.rolled.answered[kind] += 1
        else:
            self._failed(kind, answer.err_value)

    async def _once_plainly(
        self, client: Client, network: HttpNetwork, key: str
    ) -> None:
        request = Request(
            method="POST",
            path=BOOKING_PATH,
            headers={
                "authorization": f"Bearer {CUSTOMER_TOKEN}",
                "idempotency-key": key,
            },
            body=orjson.dumps({"input": key}),
        )
        address = self._rng.choice(await client.addresses())
        answer = await network.fetch(address, request, CallOptions())
        if isinstance(answer, Err):
            self.rolled.cut["plain"] += 1
            self.rolled.details.append(f"plain: {answer.err_value}")
        elif answer.ok_value.status == 200:
            self.rolled.answered["plain"] += 1
        else:
            assert isinstance(answer.ok_value.body, bytes)
            failure = client_answers.failure_from(answer.ok_value.body)
            self._failed("plain", failure)

    def _failed(self, kind: str, failure: Any) -> None:
        if len(self.rolled.details) < 20:
            self.rolled.details.append(f"{kind}: {failure}")
        if failure.kind is FailureKind.LIMITED:
            self.rolled.limited += 1
        elif failure.ran == "not_run" and failure.kind is not (
            FailureKind.NOT_SENT
        ):
            self.rolled.refused += 1
        else:
            self.rolled.cut[kind] += 1
