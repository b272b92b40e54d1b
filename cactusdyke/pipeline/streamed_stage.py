"""Runs the last stage as a stream that survives its backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from cactusdyke import events
from cactusdyke.errors import CactusdykeError, Failure, FailureKind
from cactusdyke.pipeline import timings
from cactusdyke.pipeline.attempts import first_part, gap
from cactusdyke.pipeline.race import Race
from cactusdyke.pipeline.retries import RETRY_AFTER_MS, final
from cactusdyke.pipeline.stream_attempt import StreamAttempt
from cactusdyke.routing.messages import StreamEnd, TokenBatch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.attempts import Attempts
    from cactusdyke.pipeline.deadline import DeadlineShares
    from cactusdyke.pipeline.race import Runner
    from cactusdyke.pipeline.retries import Retries
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork

LONGEST_GAP_MS = 2_000.0
SHORTEST_GAP_MS = 250.0
GAP_FACTOR = 20.0
OWN_GAP_FACTOR = 3.0
GAP_SHARE_OF_REMAINING = 0.4


class StreamedStage:
    """Yields each token once, in order, whichever replica it came from."""

    def __init__(
        self,
        *,
        clock: Clock,
        attempts: Attempts,
        retries: Retries,
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
        """Yields the tokens and the end mark.

        Raises:
            CactusdykeError: The stage was given up.
        """
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
                        part = await attempt.next(self._gap_ms(work, usual))
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
                last = _cut_by_deadline(work)
                raise CactusdykeError(final(work, last))
            if not await self._retries.again(work, last):
                raise CactusdykeError(final(work, last))
            if position:
                self._log_resumed(work, position, last)

    async def _open(
        self, work: StageWork, position: int, last: Failure | None
    ) -> Result[StreamAttempt, Failure]:
        """Opens a stream from a position, hedged up to its first token."""
        share = self._shares.check(work, under_way=position > 0)
        if isinstance(share, Err):
            raise CactusdykeError(final(work, share.err_value))
        server = self._retries.choose(work)
        if isinstance(server, Err):
            raise CactusdykeError(final(work, last or server.err_value))
        timeout_ms = self._shares.attempt_ms(work, share.ok_value)
        primary = self._runner(work, server.ok_value, position, timeout_ms)
        delay_ms = self._retries.hedge_delay_ms(work, first_part(work))
        if delay_ms is None or delay_ms >= timeout_ms:
            return await primary()
        began = self._clock.now()

        def backup() -> Runner[StreamAttempt] | None:
            waited = self._clock.now() - began
            other = self._retries.hedge(work, server.ok_value, waited)
            if other is None:
                return None
            return self._runner(work, other, position, timeout_ms - waited)

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
        timeout_ms: float,
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
            )
            return await attempt.open(timeout_ms)

        return run

    def _usual_gap_ms(self, work: StageWork) -> float:
        """Returns the longest gap between tokens that was usual of late."""
        worst = self._timings.quantile(gap(work), timings.WORST)
        return LONGEST_GAP_MS / GAP_FACTOR if worst is None else worst

    def _gap_ms(self, work: StageWork, usual_ms: float) -> float:
        """Returns how long the next token may take."""
        remaining = work.context.remaining_ms(self._clock)
        if remaining <= 0:
            raise CactusdykeError(final(work, _cut_by_deadline(work)))
        # A stall is noticed while there is time to go on elsewhere, but near
        # the deadline a pace that was good so far is not taken for a stall.
        shortest = max(SHORTEST_GAP_MS, OWN_GAP_FACTOR * usual_ms)
        longest = min(LONGEST_GAP_MS, max(GAP_FACTOR * usual_ms, shortest))
        share = max(remaining * GAP_SHARE_OF_REMAINING, shortest)
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


def _cut_by_deadline(work: StageWork) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"The deadline passed in the stage {work.stage.name}",
        retry_after_ms=RETRY_AFTER_MS,
    )
