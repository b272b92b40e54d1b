"""Precomputed index of a pool, so that a choice does not scan the pool."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from cactusdyke.routing.prefix_hints import HashRing

if TYPE_CHECKING:
    from cactusdyke.configuration.model import BackendServer, Pool

MIN_RING_SERVERS = 16


class PoolIndex:
    """Index of a pool for one daemon, rebuilt when the pool changes."""

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
        """The consistent-hash ring of the servers whose caches are used.

        A few caches in the local data centre hold too few prefixes, and a
        call to another data centre costs less than prefilling a long prompt
        again. The ring therefore covers all data centres if the local one has
        fewer than `MIN_RING_SERVERS` servers.
        """
        too_few = len(self.near) < MIN_RING_SERVERS
        return HashRing(self.pool.backend_servers if too_few else self.near)

    def relative_price(self, server: BackendServer) -> float:
        """Returns the price of a busy second, relative to the pool's mean."""
        if self._mean_price <= 0:
            return 1.0
        return max(server.price_per_second / self._mean_price, 0.01)
