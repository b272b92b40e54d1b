"""Budgets of extra attempts, as a share of recent successes."""

from __future__ import annotations

import attrs

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0
HEDGE_SHARE = 0.045
HEDGE_RESERVE = 1.0
MOST_SAVED = 20.0


@attrs.define(kw_only=True)
class ExtraAttempts:
    """Extra attempts that one pool has earned.

    In an outage nothing succeeds, so nothing is earned, and retries don't
    multiply the load on what is left.

    Attributes:
        share: What one success earns.
        balance: What may be spent.
    """

    share: float
    balance: float

    def earn(self) -> None:
        """Notes a success."""
        self.balance = min(self.balance + self.share, MOST_SAVED)

    def spend(self) -> bool:
        """Returns whether an extra attempt may be made, and counts it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class Budgets:
    """The retry and hedge budgets of each pool."""

    def __init__(self) -> None:
        self._retries: dict[str, ExtraAttempts] = {}
        self._hedges: dict[str, ExtraAttempts] = {}

    def retries(self, pool: str) -> ExtraAttempts:
        """Returns a pool's retry budget."""
        found = self._retries.get(pool)
        if found is None:
            found = ExtraAttempts(share=RETRY_SHARE, balance=RETRY_RESERVE)
            self._retries[pool] = found
        return found

    def hedges(self, pool: str) -> ExtraAttempts:
        """Returns a pool's hedge budget."""
        found = self._hedges.get(pool)
        if found is None:
            found = ExtraAttempts(share=HEDGE_SHARE, balance=HEDGE_RESERVE)
            self._hedges[pool] = found
        return found

    def succeeded(self, pool: str) -> None:
        """Notes a success, which earns both kinds."""
        self.retries(pool).earn()
        self.hedges(pool).earn()
