"""Decides whether and where a stage is tried again, or hedged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.pipeline import timings

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.budgets import Budgets
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork
    from cactusdyke.routing.router import Router

MAX_ATTEMPTS = 5
FIRST_BACKOFF_MS = 20.0
LONGEST_BACKOFF_MS = 500.0
RETRY_AFTER_MS = 1_000
# Hedging before this is mostly noise of the event loop.
LEAST_HEDGE_DELAY_MS = 5.0
# Of a stage that was not measured lately only the expected time is known.
UNMEASURED_FACTOR = 4.0
HEDGE_MARGIN = 1.2
# What a late attempt counts as, in multiples of the usual time.
LATE_RATIO = 4.0


class Retries:
    """The rules for every attempt after the first one."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        router: Router,
        metrics: Metrics,
        timings: Timings,
        budgets: Budgets,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._router = router
        self._metrics = metrics
        self._timings = timings
        self._budgets = budgets

    def choose(self, work: StageWork) -> Result[BackendServer, Failure]:
        """Returns where the next attempt goes.

        Where all were tried, one of them is tried again: a connection that
        went silent fails an attempt at a backend server that is well, and in
        a small pool there may be no other.
        """
        weight = work.context.configuration.policy.attainment_weight
        server = None
        for exclude in (work.tried, work.tried[-1:], ()):
            server = self._router.choose(
                work.pool,
                exclude=exclude,
                prefix=work.prefix,
                attainment_weight=weight,
            )
            if server is not None:
                return Ok(server)
        return Err(_no_server(work))

    async def again(self, work: StageWork, failure: Failure) -> bool:
        """Waits for the next attempt; returns False if none may be made."""
        repeatable = work.pool.calls_repeatable or failure.ran is Ran.NOT_RUN
        if not repeatable or work.attempts >= MAX_ATTEMPTS:
            return False
        pool = work.pool.name
        # A leaving backend server did no work: asking another one adds none.
        free = failure.kind is FailureKind.BACKEND_LEAVING
        if not free and not self._budgets.retries(pool).spend():
            self._metrics.retries.labels(pool, "refused").inc()
            events.log(
                events.Event.RETRY_REFUSED,
                request_id=work.context.request_id,
                stage=work.stage.name,
                pool=pool,
            )
            return False
        backoff = 0.0 if free else self._backoff_ms(work.attempts)
        if backoff >= work.context.remaining_ms(self._clock):
            return False
        await self._clock.sleep(backoff)
        self._metrics.retries.labels(pool, "made").inc()
        return True

    def hedge_delay_ms(
        self, work: StageWork, timing: tuple[str, ...]
    ) -> float | None:
        """Returns after what time to hedge, None for never."""
        if not work.pool.calls_repeatable:
            return None
        if len(work.pool.backend_servers) < 2:
            return None
        late = self._timings.quantile(timing, timings.LATE)
        if late is None:
            return UNMEASURED_FACTOR * work.stage.expected_ms
        return max(HEDGE_MARGIN * late, LEAST_HEDGE_DELAY_MS)

    def hedge(
        self, work: StageWork, late: BackendServer, waited_ms: float
    ) -> BackendServer | None:
        """Returns where a hedge goes, None where none may be made."""
        # The late attempt is cancelled if it loses, so how slow it would have
        # been is never seen. Without a word to the speed book the straggler
        # would be chosen, and hedged, for ever.
        self._router.slowdown.observe(late.name, LATE_RATIO)
        weight = work.context.configuration.policy.attainment_weight
        pool = work.pool.name
        budget = self._budgets.hedges(pool)
        # While requests wait to begin, a hedge takes the slot of one that has
        # no other, and what it was to replace goes on running.
        if budget.balance < 1 or self._router.is_saturated(pool):
            self._metrics.hedges.labels(pool, "refused").inc()
            return None
        server = self._router.choose(
            work.pool,
            exclude=work.tried,
            prefix=work.prefix,
            attainment_weight=weight,
        )
        if server is None or not budget.spend():
            return None
        self._metrics.hedges.labels(pool, "made").inc()
        events.log(
            events.Event.ATTEMPT_HEDGED,
            request_id=work.context.request_id,
            stage=work.stage.name,
            backend_server=late.name,
            waited_ms=waited_ms,
        )
        return server

    def _backoff_ms(self, attempts: int) -> float:
        longest = min(
            FIRST_BACKOFF_MS * 2 ** (attempts - 1), LONGEST_BACKOFF_MS
        )
        return self._rng.uniform(0, longest)


def final(work: StageWork, failure: Failure) -> Failure:
    """Returns what the caller is told once a stage is given up."""
    told = work.history.tell(failure)
    if not work.pool.calls_repeatable and told.ran is not Ran.NOT_RUN:
        told = attrs.evolve(told, kind=FailureKind.OUTCOME_UNKNOWN)
    if told.kind in _INNER_KINDS:
        told = attrs.evolve(told, kind=FailureKind.BACKEND_FAILED)
    if told.retry_after_ms is None:
        told = attrs.evolve(told, retry_after_ms=RETRY_AFTER_MS)
    return told


# Kinds that speak of one attempt; a caller's remedy is another one.
_INNER_KINDS = frozenset(
    {
        FailureKind.NOT_SENT,
        FailureKind.CONNECTION_LOST,
        FailureKind.BROKEN_ANSWER,
        FailureKind.BACKEND_LEAVING,
    }
)


def _no_server(work: StageWork) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"No backend server of the pool {work.pool.name} can be used",
        retry_after_ms=RETRY_AFTER_MS,
    )
