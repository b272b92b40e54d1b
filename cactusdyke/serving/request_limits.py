"""The limits on requests to single replicas, as deciders apply them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.clock import Instant
    from cactusdyke.serving.cold_replicas import ColdRequestLimit
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stated_limits import StatedLimits


class RequestLimits:
    """Joins the limit on cold replicas with those that replicas state."""

    def __init__(self, *, cold: ColdRequestLimit, stated: StatedLimits) -> None:
        self._cold = cold
        self._stated = stated

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns the names of replicas that this daemon must not send to.

        Args:
            replicas: Replicas of one service.
        """
        return self._cold.exhausted(replicas)

    def record(self, replica: Replica) -> None:
        """Records a request that this daemon decided to send to a replica."""
        self._cold.record(replica)

    def recent_count(self, replica: Replica) -> int:
        """Returns how many requests were sent to a replica recently."""
        return self._cold.recent_count(replica)

    def record_answer(
        self,
        replica: Replica,
        requests_per_s: float | None,
        *,
        sent_at: Instant,
    ) -> None:
        """Records what an answer said of its replica's limit.

        See `StatedLimits.record_answer`.
        """
        self._stated.record_answer(replica, requests_per_s, sent_at=sent_at)
