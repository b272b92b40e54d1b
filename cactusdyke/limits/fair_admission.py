"""Admission by pool concurrency, with a short fair queue."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.limits.admission import Admission, Permit
from cactusdyke.limits.fair_queue import FairQueue, Ticket
from cactusdyke.limits.pool_limits import Claim

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Pipeline
    from cactusdyke.limits.pool_limits import PoolLimits
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.request import RequestContext

REVIEW_INTERVAL_MS = 100.0
SHED_INTERVAL_MS = 50.0
MAX_WAITING = 1_000
# Maximum share of a request's slack that it may spend in the queue. Using all
# of the slack would make requests end just at their deadline, where any
# further delay makes them miss it.
MAX_WAIT_SHARE = 0.75
NEW_WAITER_SHARE = 0.5
"""Share of its slack that a new request at the end may be expected to wait."""
MIN_RETRY_MS = 100.0
MAX_RETRY_MS = 10_000.0
RETRY_SPREAD = 0.5
SHED_EVENT_INTERVAL_MS = 1_000.0


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    """A queued request.

    Attributes:
        target: Name of the requested pipeline or service.
        claim: Expected load of the request.
        latest_start: Instant after which the request would be late.
        accepted: Whether an earlier check expected it to start in time.
        decided: Set once the request is admitted or refused.
        refusal: Cause of a refusal, None if the request was admitted.
    """

    target: str
    claim: Claim
    latest_start: Instant
    accepted: bool = False
    decided: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Failure | None = None
    admitted: bool = False


class FairAdmission(Admission):
    """Admits by priority and fair share; refuses what would be late."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        pool_limits: PoolLimits,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._pool_limits = pool_limits
        self._metrics = metrics
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._waiting: collections.Counter[str] = collections.Counter()
        self._has_waiters = anyio.Event()
        self._shed_at: Instant = 0.0
        self._logged_at: Instant = -SHED_EVENT_INTERVAL_MS

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def used(self, pool: str) -> float:
        """Returns the expected number of requests at a pool."""
        return self._pool_limits.used(pool)

    async def run(self) -> None:
        """Adjusts limits and refuses late requests while any are queued."""
        while True:
            await self._has_waiters.wait()
            await self._clock.sleep(REVIEW_INTERVAL_MS)
            if self._queue:
                self._dispatch()
                self._shed()
            else:
                self._has_waiters = anyio.Event()

    @contextlib.asynccontextmanager
    async def enter(
        self, context: RequestContext, pipeline: Pipeline
    ) -> AsyncIterator[Result[Permit, Failure]]:
        """Waits for a permit and holds it while the block runs."""
        claim = self._pool_limits.estimate(context.configuration, pipeline)
        refusal = await self._wait_for_permit(context, pipeline, claim)
        if refusal is not None:
            self._count_refusal(pipeline, refusal)
            yield Err(refusal)
            return
        try:
            yield Ok(Permit(admitted_at=self._clock.now()))
        finally:
            self._pool_limits.release(claim)
            self._dispatch()

    async def _wait_for_permit(
        self, context: RequestContext, pipeline: Pipeline, claim: Claim
    ) -> Failure | None:
        """Returns None once the request may start, else the refusal."""
        waiter = _Waiter(
            target=pipeline.name,
            claim=claim,
            latest_start=self._latest_start(context, claim),
        )
        ticket = self._queue.add(
            waiter,
            customer=context.customer.name,
            share=context.customer.share,
            cost=max(claim.work_ms.values()),
            priority=context.customer.priority + pipeline.priority,
        )
        self._waiting[pipeline.name] += 1
        self._dispatch()
        self._shed_if_due()
        if self._queue:
            self._has_waiters.set()
        try:
            await self._wait_for_decision(waiter)
        except BaseException:
            # The caller has disconnected; release its permit here, and its
            # queue entry below.
            if waiter.admitted:
                self._pool_limits.release(claim)
                self._dispatch()
            raise
        finally:
            if not waiter.decided.is_set():
                self._drop(ticket)
        return waiter.refusal

    def _latest_start(self, context: RequestContext, claim: Claim) -> Instant:
        now = self._clock.now()
        slack_ms = context.deadline - now - claim.late_ms
        return now + max(0.0, slack_ms) * MAX_WAIT_SHARE

    async def _wait_for_decision(self, waiter: _Waiter) -> None:
        if waiter.decided.is_set():
            return
        remaining = waiter.latest_start - self._clock.now()
        with self._clock.timeout(remaining):
            await waiter.decided.wait()
        if not waiter.decided.is_set():
            waiter.refusal = self._overload_failure(MIN_RETRY_MS)

    def _dispatch(self) -> None:
        """Admits queued requests in order, as their pools' limits permit."""
        blocked_targets: set[str] = set()
        blocked_pools: set[str] = set()
        for ticket in list(self._queue):
            if len(blocked_targets) == len(self._waiting):
                return
            waiter = ticket.item
            if waiter.target in blocked_targets:
                continue
            claim = waiter.claim
            self._pool_limits.adjust(claim)
            # Smaller requests behind a larger one must not keep taking the
            # capacity that it waits for.
            free = blocked_pools.isdisjoint(claim.work_ms)
            if free and self._pool_limits.fits(claim):
                self._admit(ticket)
            else:
                blocked_targets.add(waiter.target)
                blocked_pools.update(claim.work_ms)

    def _admit(self, ticket: Ticket[_Waiter]) -> None:
        self._queue.serve(ticket)
        self._uncount(ticket.item)
        self._pool_limits.acquire(ticket.item.claim)
        ticket.item.admitted = True
        ticket.item.decided.set()

    def _shed_if_due(self) -> None:
        if self._clock.now() - self._shed_at >= SHED_INTERVAL_MS:
            self._shed()
        elif len(self._queue) > MAX_WAITING:
            self._refuse(list(self._queue)[-1], MAX_RETRY_MS)

    def _shed(self) -> None:
        """Refuses queued requests that the requests ahead would make late.

        The queue is ordered by priority and fair share, so that requests of
        low priority and of customers over their share are refused first.
        """
        now = self._clock.now()
        self._shed_at = now
        ahead_ms: dict[str, float] = {}
        tickets = list(self._queue)
        accepted = [i for i, t in enumerate(tickets) if t.item.accepted]
        last_accepted = accepted[-1] if accepted else -1
        for index, ticket in enumerate(tickets):
            waiter = ticket.item
            claim = waiter.claim
            wait_ms = max(
                ahead_ms.get(pool, 0.0) / self._pool_limits.limit(pool)
                for pool in claim.work_ms
            )
            slack_ms = waiter.latest_start - now
            if not waiter.accepted and index > last_accepted:
                # Estimates fluctuate. A new request at the end of the queue
                # needs a reserve of slack, or many would wait only to be
                # refused later. A request that priority or share puts ahead
                # of accepted ones needs none, as it displaces those.
                slack_ms *= NEW_WAITER_SHARE
            if wait_ms > slack_ms:
                self._refuse(ticket, wait_ms - slack_ms)
                continue
            waiter.accepted = True
            for pool, work_ms in claim.work_ms.items():
                ahead_ms[pool] = ahead_ms.get(pool, 0.0) + work_ms

    def _drop(self, ticket: Ticket[_Waiter]) -> None:
        self._queue.drop(ticket)
        self._uncount(ticket.item)

    def _uncount(self, waiter: _Waiter) -> None:
        self._waiting[waiter.target] -= 1
        if not self._waiting[waiter.target]:
            del self._waiting[waiter.target]

    def _refuse(self, ticket: Ticket[_Waiter], late_ms: float) -> None:
        self._drop(ticket)
        ticket.item.refusal = self._overload_failure(late_ms)
        ticket.item.decided.set()

    def _overload_failure(self, retry_ms: float) -> Failure:
        # Random jitter keeps requests refused together from returning
        # together.
        jitter = 1.0 + self._rng.random() * RETRY_SPREAD
        clamped_ms = min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS)
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail="Requests queued ahead would delay it past its deadline",
            retry_after_ms=int(clamped_ms * jitter),
        )

    def _count_refusal(self, pipeline: Pipeline, refusal: Failure) -> None:
        if self._metrics is not None:
            self._metrics.shed.labels(pipeline.name).inc()
        now = self._clock.now()
        if now - self._logged_at >= SHED_EVENT_INTERVAL_MS:
            self._logged_at = now
            events.log(
                events.Event.OVERLOAD_SHED,
                pipeline=pipeline.name,
                waiting=len(self._queue),
                retry_after_s=(refusal.retry_after_ms or 0) / MS_PER_SECOND,
            )
