"""How many requests a daemon may have under way at a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Instant

GROWTH = 1.05
CUT = 0.9
LOW_PRESSURE = 0.1
HIGH_PRESSURE = 0.25
LEAST = 1.0
SHORTEST_INTERVAL_MS = 250.0
MOST_OF_SLOTS = 1.5


class PoolConcurrency:
    """One pool's bound at this daemon, moved by the pressure that is seen.

    Pressure is what waits at the pool's backend servers, by slot. A little
    of it keeps all slots busy, more only makes requests late.
    """

    def __init__(self, *, bound: float, now: Instant) -> None:
        self._bound = max(LEAST, bound)
        self._used = 0.0
        self._was_short = False
        self._moved_at = now

    @property
    def bound(self) -> float:
        """How many requests may be under way at once."""
        return self._bound

    @property
    def used(self) -> float:
        """How many requests are under way, by their expected parts."""
        return self._used

    def fits(self, part: float) -> bool:
        """Returns whether another request fits, and notes if not."""
        # One request always fits, however large its part: a bound below it
        # would lock its pipeline out.
        if self._used + part <= self._bound or self._used < part:
            return True
        self._was_short = True
        return False

    def enter(self, part: float) -> None:
        """Counts a request that spends this part of its time at the pool."""
        self._used += part

    def leave(self, part: float) -> None:
        """Takes back what `enter` counted."""
        self._used = max(0.0, self._used - part)

    def is_due(self, now: Instant, stage_ms: float) -> bool:
        """Returns whether the last move can be seen in what is reported."""
        interval = max(SHORTEST_INTERVAL_MS, stage_ms)
        return now - self._moved_at >= interval

    def move(self, now: Instant, *, pressure: float, slots: float) -> None:
        """Moves the bound by the pressure that is seen.

        Args:
            now: The current instant.
            pressure: Requests that wait at the backend servers, by slot.
            slots: The slots of the pool's usable backend servers.
        """
        self._moved_at = now
        if pressure > HIGH_PRESSURE:
            self._bound *= CUT
        elif pressure < LOW_PRESSURE and self._was_short:
            self._bound = max(self._bound * GROWTH, self._bound + 0.5)
        self._was_short = False
        # With every backend server leaving there are no slots. A bound of 0
        # would hold requests back until they are late; one at a time is let
        # through to be refused at once by routing, which knows why.
        self._bound = max(LEAST, min(self._bound, MOST_OF_SLOTS * slots))
