"""Decides which work of a stage service exceeds its customer's fair share.

Handles demand above the service's capacity that comes from several customers
of the same priority. The shares are weighted max-min fair over the measured
demand. The module does no I/O and has no timers; shares are recomputed when
work arrives.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import MS_PER_SECOND, Clock, Instant

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

DEMAND_WINDOW_MS = 1_000.0
"""Time constant of the measured demand. 86 % of a change is measured within two
seconds, the time in which a new decider must have learnt the demand."""
MIN_MEASURED_MS = 200.0
"""Shortest time over which a new decider extrapolates the demand. Over a
shorter one a single large request would count as a burst."""
UPDATE_INTERVAL_MS = 100.0
BURST_MS = 1_000.0
"""Work within a share may arrive this far ahead of its rate. With 500 ms,
customers exactly at their share kept 0.88 in place of 0.92 in the simulated
overload of features/serving/customer_shares.feature, as requests arrive
irregularly."""
END_USE = 0.9
"""Overload ends when the demand falls below this part of the capacity."""
CONTENTION_MS = 500.0
"""Overload begins only this shortly after a group missed its objective because
of the queue. Demand and capacity are estimates, and demand just above a low
estimate of the capacity does no harm."""
FLOOR = 0.25
"""Least share of a customer, as a part of the average share."""
MAX_CUSTOMERS = 1_024
"""Customers with a share of their own at each priority. Names come from other
daemons' messages; further ones count as unknown."""
MIN_DEMAND = 0.01
"""Decayed number of pieces below which a customer is forgotten."""
MIN_EXCESS = 0.01
"""Excess of work that arrives faster than the share while the demand over the
window does not exceed it."""
UNKNOWN = ""
"""Name of requests without a key, and of work sent by releases that do not
state the customer."""


@attrs.frozen(kw_only=True)
class Demand:
    """Pieces per millisecond that a customer requests, and its weight."""

    rate: float
    weight: float = 1.0


def fair_shares(demands: Sequence[Demand], capacity: float) -> list[float]:
    """Returns the rate that each customer is entitled to.

    A customer whose demand is below its entitlement leaves the rest to the
    others, so the entitlements add up to more than the capacity; the rates
    actually used do not. Entitlements are infinite if all demand fits.
    """
    if sum(demand.rate for demand in demands) <= capacity:
        return [math.inf] * len(demands)
    floor = FLOOR * max(0.0, capacity) / len(demands)
    level = _fill_level(demands, capacity, floor)
    return [max(floor, demand.weight * level) for demand in demands]


def _fill_level(
    demands: Sequence[Demand], capacity: float, floor: float
) -> float:
    """Returns the rate per weight at which the capacity is used up."""
    used = sum(min(demand.rate, floor) for demand in demands)
    # A customer's rate grows with the level from the floor to its demand.
    bends = [
        bend
        for demand in demands
        if demand.rate > floor
        for bend in (
            (floor / demand.weight, demand.weight),
            (demand.rate / demand.weight, -demand.weight),
        )
    ]
    level = slope = 0.0
    for next_level, change in sorted(bends):
        grown = used + slope * (next_level - level)
        if grown >= capacity and slope > 0.0:
            return level + (capacity - used) / slope
        used, level, slope = grown, next_level, slope + change
    return level


@attrs.define(kw_only=True, eq=False)
class _Account:
    """Demand and share of one customer at one priority.

    Attributes:
        weight: The customer's weight.
        pieces: Requested pieces, decayed until `counted_at`.
        counted_at: Instant of the last request.
        rate: Demand at the last update, in pieces per millisecond.
        share: Entitlement since the last update, likewise.
        credit: Pieces that may arrive now within the share; negative after a
            request that exceeded it.
        credited_at: Instant until which the share is in the credit.
    """

    weight: float
    pieces: float = 0.0
    counted_at: Instant
    rate: float = 0.0
    share: float = math.inf
    credit: float = math.inf
    credited_at: Instant

    def count(self, pieces: int, now: Instant) -> None:
        """Counts a request."""
        self.pieces = self.decayed(now) + pieces
        self.counted_at = now

    def decayed(self, now: Instant) -> float:
        """Returns the requested pieces, weighted by their age."""
        age_ms = now - self.counted_at
        return self.pieces * math.exp(-age_ms / DEMAND_WINDOW_MS)

    @property
    def excess(self) -> float:
        """The part of the demand that exceeds the share."""
        return 1.0 - self.share / self.rate if self.rate > 0.0 else 0.0

    def take(self, pieces: int, now: Instant) -> bool:
        """Takes pieces from the credit; returns whether there was any."""
        if self.share == math.inf:
            return True
        self.credit = min(
            self.share * BURST_MS,
            self.credit + self.share * (now - self.credited_at),
        )
        self.credited_at = now
        if self.credit <= 0.0:
            return False
        self.credit -= pieces
        return True


@attrs.define(kw_only=True, eq=False)
class _Level:
    """The customers of one priority, by name."""

    accounts: dict[str, _Account] = attrs.field(factory=dict)
    overloaded: bool = False


class CustomerShares:
    """Demand and fair shares of the customers of one stage service."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._levels: dict[int, _Level] = {}
        self._overloaded = False
        self._started_at: Instant | None = None
        self._updated_at: Instant = -math.inf
        self._contended_at: Instant = -math.inf

    @property
    def overloaded(self) -> bool:
        """Whether shares are enforced at any priority."""
        return self._overloaded

    def most_above(self, count: int) -> list[tuple[str, float, float]]:
        """Returns the customers furthest above their shares.

        Returns:
            Name, demand and share of each, in pieces per second.
        """
        above = [
            (account.excess, name, account)
            for level in self._levels.values()
            for name, account in level.accounts.items()
            if account.rate > account.share
        ]
        above.sort(key=lambda found: found[:2], reverse=True)
        return [
            (name, account.rate * MS_PER_SECOND, account.share * MS_PER_SECOND)
            for _, name, account in above[:count]
        ]

    @property
    def update_due(self) -> bool:
        """Whether `update` is to be called before the next `admit`."""
        return self._clock.now() - self._updated_at >= UPDATE_INTERVAL_MS

    def record_contention(self) -> None:
        """Records that a group misses its objective because of the queue."""
        self._contended_at = self._clock.now()

    def admit(
        self, customer: str, *, weight: float, priority: int, pieces: int
    ) -> float:
        """Counts arriving work; returns by how much it exceeds its share.

        Returns:
            0 within the share, else the part of the customer's demand that
            exceeds it, or `MIN_EXCESS` if that is smaller.
        """
        now = self._clock.now()
        if self._started_at is None:
            self._started_at = now
        level = self._levels.setdefault(priority, _Level())
        account = self._account(level, customer, now)
        account.weight = weight if 0.0 < weight < math.inf else 1.0
        account.count(pieces, now)
        if not level.overloaded or account.take(pieces, now):
            return 0.0
        return max(MIN_EXCESS, account.excess)

    def update(self, capacity: float) -> None:
        """Recomputes demand and shares.

        Args:
            capacity: Pieces per millisecond that the service computes.
        """
        now = self._updated_at = self._clock.now()
        self._measure(now)
        rates = {
            priority: sum(a.rate for a in level.accounts.values())
            for priority, level in self._levels.items()
        }
        total = sum(rates.values())
        left = capacity
        for priority in sorted(self._levels):
            rate = rates[priority]
            # Higher priorities take precedence, up to the floor that every
            # customer keeps.
            least = FLOOR * capacity * rate / total if total else 0.0
            self._share_out(self._levels[priority], max(left, least), now)
            left -= rate
        self._overloaded = any(
            level.overloaded for level in self._levels.values()
        )

    def _account(self, level: _Level, customer: str, now: Instant) -> _Account:
        account = level.accounts.get(customer)
        if account is None and len(level.accounts) >= MAX_CUSTOMERS:
            customer = UNKNOWN
            account = level.accounts.get(customer)
        if account is None:
            account = level.accounts[customer] = _Account(
                weight=1.0, counted_at=now, credited_at=now
            )
        return account

    def _measure(self, now: Instant) -> None:
        """Measures the demand and forgets customers without any."""
        started_at = now if self._started_at is None else self._started_at
        measured_ms = max(MIN_MEASURED_MS, now - started_at)
        window_ms = DEMAND_WINDOW_MS * -math.expm1(
            -measured_ms / DEMAND_WINDOW_MS
        )
        for priority, level in list(self._levels.items()):
            for name, account in list(level.accounts.items()):
                pieces = account.decayed(now)
                account.rate = pieces / window_ms
                if pieces < MIN_DEMAND:
                    del level.accounts[name]
            if not level.accounts:
                del self._levels[priority]

    def _share_out(self, level: _Level, capacity: float, now: Instant) -> None:
        accounts = level.accounts
        rate = sum(account.rate for account in accounts.values())
        named = [a for name, a in accounts.items() if name != UNKNOWN]
        was_overloaded = level.overloaded
        level.overloaded = len(named) > 1 and (
            rate > END_USE * capacity
            if was_overloaded
            else rate > capacity and self._contended(now)
        )
        if not level.overloaded:
            _set_shares(accounts.values(), [math.inf] * len(accounts), now)
            return
        unknown = accounts.get(UNKNOWN)
        if unknown is not None:
            # It may be the work of many customers sent by an older release, so
            # it keeps the part that it would have without shares.
            part = capacity * unknown.rate / rate
            _set_shares([unknown], [part], now)
            capacity -= part
        demands = [Demand(rate=a.rate, weight=a.weight) for a in named]
        _set_shares(named, fair_shares(demands, capacity), now)

    def _contended(self, now: Instant) -> bool:
        return now - self._contended_at <= CONTENTION_MS


def _set_shares(
    accounts: Iterable[_Account], shares: Iterable[float], now: Instant
) -> None:
    for account, share in zip(accounts, shares, strict=True):
        if account.share == math.inf:
            account.credit = share * BURST_MS
            account.credited_at = now
        account.share = share
