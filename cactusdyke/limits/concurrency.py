"""Adaptive limit on a daemon's concurrent requests at a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Instant

MAX_GROWTH = 0.2
MIN_CUT_FACTOR = 0.5
"""Smallest factor by which one adjustment lowers the limit."""
LOW_PRESSURE = 0.1
HIGH_PRESSURE = 0.25
MIN_CONCURRENCY = 1.0
MIN_ADJUSTMENT_INTERVAL_MS = 250.0
MAX_REQUESTS_PER_SLOT = 1.5


class PoolConcurrency:
    """Concurrency limit of one pool at this daemon, adjusted by pressure.

    The limit is this daemon's equal share of the pool's slots times a factor.
    Pressure is the number of requests queued at the pool's backend servers
    per slot. A short queue keeps all slots busy; a longer one only delays
    requests.
    """

    def __init__(self, *, now: Instant) -> None:
        self._factor = 1.0
        self._slots = 0.0
        self._daemons = 1
        self._used = 0.0
        self._limit_reached = False
        self._adjusted_at = now

    @property
    def limit(self) -> float:
        """Maximum number of concurrent requests."""
        share = self._slots / self._daemons * self._factor
        return min(
            max(MIN_CONCURRENCY, share), MAX_REQUESTS_PER_SLOT * self._slots
        )

    @property
    def used(self) -> float:
        """Requests in flight, each weighted by its share at this pool."""
        return self._used

    def resize(self, *, slots: float, daemons: int) -> None:
        """Sets the pool's slots and the number of daemons that share them."""
        # A pool whose backend servers are all leaving has no slots. A limit
        # of 0 would queue requests until their deadline; with a limit of one,
        # routing refuses them immediately and states the cause.
        self._slots = max(MIN_CONCURRENCY, slots)
        self._daemons = max(1, daemons)

    def fits(self, share: float) -> bool:
        """Returns whether another request fits; records a reached limit."""
        # One request always fits, however large its share: a smaller limit
        # would block its pipeline permanently.
        if self._used + share <= self.limit or self._used < share:
            return True
        self._limit_reached = True
        return False

    def acquire(self, share: float) -> None:
        """Adds a request that spends this share of its time at the pool."""
        self._used += share

    def release(self, share: float) -> None:
        """Removes a request added by `acquire`."""
        self._used = max(0.0, self._used - share)

    def is_due(self, now: Instant, stage_ms: float) -> bool:
        """Returns whether load reports already reflect the last adjustment."""
        interval = max(MIN_ADJUSTMENT_INTERVAL_MS, stage_ms)
        return now - self._adjusted_at >= interval

    def adjust(self, now: Instant, *, pressure: float) -> None:
        """Adjusts the limit to the measured pressure.

        Args:
            now: The current instant.
            pressure: Requests queued at the backend servers, per slot.
        """
        self._adjusted_at = now
        if pressure > HIGH_PRESSURE:
            fitting = (1.0 + HIGH_PRESSURE) / (1.0 + pressure)
            self._factor *= max(MIN_CUT_FACTOR, fitting)
        elif pressure < LOW_PRESSURE and self._limit_reached:
            # A daemon that receives more than its share of the callers must
            # get the slots that other daemons leave idle within seconds.
            self._factor *= 1.0 + MAX_GROWTH * (1 - pressure / LOW_PRESSURE)
        self._limit_reached = False
        share = self._slots / self._daemons
        min_factor = MIN_CONCURRENCY / share
        max_factor = MAX_REQUESTS_PER_SLOT * self._slots / share
        self._factor = min(max(min_factor, self._factor), max_factor)
