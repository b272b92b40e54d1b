"""Registers this daemon in the platform's store, and lists the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.clock import MachineTime
from cactusdyke.errors import DECODING_ERRORS, FailureKind
from cactusdyke.infrastructure.host_list import (
    HostList,
    HostState,
    ListedHost,
)
from cactusdyke.kernel import Service
from cactusdyke.platform.values import text
from cactusdyke.serving.quarantine import QuarantineStore
from cactusdyke.serving.retry_handover import decode_handover
from cactusdyke.transport.network_address import NetworkAddress

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import StoreObject
    from cactusdyke.platform.settings import PlatformSettings
    from cactusdyke.platform.store import StoreClient
    from cactusdyke.serving.quarantine import Quarantine
    from cactusdyke.serving.retry_budget import RetryBudget
    from cactusdyke.serving.retry_handover import RetryHandover

KIND = "cactusdyke-daemons"
RETRY_MS = 1_000.0
STOP_TIMEOUT_MS = 1_000.0
HANDOVER_TIMEOUT_MS = 150.0
"""Within the time that a planned stop keeps for its last call to the store."""
HANDOVER_FIELD = "retry_handover"
HANDOVER_LIFETIME_MS = 3_600_000.0
"""What a daemon left that has not returned by then is removed. Far longer than
it can be used, as it is measured by the time of day."""
MOST_REMOVED = 20
"""Calls that a start makes for this at most."""
LEFT_AT_FIELD = "left_at"
TAKEN_FIELD = "retry_share_taken_at"
_CHANGED = frozenset({FailureKind.CONFLICT, FailureKind.NOT_FOUND})


class DaemonRegistry(Service, HostList, QuarantineStore):
    """Keeps one object per daemon, created at its start, deleted at its stop.

    Daemons find each other by gossip. Only a daemon whose seeds are all gone
    needs the registered addresses. Each start costs one write.

    The object also holds the evidence against requests that crash replicas, so
    that a daemon that starts reads both with one call.

    The last thing that a planned stop does is to create an object in its place
    that holds what is left of the daemon's share of retries. It names no host.
    The daemon's next process takes the share as it replaces that object, which
    only one process can.
    """

    def __init__(
        self, *, settings: PlatformSettings, store: StoreClient, clock: Clock
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._quarantine: Quarantine | None = None
        self._retry_budget: RetryBudget | None = None
        self._left_by_predecessor: StoreObject | None = None
        self._left_by_others: list[StoreObject] = []
        self._taken_at: MachineTime | None = None
        self._registered = 0
        self._tried = anyio.Event()
        self._listed_at: Instant | None = None
        self._stopping = False
        self._is_removed = False

    @property
    def registered_count(self) -> int:
        """How many daemons were registered when this one started."""
        return self._registered

    @property
    def listed_at(self) -> Instant | None:
        """When this daemon first read the list, None before."""
        return self._listed_at

    def keep(self, quarantine: Quarantine) -> None:
        """Saves the evidence of a quarantine with this daemon's object."""
        self._quarantine = quarantine

    def pass_on(self, budget: RetryBudget) -> None:
        """Passes a retry budget's share on to the daemon's next process."""
        self._retry_budget = budget

    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the registered daemons, of which some may no longer run."""
        answer = await self._store.list(KIND)
        self._tried.set()
        if isinstance(answer, Err):
            self._inform()
            return answer
        if self._listed_at is None:
            self._listed_at = self._clock.now()
        entries = []
        self._left_by_others = []
        for entry in answer.ok_value.objects:
            if not _is_handover(entry):
                entries.append(entry)
            elif entry.name == self._settings.node:
                self._left_by_predecessor = entry
            else:
                self._left_by_others.append(entry)
        self._registered = len(entries)
        for entry in entries:
            self._load_evidence(entry)
            if entry.name == self._settings.node:
                self._withhold_taken(entry)
        self._inform()
        hosts = map(_decode_host, entries)
        return Ok(tuple(host for host in hosts if host is not None))

    async def run(self) -> None:
        """Registers this daemon, with retries.

        The object of its previous run is read first: it may hold the only copy
        of the evidence.
        """
        await self._tried.wait()
        while True:
            if self._listed_at is None:
                await self.read()
            if self._stopping or (
                self._listed_at is not None and (await self._register()).is_ok()
            ):
                break
            await self._clock.sleep(RETRY_MS)
        if not self._stopping:
            await self._remove_expired()

    async def _remove_expired(self) -> None:
        """Removes what daemons have left that did not return."""
        now = self._clock.wall()
        expired = [e for e in self._left_by_others if _has_expired(e, now)]
        for entry in expired[:MOST_REMOVED]:
            # Where this fails, a daemon that starts later tries it again.
            await self._store.delete(KIND, entry.name, revision=entry.revision)

    async def _register(self) -> Result[None, Failure]:
        """Writes this daemon's object; takes what its predecessor has left."""
        left, budget = self._left_by_predecessor, self._retry_budget
        if left is None or budget is None:
            return await self.save_quarantine()
        taken_at = self._clock.machine_time()
        taken = await self._store.replace(
            KIND,
            self._settings.node,
            self._spec(taken_at=taken_at),
            revision=left.revision,
        )
        if isinstance(taken, Ok):
            self._left_by_predecessor = None
            self._taken_at = taken_at
            self._inherit(left, budget)
            return taken
        # Another process of this name may have been faster.
        budget.withhold(None)
        if taken.err_value.kind not in _CHANGED:
            return taken
        self._left_by_predecessor = None
        return await self.save_quarantine()

    def _inherit(self, left: StoreObject, budget: RetryBudget) -> None:
        try:
            handover = decode_handover(left.spec[HANDOVER_FIELD])
        except DECODING_ERRORS as error:
            _log_rejected(left, error)
            return
        events.log(
            events.Event.RETRY_SHARE_INHERITED
            if budget.inherit(handover)
            else events.Event.RETRY_SHARE_EXPIRED,
            daemons=handover.daemons,
            services=len(handover.services),
        )

    def _withhold_taken(self, entry: StoreObject) -> None:
        """Heeds that another process of this name may still use a share."""
        has_taken = isinstance(entry.spec, dict) and TAKEN_FIELD in entry.spec
        if not has_taken or self._retry_budget is None:
            return
        try:
            taken_at = MachineTime.decode(entry.spec[TAKEN_FIELD])
        except DECODING_ERRORS as error:
            _log_rejected(entry, error)
            taken_at = None
        self._retry_budget.withhold(taken_at)

    async def save_quarantine(self) -> Result[None, Failure]:
        """Writes this daemon's object with all evidence that it has."""
        if self._stopping:
            return Ok(None)
        spec = self._spec(taken_at=self._taken_at)
        return await self._store.put(KIND, self._settings.node, spec)

    def _spec(self, *, taken_at: MachineTime | None) -> dict[str, Any]:
        spec: dict[str, Any] = {
            "address": self._settings.peer.address,
            "data_centre": self._settings.zone,
        }
        evidence = self._quarantine.evidence if self._quarantine else None
        if evidence is not None:
            spec["crash_evidence"] = {
                "at": self._clock.wall(),
                "evidence": evidence,
            }
        if taken_at is not None:
            spec[TAKEN_FIELD] = taken_at.encode()
        return spec

    def _inform(self) -> None:
        if self._quarantine is not None:
            self._quarantine.mark_loaded()

    def _load_evidence(self, entry: StoreObject) -> None:
        has_evidence = (
            isinstance(entry.spec, dict) and "crash_evidence" in entry.spec
        )
        if not has_evidence or self._quarantine is None:
            return
        try:
            saved = entry.spec["crash_evidence"]
            elapsed_ms = max(0.0, self._clock.wall() - float(saved["at"]))
            self._quarantine.merge(saved["evidence"], elapsed_ms)
        except DECODING_ERRORS as error:
            _log_rejected(entry, error)

    async def announce_stop(self) -> None:
        """Removes this daemon's object."""
        self._stopping = True
        with self._clock.timeout(STOP_TIMEOUT_MS):
            removed = await self._store.delete(KIND, self._settings.node)
            self._is_removed = removed.is_ok()

    async def leave_share(self, handover: RetryHandover | None) -> None:
        """Leaves this daemon's share of retries to its next process.

        A store that did not answer at the begin of the stop is not waited for.
        If the next process has registered already, it gets nothing.
        """
        if handover is None or not self._is_removed:
            return
        spec = {
            HANDOVER_FIELD: handover.encode(),
            LEFT_AT_FIELD: self._clock.wall(),
        }
        with self._clock.timeout(HANDOVER_TIMEOUT_MS):
            left = await self._store.create(KIND, self._settings.node, spec)
            if left.is_ok():
                events.log(
                    events.Event.RETRY_SHARE_LEFT,
                    daemons=handover.daemons,
                    services=len(handover.services),
                )


def _is_handover(entry: StoreObject) -> bool:
    return isinstance(entry.spec, dict) and HANDOVER_FIELD in entry.spec


def _has_expired(entry: StoreObject, now_ms: int) -> bool:
    left_at = entry.spec.get(LEFT_AT_FIELD)
    if not isinstance(left_at, int | float):
        return True
    return now_ms - left_at > HANDOVER_LIFETIME_MS


def _decode_host(entry: StoreObject) -> ListedHost | None:
    """Returns the host of an entry, None if it can't be read."""
    try:
        return ListedHost(
            name=entry.name,
            address=str(NetworkAddress.parse(entry.spec["address"])),
            data_centre=text(entry.spec.get("data_centre", "")),
            state=HostState.LIVE,
        )
    except DECODING_ERRORS as error:
        _log_rejected(entry, error)
        return None


def _log_rejected(entry: StoreObject, error: Exception) -> None:
    events.log(
        events.Event.SERVING_ENTRY_REJECTED,
        kind=KIND,
        name=entry.name,
        revision=entry.revision,
        detail=repr(error),
    )
