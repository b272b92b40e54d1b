"""Planned stop: stops accepting requests, finishes those in progress, exits."""

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
"""Part of the time between SIGTERM and SIGKILL that is reserved for the last
log lines and one call to the store."""
MIN_LINGER_MS = 3_000.0
"""Within a second, answers to callers no longer list this daemon's address, and
most callers request a new list after the two seconds that a list is valid."""
FINAL_ANSWERS_MS = 500.0
"""Requests that can't be served are answered this long before the exit, which
leaves time to write hundreds of answers and for callers to read them."""


@attrs.frozen(kw_only=True)
class StopTimes:
    """The instants of a stop; infinite while no stop is requested.

    Attributes:
        accept_streams_until: New streams are accepted until then. The length
            of a single stream can't be predicted, only how long the longer
            ones usually take; callers have other addresses by then.
        answer_deadline_at: Every request without an answer gets one by then.
        exit_at: The daemon has exited by then.
    """

    accept_streams_until: Instant = math.inf
    answer_deadline_at: Instant = math.inf
    exit_at: Instant = math.inf


class PlannedStop:
    """Serves callers that still use the address, then lets the daemon exit."""

    def __init__(
        self, *, clock: Clock, daemon: str, grace_ms: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._grace_ms = grace_ms
        self._times = StopTimes()

    @property
    def started(self) -> bool:
        """Whether a stop was requested."""
        return self._times.exit_at < math.inf

    @property
    def times(self) -> StopTimes:
        """The instants of the stop."""
        return self._times

    async def run(
        self,
        front: Front,
        *,
        drain: Callable[[], Coroutine[None, None, None]],
        end_requests: Callable[[], Coroutine[None, None, None]],
    ) -> int:
        """Runs until no request is in flight or the time is over.

        Requests that are still in flight then are aborted.

        Args:
            front: Server for callers' connections; it keeps serving.
            drain: Informs all services that the daemon leaves; returns once
                they have finished the work that other daemons wait for.
            end_requests: Answers requests that can't be served before
                `answer_deadline_at`, until it is cancelled.

        Returns:
            The number of aborted requests.
        """
        times = self._times = self._start()
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
            # Returns as soon as no request is in flight. If each daemon used
            # its whole time, the stops of hosts that are stopped one after
            # another would overlap, and all of them would refuse callers.
            with self._clock.timeout(times.exit_at - self._clock.now()):
                await front.finish(refuse_at=times.answer_deadline_at)
                await drained.wait()
            aborted = front.in_flight
            await front.abort()
            tasks.cancel_scope.cancel()
        return aborted

    def _start(self) -> StopTimes:
        now = self._clock.now()
        exit_at = now + self._grace_ms() - STOP_MARGIN_MS
        return StopTimes(
            accept_streams_until=now + MIN_LINGER_MS,
            answer_deadline_at=exit_at - FINAL_ANSWERS_MS,
            exit_at=exit_at,
        )
