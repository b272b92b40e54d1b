"""Daemons that watch for crashes of replicas, on a hub in virtual time."""

from __future__ import annotations

import collections
import contextlib
import random
import types

import anyio
import prometheus_client
from result import Ok

from cactusdyke.membership.member import Member
from cactusdyke.serving import state_readers
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.model import Replica, ReplicaState
from cactusdyke.serving.quarantine import (
    CRASHES_PATH,
    Quarantine,
    QuarantineStore,
)
from cactusdyke.serving.untold_origins import OriginStore
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.routes import Routes
from features.support.state_fleet import FixedDaemons, peer
from standins.hub import Hub

PROBE_INTERVAL_S = 1.0


def request(digest):
    """Returns a stand-in for a request, with its digest only."""
    return types.SimpleNamespace(digest=digest)


def replica(number):
    return Replica(
        name=f"r{number}",
        service="models",
        address=f"r{number}:1",
        data_centre="north",
        state=ReplicaState.READY,
        slots=1,
    )


class Replicas(BackendConnections):
    """Connections to replicas; those in `down` refuse them."""

    def __init__(self):
        self.down = set()

    @contextlib.asynccontextmanager
    async def connect(self, address):
        if address in self.down:
            raise ExchangeError(address, sent=False, refused=True)
        yield None


class AcceptingStore(QuarantineStore, OriginStore):
    """A store that accepts every write and keeps nothing."""

    async def save_quarantine(self):
        return Ok(None)

    async def save_origins(self, begun):
        return Ok(None)

    async def read_origins(self):
        return Ok([])


class QuarantineFleet:
    """Daemons of one deployment, which probe one another at random."""

    def __init__(self, *, count, probes=False):
        self.hub = Hub()
        self.replicas = Replicas()
        self.quarantines = {}
        self.messages = collections.Counter()
        self.cut_off = set()
        self._probes = probes
        self._count = count
        self._views = {}
        self._rng = random.Random(1)

    async def __aenter__(self):
        await self.hub.__aenter__()
        for number in range(self._count):
            self._start(number)
        if self._probes:
            self.hub.start(self._probe)
        await anyio.sleep(0.1)
        return self

    async def __aexit__(self, *error):
        await self.hub.__aexit__(*error)

    @property
    def collectors(self):
        return [
            daemon.name
            for daemon in state_readers.choose_readers(self._all(None))
        ]

    @property
    def others(self):
        """Daemons that are no collectors."""
        return [n for n in self.quarantines if n not in self.collectors]

    def crash(self, number, seen):
        """Crashes a replica; `seen` has the digests in progress, by daemon."""
        crashed = replica(number)
        self.replicas.down.add(crashed.address)
        for name, digests in seen.items():
            for digest in digests:
                self.quarantines[name].on_attempt_broken(
                    request(digest), crashed
                )

    def remove(self, name):
        """Removes a daemon from the view of all others."""
        for own, view in self._views.items():
            view._daemons = tuple(d for d in self._all(own) if d.name != name)
        del self.quarantines[name]

    async def until_all_refuse(self, digest, names, *, within_s):
        """Waits until all of `names` refuse; returns the time in s."""
        started_at = anyio.current_time()
        while not all(self.refuses(name, digest) for name in names):
            assert anyio.current_time() - started_at < within_s, [
                n for n in names if not self.refuses(n, digest)
            ]
            await anyio.sleep(0.01)
        return anyio.current_time() - started_at

    def refuses(self, name, digest):
        return self.quarantines[name].refusal(request(digest)) is not None

    def _all(self, own):
        return tuple(
            peer(n, is_local=f"d{n}" == own)
            for n in range(self._count)
            if f"d{n}" in self.quarantines or own is None or f"d{n}" == own
        )

    def _start(self, number):
        name = f"d{number}"
        view = FixedDaemons(
            tuple(peer(n, is_local=n == number) for n in range(self._count))
        )
        quarantine = Quarantine(
            clock=self.hub.clock_of(name),
            network=self.hub.network(name),
            connections=self.replicas,
            daemons=view,
            store=AcceptingStore(),
            metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
        )
        self._views[name] = view
        self.quarantines[name] = quarantine

        async def handle(request):
            self.messages[name] += 1
            return await quarantine.handle(request)

        routes = Routes()
        routes.add("POST", CRASHES_PATH, handle)
        self.hub.listen(f"{name}:1", routes.handle, owner=name)
        self.hub.start(quarantine.run)

    async def _probe(self):
        """Passes attachments in both directions between random pairs."""
        attachments = {n: q.attachment for n, q in self.quarantines.items()}
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            for name in attachments:
                other = self._rng.choice(sorted(attachments))
                if other != name and not {name, other} & self.cut_off:
                    _exchange(attachments, name, other)
                    _exchange(attachments, other, name)


def _exchange(attachments, sender, receiver):
    value = attachments[sender].write(_member(receiver))
    if value is not None:
        attachments[receiver].read(_member(sender), value)


def _member(name):
    return Member(
        name=name,
        address=f"{name}:1",
        data_centre="north",
        region="",
        incarnation=1,
    )
