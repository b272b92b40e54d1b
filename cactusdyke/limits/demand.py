"""Estimates an event rate with exponential decay."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from cactusdyke.clock import Instant

DECAY_MS = 4_000.0


class Demand:
    """Event rate with exponentially decaying weights."""

    def __init__(self, *, now: Instant) -> None:
        self._weight = 0.0
        self._at = now

    def count(self, now: Instant) -> None:
        """Counts one event."""
        self._decay(now)
        self._weight += 1.0

    def per_second(self, now: Instant) -> float:
        """Returns the recent number of events per second."""
        self._decay(now)
        return self._weight / (DECAY_MS / MS_PER_SECOND)

    def _decay(self, now: Instant) -> None:
        self._weight *= math.exp(-max(0.0, now - self._at) / DECAY_MS)
        self._at = now
