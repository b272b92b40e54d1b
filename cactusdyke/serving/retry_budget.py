"""Limits how many retries a service receives beyond first attempts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant


@attrs.frozen(kw_only=True)
class RetryAllowance:
    """The retries that all daemons together may send to one service.

    Attributes:
        ratio: Retries allowed per request.
        slack: Additional retries allowed in each window.
        window_ms: Length of the sliding window, in milliseconds.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: float = 10_000.0


SAFETY_FACTOR = 0.8
"""Share of the allowance that is used: daemons that were just added are not
counted yet."""


class RetryBudget:
    """This daemon's share of the retry allowance of each service.

    Each daemon uses an equal share of the slack, and counts its own requests
    and retries in a sliding window. The sum over all daemons thus stays within
    the allowance without any coordination.
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
        """Counts a new request for a service."""
        self._recent(self._requests, service).append(self._clock.now())

    def spend(self, service: str) -> bool:
        """Returns whether a retry is within the budget, and counts it if so."""
        allowance = self._allowance()
        earned = allowance.ratio * len(self._recent(self._requests, service))
        share = allowance.slack / max(1, self._daemon_count())
        spent = self._recent(self._retries, service)
        if len(spent) + 1 > SAFETY_FACTOR * (earned + share):
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
