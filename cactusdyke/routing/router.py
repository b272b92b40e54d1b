"""Selects a backend server of a pool."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.kernel import Service
from cactusdyke.routing.ejection import Ejections
from cactusdyke.routing.load_tracker import LoadTracker
from cactusdyke.routing.pool_index import PoolIndex
from cactusdyke.routing.prefix_hints import PrefixHints
from cactusdyke.routing.slowdown import SlowdownTracker

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterator, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.model import BackendServer, Pool

MAX_CANDIDATES = 2
MAX_DRAWS = 8
LEAVING_MS = 30_000.0
SATURATED_MS = 1_000.0
CLEANUP_INTERVAL_MS = 60_000.0
# Servers in the local data centre are preferred up to this occupancy.
MAX_LOCAL_OCCUPANCY = 0.8
# A server that caches the prefix is chosen if its relative time is at most
# this multiple of the best candidate's.
CACHE_LOAD_FACTOR = 2.0
MAX_RING_STEPS = 8
INDEXES_PER_POOL = 2
# The deadline always has some weight: the cheapest server has no value if the
# answer is late.
MIN_ATTAINMENT_WEIGHT = 0.1


class Router(Service):
    """Chooses the better of two random candidates by load, speed and price.

    Servers of the local data centre come first, and servers that cache the
    prefix are preferred.
    """

    def __init__(
        self, *, clock: Clock, rng: random.Random, data_centre: str = ""
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._load = LoadTracker(clock=clock)
        self._slowdown = SlowdownTracker(clock=clock)
        self._hints = PrefixHints(clock=clock)
        self._ejections = Ejections(clock=clock)
        self._leaving: dict[str, Instant] = {}
        self._saturated: dict[str, Instant] = {}
        self._refusals: set[str] = set()
        self._indexes: dict[str, list[PoolIndex]] = {}

    @property
    def load(self) -> LoadTracker:
        """Load of the backend servers."""
        return self._load

    @property
    def hints(self) -> PrefixHints:
        """Servers that likely cache prefixes."""
        return self._hints

    @property
    def slowdown(self) -> SlowdownTracker:
        """Measured slowdown of the backend servers."""
        return self._slowdown

    async def run(self) -> None:
        """Periodically drops the state of removed backend servers."""
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_MS)
            self._load.drop_idle()
            self._slowdown.drop_stale()
            self._ejections.drop_stale()
            now = self._clock.now()
            self._leaving = {
                name: until
                for name, until in self._leaving.items()
                if until > now
            }

    def choose(
        self,
        pool: Pool,
        *,
        exclude: Collection[str] = (),
        prefix: str = "",
        attainment_weight: float = 1.0,
    ) -> BackendServer | None:
        """Returns a usable backend server, or None.

        Args:
            pool: The pool to choose from.
            exclude: Names of servers that were tried already.
            prefix: Key of the prompt prefix; empty if there is none.
            attainment_weight: From 0 (minimise cost) to 1 (minimise time).
        """
        index = self._index(pool)
        weight = max(attainment_weight, MIN_ATTAINMENT_WEIGHT)
        best = self._best_of_drawn(index, index.near, exclude, weight)
        if best is None or not self._is_acceptable(best):
            far = self._best_of_drawn(index, index.far, exclude, weight)
            found = [server for server in (best, far) if server is not None]
            if not found:
                return None
            best = min(found, key=lambda s: self._score(index, s, weight))
        if prefix:
            best = self._prefer_cached(index, prefix, exclude, best)
            self._hints.record_sent(prefix, best.name)
        self._ejections.record_choice(best.name)
        return best

    def mark_leaving(self, server_name: str) -> None:
        """Excludes a leaving backend server from new work for a while."""
        if not self.is_leaving(server_name):
            events.log(
                events.Event.BACKEND_SERVER_LEAVING, backend_server=server_name
            )
        self._leaving[server_name] = self._clock.now() + LEAVING_MS

    def clear_leaving(self, server_name: str) -> None:
        """Reverts `mark_leaving`, as when the host list reports it live."""
        self._leaving.pop(server_name, None)

    def take_refusals(self) -> tuple[str, ...]:
        """Returns the servers that refused as leaving since the last call."""
        refusals = tuple(self._refusals)
        self._refusals.clear()
        return refusals

    def is_leaving(self, server_name: str) -> bool:
        """Returns whether a backend server is known to be leaving."""
        until = self._leaving.get(server_name)
        return until is not None and self._clock.now() < until

    def record_success(self, server: BackendServer) -> None:
        """Records a successful attempt."""
        self._ejections.record_success(server.name)

    def record_failure(
        self, pool: Pool, server: BackendServer, failure: Failure
    ) -> None:
        """Records a failed attempt, which may eject the server."""
        if failure.kind is FailureKind.BACKEND_LEAVING:
            self.mark_leaving(server.name)
            self._refusals.add(server.name)
            return
        refused = failure.kind is FailureKind.BACKEND_FAILED
        if refused and failure.ran is Ran.NOT_RUN:
            # A server that answers that it is full is loaded, not unhealthy.
            return
        size = len(pool.backend_servers)
        if self._ejections.record_failure(
            server.name, pool=pool.name, pool_size=size
        ):
            events.log(
                events.Event.BACKEND_SERVER_EJECTED,
                backend_server=server.name,
                pool=pool.name,
                detail=failure.detail,
            )

    def may_use(self, server: BackendServer) -> bool:
        """Returns whether a backend server is neither ejected nor leaving."""
        return not self._ejections.is_ejected(
            server.name
        ) and not self.is_leaving(server.name)

    def mark_saturated(self, pool_name: str) -> None:
        """Records that requests are queued for a pool before they start."""
        self._saturated[pool_name] = self._clock.now() + SATURATED_MS

    def is_saturated(self, pool_name: str) -> bool:
        """Returns whether requests were recently queued for a pool."""
        return self._clock.now() < self._saturated.get(pool_name, 0.0)

    @contextlib.contextmanager
    def in_flight(self, server: BackendServer) -> Iterator[None]:
        """Counts an attempt as in flight while the block runs."""
        self._load.record_start(server.name)
        try:
            yield
        finally:
            self._load.record_end(server.name)

    def _index(self, pool: Pool) -> PoolIndex:
        known = self._indexes.setdefault(pool.name, [])
        for index in known:
            if index.pool is pool:
                return index
        for index in known:
            # A new revision contains equal pools in new objects. Rebuilding
            # each index would cost more than all choices until the next one.
            if index.pool.backend_servers == pool.backend_servers:
                index.pool = pool
                return index
        known.insert(0, PoolIndex(pool, self._data_centre))
        # Requests keep the revision that they started with, so two are in use.
        del known[INDEXES_PER_POOL:]
        return known[0]

    def _best_of_drawn(
        self,
        index: PoolIndex,
        servers: Sequence[BackendServer],
        exclude: Collection[str],
        weight: float,
    ) -> BackendServer | None:
        drawn = self._draw(servers, exclude)
        if not drawn:
            return None
        return min(drawn, key=lambda s: self._score(index, s, weight))

    def _draw(
        self, servers: Sequence[BackendServer], exclude: Collection[str]
    ) -> list[BackendServer]:
        """Draws candidates; scans the pool only if most are unusable."""
        drawn: dict[str, BackendServer] = {}
        if len(servers) > MAX_DRAWS:
            for _ in range(MAX_DRAWS):
                server = servers[self._rng.randrange(len(servers))]
                if server.name not in exclude and self.may_use(server):
                    drawn[server.name] = server
                if len(drawn) == MAX_CANDIDATES:
                    return list(drawn.values())
        usable = [
            server
            for server in servers
            if server.name not in exclude and self.may_use(server)
        ]
        return self._rng.sample(usable, min(MAX_CANDIDATES, len(usable)))

    def _prefer_cached(
        self,
        index: PoolIndex,
        prefix: str,
        exclude: Collection[str],
        best: BackendServer,
    ) -> BackendServer:
        """Returns a server that likely caches the prefix, if load allows."""
        limit = CACHE_LOAD_FACTOR * self._relative_time(best)
        hinted = [
            index.by_name[name]
            for name in self._hints.likely_servers(prefix)
            if name in index.by_name
        ]
        ring = []
        for step, server in enumerate(index.ring.walk(prefix)):
            if step == MAX_RING_STEPS:
                break
            ring.append(server)
        for server in (*hinted, *ring):
            if server.name in exclude or not self.may_use(server):
                continue
            if (
                self._occupancy(server) < 1
                and self._relative_time(server) <= limit
            ):
                return server
        return best

    def _is_acceptable(self, server: BackendServer) -> bool:
        """Returns whether to skip servers of other data centres."""
        slow = self._slowdown.slowdown(server.name) > 1
        return not slow and self._occupancy(server) < MAX_LOCAL_OCCUPANCY

    def _occupancy(self, server: BackendServer) -> float:
        return self._load.outstanding(server.name) / server.slots

    def _relative_time(self, server: BackendServer) -> float:
        slowdown = self._slowdown.slowdown(server.name) / server.speed
        return slowdown * (1 + self._occupancy(server))

    def _score(
        self, index: PoolIndex, server: BackendServer, weight: float
    ) -> tuple[bool, float]:
        """Returns the sort key of a candidate; lower is better.

        A full server ranks after one with a free slot whatever its price,
        because queueing there may miss the deadline.
        """
        time = self._relative_time(server)
        full = self._occupancy(server) >= 1
        slowdown = self._slowdown.slowdown(server.name) / server.speed
        cost = index.relative_price(server) * slowdown
        score: float = time**weight * cost ** (1 - weight)
        return full, score
