"""Daemons that contend for the lease, and engines that take orders."""

from __future__ import annotations

import random
from typing import Any

import anyio

from bench.naive.lease import NaiveLeaseKeeper
from cactusdyke.configuration.model import (
    BackendServer,
    Configuration,
    Pool,
    PoolKind,
)
from cactusdyke.infrastructure.http_object_store import HttpObjectStore
from cactusdyke.orders.controller import Demand, Drain, OrderController
from cactusdyke.orders.engines import EngineClient
from cactusdyke.orders.lease import LeaseKeeper
from standins.engine import Engine
from standins.hub import Hub
from standins.object_service import ObjectService

MARK_MS = 30_000.0
EMPTIES_AFTER_MS = 1_500.0
LINK_DELAY_MS = 40.0
MODELS = ("summary", "quote")


class OrderFleet(Demand):
    """A few daemons, each an owner of the hub, and one pool of engines.

    Work is always in flight at an engine, but for one that is marked as
    draining: there it ends a while after the mark.
    """

    def __init__(
        self,
        *,
        checks_fencing: bool,
        keeper: type = LeaseKeeper,
        daemons: int = 3,
        engines: int = 5,
    ) -> None:
        self.hub = Hub()
        self.checks_fencing = checks_fencing
        self.keeper = keeper
        self.names = [f"d-{i}" for i in range(daemons)]
        self.engine_names = [f"engine-{i}" for i in range(engines)]
        self.engines: dict[str, Engine] = {}
        self.demand = {"summary": 10.0, "quote": 10.0}
        self.daemons: dict[str, tuple[LeaseKeeper, OrderController]] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.marks: dict[str, list[float]] = {}
        self.store = ObjectService(clock=self.hub.clock)
        self.rng = random.Random(0)
        self.most_holders = 0

    async def __aenter__(self) -> OrderFleet:
        await self.hub.__aenter__()
        self.hub.listen("store:1", self.store.routes.handle, owner="store")
        for i, name in enumerate(self.engine_names):
            engine = Engine(
                clock=self.hub.clock,
                name=name,
                models=[MODELS[i % 2]],
                checks_fencing=self.checks_fencing,
            )
            self.engines[name] = engine
            self.hub.listen(f"{name}:1", engine.routes.handle, owner=name)
            for daemon in self.names:
                self.hub.link(daemon, name).delay_ms = LINK_DELAY_MS
        self.hub.start(self._work)
        for name in self.names:
            self.start(name)
        return self

    async def __aexit__(self, *error: Any) -> None:
        for scope in self.scopes.values():
            scope.cancel()
        await self.hub.__aexit__(*error)

    def by_model(self, pool: str):
        """Returns the demand as it was set."""
        return self.demand

    def start(self, name: str) -> None:
        """Starts a daemon."""
        clock = self.hub.clock_of(name)
        network = self.hub.network(name)
        keeper = self.keeper(
            name=name,
            clock=clock,
            rng=random.Random(self.rng.random()),
            object_store=HttpObjectStore(address="store:1", network=network),
            rank=lambda: self.names.index(name),
        )
        controller = OrderController(
            clock=clock,
            keeper=keeper,
            engines=EngineClient(network=network),
            demand=self,
            drain=_Marks(self),
            configuration=self._configuration,
        )
        self.daemons[name] = (keeper, controller)
        # Nobody calls a daemon here; it listens so that it can be killed.
        self.hub.listen(f"{name}:1", self.store.routes.handle, owner=name)
        self.scopes[name] = anyio.CancelScope()
        self.hub.start(self._run, name, self.scopes[name])

    def kill(self, name: str) -> None:
        """Ends a daemon at once."""
        self.hub.wake(name)
        self.hub.kill(name)
        self.scopes.pop(name).cancel()
        self.daemons.pop(name)

    def holders(self) -> list[str]:
        """Returns the daemons that believe they hold the lease."""
        return [n for n, (keeper, _) in self.daemons.items() if keeper.held]

    def cut(self) -> int:
        """Returns how many requests in flight were cut by orders."""
        return sum(engine.orders.cut for engine in self.engines.values())

    async def _run(self, name: str, scope: anyio.CancelScope) -> None:
        services = self.daemons[name]
        with scope:
            async with anyio.create_task_group() as tasks:
                for service in services:
                    tasks.start_soon(service.run)

    async def _work(self) -> None:
        while True:
            now = self.hub.clock.now()
            self.most_holders = max(self.most_holders, len(self.holders()))
            for name, engine in self.engines.items():
                first, last = self.marks.get(name, [0.0, -MARK_MS])
                marked = now - last < MARK_MS
                empty = marked and now - first >= EMPTIES_AFTER_MS
                engine.running = 0 if empty else 1
            await self.hub.clock.sleep(250)

    def _configuration(self) -> Configuration:
        servers = tuple(
            BackendServer(name=name, address=f"{name}:1", data_centre="s1")
            for name in self.engine_names
        )
        pool = Pool(
            name="engine",
            kind=PoolKind.ENGINE,
            backend_servers=servers,
            checks_fencing=self.checks_fencing,
            models=MODELS,
        )
        return Configuration(revision=1, pools={"engine": pool})


class _Marks(Drain):
    def __init__(self, fleet: OrderFleet) -> None:
        self._fleet = fleet

    def mark(self, name: str) -> None:
        now = self._fleet.hub.clock.now()
        known = self._fleet.marks.get(name)
        if known and now - known[1] < MARK_MS:
            known[1] = now
        else:
            self._fleet.marks[name] = [now, now]


class NaiveOrderFleet(OrderFleet):
    """The same with a lease that is believed until the store says no."""

    def __init__(self, **options: Any) -> None:
        super().__init__(keeper=NaiveLeaseKeeper, **options)
