"""Runs a stage whose answer is not streamed, with retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from cactusdyke.pipeline.race import Race
from cactusdyke.pipeline.retries import final_failure
from cactusdyke.transport.network import ProgressLimit

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.errors import Failure
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.attempts import Attempts
    from cactusdyke.pipeline.deadline import DeadlineShares
    from cactusdyke.pipeline.race import Runner
    from cactusdyke.pipeline.retries import RetryPolicy
    from cactusdyke.pipeline.work import StageWork
    from cactusdyke.routing.messages import StageAnswer


class WholeStage:
    """Returns the first complete answer within the stage's share of time."""

    def __init__(
        self,
        *,
        clock: Clock,
        attempts: Attempts,
        retries: RetryPolicy,
        shares: DeadlineShares,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._attempts = attempts
        self._retries = retries
        self._shares = shares
        self._metrics = metrics

    async def run(self, work: StageWork) -> Result[StageAnswer, Failure]:
        """Returns the stage's answer, or the failure for the caller."""
        try:
            return await self._run(work)
        finally:
            self._retries.release(work)

    async def _run(self, work: StageWork) -> Result[StageAnswer, Failure]:
        last: Err[Failure] | None = None
        while True:
            share = self._shares.check(work)
            if isinstance(share, Err):
                return Err(final_failure(work, share.err_value))
            server = self._retries.choose(work)
            if isinstance(server, Err):
                return Err(final_failure(work, (last or server).err_value))
            answer = await self._attempt(work, server.ok_value, share.ok_value)
            if not isinstance(answer, Err):
                return answer
            last = answer
            if not await self._retries.wait_for_retry(work, answer.err_value):
                return Err(final_failure(work, answer.err_value))

    async def _attempt(
        self, work: StageWork, server: BackendServer, share_ms: float
    ) -> Result[StageAnswer, Failure]:
        timeout_ms = self._shares.attempt_timeout_ms(work, share_ms)
        began = self._clock.now()

        def limit() -> ProgressLimit:
            return ProgressLimit(
                until=began + timeout_ms,
                may_give_up=lambda: self._retries.reserve(work),
                latest=began + share_ms,
            )

        primary = self._runner(work, server, limit())
        delay_ms = self._retries.hedge_delay_ms(work, work.timing_key)
        if delay_ms is None or delay_ms >= timeout_ms:
            return await primary()

        def backup() -> Runner[StageAnswer] | None:
            waited = self._clock.now() - began
            other = self._retries.hedge(work, server, waited)
            if other is None:
                return None
            return self._runner(work, other, limit())

        return await Race(
            clock=self._clock,
            primary=primary,
            backup=backup,
            drop=lambda _: self._drop(work),
        ).run(delay_ms)

    def _runner(
        self, work: StageWork, server: BackendServer, limit: ProgressLimit
    ) -> Runner[StageAnswer]:
        # A retry opens a new connection: the cause that broke one connection,
        # such as a middlebox that dropped its state, has often broken others
        # too. Calls that may not be repeated always use a new connection.
        fresh = bool(work.attempts) or not work.pool.calls_repeatable
        call = work.next_call(server, work.context.remaining_ms(self._clock))

        async def run() -> Result[StageAnswer, Failure]:
            return await self._attempts.run_whole(
                work, server, call, limit=limit, fresh=fresh
            )

        return run

    async def _drop(self, work: StageWork) -> None:
        self._metrics.dropped_answers.labels(work.pool.name).inc()
