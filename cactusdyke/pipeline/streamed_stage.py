"""Runs the last stage as a stream that is resumed after failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from cactusdyke import events
from cactusdyke.errors import CactusdykeError, Failure, FailureKind
from cactusdyke.pipeline import timings
from cactusdyke.pipeline.attempts import first_token_timing, token_gap_timing
from cactusdyke.pipeline.race import Race
from cactusdyke.pipeline.retries import RETRY_AFTER_MS, final_failure
from cactusdyke.pipeline.stream_attempt import StreamAttempt
from cactusdyke.routing.messages import StreamEnd, TokenBatch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.attempts import Attempts
    from cactusdyke.pipeline.deadline import DeadlineShares
    from cactusdyke.pipeline.race import Runner
    from cactusdyke.pipeline.retries import RetryPolicy
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork

# Limits of the time-out for the next token, absolute and as multiples of the
# longest usual gap between tokens.
MAX_GAP_TIMEOUT_MS = 2_000.0
MIN_GAP_TIMEOUT_MS = 250.0
MAX_GAP_TIMEOUT_FACTOR = 20.0
MIN_GAP_TIMEOUT_FACTOR = 3.0
# Share of the time until the deadline that one gap may take.
GAP_TIMEOUT_SHARE = 0.4


class StreamedStage:
    """Yields each token once and in order, across all attempts."""

    def __init__(
        self,
        *,
        clock: Clock,
        attempts: Attempts,
        retries: RetryPolicy,
        shares: DeadlineShares,
        timings: Timings,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._attempts = attempts
        self._retries = retries
        self._shares = shares
        self._timings = timings
        self._metrics = metrics

    async def run(
        self, work: StageWork
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        """Yields the tokens and the end event.

        Raises:
            CactusdykeError: The stage failed and may not be retried.
        """
        try:
            position = 0
            last: Failure | None = None
            while True:
                opened = await self._open(work, position, last)
                if isinstance(opened, Err):
                    last = opened.err_value
                else:
                    attempt = opened.ok_value
                    usual = self._usual_gap_ms(work)
                    try:
                        while True:
                            began = self._clock.now()
                            gap_ms = self._gap_timeout_ms(work, usual)
                            remaining = work.context.remaining_ms(self._clock)
                            part = await attempt.next_part(
                                until=began + gap_ms, latest=began + remaining
                            )
                            if isinstance(part, Err):
                                last = part.err_value
                                break
                            usual = max(usual, self._clock.now() - began)
                            yield part.ok_value
                            if isinstance(part.ok_value, StreamEnd):
                                return
                            position += len(part.ok_value.tokens)
                    finally:
                        await attempt.close()
                if work.context.remaining_ms(self._clock) <= 0:
                    last = _deadline_failure(work)
                    raise CactusdykeError(final_failure(work, last))
                if not await self._retries.wait_for_retry(work, last):
                    raise CactusdykeError(final_failure(work, last))
                if position:
                    self._log_resumed(work, position, last)
        finally:
            self._retries.release(work)

    async def _open(
        self, work: StageWork, position: int, last: Failure | None
    ) -> Result[StreamAttempt, Failure]:
        """Opens a stream at a token position; hedges until the first token."""
        share = self._shares.check(work, stream_started=position > 0)
        if isinstance(share, Err):
            raise CactusdykeError(final_failure(work, share.err_value))
        server = self._retries.choose(work)
        if isinstance(server, Err):
            raise CactusdykeError(final_failure(work, last or server.err_value))
        timeout_ms = self._shares.attempt_timeout_ms(work, share.ok_value)
        began = self._clock.now()
        until, latest = began + timeout_ms, began + share.ok_value
        primary = self._runner(work, server.ok_value, position, until, latest)
        delay_ms = self._retries.hedge_delay_ms(work, first_token_timing(work))
        if delay_ms is None or delay_ms >= timeout_ms:
            return await primary()

        def backup() -> Runner[StreamAttempt] | None:
            waited = self._clock.now() - began
            other = self._retries.hedge(work, server.ok_value, waited)
            if other is None:
                return None
            return self._runner(work, other, position, until, latest)

        return await Race(
            clock=self._clock,
            primary=primary,
            backup=backup,
            drop=lambda attempt: self._drop(work, attempt),
        ).run(delay_ms)

    def _runner(
        self,
        work: StageWork,
        server: BackendServer,
        position: int,
        until: Instant,
        latest: Instant,
    ) -> Runner[StreamAttempt]:
        fresh = bool(work.attempts) or not work.pool.calls_repeatable
        call = work.next_call(
            server,
            work.context.remaining_ms(self._clock),
            stream=True,
            resume_from=position,
        )

        async def run() -> Result[StreamAttempt, Failure]:
            attempt = StreamAttempt(
                clock=self._clock,
                attempts=self._attempts,
                work=work,
                server=server,
                call=call,
                fresh=fresh,
                may_give_up=lambda: self._retries.reserve(work),
            )
            return await attempt.open(until=until, latest=latest)

        return run

    def _usual_gap_ms(self, work: StageWork) -> float:
        """Returns the recent 99th percentile of gaps between tokens."""
        p99 = self._timings.quantile(token_gap_timing(work), timings.P99)
        return (
            MAX_GAP_TIMEOUT_MS / MAX_GAP_TIMEOUT_FACTOR if p99 is None else p99
        )

    def _gap_timeout_ms(self, work: StageWork, usual_ms: float) -> float:
        """Returns the time-out for the next token, in milliseconds."""
        remaining = work.context.remaining_ms(self._clock)
        if remaining <= 0:
            raise CactusdykeError(final_failure(work, _deadline_failure(work)))
        # A stall must be detected while there is time to resume at another
        # backend server, but near the deadline a gap that was usual so far
        # does not count as a stall.
        shortest = max(MIN_GAP_TIMEOUT_MS, MIN_GAP_TIMEOUT_FACTOR * usual_ms)
        longest = min(
            MAX_GAP_TIMEOUT_MS, max(MAX_GAP_TIMEOUT_FACTOR * usual_ms, shortest)
        )
        share = max(remaining * GAP_TIMEOUT_SHARE, shortest)
        return min(longest, share, remaining)

    async def _drop(self, work: StageWork, attempt: StreamAttempt) -> None:
        self._metrics.dropped_answers.labels(work.pool.name).inc()
        await attempt.close()

    def _log_resumed(
        self, work: StageWork, position: int, last: Failure
    ) -> None:
        events.log(
            events.Event.STREAM_RESUMED,
            request_id=work.context.request_id,
            stage=work.stage.name,
            position=position,
            detail=last.detail,
        )


def _deadline_failure(work: StageWork) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"The deadline passed in the stage {work.stage.name}",
        retry_after_ms=RETRY_AFTER_MS,
    )
