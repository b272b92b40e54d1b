"""Refuses groups of a stage service, and decides when their callers return."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.return_questions import ReturnAnswer
from cactusdyke.serving.return_times import ReturnTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.return_questions import ReturnQuestion
    from cactusdyke.serving.return_times import ReturnTime
    from cactusdyke.serving.stage_pieces import PieceGroup
    from cactusdyke.serving.stage_queue import StageQueue

MIN_RETRY_AFTER_MS = 200.0
"""About one call. Capacity is unlikely to be free sooner."""
MAX_RETRY_AFTER_MS = 5_000.0
"""About the duration of bursts. A longer estimate would outlive its backlog."""
RETURN_SHARE = 1 / 3
"""Callers wait at most this share of their remaining time before a retry."""
LOG_RETURNS_INTERVAL_MS = 5_000.0


class StageRefusals:
    """The refusals of one stage service in this daemon.

    Args:
        service: Name of the service.
        clock: The clock.
        deployment: The replicas and what they state of themselves.
        queue: The queue of the service.
        usable_replicas: Returns the names of the usable replicas.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: Clock,
        deployment: Deployment,
        queue: StageQueue,
        usable_replicas: Callable[[], list[str]],
    ) -> None:
        self._service = service
        self._clock = clock
        self._deployment = deployment
        self._queue = queue
        self._usable_replicas = usable_replicas
        self._returns = ReturnTimes(clock=clock)
        self._log_returns_at: Instant = -math.inf

    @property
    def returns(self) -> ReturnTimes:
        """The times at which refused callers return."""
        return self._returns

    def refusal(self, group: PieceGroup) -> Failure | None:
        """Returns a failure for a group that cannot meet its deadline."""
        if self._queue.refuses_over_share(group):
            return self._over_share_refusal(group)
        replica_names = self._usable_replicas()
        left_ms = group.deadline_at - self._clock.now()
        backlog_ms = self._rest_left_ms()
        if not group.reserved:
            backlog_ms = max(
                backlog_ms, self._wait_ms(group, replica_names, left_ms)
            )
        if replica_names and backlog_ms + self._queue.spec.call_ms <= left_ms:
            return None
        self.log_abandoned(group, "refused at once")
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"the stage service {self._service} is busy for longer"
            " than the request can wait",
            retry_after_ms=self.return_after_ms(group),
        )

    def return_time(self, question: ReturnQuestion) -> ReturnAnswer | None:
        """Returns when a request should return that a daemon would refuse."""
        if self._returns.is_due(question.digest):
            return ReturnAnswer(due=True, in_ms=0.0, reserved=True)
        found = self._reserve(
            question.digest,
            question.pieces,
            question.priority,
            question.caller_left_ms,
        )
        if found is None:
            return None
        return ReturnAnswer(
            due=False, in_ms=found.in_ms, reserved=found.reserved
        )

    def return_after_ms(self, group: PieceGroup) -> int:
        """Returns when a refused group is to return, with a place if possible.

        It gets no place if its caller would not wait for the call after it, or
        if its customer exceeds its share: a place precedes others' requests.
        """
        found = None
        if group.digest and group.within_share is not False:
            found = self._reserve(
                group.digest,
                len(group.tasks),
                group.priority,
                group.caller_waits_until - self._clock.now(),
            )
        if found is None:
            return self.retry_after_ms()
        if found.reserved:
            return math.ceil(found.in_ms)
        return int(min(MAX_RETRY_AFTER_MS, found.in_ms))

    def retry_after_ms(self) -> int:
        """Estimates when there is capacity for a request refused now."""
        backlog_ms = max(self._queue.backlog().total_ms, self._rest_left_ms())
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, backlog_ms)))

    def log_abandoned(self, group: PieceGroup, reason: str) -> None:
        """Logs a group whose pieces were not computed."""
        now = self._clock.now()
        piece = group.tasks[0].piece
        events.log(
            events.Event.STAGE_GIVEN_UP,
            request_id=piece.request_id,
            service=self._service,
            stage=piece.stage,
            pieces=len(group.tasks),
            reason=reason,
            waited_ms=round(now - group.queued_at),
            left_ms=round(group.deadline_at - now),
            hopeful=group.feasible,
            begun=group.started,
            customer=group.customer,
            within_share=group.within_share,
            waiting=self._queue.queued_count,
        )

    def _over_share_refusal(self, group: PieceGroup) -> Failure:
        self.log_abandoned(group, "over its customer's share")
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"the stage service {self._service} is overloaded, and the"
            " customer exceeds its share of it",
            retry_after_ms=self.retry_after_ms(),
        )

    def _wait_ms(
        self, group: PieceGroup, replica_names: list[str], left_ms: float
    ) -> float:
        """Estimates how long a new group is queued."""
        ahead = self._queue.ahead_of(group) + len(group.tasks)
        ahead += self._returns.expected_pieces(left_ms, group.priority)
        return self._queue.backlog_ms(replica_names, ahead)

    def _reserve(
        self, digest: str, pieces: int, priority: int, left_ms: float
    ) -> ReturnTime | None:
        """Reserves a place, None if no replica can be used.

        Args:
            digest: Identifies the request.
            pieces: Number of its pieces.
            priority: Its priority.
            left_ms: How long its caller still waits.
        """
        if not self._usable_replicas():
            return None
        self._log_returns()
        return self._returns.reserve(
            digest,
            pieces=pieces,
            priority=priority,
            pieces_per_ms=self._queue.pieces_per_ms,
            earliest_ms=max(
                MIN_RETRY_AFTER_MS,
                self._queue.backlog().feasible_ms,
                self._rest_left_ms(),
            ),
            latest_ms=min(
                left_ms * RETURN_SHARE, left_ms - self._queue.spec.call_ms
            ),
        )

    def _rest_left_ms(self) -> float:
        """Returns the time until a replica accepts calls, 0 if one does."""
        return self._deployment.statements.until_any_accepts_ms(
            self._deployment.usable_replicas(self._service)
        )

    def _log_returns(self) -> None:
        """Logs what became of refused requests, while there are refusals."""
        now = self._clock.now()
        if now < self._log_returns_at:
            return
        self._log_returns_at = now + LOG_RETURNS_INTERVAL_MS
        events.log(
            events.Event.RETURN_TIMES,
            service=self._service,
            held=self._returns.count,
            **attrs.asdict(self._returns.counts),
        )
