"""How many arrivals beyond the first of each request a service may get."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant


@attrs.frozen(kw_only=True)
class RetryAllowance:
    """What all daemons together may spend on one service.

    Attributes:
        ratio: Retries for each request.
        slack: Retries on top, in each window.
        window_ms: Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: float = 10_000.0


SAFETY_FACTOR = 0.8
"""Of the allowance; members that were just added are not counted yet."""


class RetryBudget:
    """This daemon's share of the allowance, by service.

    The share of the slack is one part in as many as there are daemons. Each
    counts its own first sends and its own retries in a sliding window, so
    the sum over all daemons keeps to the allowance without a message.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        allowance: Callable[[], RetryAllowance],
        daemon_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._allowance = allowance
        self._daemon_count = daemon_count
        self._requests: dict[str, collections.deque[Instant]] = {}
        self._retries: dict[str, collections.deque[Instant]] = {}

    def record_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._recent(self._requests, service).append(self._clock.now())

    def spend(self, service: str) -> bool:
        """Returns whether a retry may be made, and counts it."""
        allowance = self._allowance()
        own = allowance.ratio * len(self._recent(self._requests, service))
        share = allowance.slack / max(1, self._daemon_count())
        spent = self._recent(self._retries, service)
        if len(spent) + 1 > SAFETY_FACTOR * (own + share):
            return False
        spent.append(self._clock.now())
        return True

    def _recent(
        self, counts: dict[str, collections.deque[Instant]], service: str
    ) -> collections.deque[Instant]:
        recent = counts.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._allowance().window_ms
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
