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
HEADROOM = 1.1
SMALLEST_RATE = 2.0
SPARE_SHARE = 0.25
SEED_MS = 500.0
GROW_ABOVE = 1.0
SHRINK_BELOW = 0.5
COMFORTABLE = 0.75
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
        self._burst = max(1.0, burst)
        # An owner that takes over can't know what the one before has lent.
        # A full bucket would give the burst twice, an empty one would lock
        # out a customer that asks rarely; this start bounds both.
        self._tokens = min(
            self._burst, max(1.0, rate * SEED_MS / MS_PER_SECOND)
        )
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
        self._settle(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def skip(self, now: Instant) -> None:
        """Lets time pass without refill, such as that of another owner."""
        self._settled_at = now

    def lend(
        self, holder: str, ask: Ask, now: Instant, *, daemons: int
    ) -> Loan:
        """Lends a daemon what it needs, as far as it is there.

        Args:
            holder: The daemon's name.
            ask: What it asks for.
            now: The current instant.
            daemons: How many daemons serve.
        """
        self._settle(now)
        before = self._size
        self._review_size(holder, ask, now, daemons)
        if self._size != before:
            events.log(
                events.Event.CUSTOMER_SUBSET_CHANGED,
                customer=ask.customer,
                size=self._size,
            )
        fair = self._fair_rate(holder, ask)
        rate = self._lend_rate(holder, ask, fair, now)
        tokens = self._lend_tokens(ask)
        return Loan(
            customer=ask.customer,
            tokens=tokens,
            rate=rate,
            term_ms=TERM_MS,
            size=self._size,
            retry_after_ms=self._retry_after_ms(ask, fair),
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

    def _others(self, holder: str) -> list[_Lease]:
        return [x for name, x in self._leases.items() if name != holder]

    def _fair_rate(self, holder: str, ask: Ask) -> float:
        others = [x.demand * HEADROOM for x in self._others(holder)]
        return _fair_part(self._rate, ask.demand * HEADROOM, others)

    def _lend_rate(
        self, holder: str, ask: Ask, fair: float, now: Instant
    ) -> float:
        others = self._others(holder)
        taken = sum(x.rate for x in others if x.expires_at > now)
        wanted = ask.demand * HEADROOM
        rate = min(wanted, fair, max(0.0, self._rate - taken))
        if fair >= wanted or fair < SMALLEST_RATE:
            # While there is enough, or where only a request now and then
            # comes, a rate lapses unused while others are refused. Tokens
            # follow the requests exactly.
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
        # Some more while there is plenty, so that a busy daemon needs no
        # message for each request; a part only, as unspent tokens lapse.
        coming = ask.demand * TERM_MS / MS_PER_SECOND
        spare = math.floor(min(coming, there * SPARE_SHARE))
        tokens = min(ask.waiting + spare, math.floor(there))
        self._tokens -= tokens
        return tokens

    def _retry_after_ms(self, ask: Ask, fair: float) -> float:
        missing = max(0.0, 1.0 - self._tokens)
        rate = self._rate
        if fair < ask.demand * HEADROOM:
            # Others wait for the same tokens; a daemon that comes back for
            # its own part only is not refused again for one message each.
            missing = max(missing, 1.0)
            rate = fair
        return missing / max(rate, 1e-9) * MS_PER_SECOND

    def _review_size(
        self, holder: str, ask: Ask, now: Instant, daemons: int
    ) -> None:
        largest = max(SMALLEST_SUBSET, min(LARGEST_SUBSET, daemons))
        if now - self._opened_at < DEMAND_MEMORY_MS:
            # A new owner learns the size from the daemons that the last one
            # told it. Later on their word may be older than the owner's own.
            self._size = max(self._size, min(ask.size, largest))
        demand = ask.demand + sum(x.demand for x in self._others(holder))
        demand = min(demand, self._rate)
        fitting = math.ceil(demand / COMFORTABLE)
        fitting = min(largest, max(SMALLEST_SUBSET, fitting))
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
