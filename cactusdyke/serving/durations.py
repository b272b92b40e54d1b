"""How long requests of each route take, to know which a stop would cut."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.model import Route

STREAM_MS = 3_000.0
WHOLE_MS = 700.0
"""Assumed of a route of which nothing was answered here yet."""
LAST_REQUESTS = 40
LONG_SHARE = 0.95
"""Of a route's last requests; as many end within the time that is told."""
MOST_ROUTES = 200


class RouteDurations:
    """The times that the last requests of each route took.

    Streams of one route differ by their length, which no caller knows before
    (its own estimate is right at the median only), and routes differ more: on
    one deployment 3 s are enough for most answers of two kinds and for one in
    six of the third.
    """

    def __init__(self) -> None:
        self._took: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    def note(self, route: Route, took_ms: float) -> None:
        """Takes how long an answered request took, from its arrival on."""
        took = self._took.setdefault(
            route.name, collections.deque(maxlen=LAST_REQUESTS)
        )
        took.append(took_ms)
        self._took.move_to_end(route.name)
        while len(self._took) > MOST_ROUTES:
            self._took.popitem(last=False)

    def long_ms(self, route: Route) -> float:
        """Returns the time in which nearly all requests of a route end."""
        took = sorted(self._took.get(route.name, ()))
        if not took:
            return STREAM_MS if route.streaming else WHOLE_MS
        return took[int(LONG_SHARE * (len(took) - 1) + 0.5)]
