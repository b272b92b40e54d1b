"""Follows the operator's configuration and the list of replicas by watches."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.platform import decode
from cactusdyke.platform.store import StoreObject
from cactusdyke.serving.state_exchange import KnownState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.platform.store import Change, StoreClient
    from cactusdyke.serving.deployment import Deployment

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPLICAS_KIND = "servers"
WAIT_MS = 2_000.0
"""A watch that a cut has silenced is found out after this and a margin, which
is within the time that a healed host has to catch up. A call a daemon and
kind in each such time is what it costs."""
DAEMONS_A_WAIT = 15
MOST_WAITS = 5.0
RETRY_MS = 250.0


class Follower(Service, KnownState):
    """Lists a kind, then watches it; keeps what it knows through outages."""

    def __init__(
        self,
        *,
        kind: str,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        deployment: Deployment,
        daemons: Callable[[], int],
    ) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._rng = rng
        self._deployment = deployment
        self._daemons = daemons
        self._objects: dict[str, StoreObject] = {}
        self._revision = 0
        self._listed = False
        self._heard_at: Instant = clock.now()
        self._lost = False

    @property
    def name(self) -> str:
        """Names the state among those that daemons exchange."""
        return self._kind

    @property
    def revision(self) -> int:
        """The store's revision that the state is of, 0 before the first."""
        return self._revision

    @property
    def silent_ms(self) -> float:
        """How long ago the store last answered, but for longer watches."""
        longer_ms = self._wait_ms - WAIT_MS
        return self._clock.now() - self._heard_at - longer_ms

    def to_wire(self) -> Any:
        """Returns the objects for another daemon."""
        return [[o.name, o.revision, o.spec] for o in self._objects.values()]

    def take(self, revision: int, value: Any, *, source: str) -> None:
        """Takes what another daemon knows, if it is newer."""
        if revision <= self._revision:
            return
        objects = [
            StoreObject(name=name, revision=int(of), spec=spec)
            for name, of, spec in value
        ]
        self._replace(objects, revision, source)

    async def run(self) -> None:
        """Follows the kind until it is cancelled."""
        while True:
            failure = await self._step()
            if failure is None:
                continue
            if not self._lost:
                self._lost = True
                events.log(
                    events.Event.SERVING_SOURCE_LOST,
                    kind=self._kind,
                    revision=self._revision,
                    detail=failure.detail,
                )
            await self._clock.sleep(RETRY_MS * self._rng.uniform(0.5, 1.0))

    async def _step(self) -> Failure | None:
        if not self._listed:
            return await self._list()
        answer = await self._store.watch(
            self._kind, revision=self._revision, wait_ms=self._wait_ms
        )
        if isinstance(answer, Err):
            return answer.err_value
        self._heard()
        if answer.ok_value.lost:
            self._listed = False
            return None
        for change in answer.ok_value.changes:
            self._change(change)
        self._revision = max(self._revision, answer.ok_value.revision)
        return None

    @property
    def _wait_ms(self) -> float:
        """How long a watch waits, longer in a large fleet.

        The store's rates grow more slowly than the fleet. Where watches wait
        longer the probes of their connections find a silent one.
        """
        share = self._daemons() / DAEMONS_A_WAIT
        return WAIT_MS * min(MOST_WAITS, max(1.0, share))

    async def _list(self) -> Failure | None:
        answer = await self._store.list(self._kind)
        if isinstance(answer, Err):
            return answer.err_value
        self._heard()
        self._listed = True
        listing = answer.ok_value
        self._replace(listing.objects, listing.revision, "store")
        return None

    def _heard(self) -> None:
        self._heard_at = self._clock.now()
        if self._lost:
            self._lost = False
            events.log(
                events.Event.SERVING_SOURCE_REGAINED,
                kind=self._kind,
                revision=self._revision,
            )

    def _replace(
        self, objects: Sequence[StoreObject], revision: int, source: str
    ) -> None:
        self._objects = {entry.name: entry for entry in objects}
        self._revision = max(self._revision, revision)
        self._applied(source)

    def _change(self, change: Change) -> None:
        if change.deleted:
            self._objects.pop(change.object.name, None)
        else:
            self._objects[change.object.name] = change.object
        self._changed(change)

    @abc.abstractmethod
    def _applied(self, source: str) -> None:
        """Puts all objects in force."""

    @abc.abstractmethod
    def _changed(self, change: Change) -> None:
        """Puts one change in force."""


class ConfigurationFollower(Follower):
    """Puts the operator's newest configuration in force."""

    def _applied(self, source: str) -> None:
        entry = self._objects.get(CONFIGURATION_NAME)
        if entry is None:
            return
        decoded = decode.configuration(entry.spec)
        if isinstance(decoded, Err):
            events.log(
                events.Event.SERVING_ENTRY_REJECTED,
                kind=self._kind,
                name=entry.name,
                revision=entry.revision,
                detail=decoded.err_value.detail,
            )
            return
        self._deployment.apply(decoded.ok_value, source=source)

    def _changed(self, change: Change) -> None:
        if change.object.name == CONFIGURATION_NAME and not change.deleted:
            self._applied("store")


class ReplicaFollower(Follower):
    """Keeps the list of replicas, each entry decoded alone."""

    def _applied(self, source: str) -> None:
        del source
        replicas = []
        for entry in self._objects.values():
            decoded = decode.replica(entry)
            if isinstance(decoded, Err):
                self._reject(entry, decoded.err_value)
            else:
                replicas.append(decoded.ok_value)
        self._deployment.replace_replicas(replicas)

    def _changed(self, change: Change) -> None:
        entry = change.object
        if change.deleted:
            self._deployment.remove_replica(entry.name)
            return
        decoded = decode.replica(entry)
        if isinstance(decoded, Err):
            self._reject(entry, decoded.err_value)
            self._deployment.remove_replica(entry.name)
            return
        self._deployment.put_replica(decoded.ok_value)

    def _reject(self, entry: StoreObject, failure: Failure) -> None:
        events.log(
            events.Event.SERVING_ENTRY_REJECTED,
            kind=self._kind,
            name=entry.name,
            revision=entry.revision,
            detail=failure.detail,
        )
