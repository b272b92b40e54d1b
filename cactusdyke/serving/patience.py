"""How long callers have been waiting before they came to this daemon."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.model import Route

USUAL_SHARE = 0.85
"""Callers of one route wait alike: their times were seen between this share of
the longest and the longest. Whoever has less left has been trying before."""
LAST_CALLERS = 60
MOST_ROUTES = 200


class CallerPatience:
    """Tells callers that return from those that come for the first time.

    Both say how long they will wait, and nothing else. After an outage, or a
    burst with refusals, half of those that come have used up their time to an
    answer of full value elsewhere. Taken for new ones they go before others
    that could still be on time, and no one is.
    """

    def __init__(self) -> None:
        self._seen: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    def waited_ms(self, route: Route, patience_ms: float) -> float:
        """Returns about how long a caller has been waiting, 0 for a new one.

        Args:
            route: What it asks for.
            patience_ms: How long it says that it still waits.
        """
        seen = self._seen.setdefault(
            route.name, collections.deque(maxlen=LAST_CALLERS)
        )
        seen.append(patience_ms)
        self._seen.move_to_end(route.name)
        while len(self._seen) > MOST_ROUTES:
            self._seen.popitem(last=False)
        longest = self._longest(route, max(seen))
        if patience_ms >= USUAL_SHARE * longest:
            return 0.0
        return (1 + USUAL_SHARE) / 2 * longest - patience_ms

    def _longest(self, route: Route, seen_ms: float) -> float:
        """Returns how long callers of a route wait at the longest.

        A daemon that has just started meets more returning callers than new
        ones. Callers that wait about as long as the operator lets them be kept
        waiting are taken to wait just as long.
        """
        if USUAL_SHARE**2 * route.timeout_ms <= seen_ms <= route.timeout_ms:
            return route.timeout_ms
        return seen_ms
