"""The owner's account of one customer's limit, lent out for short terms."""

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
HEADROOM = 1.1
MIN_FAIR_RATE = 2.0
PREFETCH_SHARE = 0.25
INITIAL_REFILL_MS = 500.0
GROW_ABOVE = 1.0
SHRINK_BELOW = 0.5
TARGET_RATE_PER_DAEMON = 0.75
SHRINK_AFTER_MS = 60_000.0


@attrs.frozen(kw_only=True)
class QuotaRequest:
    """What a daemon asks of an owner for one customer.

    Attributes:
        customer: The customer's name.
        waiting: Requests that wait for the answer.
        demand: Requests a second that came to the daemon of late.
        size: The subset's size that the daemon last heard of.
    """

    customer: str
    waiting: int
    demand: float
    size: int = SMALLEST_SUBSET


@attrs.frozen(kw_only=True)
class QuotaLease:
    """A part of a customer's limit, lent to one daemon for a term.

    Attributes:
        customer: The customer's name.
        tokens: Requests that may be admitted at once.
        rate: Requests a second that may be admitted on top.
        term_ms: How long the loan lasts, in milliseconds.
        size: How many daemons the customer's callers should use.
        retry_after_ms: When more is likely to be there, in milliseconds.
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
    given_at: Instant
    expires_at: Instant


class Account:
    """A token bucket whose refill is lent out as rates.

    What is admitted anywhere in a window of T is at most the burst, plus the
    rate times T and one term: tokens and rates are both taken from the same
    refill, and a lapsed loan is worth nothing.
    """

    def __init__(self, *, rate: float, burst: float, now: Instant) -> None:
        self._rate = rate
        self._burst = max(1.0, burst)
        # An owner that takes over can't know what the one before has lent.
        # A full bucket would give the burst twice, an empty one would lock
        # out a customer that asks rarely; this start bounds both.
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
        """How many daemons the customer's callers should use."""
        return self._size

    def configure(self, *, rate: float, burst: float, now: Instant) -> None:
        """Takes over a changed limit; what is lent stays lent."""
        self._settle(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def skip_refill(self, now: Instant) -> None:
        """Lets time pass without refill, such as that of another owner."""
        self._settled_at = now

    def grant(
        self, holder: str, request: QuotaRequest, now: Instant, *, daemons: int
    ) -> QuotaLease:
        """Lends a daemon what it needs, as far as it is there.

        Args:
            holder: The daemon's name.
            request: What the daemon requests.
            now: The current instant.
            daemons: How many daemons serve.
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
            if now - lease.given_at < DEMAND_RETENTION_MS
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
            # While there is enough, or where only a request now and then
            # comes, a rate lapses unused while others are refused. Tokens
            # follow the requests exactly.
            rate = 0.0
        self._leases[holder] = _LeaseRecord(
            rate=rate,
            demand=request.demand,
            given_at=now,
            expires_at=now + LEASE_TERM_MS,
        )
        return rate

    def _grant_tokens(self, request: QuotaRequest) -> int:
        there = max(0.0, self._tokens)
        # Some more while there is plenty, so that a busy daemon needs no
        # message for each request; a part only, as unspent tokens lapse.
        coming = request.demand * LEASE_TERM_MS / MS_PER_SECOND
        spare = math.floor(min(coming, there * PREFETCH_SHARE))
        tokens = min(request.waiting + spare, math.floor(there))
        self._tokens -= tokens
        return tokens

    def _retry_after_ms(self, request: QuotaRequest, fair: float) -> float:
        missing = max(0.0, 1.0 - self._tokens)
        rate = self._rate
        if fair < request.demand * HEADROOM:
            # Others wait for the same tokens; a daemon that comes back for
            # its own part only is not refused again for one message each.
            missing = max(missing, 1.0)
            rate = fair
        return missing / max(rate, 1e-9) * MS_PER_SECOND

    def _update_size(
        self, holder: str, request: QuotaRequest, now: Instant, daemons: int
    ) -> None:
        largest = max(SMALLEST_SUBSET, min(LARGEST_SUBSET, daemons))
        if now - self._created_at < DEMAND_RETENTION_MS:
            # A new owner learns the size from the daemons that the last one
            # told it. Later on their word may be older than the owner's own.
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
    """Returns the max-min fair part of `total` for a demand of `own`."""
    rest = total
    wants = sorted([own, *others])
    for index, want in enumerate(wants):
        part = rest / (len(wants) - index)
        if want >= part:
            return part
        rest -= want
        if want >= own:
            return own
    return own
