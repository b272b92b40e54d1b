"""Tracks requests in flight, and cancels them before a planned stop."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.serving.request import ServingContext
from cactusdyke.serving.stream_state import StreamState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.durations import RouteDurations
    from cactusdyke.serving.planned_stop import StopTimes

CHECK_INTERVAL_MS = 50.0


@attrs.define(kw_only=True, eq=False)
class InFlightRequest:
    """A request that is being served.

    Attributes:
        context: The request.
        state: What its caller has received.
        scope: Cancels the request.
        stopped: Whether it was cancelled because of the stop.
    """

    context: ServingContext
    state: StreamState
    scope: anyio.CancelScope
    stopped: bool = False

    def stop(self) -> None:
        """Cancels the request, so that its caller gets a final answer."""
        self.stopped = True
        self.scope.cancel()


class InFlightRequests:
    """Cancels requests that the stop would leave without an answer."""

    def __init__(
        self,
        *,
        clock: Clock,
        durations: RouteDurations,
        stop: Callable[[], StopTimes],
    ) -> None:
        self._clock = clock
        self._durations = durations
        self._stop = stop
        self._requests: set[InFlightRequest] = set()

    @contextlib.contextmanager
    def track(
        self,
        context: ServingContext,
        state: StreamState,
        scope: anyio.CancelScope,
    ) -> Iterator[InFlightRequest]:
        """Counts a request as in flight while the block runs."""
        request = InFlightRequest(context=context, state=state, scope=scope)
        self._requests.add(request)
        try:
            yield request
        finally:
            self._requests.discard(request)

    async def end_before_stop(self) -> None:
        """Cancels requests that cannot be served before the stop.

        A request may wait for its stages or its replica until its own deadline,
        which can be seconds after the daemon has stopped. If it were cancelled
        only as the daemon stops, its caller would get no answer.
        """
        while True:
            for request in tuple(self._requests):
                if self._clock.now() >= self._cancel_at(request):
                    request.stop()
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _cancel_at(self, request: InFlightRequest) -> Instant:
        if request.state.head_sent or request.stopped:
            return math.inf
        answers_by = self._stop().answer_deadline_at
        if request.context.current_replica:
            return answers_by
        route = request.context.route
        return answers_by - self._durations.quantile_attempt_ms(route)
