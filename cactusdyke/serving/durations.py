"""How long requests of each route take, to know which a stop would cut."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.serving.model import Route

STREAM_MS = 3_000.0
WHOLE_MS = 700.0
"""Assumed of a route of which nothing was answered here yet."""
LAST_REQUESTS = 40
LONG_SHARE = 0.95
"""Of a route's last requests; as many end within the time that is told."""
MOST_ROUTES = 200


@attrs.frozen(kw_only=True)
class RequestDuration:
    """How long one answered request took, in milliseconds.

    Attributes:
        took_ms: From its arrival to its end.
        attempt_ms: From its last attempt's begin to its end.
    """

    took_ms: float
    attempt_ms: float


class RouteDurations:
    """The times that the last requests of each route took.

    Streams of one route differ by their length, which no caller knows before
    (its own estimate is right at the median only), and routes differ more.
    """

    def __init__(self) -> None:
        self._last: collections.OrderedDict[
            str, collections.deque[RequestDuration]
        ] = collections.OrderedDict()

    def note(self, route: Route, duration: RequestDuration) -> None:
        """Takes how long an answered request took."""
        last = self._last.setdefault(
            route.name, collections.deque(maxlen=LAST_REQUESTS)
        )
        last.append(duration)
        self._last.move_to_end(route.name)
        while len(self._last) > MOST_ROUTES:
            self._last.popitem(last=False)

    def long_ms(self, route: Route) -> float:
        """Returns the time in which nearly all requests of a route end."""
        last = self._last.get(route.name, ())
        return _long(route, (duration.took_ms for duration in last))

    def long_attempt_ms(self, route: Route) -> float:
        """Returns the time in which nearly all attempts of a route end."""
        last = self._last.get(route.name, ())
        return _long(route, (duration.attempt_ms for duration in last))


def _long(route: Route, durations_ms: Iterable[float]) -> float:
    ordered = sorted(durations_ms)
    if not ordered:
        return STREAM_MS if route.streaming else WHOLE_MS
    return ordered[int(LONG_SHARE * (len(ordered) - 1) + 0.5)]
