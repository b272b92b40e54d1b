"""The quota of one customer that a daemon holds until its lease expires."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.limits.demand import Demand
from cactusdyke.limits.subsets import SMALLEST_SUBSET

if TYPE_CHECKING:
    import anyio

    from cactusdyke.limits.account import QuotaLease

MIN_REFUSAL_MS = 100.0
RENEWAL_POINT = 0.5
"""Share of the term after which a lease is due for renewal."""
FALLBACK_TOKEN_INTERVAL_MS = 10_000.0


class HeldQuota:
    """Leased tokens and rate of one customer, valid until the lease expires."""

    def __init__(self, *, now: Instant) -> None:
        self.demand = Demand(now=now)
        self.size = SMALLEST_SUBSET
        self.waiting = 0
        self.renewal: anyio.Event | None = None
        self.owner_unreachable = False
        self._tokens = 0.0
        self._rate = 0.0
        self._term_ms = 0.0
        self._settled_at = now
        self._expires_at = now
        self._refused_until = now
        self._renew_at = now
        self._fallback_at = -FALLBACK_TOKEN_INTERVAL_MS

    def idle_ms(self, now: Instant) -> float:
        """Returns the time since the last lease expired, in milliseconds."""
        return now - self._expires_at

    def take_fallback_token(self, now: Instant) -> bool:
        """Returns whether a fallback may start with one token.

        It returns True at most once per `FALLBACK_TOKEN_INTERVAL_MS`, as an
        unstable link would otherwise yield a token on each interruption.
        """
        if now - self._fallback_at < FALLBACK_TOKEN_INTERVAL_MS:
            return False
        self._fallback_at = now
        return True

    def take(self, now: Instant) -> bool:
        """Takes one token if one is available."""
        self._settle(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def add(
        self, lease: QuotaLease, *, requested_at: Instant, now: Instant
    ) -> None:
        """Adds a lease that was requested at `requested_at`."""
        self._settle(now)
        self.size = lease.size
        self._rate = lease.rate
        self._term_ms = lease.term_ms
        # The term starts at the request. The owner counts it from a later
        # instant, so quota that it grants again is no longer held here.
        self._expires_at = requested_at + lease.term_ms
        self._tokens += lease.tokens
        self._settled_at = now
        self._renew_at = requested_at + lease.term_ms * RENEWAL_POINT
        if lease.tokens < self.waiting:
            self._refused_until = now + _refusal_ms(lease)

    def is_refused(self, now: Instant) -> bool:
        """Returns whether the last lease covered too few requests."""
        return now < self._refused_until

    def refuse(self, now: Instant) -> None:
        """Suspends lease requests for `MIN_REFUSAL_MS`."""
        self._refused_until = now + MIN_REFUSAL_MS

    def is_renewal_due(self, now: Instant) -> bool:
        """Returns whether the leased rate should be renewed."""
        return self._rate > 0.0 and self._renew_at <= now < self._expires_at

    def postpone_renewal(self, now: Instant) -> None:
        """Postpones the next renewal by `MIN_REFUSAL_MS`."""
        self._renew_at = now + MIN_REFUSAL_MS

    def retry_after_ms(self, now: Instant, limit: float) -> float:
        """Returns the expected time until a token is available.

        Args:
            now: The current instant.
            limit: The customer's limit in requests per second, used while no
                rate is leased.
        """
        self._settle(now)
        rate = self._rate or limit
        refill_ms = (1.0 - self._tokens) / max(rate, 1e-9) * MS_PER_SECOND
        return max(self._refused_until - now, refill_ms)

    def _settle(self, now: Instant) -> None:
        until = min(now, self._expires_at)
        grown = self._rate * max(0.0, until - self._settled_at)
        # Unused tokens accumulate to at most one term's worth, so that
        # daemons cannot save up quota and admit it all at once later.
        depth = max(1.0, self._rate * self._term_ms / MS_PER_SECOND)
        if grown > 0.0:
            self._tokens = max(
                self._tokens, min(depth, self._tokens + grown / MS_PER_SECOND)
            )
        self._settled_at = now
        if now >= self._expires_at:
            # A daemon that resumes after a suspension holds an expired lease,
            # whose quota the owner may have granted to others since.
            self._tokens = 0.0
            self._rate = 0.0


def _refusal_ms(lease: QuotaLease) -> float:
    """Returns the time without lease requests after a partial grant.

    A customer far over its limit would otherwise cost one message per refused
    request. A daemon with a leased rate admits requests at that rate
    meanwhile.
    """
    longest = lease.term_ms * RENEWAL_POINT
    if lease.rate > 0.0:
        return longest
    return min(longest, max(MIN_REFUSAL_MS, lease.retry_after_ms))
