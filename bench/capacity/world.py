"""One measured daemon among stand-ins and a crowd of other daemons."""

from __future__ import annotations

import contextlib
import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any

import anyio
import attrs

from bench.capacity import probe
from cactusdyke.client import Client
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    daemon_settings,
    token_hash,
)

BUILD = pathlib.Path("build/bench/capacity")
CROWD_SIZE = 12
"""Daemons in one process of the crowd."""

DATA_CENTRES = 3
FIRST = "measured"
MEMBERS_TIMEOUT_S = 60.0


@attrs.frozen(kw_only=True)
class Shape:
    """How large a world is.

    Attributes:
        daemons: Daemons, the measured one included.
        replicas: Backend servers of the engine pool.
        customers: Configured customers.
        models: Models that the pool's engines may hold.
        pipelines: Configured pipelines of one streamed stage.
        token_ms: Time between two tokens of a stream.
        tokens: Tokens of a stream.
        stage_ms: Time of a stage.
    """

    daemons: int = 3
    replicas: int = 10
    customers: int = 5
    models: int = 2
    pipelines: int = 2
    token_ms: float = 25.0
    tokens: int = 64
    stage_ms: float = 5.0


class World:
    """Processes around the measured daemon."""

    def __init__(self, fleet: Fleet, shape: Shape) -> None:
        self._fleet = fleet
        self._shape = shape
        self._store = fleet.stand_in("object_service", "store")
        self._hosts = fleet.stand_in("host_list", "hosts")
        # All replicas are one process that answers at many loopback numbers.
        self._engine = fleet.stand_in(
            "engine",
            "engine",
            name="",
            host="0.0.0.0",
            token_ms=shape.token_ms,
            tokens=shape.tokens,
            stage_ms=shape.stage_ms,
            slots=10_000,
        )
        self._start_daemons()
        self.submit(self.answers())
        self._wait_for_members()

    @property
    def address(self) -> str:
        """The measured daemon's address."""
        return self._fleet[FIRST].address

    def answers(self, **changes: Any) -> dict[str, Any]:
        """Returns the answers of this world's shape."""
        shape = self._shape
        hashes = [token_hash(CUSTOMER_TOKEN)]
        models = [f"model-{i}" for i in range(shape.models)]
        return {
            "deployment": "capacity",
            "attainment_against_cost": 0.5,
            "when_cut_off": "serve",
            "operators": [
                {"name": "op", "token_hashes": [token_hash(OPERATOR_TOKEN)]}
            ],
            "customers": [
                {
                    "name": f"customer-{i}",
                    "token_hashes": hashes if i == 0 else [token_hash(str(i))],
                    "requests_per_second": 10_000,
                    "burst": 10_000,
                }
                for i in range(shape.customers)
            ],
            "pools": [
                {
                    "name": "engines",
                    "kind": "engine",
                    "models": models,
                    "backend_servers": [
                        self._replica(i) for i in range(shape.replicas)
                    ],
                }
            ],
            "jobs": [
                {
                    "name": f"pipeline-{i}",
                    "deadline_ms": 60_000,
                    "stages": [
                        {
                            "name": "generate",
                            "pool": "engines",
                            "model": models[i % len(models)],
                        }
                    ],
                }
                for i in range(shape.pipelines)
            ],
            **changes,
        }

    def submit(self, answers: dict[str, Any]) -> None:
        """Puts answers in force at the measured daemon."""

        async def send() -> None:
            async with Client(
                seeds=[self.address], token=OPERATOR_TOKEN
            ) as client:
                client.pin(self.address)
                body = {"id": f"{time.time_ns()}", "answers": answers}
                accepted = await client.post("/v1/submissions", body)
                revision = accepted.unwrap()["revision"]
                while True:
                    status = (await client.get("/v1/status")).unwrap()
                    if status["revision"] >= revision:
                        return
                    await anyio.sleep(0.05)

        anyio.run(send)

    def measure(self, *, settle_s: float, seconds: float) -> probe.Sample:
        """Returns the measured daemon's rates while nothing is asked of it."""
        time.sleep(settle_s)
        before = probe.scrape(self.address)
        time.sleep(seconds)
        return probe.rates(before, probe.scrape(self.address))

    def _wait_for_members(self) -> None:
        async def wait() -> None:
            async with Client(
                seeds=[self.address], token=OPERATOR_TOKEN
            ) as client:
                client.pin(self.address)
                with anyio.fail_after(MEMBERS_TIMEOUT_S):
                    while True:
                        status = (await client.get("/v1/status")).unwrap()
                        if len(status["daemons"]) >= self._shape.daemons:
                            return
                        await anyio.sleep(0.2)

        anyio.run(wait)

    def _start_daemons(self) -> None:
        count = self._shape.daemons
        names = [FIRST, *(f"other-{i}" for i in range(1, count))]
        settings = daemon_settings(
            names=names,
            data_centres=[f"dc-{i % DATA_CENTRES}" for i in range(count)],
            object_service=self._store.address,
            host_list=self._hosts.address,
        )
        for value in settings:
            value["peers"] = value["peers"][:6]
        others = settings[1:]
        for begin in range(0, len(others), CROWD_SIZE):
            self._start_crowd(begin, others[begin : begin + CROWD_SIZE])
        self._fleet.daemon(settings[0])

    def _start_crowd(self, number: int, settings: list[dict[str, Any]]) -> None:
        path = BUILD / f"crowd-{number}.json"
        path.write_text(json.dumps(settings))
        self._fleet.start(
            f"crowd-{number}",
            settings[0]["port"],
            ["bench.capacity.crowd", str(path)],
        )

    def _replica(self, number: int) -> dict[str, Any]:
        port = self._engine.address.rsplit(":", 1)[1]
        return {
            "name": f"engine-{number}",
            "address": f"127.1.{number // 250}.{number % 250 + 1}:{port}",
            "data_centre": f"dc-{number % DATA_CENTRES}",
            "slots": 10_000,
        }


@contextlib.contextmanager
def open_world(shape: Shape) -> Iterator[World]:
    """Starts a world, and ends its processes with the block."""
    BUILD.mkdir(parents=True, exist_ok=True)
    with Fleet(BUILD) as fleet:
        yield World(fleet, shape)
