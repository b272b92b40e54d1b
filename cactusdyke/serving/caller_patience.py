"""Estimates how long callers waited before they reached this daemon."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.model import Route

USUAL_SHARE = 0.85
"""The patience of a route's new callers lies between this share of the full_ms
one and the longest one. A caller with less left has tried elsewhere before."""
CALLERS_PER_ROUTE = 60
MAX_ROUTES = 200


class CallerPatience:
    """Distinguishes callers that retry from callers of new requests.

    Both state only how long they will wait from now on. After an outage, or a
    burst with refusals, half of the callers have already waited past their
    objective elsewhere. If they counted as new, they would be served before
    others that can still meet their objective, and all would be late.
    """

    def __init__(self) -> None:
        self._recent_by_route: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()

    def waited_ms(self, route: Route, patience_ms: float) -> float:
        """Estimates how long a caller has been waiting, 0 for a new request.

        Args:
            route: The route of its request.
            patience_ms: How long it states that it still waits.
        """
        recent = self._recent_by_route.setdefault(
            route.name, collections.deque(maxlen=CALLERS_PER_ROUTE)
        )
        recent.append(patience_ms)
        self._recent_by_route.move_to_end(route.name)
        while len(self._recent_by_route) > MAX_ROUTES:
            self._recent_by_route.popitem(last=False)
        full_ms = self._full_patience_ms(route, max(recent))
        if patience_ms >= USUAL_SHARE * full_ms:
            return 0.0
        return (1 + USUAL_SHARE) / 2 * full_ms - patience_ms

    def _full_patience_ms(self, route: Route, longest_seen_ms: float) -> float:
        """Estimates the patience of a route's new callers.

        A daemon that has just started receives more retries than new requests,
        so the longest patience seen may be too short. If that is close to the
        route's time-out, the time-out is used in its place.
        """
        if (
            USUAL_SHARE**2 * route.timeout_ms
            <= longest_seen_ms
            <= route.timeout_ms
        ):
            return route.timeout_ms
        return longest_seen_ms
