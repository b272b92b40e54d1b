"""Logs when a stage service begins or ends to enforce customers' shares."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cactusdyke import events

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.stage_queue import StageQueue

SHARES_LOG_INTERVAL_MS = 1_000.0
"""Shortest time between two log lines on shares of one service. Demand close
to the capacity exceeds it several times a second."""
MAX_LOGGED_CUSTOMERS = 5


class SharesLog:
    """The log lines on the shares of one stage service."""

    def __init__(
        self, *, service: str, clock: Clock, queue: StageQueue
    ) -> None:
        self._service = service
        self._clock = clock
        self._queue = queue
        self._logged_enforced = False
        self._logged_at: Instant = -math.inf

    def log_change(self) -> None:
        """Logs when the enforcement of shares has begun or ended."""
        shares = self._queue.shares
        if shares.overloaded == self._logged_enforced:
            return
        now = self._clock.now()
        if now - self._logged_at < SHARES_LOG_INTERVAL_MS:
            return
        self._logged_at = now
        self._logged_enforced = shares.overloaded
        events.log(
            events.Event.SHARES_CHANGED,
            service=self._service,
            enforced=shares.overloaded,
            waiting=self._queue.queued_count,
            above=[
                [customer, round(demand, 1), round(share, 1)]
                for customer, demand, share in shares.most_above(
                    MAX_LOGGED_CUSTOMERS
                )
            ],
        )
