"""Naive policies, to see what ours are worth."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.stage_queue import StageQueue

if TYPE_CHECKING:
    from cactusdyke.clock import Instant
    from cactusdyke.serving.stage_queue import PieceGroup


class ByArrival(StageQueue):
    """First come, first served."""

    def _sort_key(self, group: PieceGroup, now: Instant) -> tuple[bool, float]:
        del now
        return (False, group.queued_at)


class ByDeadline(StageQueue):
    """Whoever is needed first, on time or not."""

    def _sort_key(self, group: PieceGroup, now: Instant) -> tuple[bool, float]:
        del now
        return (False, group.objective_at)
