"""Decides whether and where a stage is retried or hedged."""

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
    from cactusdyke.pipeline.budgets import AttemptBudgets
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork
    from cactusdyke.routing.router import Router

MAX_ATTEMPTS = 5
INITIAL_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 500.0
RETRY_AFTER_MS = 1_000
# Shorter delays are mostly scheduling jitter of the event loop.
MIN_HEDGE_DELAY_MS = 5.0
# Multiple of the expected time after which a stage without recent
# measurements is hedged.
UNMEASURED_HEDGE_FACTOR = 4.0
# Multiple of the 95th percentile after which a stage is hedged.
HEDGE_DELAY_FACTOR = 1.2
# Slowdown recorded for an attempt that is hedged: multiple of the typical time.
HEDGED_ATTEMPT_SLOWDOWN = 4.0


class RetryPolicy:
    """Rules for the choice of backend servers, retries and hedges."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        router: Router,
        metrics: Metrics,
        timings: Timings,
        budgets: AttemptBudgets,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._router = router
        self._metrics = metrics
        self._timings = timings
        self._budgets = budgets

    def choose(self, work: StageWork) -> Result[BackendServer, Failure]:
        """Returns the backend server for the next attempt.

        If all were tried, one of them is tried again: a stalled connection
        can fail an attempt at a healthy backend server, and a small pool may
        have no other.
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

    def reserve(self, work: StageWork) -> bool:
        """Returns whether a silent attempt may be given up for another one.

        The retry is charged before: what is given up first may turn out to be
        all that the caller could have had.
        """
        if work.retry_reserved:
            return True
        if not work.pool.calls_repeatable or work.attempts >= MAX_ATTEMPTS:
            return False
        remaining = work.context.remaining_ms(self._clock)
        if _longest_backoff_ms(work.attempts) >= remaining:
            return False
        if not any(map(self._router.may_use, work.pool.backend_servers)):
            return False
        budget = self._budgets.retries(work.pool.name)
        work.retry_reserved = budget.spend()
        return work.retry_reserved

    def release(self, work: StageWork) -> None:
        """Returns a retry that was reserved and not made."""
        if work.retry_reserved:
            work.retry_reserved = False
            self._budgets.retries(work.pool.name).give_back()

    async def wait_for_retry(self, work: StageWork, failure: Failure) -> bool:
        """Waits for the backoff; returns False if no retry may be made."""
        repeatable = work.pool.calls_repeatable or failure.ran is Ran.NOT_RUN
        if not repeatable or work.attempts >= MAX_ATTEMPTS:
            return False
        pool = work.pool.name
        # A leaving backend server did no work, so a retry adds no load and does
        # not use the budget.
        free = failure.kind is FailureKind.BACKEND_LEAVING
        reserved, work.retry_reserved = work.retry_reserved, False
        paid = free or reserved or self._budgets.retries(pool).spend()
        if not paid:
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
        """Returns the delay in milliseconds before a hedge, None for no hedge.

        Args:
            work: The stage.
            timing: Key of the times that the delay is derived from.
        """
        if not work.pool.calls_repeatable:
            return None
        if len(work.pool.backend_servers) < 2:
            return None
        late = self._timings.quantile(timing, timings.P95)
        if late is None:
            return UNMEASURED_HEDGE_FACTOR * work.stage.expected_ms
        return max(HEDGE_DELAY_FACTOR * late, MIN_HEDGE_DELAY_MS)

    def hedge(
        self, work: StageWork, late: BackendServer, waited_ms: float
    ) -> BackendServer | None:
        """Returns the backend server for a hedge, None if none may be made."""
        # If the late attempt loses it is cancelled, so its duration is never
        # measured. Without this record the straggler would be chosen and
        # hedged again and again.
        self._router.slowdown.observe(late.name, HEDGED_ATTEMPT_SLOWDOWN)
        weight = work.context.configuration.policy.attainment_weight
        pool = work.pool.name
        budget = self._budgets.hedges(pool)
        # While requests are queued, a hedge takes a slot that a queued request
        # needs, and the attempt that it duplicates keeps running.
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
        return self._rng.uniform(0, _longest_backoff_ms(attempts))


def _longest_backoff_ms(attempts: int) -> float:
    return min(INITIAL_BACKOFF_MS * 2.0 ** (attempts - 1), MAX_BACKOFF_MS)


def final_failure(work: StageWork, failure: Failure) -> Failure:
    """Returns the failure that is sent to the caller of an abandoned stage."""
    final = work.history.apply_to(failure)
    if not work.pool.calls_repeatable and final.ran is not Ran.NOT_RUN:
        final = attrs.evolve(final, kind=FailureKind.OUTCOME_UNKNOWN)
    if final.kind in _ATTEMPT_FAILURE_KINDS:
        final = attrs.evolve(final, kind=FailureKind.BACKEND_FAILED)
    if final.retry_after_ms is None:
        final = attrs.evolve(final, retry_after_ms=RETRY_AFTER_MS)
    return final


# Kinds that describe a single attempt. The caller cannot act on them, so they
# are replaced by BACKEND_FAILED.
_ATTEMPT_FAILURE_KINDS = frozenset(
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
