"""Measures the time to the first token of a stream and between tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import prometheus_client

    from cactusdyke.clock import Clock
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.observe.quick_histogram import QuickCounts
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.pipeline.work import StageWork

# Every so many batches one gap is recorded for the time-outs and the token
# counter is updated.
SAMPLE_INTERVAL = 16


class TokenMeter:
    """Measures one stream; `flush` must be called at its end."""

    def __init__(
        self,
        *,
        clock: Clock,
        timings: Timings,
        gap_timing: tuple[str, str, str],
        first_token: prometheus_client.Histogram,
        gaps: QuickCounts,
        tokens: prometheus_client.Counter,
        began: float,
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._gap_timing = gap_timing
        self._first_token = first_token
        self._gaps = gaps
        self._tokens = tokens
        self._last = began
        self._batches = 0
        self._uncounted = 0

    def count(self, tokens: int) -> None:
        """Records the arrival of a batch of tokens."""
        now = self._clock.now()
        elapsed_ms = now - self._last
        self._last = now
        self._uncounted += tokens
        self._batches += 1
        if self._batches == 1:
            self._first_token.observe(elapsed_ms / MS_PER_SECOND)
            return
        self._gaps.observe(elapsed_ms / tokens / MS_PER_SECOND)
        if self._batches % SAMPLE_INTERVAL == 0:
            self._timings.record(self._gap_timing, elapsed_ms)
            self.flush()

    def flush(self) -> None:
        """Adds the tokens since the last flush to the counter."""
        self._tokens.inc(self._uncounted)
        self._uncounted = 0


class TokenMeters:
    """Creates the meter of each stream."""

    def __init__(
        self, *, clock: Clock, timings: Timings, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._metrics = metrics

    def start(self, work: StageWork) -> TokenMeter:
        """Returns a meter that measures from the request's arrival."""
        target = work.pipeline.name
        return TokenMeter(
            clock=self._clock,
            timings=self._timings,
            gap_timing=(*work.timing_key, "gap"),
            first_token=self._metrics.first_token_seconds.labels(target),
            gaps=self._metrics.token_gap_seconds.labels(target),
            tokens=self._metrics.tokens.labels(target),
            began=work.context.arrived,
        )
