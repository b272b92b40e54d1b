"""Shares a request's deadline out over the stages that are left."""

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

LATE_RETRY_AFTER_MS = 1_000
# One attempt may take this many times the slowest usual one.
WORST_FACTOR = 5.0
ATTEMPT_SHARE = 0.5


class DeadlineShares:
    """Says how long a stage and its attempts may take."""

    def __init__(self, *, clock: Clock, timings: Timings) -> None:
        self._clock = clock
        self._timings = timings

    def check(
        self, work: StageWork, *, under_way: bool = False
    ) -> Result[float, Failure]:
        """Returns the time the stage has, in milliseconds.

        A request that can't end in time is refused at once: it would take
        what others need, and its caller would only learn of it later. What is
        held against the deadline is the quickest that the stages were of late,
        so that only hopeless requests are refused. A stream that is `under_way`
        needs less than a whole stage, so only the deadline itself ends it.
        """
        remaining = work.context.remaining_ms(self._clock)
        if remaining <= 0:
            return Err(_late(work, "passed"))
        least = sum(
            self._timings.quantile(
                (work.pipeline.name, stage.name), timings.QUICK
            )
            or 0.0
            for stage in (work.stage, *work.later)
        )
        if remaining < least and not under_way:
            return Err(_late(work, f"is nearer than the {least:.0f} ms needed"))
        return Ok(self._share(work, remaining))

    def attempt_ms(self, work: StageWork, stage_ms: float) -> float:
        """Returns how long one attempt may take, so that a retry has time."""
        if not work.pool.calls_repeatable:
            return stage_ms
        worst = self._timings.quantile(work.timing, timings.WORST)
        usual = work.stage.expected_ms if worst is None else worst
        return min(
            stage_ms, max(WORST_FACTOR * usual, ATTEMPT_SHARE * stage_ms)
        )

    def _share(self, work: StageWork, remaining: float) -> float:
        own = self._usual(work, work.stage)
        rest = sum(self._usual(work, stage) for stage in work.later)
        # Where the usual times fit, slack goes to the stage that needs it.
        # Where they don't, all are cut short in the same proportion.
        return max(remaining - rest, remaining * own / (own + rest))

    def _usual(self, work: StageWork, stage: Stage) -> float:
        measured = self._timings.quantile(
            (work.pipeline.name, stage.name), timings.TYPICAL
        )
        return max(stage.expected_ms if measured is None else measured, 0.1)


def _late(work: StageWork, how: str) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"The deadline {how} before the stage {work.stage.name}",
        retry_after_ms=LATE_RETRY_AFTER_MS,
    )
