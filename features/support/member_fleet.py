"""Membership services of many daemons on one hub, in virtual time."""

from __future__ import annotations

import random
from typing import Any

import anyio
import attrs
import prometheus_client
from result import Ok

from cactusdyke.infrastructure.host_list import HostList
from cactusdyke.membership.control_client import ControlClient, ControlTraffic
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.membership.members import Members
from cactusdyke.settings import Peer, Settings
from cactusdyke.transport.routes import Routes
from standins.hub import Hub

CENTRES_BY_REGION = {"south": ("s1", "s2"), "north": ("n1",)}
PLACES = [(c, r) for r, cs in CENTRES_BY_REGION.items() for c in cs]


class NoHosts(HostList):
    """An empty host list."""

    async def read(self):
        return Ok(())


@attrs.define(kw_only=True)
class Daemon:
    """One daemon's membership service and its counted messages."""

    members: Any
    traffic: ControlTraffic
    scope: anyio.CancelScope
    revision: int = 1
    services: list[Any] = attrs.field(factory=list)


class MemberFleet:
    """Starts, kills and partitions daemons by name."""

    def __init__(
        self,
        *,
        kind: type = Members,
        seed: int = 0,
        skew_ms: int = 0,
        make_services: Any = None,
        hosts: HostList | None = None,
    ) -> None:
        self.hosts = hosts or NoHosts()
        self.hub = Hub()
        self.kind = kind
        self.rng = random.Random(seed)
        self.daemons: dict[str, Daemon] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.names: list[str] = []
        self.skew_ms = skew_ms
        self.make_services = make_services

    async def __aenter__(self) -> MemberFleet:
        await self.hub.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> None:
        for daemon in self.daemons.values():
            daemon.scope.cancel()
        await self.hub.__aexit__(*error)

    def place(self, name: str) -> tuple[str, str]:
        """Returns a daemon's data centre and region."""
        return PLACES[int(name.split("-")[1]) % len(PLACES)]

    def start_all(self, count: int) -> None:
        """Starts daemons with the first three as seeds."""
        self.names = [f"d-{i}" for i in range(count)]
        for name in self.names:
            self.start(name)

    def start(self, name: str, *, host: str = "") -> None:
        """Starts or restarts a daemon, under a new incarnation."""
        host = host or name
        centre, region = self.place(name)
        settings = Settings(
            name=name,
            host=host,
            port=1,
            data_centre=centre,
            region=region,
            object_service="",
            host_list="",
            peers=tuple(
                Peer(name=n, address=f"{n}:1", data_centre=self.place(n)[0])
                for n in self.names[:3]
                if n != name
            ),
        )
        traffic = ControlTraffic(prometheus_client.CollectorRegistry())
        clock = self.hub.clock_of(host)
        if self.skew_ms:
            now = clock.wall()
            clock.wall = lambda: now + self.skew_ms  # type: ignore
        client = ControlClient(network=self.hub.network(host), traffic=traffic)
        rng = random.Random(self.rng.random())
        members = self.kind(
            settings=settings,
            clock=clock,
            rng=rng,
            client=client,
            traffic=traffic,
            host_list=self.hosts,
            revision=lambda: daemon.revision,
        )
        daemon = Daemon(
            members=members, traffic=traffic, scope=anyio.CancelScope()
        )
        routes = Routes()
        routes.add("POST", GOSSIP_PATH, members.handle)
        self.daemons[name] = daemon
        if self.make_services:
            daemon.services = self.make_services(
                members=members, client=client, clock=clock, rng=rng
            )
        self.hub.listen(f"{host}:1", routes.handle, owner=host)
        self.hub.start(self._run, daemon)

    async def _run(self, daemon: Daemon) -> None:
        with daemon.scope:
            async with anyio.create_task_group() as tasks:
                for service in (daemon.members, *daemon.services):
                    tasks.start_soon(service.run)

    def kill(self, name: str) -> None:
        """Kills a daemon."""
        self.hub.wake(name)
        self.hub.kill(name)
        self.daemons.pop(name).scope.cancel()

    async def leave(self, name: str) -> None:
        """Makes a daemon announce that it leaves; it keeps answering."""
        await self.daemons[name].members.announce_stop()

    def cut(self, source: str, target: str) -> None:
        """Cuts the link from one daemon to another, in this direction only."""
        self.hub.link(source, target).cut = True
        self.cut_pairs.add((source, target))

    def cut_region(self) -> None:
        """Cuts all links between regions, in both directions."""
        for a in self.names:
            for b in self.names:
                if self.place(a)[1] != self.place(b)[1]:
                    self.cut(a, b)

    def heal(self) -> None:
        """Restores all cut links."""
        for source, target in self.cut_pairs:
            self.hub.link(source, target).cut = False
        self.cut_pairs.clear()

    def listed(self, name: str) -> set[str]:
        """Returns the daemons that a daemon lists to callers."""
        return {m.name for m in self.daemons[name].members.serving()}

    def known(self, name: str) -> set[str]:
        """Returns the daemons that a daemon has not marked dead."""
        return {m.name for m in self.daemons[name].members.all()}

    def agree(self) -> bool:
        """Returns whether every daemon has all others at their incarnation."""
        incarnations = {
            n: d.members.own.incarnation for n, d in self.daemons.items()
        }
        return all(
            {m.name: m.incarnation for m in d.members.all()} == incarnations
            for d in self.daemons.values()
        )

    async def until(self, condition: Any, *, limit_ms: float) -> float:
        """Waits for a condition and returns how long it took."""
        began = self.hub.clock.now()
        while not condition():
            if self.hub.clock.now() - began > limit_ms:
                raise AssertionError(f"condition not met within {limit_ms} ms")
            await self.hub.clock.sleep(50)
        return self.hub.clock.now() - began
