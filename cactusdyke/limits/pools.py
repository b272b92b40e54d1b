"""What a pipeline takes of its pools, and how much of them there is."""

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

SAMPLE = 32


@attrs.frozen(kw_only=True)
class Claim:
    """What one request takes, as far as is known beforehand.

    Attributes:
        work_ms: Time at each pool, in milliseconds.
        total_ms: Time at all of them.
        late_ms: Time at all of them if each stage is as slow as its slowest
            of late, but for one in twenty.
    """

    work_ms: Mapping[str, float]
    total_ms: float
    late_ms: float

    def part(self, pool: str) -> float:
        """Returns the part of its time that the request is at a pool."""
        return self.work_ms[pool] / self.total_ms


class Pools:
    """The concurrency of each pool at this daemon."""

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

    def claim(self, configuration: Configuration, pipeline: Pipeline) -> Claim:
        """Returns what a request of a pipeline takes."""
        self._configured = configuration.pools
        work: dict[str, float] = {}
        late_ms = 0.0
        for stage in pipeline.stages:
            name = (pipeline.name, stage.name)
            typical = self._timings.quantile(name, timings.P50)
            took = stage.expected_ms if typical is None else typical
            late = self._timings.quantile(name, timings.P95)
            work[stage.pool] = work.get(stage.pool, 0.0) + max(took, 0.1)
            late_ms += stage.expected_ms if late is None else late
        return Claim(work_ms=work, total_ms=sum(work.values()), late_ms=late_ms)

    def fits(self, claim: Claim) -> bool:
        """Returns whether a request may start now."""
        short = [
            name
            for name in claim.work_ms
            if not self._pool(name).fits(claim.part(name))
        ]
        for name in short:
            self._router.mark_short(name)
        return not short

    def enter(self, claim: Claim) -> None:
        """Counts a request as under way."""
        for name in claim.work_ms:
            self._pool(name).enter(claim.part(name))

    def leave(self, claim: Claim) -> None:
        """Takes back what `enter` counted."""
        for name in claim.work_ms:
            self._pool(name).leave(claim.part(name))

    def bound(self, pool: str) -> float:
        """Returns how many requests may be at a pool."""
        return self._pool(pool).bound

    def used(self, pool: str) -> float:
        """Returns how many requests are at a pool, as expected."""
        return self._pool(pool).used

    def move(self, claim: Claim) -> None:
        """Moves the bounds of a claim's pools where they are due."""
        now = self._clock.now()
        for name, work_ms in claim.work_ms.items():
            concurrency = self._pool(name)
            pool = self._configured.get(name)
            if pool is not None and concurrency.is_due(now, work_ms):
                concurrency.size(
                    slots=self._slots(pool), daemons=self._daemons()
                )
                concurrency.move(now, pressure=self._pressure(pool))

    def _pool(self, name: str) -> PoolConcurrency:
        if name not in self._pools:
            pool = self._configured.get(name)
            slots = self._slots(pool) if pool is not None else 0.0
            concurrency = PoolConcurrency(now=self._clock.now())
            concurrency.size(slots=slots, daemons=self._daemons())
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
        """Returns what waits at a pool's backend servers, by slot."""
        servers = [s for s in pool.backend_servers if self._router.may_use(s)]
        if len(servers) > SAMPLE:
            servers = self._rng.sample(servers, SAMPLE)
        slots = sum(server.slots for server in servers)
        waiting = sum(
            max(0.0, self._router.load.outstanding(s.name) - s.slots)
            for s in servers
        )
        return waiting / max(1, slots)
