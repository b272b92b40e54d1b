"""A pool laid out for choosing, so that a choice doesn't scan the pool."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from cactusdyke.routing.prefix_hints import HashRing

if TYPE_CHECKING:
    from cactusdyke.configuration.model import BackendServer, Pool

MIN_RING_SERVERS = 16


class PoolIndex:
    """One pool as one daemon sees it; made anew when the pool changes."""

    def __init__(self, pool: Pool, data_centre: str) -> None:
        self.pool = pool
        self.near = tuple(
            server
            for server in pool.backend_servers
            if server.data_centre == data_centre
        )
        self.far = tuple(
            server
            for server in pool.backend_servers
            if server.data_centre != data_centre
        )
        self.by_name = {server.name: server for server in pool.backend_servers}
        prices = [s.price_per_second for s in pool.backend_servers]
        self._mean_price = sum(prices) / len(prices) if prices else 0.0

    @functools.cached_property
    def ring(self) -> HashRing:
        """The consistent-hash ring of those whose caches are worth it.

        Few near caches hold too few prefixes, and another data centre is
        nearer than reading a long prompt again.
        """
        few = len(self.near) < MIN_RING_SERVERS
        return HashRing(self.pool.backend_servers if few else self.near)

    def relative_price(self, server: BackendServer) -> float:
        """Returns the price of a busy second against the pool's mean."""
        if self._mean_price <= 0:
            return 1.0
        return max(server.price_per_second / self._mean_price, 0.01)
