"""A planned stop: no new callers, an end to what is under way, then the end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke import events
from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cactusdyke.clock import Clock
    from cactusdyke.transport.front import Front

STOP_MARGIN_MS = 300.0
"""Kept of the time between SIGTERM and SIGKILL for the last log lines and one
call to the store."""
LEAST_LINGER_MS = 3_000.0
"""Callers are told of other addresses within a second, and most ask again after
the two seconds that their answer holds."""
LAST_ANSWERS_MS = 500.0
"""Before the end: requests that can't be served are answered by then, which
leaves time to write hundreds of answers and for callers to read them."""


@attrs.frozen(kw_only=True)
class StopTimes:
    """What a daemon still does until when; infinite while nothing stops it.

    Attributes:
        streams_until: Streams are begun until then, for their length is known
            by its share of long ones only. Callers know other addresses.
        answers_by: Every request that has no answer by then gets one.
        ends_at: The daemon will have ended.
    """

    accept_streams_until: Instant = math.inf
    answer_deadline_at: Instant = math.inf
    exit_at: Instant = math.inf


class PlannedStop:
    """Serves callers that still hold the address, then lets the daemon end."""

    def __init__(
        self, *, clock: Clock, daemon: str, grace_ms: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._grace_ms = grace_ms
        self._times = StopTimes()

    @property
    def started(self) -> bool:
        """Whether the daemon was asked to stop."""
        return self._times.exit_at < math.inf

    @property
    def times(self) -> StopTimes:
        """What the daemon still does until when."""
        return self._times

    async def run(
        self,
        front: Front,
        *,
        drain: Callable[[], Coroutine[None, None, None]],
        end_requests: Callable[[], Coroutine[None, None, None]],
    ) -> int:
        """Returns when nothing is in flight, or the time is over.

        What is in flight then is cut; its count is returned.

        Args:
            front: Where callers are answered; it goes on.
            drain: Tells all services that the daemon leaves; returns once
                they are done with what others wait for.
            end_requests: Answers requests that can't be served before
                `answers_by`, until it is cancelled.
        """
        times = self._times = self._begin()
        events.log(events.Event.DAEMON_DRAINING, daemon=self._daemon)
        front.close_connections()
        drained = anyio.Event()

        async def drain_services() -> None:
            await drain()
            drained.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain_services)
            tasks.start_soon(end_requests)
            await self._clock.sleep(
                min(times.accept_streams_until, times.answer_deadline_at)
                - self._clock.now()
            )
            with self._clock.timeout(
                times.answer_deadline_at - self._clock.now()
            ):
                await drained.wait()
            # Waiting out the whole time would keep several hosts at once from
            # new work where they are stopped in turn, and all would refuse.
            with self._clock.timeout(times.exit_at - self._clock.now()):
                await front.finish(refuse_at=times.answer_deadline_at)
            cut = front.in_flight
            await front.abort()
            tasks.cancel_scope.cancel()
        return cut

    def _begin(self) -> StopTimes:
        now = self._clock.now()
        ends_at = now + self._grace_ms() - STOP_MARGIN_MS
        return StopTimes(
            accept_streams_until=now + LEAST_LINGER_MS,
            answer_deadline_at=ends_at - LAST_ANSWERS_MS,
            exit_at=ends_at,
        )
