"""Tracks which replicas this daemon reaches over its own connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cactusdyke import events

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant


class ReplicaPaths:
    """The addresses of replicas that this daemon could not connect to."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._connected_at: Instant = -math.inf
        self._failed: dict[str, Instant] = {}

    @property
    def unreachable_count(self) -> int:
        """Number of replicas that the last connection failed to reach."""
        return len(self._failed)

    def record_connected(self, address: str) -> None:
        """Records that a connection to a replica was made."""
        self._connected_at = self._clock.now()
        failed_at = self._failed.pop(address, None)
        if failed_at is not None:
            events.log(
                events.Event.REPLICA_REACHED_AGAIN,
                address=address,
                after_ms=round(self._connected_at - failed_at),
                unreachable=len(self._failed),
            )

    def record_failed(self, address: str, *, detail: str) -> None:
        """Records that no connection to a replica could be made."""
        if address in self._failed:
            return
        now = self._failed[address] = self._clock.now()
        connected_at = self._connected_at
        events.log(
            events.Event.REPLICA_UNREACHABLE,
            address=address,
            detail=detail,
            unreachable=len(self._failed),
            last_connection_ms=(
                None if connected_at == -math.inf else round(now - connected_at)
            ),
        )

    def remove_unknown(self, known_addresses: set[str]) -> None:
        """Removes addresses that are not in `known_addresses`."""
        for address in self._failed.keys() - known_addresses:
            del self._failed[address]
