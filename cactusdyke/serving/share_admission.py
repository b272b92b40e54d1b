"""Decides whether arriving groups are within their customers' shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.customer_shares import CustomerShares

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.clock import Clock
    from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask

OVER_SHARE_STEP_MS = 20_000.0
"""Shift of a late group that exceeds its customer's share. It exceeds the time
that callers wait, so that the share precedes the remaining time."""
EXCESS_STEP_MS = 20_000.0
"""Further shift of a group whose customer's demand exceeds its share by far.
With the same shift for all, a customer at 10 times its share got twice its
share, at the expense of customers whose demand was exactly at theirs."""
MAX_OVER_SHARE_MS = 600.0
"""Work over its customers' shares that is queued at most, as the time that it
takes. Without a bound one customer fills the queue, which is sorted for each
call, with pieces that are refused later."""


class ShareAdmission:
    """Compares the groups of one stage service with their customers' shares.

    Args:
        clock: The clock.
        capacity: Returns the pieces per millisecond that are shared out.
    """

    def __init__(self, *, clock: Clock, capacity: Callable[[], float]) -> None:
        self._shares = CustomerShares(clock=clock)
        self._capacity = capacity
        self._may_hold_over_share = False

    @property
    def shares(self) -> CustomerShares:
        """The shares of the customers under overload."""
        return self._shares

    def decide(self, group: PieceGroup) -> None:
        """Decides once whether a group is within its customer's share.

        A group over it counts as late, so that it precedes no group that can
        meet its objective, and is refused like a late one.
        """
        if group.within_share is not None:
            return
        if self._shares.update_due:
            self._shares.update(self._capacity())
        excess = self._shares.admit(
            group.customer,
            weight=group.weight,
            priority=group.priority,
            pieces=len(group.tasks),
        )
        group.within_share = excess == 0.0
        if excess:
            self._may_hold_over_share = True
            group.feasible = False
            group.late_shift_ms = OVER_SHARE_STEP_MS + excess * EXCESS_STEP_MS

    def record_empty(self) -> None:
        """Records that the queue is empty."""
        self._may_hold_over_share = False

    def count_over_share(self, queued: Iterable[PieceTask]) -> int:
        """Returns the number of pieces over their customers' shares."""
        if not self._may_hold_over_share:
            return 0
        return sum(task.group.within_share is False for task in queued)

    def count_over_share_ahead(
        self, group: PieceGroup, queued: Iterable[PieceTask]
    ) -> int:
        """Returns the number of those that precede a group over its share."""
        return sum(
            0.0 < task.group.late_shift_ms <= group.late_shift_ms
            for task in queued
        )
