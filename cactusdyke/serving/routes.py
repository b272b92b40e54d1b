"""Finds the route of a request and chooses its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from cactusdyke.serving.model import Route


class RouteTable:
    """Looks up routes by host and longest path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path.

        Every prefix ends with a slash, so only the prefixes of the path that
        end at one of its slashes are looked up. The cost does not depend on
        the number of routes.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            route = routes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Chooses the service of a request at random, by the targets' weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, target.weight) for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service
