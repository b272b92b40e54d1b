"""How replicas have done lately: failures, latency, requests in flight."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.dialect import ReplicaLoad

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

DECAY_MS = 4_000.0
"""Time in which what was seen loses two thirds of its weight: long enough to
keep a failing replica out, short enough to find it well again."""
PRIOR_SUCCESSES = 2.0
"""Successes assumed of a replica that nothing is known of."""
LOAD_LIFETIME_MS = 1_500.0


@attrs.define(kw_only=True)
class _Record:
    at: Instant = 0.0
    good: float = 0.0
    bad: float = 0.0
    latency_ms: float = 0.0
    weight: float = 0.0
    in_flight: int = 0
    load: ReplicaLoad | None = None
    load_at: Instant = -math.inf
    own_at_load: int = 0
    sent_at: Instant = -math.inf


class ReplicaHealth:
    """Recent outcomes and latencies by replica, forgotten with time.

    A replica that fails part of its requests while its health check is good
    shows here and nowhere else. Nothing is ejected for good: what is known
    fades, and the replica is tried again with a real request.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def record_start(self, name: str) -> None:
        """Counts a request as in flight."""
        record = self._decayed(name)
        record.in_flight += 1
        record.sent_at = self._clock.now()

    def record_end(self, name: str) -> None:
        """Counts it no longer."""
        record = self._decayed(name)
        record.in_flight = max(0, record.in_flight - 1)

    def record_success(self, name: str, latency_ms: float) -> None:
        """Notes an answer and how long it took."""
        record = self._decayed(name)
        record.good += 1
        record.latency_ms = (record.latency_ms * record.weight + latency_ms) / (
            record.weight + 1
        )
        record.weight += 1

    def record_failure(self, name: str, *, weight: float = 1.0) -> None:
        """Notes a failure."""
        self._decayed(name).bad += weight

    def record_load(self, name: str, load: ReplicaLoad) -> None:
        """Notes what a replica said of its load."""
        record = self._decayed(name)
        record.load = load
        record.load_at = self._clock.now()
        record.own_at_load = record.in_flight

    def failure_share(self, name: str) -> float:
        """Returns the recent share of failures, 0 to 1."""
        record = self._decayed(name)
        return record.bad / (record.good + record.bad + PRIOR_SUCCESSES)

    def latency_ms(self, name: str, prior_ms: float) -> float:
        """Returns the recent latency, drawn towards `otherwise` as it fades."""
        record = self._decayed(name)
        return (record.latency_ms * record.weight + prior_ms) / (
            record.weight + 1
        )

    def in_flight(self, name: str) -> int:
        """Returns this daemon's own requests in flight."""
        return self._decayed(name).in_flight

    def load(self, name: str) -> float:
        """Returns running and waiting requests, the best estimate."""
        record = self._decayed(name)
        age = self._clock.now() - record.load_at
        if record.load is None or age > LOAD_LIFETIME_MS:
            return float(record.in_flight)
        others = max(
            0, record.load.running + record.load.waiting - record.own_at_load
        )
        return record.in_flight + others * (1 - age / LOAD_LIFETIME_MS)

    def idle_ms(self, name: str) -> float:
        """Returns how long ago a request was sent there."""
        return self._clock.now() - self._decayed(name).sent_at

    def _decayed(self, name: str) -> _Record:
        now = self._clock.now()
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record(at=now)
            return record
        if now > record.at:
            keep = math.exp((record.at - now) / DECAY_MS)
            record.good *= keep
            record.bad *= keep
            record.weight *= keep
            record.at = now
        return record

    def remove_unknown(self, known_names: set[str]) -> None:
        """Drops replicas that are gone and have nothing in flight."""
        for name in list(self._records):
            if name not in known_names and self._records[name].in_flight == 0:
                del self._records[name]
