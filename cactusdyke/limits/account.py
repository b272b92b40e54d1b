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

TERM_MS = 2_000.0
DEMAND_MEMORY_MS = 5_000.0
HEADROOM = 1.2
SEED_MS = 500.0
GROW_ABOVE = 2.0
SHRINK_BELOW = 1.0
COMFORTABLE = 1.5
SHRINK_AFTER_MS = 60_000.0


@attrs.frozen(kw_only=True)
class Ask:
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
class Loan:
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
class _Lease:
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
        self._burst = burst
        # An owner that takes over can't know what the one before has lent.
        # A full bucket would give the burst twice, an empty one would lock
        # out a customer that asks rarely; this start bounds both.
        self._tokens = min(burst, max(1.0, rate * SEED_MS / MS_PER_SECOND))
        self._settled_at = now
        self._leases: dict[str, _Lease] = {}
        self._size = SMALLEST_SUBSET
        self._small_since: Instant | None = None
        self._opened_at = now

    @property
    def size(self) -> int:
        """How many daemons the customer's callers should use."""
        return self._size

    def configure(self, *, rate: float, burst: float, now: Instant) -> None:
        """Takes over a changed limit; what is lent stays lent."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._settle(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def skip(self, now: Instant) -> None:
        """Lets time pass without refill, such as that of another owner."""
        self._settled_at = now

    def lend(self, holder: str, ask: Ask, now: Instant) -> Loan:
        """Lends a daemon what it needs, as far as it is there."""
        self._settle(now)
        before = self._size
        self._review_size(holder, ask, now)
        if self._size != before:
            events.log(
                events.Event.CUSTOMER_SUBSET_CHANGED,
                customer=ask.customer,
                size=self._size,
            )
        rate = self._lend_rate(holder, ask, now)
        tokens = self._lend_tokens(ask)
        return Loan(
            customer=ask.customer,
            tokens=tokens,
            rate=rate,
            term_ms=TERM_MS,
            size=self._size,
            retry_after_ms=self._retry_after_ms(),
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
            if now - lease.given_at < DEMAND_MEMORY_MS
        }

    def _lend_rate(self, holder: str, ask: Ask, now: Instant) -> float:
        others = [
            lease for name, lease in self._leases.items() if name != holder
        ]
        taken = sum(x.rate for x in others if x.expires_at > now)
        wanted = ask.demand * HEADROOM
        fair = _fair_part(
            self._rate, wanted, [x.demand * HEADROOM for x in others]
        )
        rate = min(wanted, fair, max(0.0, self._rate - taken))
        scarce = fair < wanted
        if not scarce and rate * TERM_MS / MS_PER_SECOND < 1.0:
            # Less than a request a term would lapse unused; such a daemon
            # asks for each request instead.
            rate = 0.0
        self._leases[holder] = _Lease(
            rate=rate,
            demand=ask.demand,
            given_at=now,
            expires_at=now + TERM_MS,
        )
        return rate

    def _lend_tokens(self, ask: Ask) -> int:
        there = max(0.0, self._tokens)
        spread = math.sqrt(ask.demand * TERM_MS / MS_PER_SECOND)
        # A few more while there is plenty, so that chance peaks at a busy
        # daemon need no message each.
        spare = min(math.floor(spread), math.floor(there / 4.0))
        tokens = min(ask.waiting + spare, math.floor(there))
        self._tokens -= tokens
        return tokens

    def _retry_after_ms(self) -> float:
        missing = max(0.0, 1.0 - self._tokens)
        return missing / max(self._rate, 1e-9) * MS_PER_SECOND

    def _review_size(self, holder: str, ask: Ask, now: Instant) -> None:
        if now - self._opened_at < DEMAND_MEMORY_MS:
            # A new owner learns the size from the daemons that the last one
            # told it. Later on their word may be older than the owner's own.
            self._size = max(self._size, min(ask.size, LARGEST_SUBSET))
        demand = ask.demand + sum(
            x.demand for name, x in self._leases.items() if name != holder
        )
        demand = min(demand, self._rate)
        fitting = math.ceil(demand / COMFORTABLE)
        fitting = min(LARGEST_SUBSET, max(SMALLEST_SUBSET, fitting))
        if demand > GROW_ABOVE * self._size:
            self._size = max(self._size, fitting)
        if demand >= SHRINK_BELOW * self._size or fitting >= self._size:
            self._small_since = None
        elif self._small_since is None:
            self._small_since = now
        elif now - self._small_since >= SHRINK_AFTER_MS:
            self._size = fitting
            self._small_since = None


def _fair_part(total: float, own: float, others: Sequence[float]) -> float:
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
