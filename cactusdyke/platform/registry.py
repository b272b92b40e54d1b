"""Registers this daemon in the platform's store, and lists the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke.infrastructure.host_list import (
    HostList,
    HostState,
    ListedHost,
)
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.errors import Failure
    from cactusdyke.platform.settings import PlatformSettings
    from cactusdyke.platform.store import StoreClient

KIND = "cactusdyke-daemons"
RETRY_MS = 1_000.0
STOP_TIMEOUT_MS = 1_000.0


class DaemonRegistry(Service, HostList):
    """One object for each daemon, written at its start and removed at its end.

    Membership is kept by the daemons themselves; the store only tells a
    daemon whose seeds are all gone where to begin. One write a start.
    """

    def __init__(
        self, *, settings: PlatformSettings, store: StoreClient, clock: Clock
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._registered = 0

    @property
    def registered_count(self) -> int:
        """How many daemons were registered when this one started."""
        return self._registered

    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the daemons registered; some may be gone."""
        answer = await self._store.list(KIND)
        if isinstance(answer, Err):
            return answer
        self._registered = len(answer.ok_value.objects)
        return Ok(
            tuple(
                ListedHost(
                    name=entry.name,
                    address=str(entry.spec.get("address", "")),
                    data_centre=str(entry.spec.get("data_centre", "")),
                    state=HostState.LIVE,
                )
                for entry in answer.ok_value.objects
                if isinstance(entry.spec, dict) and entry.spec.get("address")
            )
        )

    async def run(self) -> None:
        """Registers this daemon, again and again until that is done."""
        spec = {
            "address": self._settings.peer.address,
            "data_centre": self._settings.zone,
        }
        while True:
            answer = await self._store.put(KIND, self._settings.node, spec)
            if answer.is_ok():
                return
            await self._clock.sleep(RETRY_MS)

    async def announce_stop(self) -> None:
        """Removes this daemon's object."""
        with self._clock.timeout(STOP_TIMEOUT_MS):
            await self._store.delete(KIND, self._settings.node)
