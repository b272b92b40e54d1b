"""Naive policies, to see what ours are worth."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.serving.cold_replicas import ColdRequestLimit
from cactusdyke.serving.customer_shares import CustomerShares
from cactusdyke.serving.stage_queue import StageQueue
from cactusdyke.serving.stated_request_limit import StatedRequestLimit
from emulator.dialect import EmulatedDialect

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.clock import Instant
    from cactusdyke.serving.dialect import ReplicaLoad
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stage_pieces import PieceGroup
    from cactusdyke.transport.answer_parser import AnswerHead


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


class ColdLikeWarm(ColdRequestLimit):
    """Sends to cold replicas as to warm ones."""

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns no replica."""
        del replicas
        return set()


class NothingWhileCold(ColdRequestLimit):
    """Sends nothing to cold replicas."""

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns every cold replica."""
        return {r.name for r in replicas if self._deployment.is_cold(r)}


class LimitsIgnored(StatedRequestLimit):
    """Sends to replicas that state a limit as to all others."""

    def is_limited(self, replica: Replica) -> bool:
        """Returns no."""
        del replica
        return False


class NothingWhileLimited(StatedRequestLimit):
    """Sends nothing to replicas that state a limit."""

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns every replica that states a limit."""
        return {r.name for r in replicas if self.is_limited(r)}


class OwnLimit(StatedRequestLimit):
    """Keeps to limits by what this daemon sends, whoever decides."""

    def __init__(self, **dependencies: Any) -> None:
        super().__init__(
            **{
                **dependencies,
                "announced_since": lambda service: -math.inf,
                "sees_most_daemons": lambda: True,
            }
        )


class SlowdownUnread(EmulatedDialect):
    """Reads the requests at a replica but not its slowdown."""

    def decode_load(self, head: AnswerHead, replica: str) -> ReplicaLoad | None:
        """Returns the load without the slowdown."""
        load = super().decode_load(head, replica)
        return load and attrs.evolve(load, slowdown=None)


class NoShares(CustomerShares):
    """Takes the work of all customers as within their shares."""

    def admit(
        self, customer: str, *, weight: float, priority: int, pieces: int
    ) -> float:
        """Returns that nothing exceeds its share."""
        del customer, weight, priority, pieces
        return 0.0
