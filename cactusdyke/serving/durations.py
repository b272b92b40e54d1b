"""How long requests of each route take, to know which a stop would cut."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.serving.model import Route

DEFAULT_STREAM_MS = 3_000.0
DEFAULT_ANSWER_MS = 700.0
"""Assumed of a route of which nothing was answered here yet."""
MAX_SAMPLES = 40
QUANTILE = 0.95
"""Of a route's last requests; as many end within the time that is told."""
MAX_ROUTES = 200


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
        self._samples: collections.OrderedDict[
            str, collections.deque[RequestDuration]
        ] = collections.OrderedDict()

    def record(self, route: Route, duration: RequestDuration) -> None:
        """Takes how long an answered request took."""
        last = self._samples.setdefault(
            route.name, collections.deque(maxlen=MAX_SAMPLES)
        )
        last.append(duration)
        self._samples.move_to_end(route.name)
        while len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def quantile_ms(self, route: Route) -> float:
        """Returns the time in which nearly all requests of a route end."""
        last = self._samples.get(route.name, ())
        return _quantile_ms(route, (duration.took_ms for duration in last))

    def quantile_attempt_ms(self, route: Route) -> float:
        """Returns the time in which nearly all attempts of a route end."""
        last = self._samples.get(route.name, ())
        return _quantile_ms(route, (duration.attempt_ms for duration in last))


def _quantile_ms(route: Route, durations_ms: Iterable[float]) -> float:
    ordered = sorted(durations_ms)
    if not ordered:
        return DEFAULT_STREAM_MS if route.streaming else DEFAULT_ANSWER_MS
    return ordered[int(QUANTILE * (len(ordered) - 1) + 0.5)]
