"""Registers this daemon in the platform's store, and lists the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.infrastructure.host_list import (
    HostList,
    HostState,
    ListedHost,
)
from cactusdyke.kernel import Service
from cactusdyke.platform.values import text
from cactusdyke.serving.quarantine import QuarantineStore
from cactusdyke.transport.network_address import NetworkAddress

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import StoreObject
    from cactusdyke.platform.settings import PlatformSettings
    from cactusdyke.platform.store import StoreClient
    from cactusdyke.serving.quarantine import Quarantine

KIND = "cactusdyke-daemons"
RETRY_MS = 1_000.0
STOP_TIMEOUT_MS = 1_000.0


class DaemonRegistry(Service, HostList, QuarantineStore):
    """Keeps one object per daemon, created at its start, deleted at its stop.

    Daemons find each other by gossip. Only a daemon whose seeds are all gone
    needs the registered addresses. Each start costs one write.

    The object also holds the evidence against requests that crash replicas, so
    that a daemon that starts reads both with one call.
    """

    def __init__(
        self, *, settings: PlatformSettings, store: StoreClient, clock: Clock
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._quarantine: Quarantine | None = None
        self._registered = 0
        self._tried = anyio.Event()
        self._listed_at: Instant | None = None
        self._stopping = False

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

    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the registered daemons, of which some may no longer run."""
        answer = await self._store.list(KIND)
        self._tried.set()
        if isinstance(answer, Err):
            self._inform()
            return answer
        if self._listed_at is None:
            self._listed_at = self._clock.now()
        self._registered = len(answer.ok_value.objects)
        for entry in answer.ok_value.objects:
            self._load_evidence(entry)
        self._inform()
        hosts = map(_decode_host, answer.ok_value.objects)
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
            if (
                self._listed_at is not None
                and (await self.save_quarantine()).is_ok()
            ):
                return
            await self._clock.sleep(RETRY_MS)

    async def save_quarantine(self) -> Result[None, Failure]:
        """Writes this daemon's object with all evidence that it has."""
        if self._stopping:
            return Ok(None)
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
        return await self._store.put(KIND, self._settings.node, spec)

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
            await self._store.delete(KIND, self._settings.node)


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
