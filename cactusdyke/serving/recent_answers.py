"""Which parts of prompts many of the recent answers had in common."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.clock import Clock, Instant

WINDOW_MS = 10_000.0
MIN_ANSWERS = 5
COMMON_SHARE = 0.5
"""A property is common from this share of the recent answers on."""
MAX_ANSWERS = 256


class RecentAnswers:
    """The properties of the answers that began a short time ago."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answers: collections.deque[tuple[Instant, frozenset[str]]] = (
            collections.deque(maxlen=MAX_ANSWERS)
        )

    def record(self, properties: Iterable[str]) -> None:
        """Records that an answer has begun."""
        self._answers.append((self._clock.now(), frozenset(properties)))

    def common(self) -> frozenset[str]:
        """Returns what a good part of the recent answers had."""
        oldest_at = self._clock.now() - WINDOW_MS
        while self._answers and self._answers[0][0] < oldest_at:
            self._answers.popleft()
        if len(self._answers) < MIN_ANSWERS:
            return frozenset()
        counts = collections.Counter(
            name for _, properties in self._answers for name in properties
        )
        least = COMMON_SHARE * len(self._answers)
        return frozenset(n for n, count in counts.items() if count >= least)
