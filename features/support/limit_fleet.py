"""Daemons that send requests to engines that state limits, on a hub."""

from __future__ import annotations

import collections
import itertools
import random

import anyio
import attrs
import prometheus_client

from cactusdyke.membership.member import Member
from cactusdyke.observe.tracing import Tracing
from cactusdyke.serving.cold_replicas import ColdAllowance
from cactusdyke.serving.core import ServingCore
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.model import (
    CallerLimits,
    EngineSpec,
    Replica,
    ReplicaState,
    ServiceSpec,
    ServingConfiguration,
)
from cactusdyke.serving.planned_stop import StopTimes
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.retry_budget import RetryAllowance
from cactusdyke.transport.routes import Routes
from features.support.quarantine_fleet import AcceptingStore
from features.support.serving_values import NoConnections, NoTunnels
from features.support.state_fleet import FixedDaemons, peer
from standins.hub import Hub

SERVICE = "models"
ENGINES = 9
DESK = "desk"
DESKS = 3
LIMITED = ("e0", "e1", "e2", "p0")
FIRST_TOKEN_MS = 200.0
DETECTION_MS = 1_500.0
"""After this time the others take a daemon that ended for dead."""
PROBE_INTERVAL_S = 1.0


def replica(name, service):
    return Replica(
        name=name,
        service=service,
        address=f"{name}:1",
        data_centre="north",
        state=ReplicaState.READY,
        slots=64,
        born=1,
    )


REPLICAS = (
    *(replica(f"e{number}", SERVICE) for number in range(ENGINES)),
    *(replica(f"p{number}", DESK) for number in range(DESKS)),
)


@attrs.frozen
class Arrival:
    """A request at a replica that stated a limit, and who sent it."""

    at_ms: float
    replica: str
    daemon: str


class LimitFleet:
    """Daemons of one deployment whose requests come at random."""

    def __init__(self, *, count, requests_per_s):
        self.hub = Hub()
        self.cores = {}
        self.arrivals = []
        self.limit = None
        self.counts = collections.Counter()
        self._requests_per_s = requests_per_s
        self._ids = itertools.count()
        self._members = set(range(count))
        self._views = {}
        self._rng = random.Random(1)

    async def __aenter__(self):
        await self.hub.__aenter__()
        for number in sorted(self._members):
            self._start(number)
        self._update_views()
        self.hub.start(self._probe)
        self.hub.start(self._send_requests)
        return self

    async def __aexit__(self, *error):
        await self.hub.__aexit__(*error)

    def decider(self):
        """Returns the number of the daemon that decides for the engines."""
        first = min(self._members)
        return int(self.cores[f"d{first}"].decider_of(SERVICE)[1:])

    def known_limits(self):
        """Returns how many limits the decider knows."""
        decider = self.cores[f"d{self.decider()}"]
        return decider._request_limits._stated_limits.count

    async def stop(self, number):
        """Ends a daemon that has announced that it leaves."""
        self._members.discard(number)
        self._update_views()
        await anyio.sleep(0.5)
        self.hub.kill(f"d{number}")

    async def kill(self, number):
        """Ends a daemon; the others notice it later."""
        self.hub.kill(f"d{number}")
        self.cores.pop(f"d{number}", None)
        await anyio.sleep(DETECTION_MS / 1_000)
        self._members.discard(number)
        self._update_views()

    async def freeze(self, number, for_s):
        """Stops a daemon for a while."""
        self.hub.freeze(f"d{number}")
        await anyio.sleep(for_s)
        self.hub.wake(f"d{number}")

    async def cut_off(self, numbers, for_s):
        """Cuts daemons off from all others for a while."""
        links = [
            self.hub.link(*pair)
            for number in numbers
            for other in self._members - set(numbers)
            for pair in (
                (f"d{number}", f"d{other}"),
                (f"d{other}", f"d{number}"),
            )
        ]
        for link in links:
            link.cut = True
        await anyio.sleep(for_s)
        for link in links:
            link.cut = False

    def _start(self, number):
        name = f"d{number}"
        clock = self.hub.clock_of(name)
        own = peer(number, is_local=True)
        view = self._views[name] = FixedDaemons((own,))
        deployment = Deployment(clock=clock)
        engines = ServiceSpec(
            name=SERVICE,
            max_connections=10_000,
            engine=EngineSpec(slots=64, kv_tokens=600_000),
        )
        desks = ServiceSpec(name=DESK, max_connections=10_000)
        deployment.apply(
            ServingConfiguration(
                version=1,
                routes=(),
                services={SERVICE: engines, DESK: desks},
                customers=(),
                limits=CallerLimits(),
            ),
            source="test",
        )
        deployment.replace_replicas(REPLICAS)
        core = ServingCore(
            clock=clock,
            rng=random.Random(number),
            network=self.hub.network(name),
            connections=NoConnections(),
            tunnels=NoTunnels(),
            dialect=None,
            deployment=deployment,
            daemons=view,
            data_centre="north",
            retry_allowance=RetryAllowance,
            cold_allowance=ColdAllowance,
            stop_times=StopTimes,
            announce=lambda: None,
            quarantine_store=AcceptingStore(),
            origin_store=AcceptingStore(),
            metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
            tracing=Tracing(daemon=name, kept=1),
        )
        self.cores[name] = core
        routes = Routes()
        for method, path, handler in core.peer_routes:
            routes.add(method, path, handler)

        async def handle(request):
            self.counts[request.path] += 1
            return await routes.handle(request)

        self.hub.listen(f"{name}:1", handle, owner=name)
        for service in core.services.values():
            self.hub.start(service.run)

    def _update_views(self):
        daemons = [peer(n) for n in sorted(self._members)]
        for name, view in self._views.items():
            view._daemons = tuple(
                attrs.evolve(d, is_local=d.name == name) for d in daemons
            )

    async def _send_requests(self):
        number = 0
        while True:
            wait_s = self._rng.expovariate(self._requests_per_s)
            await anyio.sleep(wait_s)
            name = f"d{self._rng.choice(sorted(self._members))}"
            if name in self.cores:
                self.hub.start(self._request, name, number)
                number += 1

    async def _request(self, name, number):
        """Sends a request as a daemon does, and answers it as a replica."""
        core = self.cores[name]
        await self.hub.awake(name)
        if number % 2:
            await self._look(core, name)
        else:
            await self._generate(core, name, number)

    async def _look(self, core, name):
        """Sends a request to a plain service, in turn to each replica."""
        desks = core._decider._deployment.usable_replicas(DESK)
        chosen = self._rng.choice(desks)
        if core._request_limits.is_limited(chosen):
            limited = await core._dispatch.choose_limited(
                DESK, f"{name}/{next(self._ids)}", (), has_alternative=True
            )
            chosen = limited.replica if limited else None
        if chosen is not None:
            await self._answer(core, name, chosen)

    async def _generate(self, core, name, number):
        subject = f"subject-{number % 40}"
        generation = Generation(
            model="m",
            prompt_tokens=700,
            output_tokens=20,
            parts=(
                PromptPart(name=subject, tokens=600),
                PromptPart(name=f"own-{number}", tokens=100),
            ),
        )
        chosen = await core._dispatch.place(
            SERVICE,
            f"{name}/{number}",
            generation,
            self._excluded(core, SERVICE),
            {},
        )
        await self.hub.awake(name)
        if chosen is None:
            self.counts["no engine"] += 1
            return
        await self._answer(core, name, chosen.replica)
        core._dispatch.notify_first_token(chosen)
        core._dispatch.notify_end(chosen, failed=False)

    async def _answer(self, core, name, replica):
        """Answers a request with the limit that the replica states."""
        sent_at = self.hub.clock.now()
        states = replica.name in LIMITED
        if states and self.limit is not None:
            self.arrivals.append(
                Arrival(at_ms=sent_at, replica=replica.name, daemon=name)
            )
        await anyio.sleep(FIRST_TOKEN_MS / 1_000)
        await self.hub.awake(name)
        core._request_limits.record_answer(
            replica, self.limit if states else None, sent_at=sent_at
        )

    async def _probe(self):
        """Passes attachments in both directions between random pairs."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            names = [f"d{n}" for n in sorted(self._members)]
            sent = []
            for name in names:
                other = self._rng.choice(names)
                links = (
                    self.hub.link(name, other),
                    self.hub.link(other, name),
                )
                known = name in self.cores and other in self.cores
                if known and name != other and not any(x.cut for x in links):
                    sent += [
                        self._write(name, other),
                        self._write(other, name),
                    ]
            # Read only after all are written: news passes one daemon a round.
            for sender, receiver, value in sent:
                if value is not None:
                    attachment = self._attachment(self.cores[receiver])
                    attachment.read(_member(sender), value)

    def _write(self, sender, receiver):
        attachment = self._attachment(self.cores[sender])
        return sender, receiver, attachment.write(_member(receiver))

    def _excluded(self, core, service):
        """Returns the names of replicas that a daemon itself leaves out."""
        del core, service
        return ()

    def _attachment(self, core):
        """Returns the attachment to probes that the fleet is about."""
        return core.limits_attachment


def _member(name):
    return Member(
        name=name,
        address=f"{name}:1",
        data_centre="north",
        region="",
        incarnation=1,
    )
