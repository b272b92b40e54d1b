"""Expected load of requests on pools, and the pools' concurrency limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from cactusdyke.limits.concurrency import PoolConcurrency
from cactusdyke.pipeline import timings

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Configuration, Pipeline, Pool
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.routing.router import Router

MAX_SAMPLED_SERVERS = 32


@attrs.frozen(kw_only=True)
class Claim:
    """Expected time that one request spends at its pools.

    Attributes:
        work_ms: Expected time at each pool, in milliseconds.
        total_ms: Sum over all pools, in milliseconds.
        late_ms: Sum over all stages of the recent time that all but one in
            twenty requests stay below, in milliseconds.
    """

    work_ms: Mapping[str, float]
    total_ms: float
    late_ms: float

    def share(self, pool: str) -> float:
        """Returns the share of the request's time spent at a pool."""
        return self.work_ms[pool] / self.total_ms


class PoolLimits:
    """The concurrency limits of all pools at this daemon."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        timings: Timings,
        router: Router,
        daemons: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._timings = timings
        self._router = router
        self._daemons = daemons
        self._pools: dict[str, PoolConcurrency] = {}
        self._configured: Mapping[str, Pool] = {}

    def estimate(
        self, configuration: Configuration, pipeline: Pipeline
    ) -> Claim:
        """Returns the expected load of a request to a pipeline."""
        self._configured = configuration.pools
        work: dict[str, float] = {}
        late_ms = 0.0
        for stage in pipeline.stages:
            name = (pipeline.name, stage.name)
            typical = self._timings.quantile(name, timings.P50)
            stage_ms = stage.expected_ms if typical is None else typical
            late = self._timings.quantile(name, timings.P95)
            work[stage.pool] = work.get(stage.pool, 0.0) + max(stage_ms, 0.1)
            late_ms += stage.expected_ms if late is None else late
        return Claim(work_ms=work, total_ms=sum(work.values()), late_ms=late_ms)

    def fits(self, claim: Claim) -> bool:
        """Returns whether a request may start; marks full pools in routing."""
        full = [
            name
            for name in claim.work_ms
            if not self._pool(name).fits(claim.share(name))
        ]
        for name in full:
            self._router.mark_saturated(name)
        return not full

    def acquire(self, claim: Claim) -> None:
        """Adds a request in flight."""
        for name in claim.work_ms:
            self._pool(name).acquire(claim.share(name))

    def release(self, claim: Claim) -> None:
        """Removes a request added by `acquire`."""
        for name in claim.work_ms:
            self._pool(name).release(claim.share(name))

    def limit(self, pool: str) -> float:
        """Returns the maximum number of concurrent requests at a pool."""
        return self._pool(pool).limit

    def used(self, pool: str) -> float:
        """Returns the expected number of requests at a pool."""
        return self._pool(pool).used

    def adjust(self, claim: Claim) -> None:
        """Adjusts the limits of a claim's pools where an adjustment is due."""
        now = self._clock.now()
        for name, work_ms in claim.work_ms.items():
            concurrency = self._pool(name)
            pool = self._configured.get(name)
            if pool is not None and concurrency.is_due(now, work_ms):
                concurrency.resize(
                    slots=self._slots(pool), daemons=self._daemons()
                )
                concurrency.adjust(now, pressure=self._pressure(pool))

    def _pool(self, name: str) -> PoolConcurrency:
        if name not in self._pools:
            pool = self._configured.get(name)
            slots = self._slots(pool) if pool is not None else 0.0
            concurrency = PoolConcurrency(now=self._clock.now())
            concurrency.resize(slots=slots, daemons=self._daemons())
            self._pools[name] = concurrency
        return self._pools[name]

    def _slots(self, pool: Pool) -> float:
        return float(
            sum(
                server.slots
                for server in pool.backend_servers
                if self._router.may_use(server)
            )
        )

    def _pressure(self, pool: Pool) -> float:
        """Returns the requests queued at a pool's backend servers, per slot."""
        servers = [s for s in pool.backend_servers if self._router.may_use(s)]
        if len(servers) > MAX_SAMPLED_SERVERS:
            servers = self._rng.sample(servers, MAX_SAMPLED_SERVERS)
        slots = sum(server.slots for server in servers)
        queued = sum(
            max(0.0, self._router.load.outstanding(s.name) - s.slots)
            for s in servers
        )
        return queued / max(1, slots)
