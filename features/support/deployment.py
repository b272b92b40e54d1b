"""A whole deployment in memory: stand-ins, daemons and callers."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import anyio

from cactusdyke.application import Application
from cactusdyke.client import Client
from cactusdyke.infrastructure.guarded_object_store import GuardedObjectStore
from cactusdyke.infrastructure.host_list import HttpHostList
from cactusdyke.infrastructure.http_object_store import HttpObjectStore
from cactusdyke.infrastructure.object_store import ObjectStore
from cactusdyke.settings import Settings
from cactusdyke.util import structure
from standins.base import StandIn
from standins.engine import Engine
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    PEER_TOKEN,
    token_hash,
)
from standins.host_list import HostListService
from standins.hub import Hub
from standins.object_service import ObjectService
from standins.plain import PlainServer

STORE = "store:1"
HOSTS = "hosts:1"
DATA_CENTRES = ("new-norfolk", "glenorchy", "bridgewater")


class Deployment:
    """Stand-ins and daemons over one hub; use as a context manager.

    Every daemon is an owner of the hub under its name, as is every stand-in
    (`store`, `hosts` and the backend servers' names). `replacements` puts
    other extensions in the place of built-in ones, such as naive versions;
    without `guarded` daemons call the object service as they please.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        linger_ms: float = 1_000.0,
        replacements: Mapping[str, str] | None = None,
        guarded: bool = True,
    ) -> None:
        self._replacements = replacements
        self._guarded = guarded
        self.hub = Hub()
        self.rng = random.Random(seed)
        self.linger_ms = linger_ms
        self.store = ObjectService(clock=self.hub.clock)
        self.hosts = HostListService(clock=self.hub.clock)
        self.servers: dict[str, StandIn] = {}
        self.daemons: dict[str, Application] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def __aenter__(self) -> Deployment:
        await self.hub.__aenter__()
        self.hub.listen(STORE, self.store.routes.handle, owner="store")
        self.hub.listen(HOSTS, self.hosts.routes.handle, owner="hosts")
        return self

    async def __aexit__(self, *error: Any) -> None:
        for scope in self._scopes.values():
            scope.cancel()
        await self.hub.__aexit__(*error)

    def engine(self, name: str, **options: Any) -> Engine:
        """Adds an engine, encoder, retriever or reranker."""
        server = Engine(clock=self.hub.clock, name=name, **options)
        self._add(name, server)
        return server

    def plain(self, name: str, **options: Any) -> PlainServer:
        """Adds a backend server of a plain service."""
        server = PlainServer(clock=self.hub.clock, name=name, **options)
        self._add(name, server)
        return server

    async def start_daemon(self, name: str, peers: tuple[str, ...]) -> None:
        """Starts a daemon that knows some peers by name."""
        number = data_centre_number(name, len(self.daemons))
        settings = structure.structure(
            {
                "name": name,
                "host": name,
                "port": 1,
                "data_centre": DATA_CENTRES[number % 3],
                "object_service": STORE,
                "host_list": HOSTS,
                "linger_ms": self.linger_ms,
                "peer_token": PEER_TOKEN,
                "operator_token_hashes": [token_hash(OPERATOR_TOKEN)],
                "peers": [
                    {
                        "name": peer,
                        "address": f"{peer}:1",
                        "data_centre": DATA_CENTRES[i % 3],
                    }
                    for i, peer in enumerate(peers)
                    if peer != name
                ],
            },
            Settings,
            name=name,
        ).unwrap()
        started = anyio.Event()
        self.hub.start(self._run_daemon, settings, started)
        await started.wait()

    async def start_daemons(self, count: int) -> list[str]:
        """Starts daemons that know each other."""
        names = tuple(f"entry-{i + 1}" for i in range(count))
        for name in names:
            await self.start_daemon(name, names)
        return list(names)

    def kill_daemon(self, name: str) -> None:
        """Ends a daemon at once, as SIGKILL does."""
        self.hub.kill(name)
        self._scopes.pop(name).cancel()
        self.daemons.pop(name)

    def client(
        self, *, token: str = CUSTOMER_TOKEN, owner: str = "caller"
    ) -> Client:
        """Returns a client that knows every daemon."""
        return Client(
            seeds=[f"{name}:1" for name in self.daemons],
            token=token,
            network=self.hub.network(owner),
            clock=self.hub.clock,
            rng=random.Random(self.rng.random()),
        )

    async def submit(self, answers: dict[str, Any], *, submission: str) -> int:
        """Submits answers and waits until every daemon has them in force."""
        async with self.client(token=OPERATOR_TOKEN) as client:
            body = {"id": submission, "answers": answers}
            accepted = (await client.post("/v1/submissions", body)).unwrap()
        revision = int(accepted["revision"])
        while any(self.revision(name) < revision for name in self.daemons):
            await self.hub.clock.sleep(10)
        return revision

    def revision(self, name: str) -> int:
        """Returns the revision in force at a daemon."""
        from cactusdyke.configuration.in_force import InForce  # noqa: PLC0415

        service = self.daemons[name].service("configuration", InForce)
        return service.current.revision

    def _add(self, name: str, server: StandIn) -> None:
        self.servers[name] = server
        self.hub.listen(f"{name}:1", server.routes.handle, owner=name)

    async def _run_daemon(
        self, settings: Settings, started: anyio.Event
    ) -> None:
        name = settings.name
        network = self.hub.network(name)
        app = Application(
            settings=settings,
            clock=self.hub.clock_of(name),
            rng=random.Random(self.rng.random()),
            network=network,
            object_store=self._store_of(name),
            host_list=HttpHostList(address=HOSTS, network=network),
            replacements=self._replacements,
        )
        app.setup_all()
        with anyio.CancelScope() as scope:
            self._scopes[name] = scope
            async with app:
                self.daemons[name] = app
                self.hub.listen(f"{name}:1", app.routes.handle, owner=name)
                started.set()
                await anyio.sleep_forever()

    def _store_of(self, name: str) -> ObjectStore:
        store = HttpObjectStore(address=STORE, network=self.hub.network(name))
        if not self._guarded:
            return store
        return GuardedObjectStore(
            store=store,
            clock=self.hub.clock_of(name),
            rng=random.Random(self.rng.random()),
        )


def data_centre_number(name: str, default: int) -> int:
    """Returns a number that a replaced daemon keeps: that of its name."""
    digits = name.rpartition("-")[2]
    return int(digits) - 1 if digits.isdecimal() else default


def answers(deployment: Deployment, **changes: Any) -> dict[str, Any]:
    """Returns answers for the deployment's backend servers.

    A backend server belongs to the pool that its name begins with, such as
    `engine-1`. There is a pipeline `summary` over the pools there are, and a
    service `hire-booking` where there is a pool `plain`.
    """
    pools: dict[str, list[str]] = {}
    for name in deployment.servers:
        pools.setdefault(name.split("-")[0], []).append(name)
    stages = [
        {"name": f"{kind}-stage", "pool": kind}
        for kind in ("encoder", "retriever", "reranker", "engine")
        if kind in pools
    ]
    services = [
        {
            "name": "hire-booking",
            "pool": "plain",
            "must_never_happen_twice": True,
            "deadline_ms": 3000,
        }
    ]
    value = {
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
                "name": kind,
                "kind": kind,
                "calls_may_be_repeated": kind != "plain",
                "backend_servers": [
                    {
                        "name": name,
                        "address": f"{name}:1",
                        "data_centre": DATA_CENTRES[i % 3],
                        "price_per_second": 0.001,
                    }
                    for i, name in enumerate(names)
                ],
            }
            for kind, names in pools.items()
        ],
        "jobs": (
            [{"name": "summary", "deadline_ms": 6000, "stages": stages}]
            if stages
            else []
        ),
        "services": services if "plain" in pools else [],
    }
    return {**value, **changes}
