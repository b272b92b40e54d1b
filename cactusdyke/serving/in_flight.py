"""Requests in flight, and their final answers at a planned stop."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.serving.attempt import StreamState
from cactusdyke.serving.request import ServingContext

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.durations import RouteDurations
    from cactusdyke.serving.planned_stop import StopTimes

CHECK_INTERVAL_MS = 50.0


@attrs.define(kw_only=True, eq=False)
class InFlightRequest:
    """One request that is being served.

    Attributes:
        context: The request.
        state: What its caller has got.
        scope: Ends the work on it.
        stopped: Whether it was ended as its daemon stops.
    """

    context: ServingContext
    state: StreamState
    scope: anyio.CancelScope
    stopped: bool = False

    def stop(self) -> None:
        """Ends the work, so that the caller gets a final answer."""
        self.stopped = True
        self.scope.cancel()


class InFlightRequests:
    """Ends each request that its daemon would leave without an answer."""

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
        """Ends requests that can't be served before the stop.

        A request may wait for its stages or its replica until its own deadline,
        which is seconds behind the end of the daemon. Cancelled with the daemon
        it would end without any answer.
        """
        while True:
            for request in tuple(self._requests):
                if self._clock.now() >= self._cancel_at(request):
                    request.stop()
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _cancel_at(self, request: InFlightRequest) -> Instant:
        if request.state.head_sent or request.stopped:
            return math.inf
        answers_by = self._stop().answers_by
        if request.context.asking:
            return answers_by
        route = request.context.route
        return answers_by - self._durations.long_attempt_ms(route)
