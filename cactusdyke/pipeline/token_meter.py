"""Measures streams: time to the first token and between tokens."""

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

# Every so many gaps one is kept for the time-outs, and tokens are counted.
SAMPLE_EVERY = 16


class TokenMeter:
    """Measures one stream; `close` hands over what is not yet counted."""

    def __init__(
        self,
        *,
        clock: Clock,
        timings: Timings,
        gap_name: tuple[str, str, str],
        first_token: prometheus_client.Histogram,
        gaps: QuickCounts,
        tokens: prometheus_client.Counter,
        began: float,
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._gap_name = gap_name
        self._first_token = first_token
        self._gaps = gaps
        self._tokens = tokens
        self._last = began
        self._batches = 0
        self._uncounted = 0

    def count(self, tokens: int) -> None:
        """Takes in that a batch of tokens has come."""
        now = self._clock.now()
        passed = now - self._last
        self._last = now
        self._uncounted += tokens
        self._batches += 1
        if self._batches == 1:
            self._first_token.observe(passed / MS_PER_SECOND)
            return
        self._gaps.observe(passed / tokens / MS_PER_SECOND)
        if self._batches % SAMPLE_EVERY == 0:
            self._timings.record(self._gap_name, passed)
            self.close()

    def close(self) -> None:
        """Adds the tokens since the last time to the counter."""
        self._tokens.inc(self._uncounted)
        self._uncounted = 0


class TokenMeters:
    """Makes the meter of each stream."""

    def __init__(
        self, *, clock: Clock, timings: Timings, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._metrics = metrics

    def start(self, work: StageWork) -> TokenMeter:
        """Returns a meter that counts from the request's arrival."""
        target = work.pipeline.name
        return TokenMeter(
            clock=self._clock,
            timings=self._timings,
            gap_name=(*work.timing, "gap"),
            first_token=self._metrics.first_token_seconds.labels(target),
            gaps=self._metrics.token_gap_seconds.labels(target),
            tokens=self._metrics.tokens.labels(target),
            began=work.context.arrived,
        )
