"""Tracks request durations by route, to predict which a stop would cut."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.serving.model import Route

DEFAULT_STREAM_MS = 3_000.0
DEFAULT_ANSWER_MS = 700.0
"""Defaults for routes without an answered request in this daemon."""
MAX_SAMPLES = 40
QUANTILE = 0.95
"""Share of a route's last requests that end within the returned time."""
MAX_ROUTES = 200


@attrs.frozen(kw_only=True)
class RequestDuration:
    """Durations of one answered request, in milliseconds.

    Attributes:
        took_ms: Time from its arrival to its end.
        attempt_ms: Time from the start of its last attempt to its end.
    """

    took_ms: float
    attempt_ms: float


class RouteDurations:
    """Durations of the last requests of each route.

    Streams of one route differ in length, which callers cannot predict (their
    own estimates are right only at the median), and routes differ even more.
    """

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[
            str, collections.deque[RequestDuration]
        ] = collections.OrderedDict()

    def record(self, route: Route, duration: RequestDuration) -> None:
        """Records the durations of an answered request."""
        samples = self._samples.setdefault(
            route.name, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(duration)
        self._samples.move_to_end(route.name)
        while len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def quantile_ms(self, route: Route) -> float:
        """Returns the time within which nearly all requests of a route end."""
        samples = self._samples.get(route.name, ())
        return _quantile_ms(route, (duration.took_ms for duration in samples))

    def quantile_attempt_ms(self, route: Route) -> float:
        """Returns the time within which nearly all attempts of a route end."""
        samples = self._samples.get(route.name, ())
        return _quantile_ms(
            route, (duration.attempt_ms for duration in samples)
        )


def _quantile_ms(route: Route, durations_ms: Iterable[float]) -> float:
    ordered = sorted(durations_ms)
    if not ordered:
        return DEFAULT_STREAM_MS if route.streaming else DEFAULT_ANSWER_MS
    return ordered[int(QUANTILE * (len(ordered) - 1) + 0.5)]
