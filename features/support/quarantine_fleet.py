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
STORE_S = 0.004


def request(digest, *parts):
    """Returns a stand-in for a request, with what it may be blamed for."""
    return types.SimpleNamespace(
        digest=digest,
        shared_parts=list(parts),
        answer_began_at=None,
        request=types.SimpleNamespace(request_id=f"id-{digest}"),
    )


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


class SavedEvidence(QuarantineStore):
    """The object of one daemon in a store that outlives all daemons."""

    def __init__(self, *, saved, name):
        self._saved = saved
        self._name = name
        self.quarantine = None

    async def save_quarantine(self):
        await anyio.sleep(STORE_S)
        evidence = self.quarantine.evidence
        if evidence is not None:
            self._saved[self._name] = evidence
        return Ok(None)


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
        self.saved = {}
        self._probes = probes
        self._count = count
        self._views = {}
        self._scopes = {}
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
        del self.quarantines[name]
        self._update_views()

    def end(self, name):
        """Ends a daemon's process; all others see that at once."""
        self.hub.kill(name)
        self._scopes.pop(name).cancel()
        self.remove(name)

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

    def start(self, number):
        """Starts a daemon, which loads what is saved."""
        self._start(number)
        self._update_views()

    def _start(self, number):
        name = f"d{number}"
        store = SavedEvidence(saved=self.saved, name=name)
        view = FixedDaemons(
            tuple(peer(n, is_local=n == number) for n in range(self._count))
        )
        quarantine = Quarantine(
            clock=self.hub.clock_of(name),
            network=self.hub.network(name),
            connections=self.replicas,
            daemons=view,
            store=store,
            metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
        )
        store.quarantine = quarantine
        for evidence in self.saved.values():
            quarantine.merge(evidence)
        quarantine.mark_loaded()
        self._views[name] = view
        self.quarantines[name] = quarantine

        async def handle(request):
            self.messages[name] += 1
            return await quarantine.handle(request)

        routes = Routes()
        routes.add("POST", CRASHES_PATH, handle)
        self.hub.listen(f"{name}:1", routes.handle, owner=name)
        self._scopes[name] = anyio.CancelScope()
        self.hub.start(self._run, quarantine, self._scopes[name])

    async def _run(self, quarantine, scope):
        with scope:
            await quarantine.run()

    def _update_views(self):
        live = [n for n in range(self._count) if f"d{n}" in self.quarantines]
        peers = [peer(n) for n in live]
        for place, number in enumerate(live):
            local = peer(number, is_local=True)
            self._views[f"d{number}"]._daemons = (
                *peers[:place],
                local,
                *peers[place + 1 :],
            )

    async def _probe(self):
        """Passes attachments in both directions between random pairs."""
        attachments = {}
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            for name, quarantine in self.quarantines.items():
                known = attachments.get(name)
                if known is None or known[0] is not quarantine:
                    attachments[name] = (quarantine, quarantine.attachment)
            for name in sorted(self.quarantines):
                other = self._rng.choice(sorted(self.quarantines))
                if other != name and not {name, other} & self.cut_off:
                    _exchange(attachments, name, other)
                    _exchange(attachments, other, name)


def _exchange(attachments, sender, receiver):
    value = attachments[sender][1].write(_member(receiver))
    if value is not None:
        attachments[receiver][1].read(_member(sender), value)


def _member(name):
    return Member(
        name=name,
        address=f"{name}:1",
        data_centre="north",
        region="",
        incarnation=1,
    )
