"""Decides which connections to replicas this daemon makes for others."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from cactusdyke.kernel import Service
from cactusdyke.transport.tunnel import (
    TunnelGate,
    TunnelNotWantedError,
    TunnelUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.planned_stop import StopTimes
    from cactusdyke.serving.reach_check import ReachCheck
    from cactusdyke.serving.replica_paths import ReplicaPaths

MAX_TUNNELS = 256
"""Tunnels through one daemon at the same time; each takes two descriptors."""
DRAIN_CHECK_INTERVAL_MS = 50.0


class Relay(Service, TunnelGate):
    """Admits other daemons' connections to the replicas of the deployment."""

    def __init__(
        self,
        *,
        clock: Clock,
        check: ReachCheck,
        deployment: Deployment,
        paths: ReplicaPaths,
        stop_times: Callable[[], StopTimes],
    ) -> None:
        self._clock = clock
        self._check = check
        self._deployment = deployment
        self._paths = paths
        self._stop_times = stop_times
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of tunnels that are open."""
        return self._open_count

    @property
    def _admits(self) -> bool:
        times = self._stop_times()
        last_at = min(times.accept_streams_until, times.answer_deadline_at)
        return self._clock.now() < last_at

    async def reaches_others(self, address: str) -> bool:
        """Returns whether this daemon reaches replicas other than the one."""
        return await self._check.reaches_others(address)

    @contextlib.contextmanager
    def admit(self, address: str) -> Iterator[None]:
        """Counts a tunnel while the block runs.

        Raises:
            TunnelNotWantedError: The replica wants nothing from this daemon.
            TunnelUnavailableError: The tunnel must be asked of another daemon.
        """
        replica = self._deployment.replica_at(address)
        if replica and not self._deployment.statements.accepts(replica):
            raise TunnelNotWantedError(f"{address} wants nothing from here")
        refusal = self._refusal(address)
        if refusal:
            raise TunnelUnavailableError(refusal)
        self._open_count += 1
        try:
            yield
        finally:
            self._open_count -= 1

    def record_connected(self, address: str) -> None:
        """Records that a replica was reached for another daemon."""
        self._paths.record_connected(address)

    async def drain(self) -> None:
        """Waits until no other daemon has a request under way here.

        Until no connection is admitted any more, one may be opened for a
        daemon that has not heard of the stop.
        """
        while self._open_count or self._admits:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_MS)

    def _refusal(self, address: str) -> str:
        if self._deployment.replica_at(address) is None:
            return f"{address} is no replica's address"
        if self._paths.is_lost(address):
            return f"{address} is not reached from here either"
        if self._open_count >= MAX_TUNNELS:
            return f"there are {MAX_TUNNELS} tunnels already"
        if not self._admits:
            return "this daemon is about to end"
        return ""
