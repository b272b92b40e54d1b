"""Compares the retries that replicas receive with what daemons may send."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.clock import Instant
    from cactusdyke.serving.retry_budget import RetryAllowance

CHECK_EACH_MS = 100.0


@attrs.define(kw_only=True)
class ServiceTraffic:
    """What callers ask of a service, and what its replicas get again.

    Attributes:
        requests: When callers sent requests for it, in order.
        retries: When requests reached replicas that had been sent there before,
            in order.
    """

    requests: list[Instant] = attrs.field(factory=list)
    retries: list[Instant] = attrs.field(factory=list)

    def worst_excess(self, allowance: RetryAllowance) -> float:
        """Returns the most retries above the allowance in any window."""
        return max(
            (
                self.retries_in(begin, allowance)
                - self.allowed_in(begin, allowance)
                for begin in self._begins(allowance)
            ),
            default=-allowance.slack,
        )

    def retries_in(self, begin: Instant, allowance: RetryAllowance) -> int:
        """Returns the retries within a window."""
        return _count(self.retries, begin, begin + allowance.window_ms)

    def allowed_in(self, begin: Instant, allowance: RetryAllowance) -> float:
        """Returns the retries that are allowed within a window.

        Requests count in that window, the one before it, or the one half a
        window before it, whichever has most.
        """
        window_ms = allowance.window_ms
        most = max(
            _count(self.requests, at, at + window_ms)
            for at in (begin, begin - window_ms / 2, begin - window_ms)
        )
        return allowance.ratio * most + allowance.slack

    def _begins(self, allowance: RetryAllowance) -> Iterator[Instant]:
        if not self.retries:
            return
        begin = self.retries[0] - allowance.window_ms
        while begin <= self.retries[-1]:
            yield begin
            begin += CHECK_EACH_MS


def _count(times: list[Instant], begin: Instant, end: Instant) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
