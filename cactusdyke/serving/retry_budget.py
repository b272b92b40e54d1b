"""Limits how many retries a service receives beyond first attempts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.serving.daemon_count import DaemonCount


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


@attrs.frozen(kw_only=True)
class RetryAccount:
    """What a decision on a retry was based on, for log events.

    Attributes:
        requests: Requests for the service within the window, of this process.
        charged: Retries that it charged within the window.
        share: Its share of the slack, in retries.
        daemons: The daemon count that the slack was divided by.
        daemons_age_ms: For how long the count has been the same.
    """

    requests: int
    charged: int
    share: float
    daemons: int
    daemons_age_ms: int


SAFETY_FACTOR = 0.8
"""Share of the allowance that is used: daemons that were just added are not
counted yet."""


@attrs.frozen(kw_only=True)
class RetryPermit:
    """A retry that was charged to the budget."""

    charged_at: Instant


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
        daemon_count: DaemonCount,
    ) -> None:
        self._clock = clock
        self._allowance = allowance
        self._daemon_count = daemon_count
        self._requests: dict[str, collections.deque[Instant]] = {}
        self._retries: dict[str, collections.deque[Instant]] = {}

    def record_request(self, service: str) -> None:
        """Counts a new request for a service."""
        self._recent(self._requests, service).append(self._clock.now())

    def charge(self, service: str) -> RetryPermit | None:
        """Charges a retry, or returns None if it is not within the budget."""
        allowance = self._allowance()
        earned = allowance.ratio * len(self._recent(self._requests, service))
        share = self._share()
        spent = self._recent(self._retries, service)
        if len(spent) + 1 > SAFETY_FACTOR * (earned + share):
            return None
        now = self._clock.now()
        spent.append(now)
        return RetryPermit(charged_at=now)

    def account(self, service: str) -> RetryAccount:
        """Returns what the next decision for a service is based on."""
        return RetryAccount(
            requests=len(self._recent(self._requests, service)),
            charged=len(self._recent(self._retries, service)),
            share=round(self._share(), 2),
            daemons=self._daemon_count.highest(),
            daemons_age_ms=round(self._daemon_count.unchanged_ms),
        )

    def _share(self) -> float:
        return self._allowance().slack / self._daemon_count.highest()

    def _recent(
        self, counts: dict[str, collections.deque[Instant]], service: str
    ) -> collections.deque[Instant]:
        recent = counts.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._allowance().window_ms
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
