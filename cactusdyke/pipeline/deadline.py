"""Divides the time until a request's deadline among the remaining stages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.pipeline import timings

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Stage
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork

DEADLINE_RETRY_AFTER_MS = 1_000
# Multiple of the 99th percentile after which an attempt times out.
ATTEMPT_TIMEOUT_FACTOR = 5.0
# An attempt always gets this share of its stage's time.
MIN_ATTEMPT_SHARE = 0.5


class DeadlineShares:
    """Computes how long a stage and its attempts may take."""

    def __init__(self, *, clock: Clock, timings: Timings) -> None:
        self._clock = clock
        self._timings = timings

    def check(
        self, work: StageWork, *, stream_started: bool = False
    ) -> Result[float, Failure]:
        """Returns the stage's share of the remaining time, in milliseconds.

        A request that cannot meet its deadline is refused at once: it would
        use capacity that other requests need, and its caller would get the
        failure only later. The remaining time is compared with the sum of the
        5th percentiles of the remaining stages, so that only infeasible
        requests are refused. A stream that has started (`stream_started`)
        needs less time than a complete stage, so only the passed deadline
        ends it.
        """
        remaining = work.context.remaining_ms(self._clock)
        if remaining <= 0:
            return Err(_deadline_failure(work, "passed"))
        least = sum(
            self._timings.quantile((work.pipeline.name, stage.name), timings.P5)
            or 0.0
            for stage in (work.stage, *work.later)
        )
        if remaining < least and not stream_started:
            return Err(
                _deadline_failure(
                    work, f"is nearer than the {least:.0f} ms needed"
                )
            )
        return Ok(self._stage_share_ms(work, remaining))

    def attempt_timeout_ms(self, work: StageWork, stage_ms: float) -> float:
        """Returns the time-out of one attempt, which leaves time for a retry.

        A pool whose calls may not be repeated gets the whole stage time. The
        result is in milliseconds.
        """
        if not work.pool.calls_repeatable:
            return stage_ms
        p99 = self._timings.quantile(work.timing_key, timings.P99)
        slowest = work.stage.expected_ms if p99 is None else p99
        return min(
            stage_ms,
            max(ATTEMPT_TIMEOUT_FACTOR * slowest, MIN_ATTEMPT_SHARE * stage_ms),
        )

    def _stage_share_ms(self, work: StageWork, remaining: float) -> float:
        own = self._typical_ms(work, work.stage)
        rest = sum(self._typical_ms(work, stage) for stage in work.later)
        # If the typical times fit into the remaining time, this stage gets
        # all the slack. Otherwise every stage is reduced in proportion.
        return max(remaining - rest, remaining * own / (own + rest))

    def _typical_ms(self, work: StageWork, stage: Stage) -> float:
        measured = self._timings.quantile(
            (work.pipeline.name, stage.name), timings.P50
        )
        return max(stage.expected_ms if measured is None else measured, 0.1)


def _deadline_failure(work: StageWork, how: str) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"The deadline {how} before the stage {work.stage.name}",
        retry_after_ms=DEADLINE_RETRY_AFTER_MS,
    )
