"""A small deployment on loopback: store, replicas and daemons."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING, Any, Self

from review.rig import callers, daemons
from review.rig.replica import Replica
from review.rig.store import Store

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("new-norfolk", "glenorchy", "bridgewater")
HOSTS = [
    ("new-norfolk", "127.0.0.11"),
    ("new-norfolk", "127.0.0.12"),
    ("new-norfolk", "127.0.0.13"),
    ("glenorchy", "127.0.0.14"),
    ("glenorchy", "127.0.0.15"),
    ("bridgewater", "127.0.0.16"),
]
CONTACT_S = 3.0
"""`contact_ms`: with no trouble for so long, a machine is in touch."""


class World:
    """Starts what a case needs, and ends it.

    Attributes:
        trouble: Whether the case disturbs anything.
        store: The platform's store.
        replicas: All replicas.
        daemons: The daemons, each on an address of its own.
    """

    def __init__(self, record: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.replicas: list[Replica] = []
        self.daemons: list[daemons.Daemon] = []
        self._record = record.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        await self.store.start("127.0.0.1")
        self.daemons = daemons.make_daemons(
            HOSTS, store=self.store.address, folder=pathlib.Path(folder)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for daemon in self.daemons:
            daemon.end()
        self._stack.close()

    def note(self, text: str) -> None:
        """Writes a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self._began:7.3f} {text}\n"
        self._record.write(line)
        self._record.flush()

    async def add_replica(self, service: str, zone: str) -> Replica:
        """Starts a replica, and adds it to the list of replicas."""
        name = f"i-{service}-{len(self.replicas) + 1}"
        replica = Replica(name=name, service=service, zone=zone)
        await replica.start("127.0.0.1")
        self.replicas.append(replica)
        self.store.put("servers", replica.name, replica.entry())
        return replica

    async def start_daemons(self) -> None:
        """Starts the daemons; returns once they are ready and in touch."""
        for daemon in self.daemons:
            daemon.start()
        await asyncio.gather(*(d.wait_ready() for d in self.daemons))
        await asyncio.sleep(CONTACT_S + 1.0)
        self.note(f"{len(self.daemons)} daemons are ready")

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Writes a configuration, as the operator."""
        names = {r.service: None for r in self.replicas}
        self.store.put(
            "config",
            "main",
            {
                "version": 7,
                "routes": routes,
                "services": [_service(name) for name in names],
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": 4_194_304,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                },
                "tenants": [{"name": "council", "api_keys": [callers.KEY]}],
            },
        )


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route like those of the site."""
    return {
        "name": name,
        "host": callers.HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "target_gap_ms": 300,
        **changes,
    }


def _service(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 360,
        "protocol": "h1",
        "tls": False,
    }


def run(
    case: Callable[[World], Coroutine[Any, Any, int]], folder: pathlib.Path
) -> int:
    """Runs a case; returns the exit code.

    Returns:
        0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """

    async def run_case() -> int:
        async with World(folder / "record.txt") as world:
            world.note(f"TROUBLE={int(world.trouble)}")
            try:
                code = await case(world)
            except Exception as error:
                # An error of the script says nothing of the rule.
                world.note(f"the case could not run: {error!r}")
                code = NOT_RUN
            outcome = ("the rule held", "the rule was broken", "not run")[code]
            world.note(outcome)
            print(outcome)
            return code

    return asyncio.run(run_case())
