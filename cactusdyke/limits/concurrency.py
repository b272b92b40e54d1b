"""How many requests a daemon may have under way at a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Instant

MAX_GROWTH = 0.2
MIN_CUT_FACTOR = 0.5
LOW_PRESSURE = 0.1
HIGH_PRESSURE = 0.25
MIN_CONCURRENCY = 1.0
MIN_ADJUSTMENT_INTERVAL_MS = 250.0
MAX_REQUESTS_PER_SLOT = 1.5


class PoolConcurrency:
    """One pool's bound at this daemon, moved by the pressure that is seen.

    The bound is this daemon's equal part of the pool's slots times a factor.
    Pressure is what waits at the pool's backend servers, by slot. A little
    of it keeps all slots busy, more only makes requests late.
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
        """How many requests may be under way at once."""
        part = self._slots / self._daemons * self._factor
        return min(
            max(MIN_CONCURRENCY, part), MAX_REQUESTS_PER_SLOT * self._slots
        )

    @property
    def used(self) -> float:
        """How many requests are under way, by their expected parts."""
        return self._used

    def resize(self, *, slots: float, daemons: int) -> None:
        """Takes over how large the pool is, and who shares it."""
        # With every backend server leaving there are no slots. A bound of 0
        # would hold requests back until they are late; one at a time is let
        # through to be refused at once by routing, which knows why.
        self._slots = max(MIN_CONCURRENCY, slots)
        self._daemons = max(1, daemons)

    def fits(self, share: float) -> bool:
        """Returns whether another request fits, and notes if not."""
        # One request always fits, however large its part: a bound below it
        # would lock its pipeline out.
        if self._used + share <= self.limit or self._used < share:
            return True
        self._limit_reached = True
        return False

    def acquire(self, share: float) -> None:
        """Counts a request that spends this part of its time at the pool."""
        self._used += share

    def release(self, share: float) -> None:
        """Takes back what `enter` counted."""
        self._used = max(0.0, self._used - share)

    def is_due(self, now: Instant, stage_ms: float) -> bool:
        """Returns whether the last move can be seen in what is reported."""
        interval = max(MIN_ADJUSTMENT_INTERVAL_MS, stage_ms)
        return now - self._adjusted_at >= interval

    def adjust(self, now: Instant, *, pressure: float) -> None:
        """Moves the bound by the pressure that is seen.

        Args:
            now: The current instant.
            pressure: Requests that wait at the backend servers, by slot.
        """
        self._adjusted_at = now
        if pressure > HIGH_PRESSURE:
            fitting = (1.0 + HIGH_PRESSURE) / (1.0 + pressure)
            self._factor *= max(MIN_CUT_FACTOR, fitting)
        elif pressure < LOW_PRESSURE and self._limit_reached:
            # A daemon that more than its part of the callers use must reach
            # the slots that the others leave idle within seconds.
            self._factor *= 1.0 + MAX_GROWTH * (1 - pressure / LOW_PRESSURE)
        self._limit_reached = False
        part = self._slots / self._daemons
        least = MIN_CONCURRENCY / part
        most = MAX_REQUESTS_PER_SLOT * self._slots / part
        self._factor = min(max(least, self._factor), most)
