"""A planned stop: no new callers, an end to what is under way, then the end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from cactusdyke import events

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.front import Front

STOP_MARGIN_MS = 300.0
"""Kept of the time between SIGTERM and SIGKILL, for an end in good order: the
last log lines and one call to the store. What is cut then would be cut by the
SIGKILL as well; with 700 ms kept, streams were cut that had 400 ms to go on."""
LEAST_LINGER_MS = 3_000.0
"""Callers are told of other addresses within a second, and most ask again after
the two seconds that their answer holds."""
LAST_ANSWERS_MS = 250.0
"""Before the end: requests that can't be served are answered by then, which
leaves time to write the answers and for callers to read them."""


class PlannedStop:
    """Serves callers that still hold the address, then lets the daemon end."""

    def __init__(
        self, *, clock: Clock, daemon: str, grace_ms: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._grace_ms = grace_ms
        self._ends_at: Instant = math.inf

    @property
    def begun(self) -> bool:
        """Whether the daemon was asked to stop."""
        return self._ends_at < math.inf

    @property
    def ends_at(self) -> Instant:
        """Instant by which the daemon will have ended."""
        return self._ends_at

    @property
    def answers_by(self) -> Instant:
        """Instant by which every request that has no answer yet gets one."""
        return self._ends_at - LAST_ANSWERS_MS

    async def run(
        self,
        front: Front,
        *,
        drain: Callable[[], Coroutine[None, None, None]],
        end_requests: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Returns when nothing is owed to anybody, or the time is over.

        Args:
            front: Where callers are answered; it goes on.
            drain: Tells all services that the daemon leaves; returns once
                they are done with what others wait for.
            end_requests: Answers requests that can't be served before
                `answers_by`, until it is cancelled.
        """
        self._ends_at = self._clock.now() + self._grace_ms() - STOP_MARGIN_MS
        events.log(events.Event.DAEMON_DRAINING, daemon=self._daemon)
        front.close_connections()
        drained = anyio.Event()

        async def drain_services() -> None:
            await drain()
            drained.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain_services)
            tasks.start_soon(end_requests)
            left_ms = self.answers_by - self._clock.now()
            await self._clock.sleep(min(LEAST_LINGER_MS, left_ms))
            with self._clock.timeout(self.answers_by - self._clock.now()):
                await drained.wait()
            # Waiting out the whole time would keep several hosts at once from
            # new work where they are stopped in turn, and all would refuse.
            with self._clock.timeout(self._ends_at - self._clock.now()):
                await front.finish(refuse_at=self.answers_by)
            await front.abort()
            tasks.cancel_scope.cancel()
