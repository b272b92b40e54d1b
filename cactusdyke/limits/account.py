"""One customer's request limit at its owner, granted as short leases."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.limits.subsets import LARGEST_SUBSET, SMALLEST_SUBSET

if TYPE_CHECKING:
    from collections.abc import Sequence

LEASE_TERM_MS = 2_000.0
DEMAND_RETENTION_MS = 5_000.0
"""How long the owner counts the demand that a daemon has reported."""
HEADROOM = 1.1
"""Factor on reported demand when rates are divided."""
MIN_FAIR_RATE = 2.0
PREFETCH_SHARE = 0.25
INITIAL_REFILL_MS = 500.0
"""Time of refill that a new account starts with."""
# Requests per second and daemon of the subset.
GROW_ABOVE = 1.0
SHRINK_BELOW = 0.5
TARGET_RATE_PER_DAEMON = 0.75
SHRINK_AFTER_MS = 60_000.0


@attrs.frozen(kw_only=True)
class QuotaRequest:
    """A daemon's request for quota of one customer, sent to the owner.

    Attributes:
        customer: The customer's name.
        waiting: Queued requests that need a token from this lease.
        demand: Recent arrival rate at the daemon, in requests per second.
        size: Subset size in the daemon's latest lease.
    """

    customer: str
    waiting: int
    demand: float
    size: int = SMALLEST_SUBSET


@attrs.frozen(kw_only=True)
class QuotaLease:
    """A part of a customer's limit, leased to one daemon for a term.

    Attributes:
        customer: The customer's name.
        tokens: Requests that may be admitted immediately.
        rate: Additional requests that may be admitted per second.
        term_ms: Validity of the lease, in milliseconds.
        size: Number of daemons that the customer's callers should use.
        retry_after_ms: Time until more tokens are likely to be available, in
            milliseconds.
    """

    customer: str
    tokens: int
    rate: float
    term_ms: float
    size: int
    retry_after_ms: float


@attrs.frozen(kw_only=True)
class _LeaseRecord:
    rate: float
    demand: float
    granted_at: Instant
    expires_at: Instant


class Account:
    """A token bucket whose refill is leased to daemons as tokens and rates.

    All daemons together admit at most burst + rate * (T + one lease term) in
    any window of length T: tokens and rates are taken from the same refill,
    and an expired lease admits nothing.
    """

    def __init__(self, *, rate: float, burst: float, now: Instant) -> None:
        self._rate = rate
        self._burst = max(1.0, burst)
        # A new owner does not see the leases of the previous owner. A full
        # bucket would admit the burst twice, and an empty one would refuse a
        # customer with few requests; this initial level limits both errors.
        self._tokens = min(
            self._burst, max(1.0, rate * INITIAL_REFILL_MS / MS_PER_SECOND)
        )
        self._settled_at = now
        self._leases: dict[str, _LeaseRecord] = {}
        self._size = SMALLEST_SUBSET
        self._oversized_since: Instant | None = None
        self._created_at = now

    @property
    def size(self) -> int:
        """Number of daemons that the customer's callers should use."""
        return self._size

    def configure(self, *, rate: float, burst: float, now: Instant) -> None:
        """Applies a changed limit; leases already granted remain valid."""
        self._settle(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def skip_refill(self, now: Instant) -> None:
        """Advances time without refill, e.g. while another daemon was owner."""
        self._settled_at = now

    def grant(
        self, holder: str, request: QuotaRequest, now: Instant, *, daemons: int
    ) -> QuotaLease:
        """Grants a daemon a lease, limited by the available quota.

        Args:
            holder: Name of the requesting daemon.
            request: The quota that the daemon requests.
            now: The current instant.
            daemons: Number of serving daemons.
        """
        self._settle(now)
        before = self._size
        self._update_size(holder, request, now, daemons)
        if self._size != before:
            events.log(
                events.Event.CUSTOMER_SUBSET_CHANGED,
                customer=request.customer,
                size=self._size,
            )
        fair = self._fair_rate(holder, request)
        rate = self._grant_rate(holder, request, fair, now)
        tokens = self._grant_tokens(request)
        return QuotaLease(
            customer=request.customer,
            tokens=tokens,
            rate=rate,
            term_ms=LEASE_TERM_MS,
            size=self._size,
            retry_after_ms=self._retry_after_ms(request, fair),
        )

    def _settle(self, now: Instant) -> None:
        grown = self._rate * (now - self._settled_at)
        for lease in self._leases.values():
            until = min(now, lease.expires_at)
            grown -= lease.rate * max(0.0, until - self._settled_at)
        self._tokens = min(self._burst, self._tokens + grown / MS_PER_SECOND)
        self._settled_at = now
        self._leases = {
            holder: lease
            for holder, lease in self._leases.items()
            if now - lease.granted_at < DEMAND_RETENTION_MS
        }

    def _others(self, holder: str) -> list[_LeaseRecord]:
        return [x for name, x in self._leases.items() if name != holder]

    def _fair_rate(self, holder: str, request: QuotaRequest) -> float:
        others = [x.demand * HEADROOM for x in self._others(holder)]
        return _fair_share(self._rate, request.demand * HEADROOM, others)

    def _grant_rate(
        self, holder: str, request: QuotaRequest, fair: float, now: Instant
    ) -> float:
        others = self._others(holder)
        taken = sum(x.rate for x in others if x.expires_at > now)
        wanted = request.demand * HEADROOM
        rate = min(wanted, fair, max(0.0, self._rate - taken))
        if fair >= wanted or fair < MIN_FAIR_RATE:
            # With enough quota for all, or with rare requests, a leased rate
            # would expire unused while other daemons refuse requests. Tokens
            # are granted only for actual requests.
            rate = 0.0
        self._leases[holder] = _LeaseRecord(
            rate=rate,
            demand=request.demand,
            granted_at=now,
            expires_at=now + LEASE_TERM_MS,
        )
        return rate

    def _grant_tokens(self, request: QuotaRequest) -> int:
        available = max(0.0, self._tokens)
        # Extra tokens for requests expected within the term save a busy
        # daemon one message per request. Only a share of the available
        # tokens is granted, as unspent ones expire with the lease.
        expected = request.demand * LEASE_TERM_MS / MS_PER_SECOND
        extra = math.floor(min(expected, available * PREFETCH_SHARE))
        tokens = min(request.waiting + extra, math.floor(available))
        self._tokens -= tokens
        return tokens

    def _retry_after_ms(self, request: QuotaRequest, fair: float) -> float:
        missing = max(0.0, 1.0 - self._tokens)
        rate = self._rate
        if fair < request.demand * HEADROOM:
            # Other daemons compete for the same tokens. Waiting until this
            # daemon's fair share has refilled avoids repeated refusals that
            # cost one message each.
            missing = max(missing, 1.0)
            rate = fair
        return missing / max(rate, 1e-9) * MS_PER_SECOND

    def _update_size(
        self, holder: str, request: QuotaRequest, now: Instant, daemons: int
    ) -> None:
        largest = max(SMALLEST_SUBSET, min(LARGEST_SUBSET, daemons))
        if now - self._created_at < DEMAND_RETENTION_MS:
            # A new owner takes the size from the daemons, which have it from
            # the previous owner. Afterwards the owner's own value is newer.
            self._size = max(self._size, min(request.size, largest))
        demand = request.demand + sum(x.demand for x in self._others(holder))
        demand = min(demand, self._rate)
        fitting = math.ceil(demand / TARGET_RATE_PER_DAEMON)
        fitting = min(largest, max(SMALLEST_SUBSET, fitting))
        if demand > GROW_ABOVE * self._size:
            self._size = max(self._size, fitting)
        if demand >= SHRINK_BELOW * self._size or fitting >= self._size:
            self._oversized_since = None
        elif self._oversized_since is None:
            self._oversized_since = now
        elif now - self._oversized_since >= SHRINK_AFTER_MS:
            self._size = fitting
            self._oversized_since = None


def _fair_share(total: float, own: float, others: Sequence[float]) -> float:
    """Returns the max-min fair share of `total` for a demand of `own`."""
    rest = total
    demands = sorted([own, *others])
    for index, demand in enumerate(demands):
        share = rest / (len(demands) - index)
        if demand >= share:
            return share
        rest -= demand
        if demand >= own:
            return own
    return own
