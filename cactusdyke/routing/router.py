"""Chooses a backend server of a pool."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterator

    from cactusdyke.configuration.model import BackendServer, Pool


class Router(Service):
    """Chooses the less busy of two candidates, by own requests in flight."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def choose(
        self, pool: Pool, *, exclude: Collection[str] = ()
    ) -> BackendServer | None:
        """Returns a backend server that is not excluded, or None."""
        candidates = [
            server
            for server in pool.backend_servers
            if server.name not in exclude
        ]
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._weight)

    @contextlib.contextmanager
    def in_flight(self, server: BackendServer) -> Iterator[None]:
        """Counts an attempt as in flight while the block runs."""
        count = self._in_flight.get(server.name, 0)
        self._in_flight[server.name] = count + 1
        try:
            yield
        finally:
            self._in_flight[server.name] -= 1

    def _weight(self, server: BackendServer) -> float:
        return (self._in_flight.get(server.name, 0) + 1) / server.speed
