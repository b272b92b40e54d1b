"""Recent failures, latency and load of each replica."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.dialect import ReplicaLoad

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

DECAY_MS = 4_000.0
"""Time in which observations lose about two thirds of their weight: long enough
to avoid a failing replica, short enough to detect its recovery."""
PRIOR_SUCCESSES = 2.0
"""Successes assumed for a replica without observations."""
LOAD_LIFETIME_MS = 1_500.0


@attrs.define(kw_only=True)
class _ReplicaStats:
    updated_at: Instant = 0.0
    successes: float = 0.0
    failures: float = 0.0
    latency_ms: float = 0.0
    latency_weight: float = 0.0
    in_flight: int = 0
    load: ReplicaLoad | None = None
    load_received_at: Instant = -math.inf
    in_flight_at_load: int = 0
    last_sent_at: Instant = -math.inf


class ReplicaHealth:
    """Recent outcomes and latencies of each replica, with exponential decay.

    Only request outcomes reveal a replica that passes its health check and
    still fails some requests. No replica is ejected permanently: observations
    decay, and the replica is tried again with a real request.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._stats: dict[str, _ReplicaStats] = {}

    def record_start(self, name: str) -> None:
        """Records that a request was sent to a replica."""
        stats = self._decayed(name)
        stats.in_flight += 1
        stats.last_sent_at = self._clock.now()

    def record_end(self, name: str) -> None:
        """Records that a request to a replica has ended."""
        stats = self._decayed(name)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_success(self, name: str, latency_ms: float) -> None:
        """Records a successful answer and its latency."""
        stats = self._decayed(name)
        stats.successes += 1
        stats.latency_ms = (
            stats.latency_ms * stats.latency_weight + latency_ms
        ) / (stats.latency_weight + 1)
        stats.latency_weight += 1

    def record_failure(self, name: str, *, weight: float = 1.0) -> None:
        """Records a failure."""
        self._decayed(name).failures += weight

    def record_load(self, name: str, load: ReplicaLoad) -> None:
        """Records the load that a replica reported."""
        stats = self._decayed(name)
        stats.load = load
        stats.load_received_at = self._clock.now()
        stats.in_flight_at_load = stats.in_flight

    def failure_share(self, name: str) -> float:
        """Returns the recent share of failures, 0 to 1."""
        known = self._stats.get(name)
        if known is None or not known.failures:
            return 0.0
        stats = self._decayed(name)
        return stats.failures / (
            stats.successes + stats.failures + PRIOR_SUCCESSES
        )

    def latency(self, name: str) -> tuple[float, float]:
        """Returns the sum of the recent latencies and their weight."""
        stats = self._decayed(name)
        return stats.latency_ms * stats.latency_weight, stats.latency_weight

    def in_flight(self, name: str) -> int:
        """Returns how many of this daemon's requests are in flight."""
        return self._decayed(name).in_flight

    def load(self, name: str) -> float:
        """Returns an estimate of the requests running and queued.

        The load of other daemons is taken from the replica's last report, and
        loses weight as the report ages.
        """
        stats = self._decayed(name)
        age = self._clock.now() - stats.load_received_at
        if stats.load is None or age > LOAD_LIFETIME_MS:
            return float(stats.in_flight)
        others = max(
            0,
            stats.load.running + stats.load.queued - stats.in_flight_at_load,
        )
        return stats.in_flight + others * (1 - age / LOAD_LIFETIME_MS)

    def idle_ms(self, name: str) -> float:
        """Returns the time since a request was last sent there."""
        return self._clock.now() - self._decayed(name).last_sent_at

    def _decayed(self, name: str) -> _ReplicaStats:
        now = self._clock.now()
        stats = self._stats.get(name)
        if stats is None:
            stats = self._stats[name] = _ReplicaStats(updated_at=now)
            return stats
        if now > stats.updated_at:
            factor = math.exp((stats.updated_at - now) / DECAY_MS)
            stats.successes *= factor
            stats.failures *= factor
            stats.latency_weight *= factor
            stats.updated_at = now
        return stats

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas not in `known_names` with nothing in flight."""
        for name in list(self._stats):
            if name not in known_names and self._stats[name].in_flight == 0:
                del self._stats[name]
