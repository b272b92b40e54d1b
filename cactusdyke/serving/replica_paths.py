"""Tracks which replicas this daemon reaches over its own connections.

A connection that cannot be made may be the replica's fault or the path's. It is
the path's if another daemon reaches the replica at that time.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from cactusdyke import events

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant

MIN_LOST_PATHS = 2
"""Lost paths from which on the paths to all replicas count as lost."""
VERIFIED_DOWN_MS = 1_000.0
"""How long a replica that no daemon reached is not looked for again."""
SIMULTANEOUS_MS = 250.0
"""Connections to several replicas that break within this time were broken by
what is between."""


class ReplicaPaths:
    """The paths from this daemon to the replicas, by address."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._connected_at: Instant = -math.inf
        self._failed: dict[str, Instant] = {}
        self._lost: dict[str, Instant] = {}
        self._down: dict[str, Instant] = {}
        self._broken: dict[str, Instant] = {}
        self._probe_offset = 0
        self._was_cut_off = False

    @property
    def unreachable_count(self) -> int:
        """Number of replicas that the last connection failed to reach."""
        return len(self._failed)

    @property
    def cut_off(self) -> bool:
        """Whether this daemon has lost its paths to all replicas.

        It has if it lost several and has reached no replica since.
        """
        recent = sum(at > self._connected_at for at in self._lost.values())
        return recent >= MIN_LOST_PATHS

    def is_lost(self, address: str) -> bool:
        """Returns whether a replica is to be reached through other daemons."""
        return address in self._lost or self.cut_off

    def connected_since(self, instant: Instant) -> bool:
        """Returns whether any replica was reached directly since then."""
        return self._connected_at >= instant

    def is_down(self, address: str) -> bool:
        """Returns whether another daemon did not reach a replica recently."""
        down_at = self._down.get(address, -math.inf)
        return self._clock.now() - down_at <= VERIFIED_DOWN_MS

    def is_in_doubt(self, address: str) -> bool:
        """Returns whether a failure just now may have been the path's fault."""
        if self.is_lost(address):
            return True
        if len(self._failed) >= MIN_LOST_PATHS and all(
            at > self._connected_at for at in self._failed.values()
        ):
            return True
        oldest = self._clock.now() - SIMULTANEOUS_MS
        broken = sum(at >= oldest for at in self._broken.values())
        return broken >= MIN_LOST_PATHS

    def record_connected(self, address: str) -> None:
        """Records that a connection to a replica was made."""
        now = self._connected_at = self._clock.now()
        self._lost.pop(address, None)
        self._down.pop(address, None)
        failed_at = self._failed.pop(address, None)
        if failed_at is not None:
            events.log(
                events.Event.REPLICA_REACHED_AGAIN,
                address=address,
                after_ms=round(now - failed_at),
                unreachable=len(self._failed),
            )
        self._log_cut()

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

    def record_relayed(self, address: str) -> None:
        """Records that another daemon reaches a replica."""
        self._lost.setdefault(address, self._clock.now())
        self._down.pop(address, None)
        self._log_cut()

    def record_down(self, address: str) -> None:
        """Records that another daemon does not reach a replica either."""
        self._lost.pop(address, None)
        self._down[address] = self._clock.now()

    def record_broken(self, address: str) -> None:
        """Records that an open connection to a replica broke."""
        self._broken[address] = self._clock.now()

    def next_probes(self, most: int) -> list[str]:
        """Returns lost addresses to connect to, in turn."""
        lost = list(self._lost)
        count = min(most, len(lost))
        begin, self._probe_offset = (
            self._probe_offset,
            (self._probe_offset + count) % max(1, len(lost)),
        )
        return list(
            itertools.islice(itertools.cycle(lost), begin, begin + count)
        )

    def remove_unknown(self, known_addresses: set[str]) -> None:
        """Removes addresses that are not in `known_addresses`."""
        for known in (self._failed, self._lost, self._down, self._broken):
            for address in known.keys() - known_addresses:
                del known[address]

    def _log_cut(self) -> None:
        cut_off = self.cut_off
        if cut_off == self._was_cut_off:
            return
        self._was_cut_off = cut_off
        events.log(
            events.Event.REPLICA_PATHS_LOST
            if cut_off
            else events.Event.REPLICA_PATHS_REGAINED,
            lost=len(self._lost),
        )
