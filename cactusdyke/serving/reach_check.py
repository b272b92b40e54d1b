"""Finds out whether this daemon reaches any replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.replica_paths import ReplicaPaths
    from cactusdyke.transport.exchange import BackendConnections

RECENT_MS = 500.0
"""A daemon that has reached no replica for this long may be cut off."""
MAX_TRIED = 2
TRY_TIMEOUT_MS = 100.0
"""For each replica that is tried, while a request waits."""


class ReachCheck:
    """Tells a replica that fails from a path that does, by other replicas."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        direct: BackendConnections,
        deployment: Deployment,
        paths: ReplicaPaths,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._direct = direct
        self._deployment = deployment
        self._paths = paths

    async def reaches_others(self, address: str) -> bool:
        """Returns whether this daemon reaches replicas other than the one.

        A recent connection shows it; without one some replicas are tried. If
        the deployment has no other replica, there is nothing to tell by.
        """
        if self._paths.connected_since(self._clock.now() - RECENT_MS):
            return True
        others = sorted(self._deployment.replica_addresses - {address})
        if not others:
            return True
        for other in self._rng.sample(others, min(MAX_TRIED, len(others))):
            with self._clock.timeout(TRY_TIMEOUT_MS):
                if await self.reaches(other):
                    return True
        return False

    async def reaches(self, address: str) -> bool:
        """Returns whether this daemon connects to a replica, and records it."""
        try:
            async with self._direct.connect(address):
                self._paths.record_connected(address)
                return True
        except ExchangeError as error:
            self._paths.record_failed(address, detail=str(error))
            return False
