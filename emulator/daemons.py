"""Daemons of a play: the product's serving core and membership, on a hub."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import prometheus_client
from result import Ok, Result

from cactusdyke.infrastructure.host_list import HostList, HostState, ListedHost
from cactusdyke.membership.control_client import ControlClient, ControlTraffic
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.membership.members import Members
from cactusdyke.observe.tracing import Tracing
from cactusdyke.serving.cold_replicas import ColdAllowance
from cactusdyke.serving.core import ServingCore
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.planned_stop import StopTimes
from cactusdyke.serving.quarantine import QuarantineStore
from cactusdyke.serving.retry_budget import RetryAllowance
from cactusdyke.serving.untold_origins import EncodedOrigin, OriginStore
from cactusdyke.settings import Settings
from cactusdyke.transport.front_interface import BrokenOffError
from cactusdyke.transport.messages import Response
from cactusdyke.transport.routes import Routes
from emulator import deployment as deployments
from emulator.dialect import EmulatedDialect
from emulator.links import COLD_OVERSHOOT, COLD_SLACK

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.clock import Clock
    from cactusdyke.errors import Failure
    from cactusdyke.transport.front_interface import ReadRequest, Reply
    from cactusdyke.transport.messages import Request
    from emulator.links import Links
    from emulator.world import World

MS_PER_SECOND = 1_000.0
CONTACT_MS = 3_000.0
STORE_MS = 4.0
KEPT_SPANS = 10


class AllHosts(HostList):
    """The platform's list: every host, up or not."""

    def __init__(self, hosts: tuple[ListedHost, ...]) -> None:
        self._hosts = hosts

    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns every host."""
        return Ok(self._hosts)


class _SavedQuarantine(QuarantineStore):
    """The part of the platform's store that outlives daemons."""

    def __init__(
        self,
        *,
        saved: dict[str, Mapping[str, Any]],
        name: str,
        evidence: Callable[[], Mapping[str, Any] | None],
    ) -> None:
        self._saved = saved
        self._name = name
        self._evidence = evidence

    async def save_quarantine(self) -> Result[None, Failure]:
        """Saves the daemon's evidence."""
        evidence = self._evidence()
        if evidence is not None:
            self._saved[self._name] = evidence
        return Ok(None)


class _SavedOrigins(OriginStore):
    """The origins of streams in the platform's store."""

    def __init__(
        self, *, clock: Clock, saved: dict[str, list[EncodedOrigin]], name: str
    ) -> None:
        self._clock = clock
        self._saved = saved
        self._name = name

    async def save_origins(
        self, begun: list[EncodedOrigin]
    ) -> Result[None, Failure]:
        """Saves the daemon's origins."""
        await self._clock.sleep(STORE_MS)
        self._saved[self._name] = begun
        return Ok(None)

    async def read_origins(self) -> Result[list[EncodedOrigin], Failure]:
        """Returns what all daemons have saved."""
        await self._clock.sleep(STORE_MS)
        return Ok([one for begun in self._saved.values() for one in begun])


class EmulatedDaemon:
    """One host's daemon, which may die and come back."""

    def __init__(
        self, *, world: World, links: Links, number: int, count: int
    ) -> None:
        self._world = world
        self._links = links
        self.name = f"d{number}"
        self.data_centre = world.place(number)
        self._hosts = tuple(
            ListedHost(
                name=f"d{n}",
                address=f"d{n}:1",
                data_centre=world.place(n),
                state=HostState.LIVE,
            )
            for n in range(count)
        )
        self._scope = anyio.CancelScope()
        self._tasks: Any = None
        self._open: set[anyio.Event] = set()
        self.core: ServingCore | None = None
        self.powerless = False
        self.follows_list = True
        self.disturbed_until = 0.0

    @property
    def up(self) -> bool:
        """Whether it answers callers."""
        return self.core is not None

    @property
    def in_touch(self) -> bool:
        """Whether it has been undisturbed for a while."""
        undisturbed_ms = self._world.clock.now() - self.disturbed_until
        return self.up and undisturbed_ms > CONTACT_MS

    def start(self) -> None:
        """Starts a new process on the host."""
        self._scope = anyio.CancelScope()
        self.powerless = False
        self._world.hub.start(self._run)

    def kill(self, *, powerless: bool) -> None:
        """Ends the process at once; what was open breaks.

        Args:
            powerless: Whether the host is gone too, and says nothing.
        """
        self.core = None
        self.powerless = powerless
        self._world.hub.kill(self.name)
        self._links.break_off(self.name)
        self._scope.cancel()
        if not powerless:
            self.break_open()

    def break_open(self) -> None:
        """Lets callers see that their connections are gone."""
        for lost in self._open:
            lost.set()

    async def answer(self, request: ReadRequest, reply: Reply) -> bool:
        """Answers a request; returns whether the connection held."""
        if self.core is None:
            return False
        ended = anyio.Event()
        held = [False]
        scope = anyio.CancelScope()
        process = self._scope

        async def handle() -> None:
            with scope:
                try:
                    assert self.core is not None
                    await self.core.forwarder.handle(request, reply)
                    held[0] = True
                except BrokenOffError:
                    pass
                except RuntimeError:
                    # What ends with the process starts nothing any more.
                    if not process.cancel_called:
                        raise
            ended.set()

        self._open.add(ended)
        self._tasks.start_soon(handle)
        try:
            await ended.wait()
        finally:
            scope.cancel()
            self._open.discard(ended)
        return held[0]

    async def _run(self) -> None:
        scope = self._scope
        try:
            with scope:
                await self._world.clock.sleep(self._start_ms())
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    self._compose(tasks)
                    self.disturbed_until = self._world.clock.now()
                    await anyio.sleep_forever()
        except* RuntimeError:
            if not scope.cancel_called:
                raise

    def _start_ms(self) -> float:
        scenario = self._world.scenario
        spread_s = scenario.start_spread_s * self._world.rng.random()
        return (scenario.start_s + spread_s) * MS_PER_SECOND

    def _compose(self, tasks: Any) -> None:
        world = self._world
        clock = world.clock
        world.started_at[self.name] = clock.now()
        rng = random.Random(world.rng.random())
        network = world.hub.network(self.name)
        deployment = Deployment(clock=clock)
        registry = prometheus_client.CollectorRegistry()
        traffic = ControlTraffic(registry)
        members = Members(
            settings=Settings(
                name=self.name,
                host=self.name,
                port=1,
                data_centre=self.data_centre,
                object_service="",
                host_list="",
            ),
            clock=clock,
            rng=rng,
            client=ControlClient(network=network, traffic=traffic),
            traffic=traffic,
            host_list=AllHosts(self._hosts),
            revision=lambda: 1,
        )
        view = MemberView(
            clock=clock,
            members=members,
            public_address=f"{self.name}:2",
            size_class=0,
            ready=lambda: True,
            decided_hashes=lambda: core.decided_service_hashes,
            min_count=lambda: len(self._hosts),
            cut_off=lambda: core.cut_off,
        )
        core = ServingCore(
            clock=clock,
            rng=rng,
            network=network,
            connections=self._links.of(self.name, self.data_centre),
            tunnels=self._links.tunnels(self.name),
            dialect=EmulatedDialect(scenario=world.scenario),
            deployment=deployment,
            daemons=view,
            data_centre=self.data_centre,
            retry_allowance=RetryAllowance,
            cold_allowance=lambda: ColdAllowance(
                overshoot=COLD_OVERSHOOT, slack=COLD_SLACK
            ),
            stop_times=StopTimes,
            announce=members.announce,
            quarantine_store=_SavedQuarantine(
                saved=world.saved,
                name=self.name,
                evidence=lambda: core.quarantine.evidence,
            ),
            origin_store=_SavedOrigins(
                clock=clock, saved=world.saved_origins, name=self.name
            ),
            metrics=ServingMetrics(registry),
            tracing=Tracing(daemon=self.name, kept=KEPT_SPANS),
        )
        members.attach("crash-evidence", core.quarantine.attachment)
        members.attach("limits", core.limits_attachment)
        members.attach("leaving", core.statements_attachment)
        for evidence in world.saved.values():
            core.quarantine.merge(evidence)
        core.quarantine.mark_loaded()
        deployment.apply(
            deployments.configuration(world.scenario), source="scenario"
        )
        deployment.replace_replicas(deployments.replicas(self._links))
        routes = Routes()
        routes.add("POST", GOSSIP_PATH, members.handle)
        for method, path, handler in core.peer_routes:
            routes.add(method, path, handler)
        world.hub.listen(
            f"{self.name}:1",
            lambda request: self._handle_peer(core, routes, request),
            owner=self.name,
        )
        tasks.start_soon(members.run)
        for service in core.services.values():
            tasks.start_soon(service.run)
        tasks.start_soon(self._follow_replicas, deployment)
        members.announce()
        self.core = core
        self._links.gates[self.name] = core.tunnel_gate

    async def _handle_peer(
        self, core: ServingCore, routes: Routes, request: Request
    ) -> Response:
        """Answers another daemon, as long as this process lives.

        The hub's task goes on for a moment after the process has ended, and
        what it would start then has nowhere to run.
        """
        try:
            return await routes.handle(request)
        except RuntimeError:
            if self.core is core:
                raise
            return Response(status=500)

    async def _follow_replicas(self, deployment: Deployment) -> None:
        """Stands for the watch on the platform's list."""
        known = deployments.replicas(self._links)
        while True:
            await self._world.clock.sleep(200.0)
            if not self.follows_list:
                continue
            now = deployments.replicas(self._links)
            if now != known:
                known = now
                deployment.replace_replicas(now)
            if self._world.evacuated != deployment.evacuated:
                deployment.replace_evacuated(
                    self._world.evacuated, source="scenario"
                )
