"""Daemons that read the load of replicas, over one simulated network."""

from __future__ import annotations

from typing import Any

from cactusdyke.configuration.model import (
    BackendServer,
    Configuration,
    Pool,
    PoolKind,
)
from cactusdyke.load.collector import LoadCollector
from cactusdyke.load.departures import Departures
from cactusdyke.routing.router import Router
from features.support.member_fleet import PLACES, MemberFleet, NoHosts
from standins.engine import Engine


class LoadFleet:
    """A fleet of daemons and the replicas whose load they read."""

    def __init__(
        self, *, replicas: int, collector: type = LoadCollector, seed: int = 0
    ) -> None:
        self.collector = collector
        self.replicas = replicas
        self.fleet = MemberFleet(make_services=self._equip, seed=seed)
        self.engines: dict[str, Engine] = {}
        self.host_list: Any = NoHosts()
        self.configuration = _configuration(replicas)

    async def __aenter__(self) -> LoadFleet:
        await self.fleet.__aenter__()
        hub = self.fleet.hub
        for i in range(self.replicas):
            name = f"engine-{i}"
            engine = Engine(clock=hub.clock, name=name)
            self.engines[name] = engine
            hub.listen(f"{name}:1", engine.routes.handle, owner=name)
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self.fleet.__aexit__(*error)

    def collector_of(self, name: str) -> LoadCollector:
        """Returns a daemon's load collector."""
        return self.fleet.daemons[name].services[1]

    def router_of(self, name: str) -> Router:
        """Returns a daemon's router."""
        return self.fleet.daemons[name].services[2]

    def ages(self) -> list[float]:
        """Returns the age of each reading at each daemon of its data centre."""
        pool = self.configuration.pools["engine"]
        return sorted(
            self.collector_of(name).readings.age_ms(server.name)
            for name in self.fleet.daemons
            for server in pool.backend_servers
            if server.data_centre == self.fleet.place(name)[0]
        )

    def _equip(self, *, members, client, clock, rng) -> list[Any]:
        router = Router(clock=clock, rng=rng)
        departures = Departures(
            clock=clock,
            rng=rng,
            members=members,
            host_list=self.host_list,
            router=router,
            configuration=lambda: self.configuration,
        )
        collector = self.collector(
            clock=clock,
            client=client,
            members=members,
            departures=departures,
            load_tracker=router.load,
            configuration=lambda: self.configuration,
        )
        return [departures, collector, router]


def _configuration(replicas: int) -> Configuration:
    servers = tuple(
        BackendServer(
            name=f"engine-{i}",
            address=f"engine-{i}:1",
            data_centre=PLACES[i % len(PLACES)][0],
        )
        for i in range(replicas)
    )
    pool = Pool(
        name="engine",
        kind=PoolKind.ENGINE,
        backend_servers=servers,
        models=("summary", "quote"),
    )
    return Configuration(revision=1, pools={"engine": pool})
