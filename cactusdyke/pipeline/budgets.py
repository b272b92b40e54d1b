"""Retry and hedge budgets, as a share of recent successes."""

from __future__ import annotations

import attrs

RETRY_SHARE = 0.1
INITIAL_RETRY_BALANCE = 10.0
HEDGE_SHARE = 0.045
INITIAL_HEDGE_BALANCE = 1.0
MAX_BALANCE = 20.0


@attrs.define(kw_only=True)
class AttemptBudget:
    """Budget of extra attempts at the backend servers of one pool.

    In an outage no attempt succeeds, so the budget runs out and retries do
    not multiply the load on the remaining backend servers.

    Attributes:
        share: Extra attempts that one success earns.
        balance: Extra attempts that may still be made.
    """

    share: float
    balance: float

    def earn(self) -> None:
        """Adds what one success earns, up to the maximum balance."""
        self.balance = min(self.balance + self.share, MAX_BALANCE)

    def give_back(self) -> None:
        """Adds an extra attempt that was deducted and not made."""
        self.balance = min(self.balance + 1, MAX_BALANCE)

    def spend(self) -> bool:
        """Returns whether an extra attempt may be made, and deducts it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class AttemptBudgets:
    """The retry and hedge budgets of each pool."""

    def __init__(self) -> None:
        self._retries: dict[str, AttemptBudget] = {}
        self._hedges: dict[str, AttemptBudget] = {}

    def retries(self, pool: str) -> AttemptBudget:
        """Returns a pool's retry budget."""
        found = self._retries.get(pool)
        if found is None:
            found = AttemptBudget(
                share=RETRY_SHARE, balance=INITIAL_RETRY_BALANCE
            )
            self._retries[pool] = found
        return found

    def hedges(self, pool: str) -> AttemptBudget:
        """Returns a pool's hedge budget."""
        found = self._hedges.get(pool)
        if found is None:
            found = AttemptBudget(
                share=HEDGE_SHARE, balance=INITIAL_HEDGE_BALANCE
            )
            self._hedges[pool] = found
        return found

    def record_success(self, pool: str) -> None:
        """Adds what one success earns to both budgets of a pool."""
        self.retries(pool).earn()
        self.hedges(pool).earn()
