"""What a daemon holds of a customer's limit, until it lapses."""

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
FALLBACK_TOKEN_INTERVAL_MS = 10_000.0


class HeldQuota:
    """Tokens and a rate of one customer, valid until their term ends."""

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
        """Returns how long ago the last loan ended."""
        return now - self._expires_at

    def take_fallback_token(self, now: Instant) -> bool:
        """Returns whether a first token is due; true once in a while.

        A link that comes and goes would otherwise give a token each time.
        """
        if now - self._fallback_at < FALLBACK_TOKEN_INTERVAL_MS:
            return False
        self._fallback_at = now
        return True

    def take(self, now: Instant) -> bool:
        """Takes one token if there is one."""
        self._settle(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def add(
        self, lease: QuotaLease, *, requested_at: Instant, now: Instant
    ) -> None:
        """Adds a loan that was asked for at `asked_at`."""
        self._settle(now)
        self.size = lease.size
        self._rate = lease.rate
        self._term_ms = lease.term_ms
        # The term counts from the question, as the owner counts it from a
        # later instant: what it lends anew must not be held here as well.
        self._expires_at = requested_at + lease.term_ms
        self._tokens += lease.tokens
        self._settled_at = now
        self._renew_at = requested_at + lease.term_ms * RENEWAL_POINT
        if lease.tokens < self.waiting:
            self._refused_until = now + _refusal_ms(lease)

    def is_refused(self, now: Instant) -> bool:
        """Returns whether the owner said lately that there is no more."""
        return now < self._refused_until

    def refuse(self, now: Instant) -> None:
        """Stops questions for a moment."""
        self._refused_until = now + MIN_REFUSAL_MS

    def is_renewal_due(self, now: Instant) -> bool:
        """Returns whether the rate that is held should be renewed."""
        return self._rate > 0.0 and self._renew_at <= now < self._expires_at

    def postpone_renewal(self, now: Instant) -> None:
        """Puts the next renewal off for a moment."""
        self._renew_at = now + MIN_REFUSAL_MS

    def retry_after_ms(self, now: Instant, limit: float) -> float:
        """Returns when a token is likely to be there."""
        self._settle(now)
        rate = self._rate or limit
        own = (1.0 - self._tokens) / max(rate, 1e-9) * MS_PER_SECOND
        return max(self._refused_until - now, own)

    def _settle(self, now: Instant) -> None:
        until = min(now, self._expires_at)
        grown = self._rate * max(0.0, until - self._settled_at)
        # What is saved up stays below a term's worth, so that daemons
        # can't hoard the limit and spend it all at once later.
        depth = max(1.0, self._rate * self._term_ms / MS_PER_SECOND)
        if grown > 0.0:
            self._tokens = max(
                self._tokens, min(depth, self._tokens + grown / MS_PER_SECOND)
            )
        self._settled_at = now
        if now >= self._expires_at:
            # A daemon that was frozen wakes with an old loan, which the
            # owner has lent to others since; it must be worth nothing.
            self._tokens = 0.0
            self._rate = 0.0


def _refusal_ms(loan: QuotaLease) -> float:
    """Returns how long not to ask again after less than was asked for.

    A customer far over its limit would otherwise cost a message for each
    refused request. A daemon that holds a rate lives on that until then.
    """
    longest = loan.term_ms * RENEWAL_POINT
    if loan.rate > 0.0:
        return longest
    return min(longest, max(MIN_REFUSAL_MS, loan.retry_after_ms))
