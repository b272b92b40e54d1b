"""Measures how many pieces a stage service computes while it has a backlog."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant

RATE_WINDOW_MS = 1_500.0
"""About five calls of each replica."""


class StageThroughput:
    """The pieces that were computed within the rate window."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recent_results: collections.deque[tuple[Instant, int]] = (
            collections.deque()
        )
        self._nonempty_since: Instant = math.inf

    def record_results(self, computed: int) -> None:
        """Records that a call has computed pieces."""
        self._recent_results.append((self._clock.now(), computed))

    def record_empty(self) -> None:
        """Records that the queue is empty."""
        self._nonempty_since = math.inf

    def record_nonempty(self) -> None:
        """Records that the queue is no longer empty."""
        self._nonempty_since = self._clock.now()

    def drain_ms(self, ahead: int) -> float:
        """Returns how long `ahead` pieces take at the measured throughput.

        It is 0 if the queue was empty during the rate window: fewer pieces
        were then computed because fewer were needed.
        """
        now = self._clock.now()
        while (
            self._recent_results
            and self._recent_results[0][0] < now - RATE_WINDOW_MS
        ):
            self._recent_results.popleft()
        if now - self._nonempty_since < RATE_WINDOW_MS:
            return 0.0
        computed = sum(count for _, count in self._recent_results)
        return ahead * RATE_WINDOW_MS / max(1, computed)
