"""Measures streams: time to the first token and between tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import prometheus_client

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.model import Pipeline
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.pipeline.request import RequestContext
    from cactusdyke.pipeline.timings import Timings

MS_PER_SECOND = 1_000.0


class TokenMeter:
    """Measures one stream."""

    def __init__(
        self,
        *,
        clock: Clock,
        timings: Timings,
        gap_name: tuple[str, str, str],
        first: prometheus_client.Histogram,
        gap: prometheus_client.Histogram,
        began: Instant,
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._gap_name = gap_name
        self._first = first
        self._gap = gap
        self._last = began
        self._began = True

    def count(self, tokens: int) -> None:
        """Takes in that a batch of tokens has come."""
        now = self._clock.now()
        passed = now - self._last
        self._last = now
        if self._began:
            self._began = False
            self._first.observe(passed / MS_PER_SECOND)
            return
        self._gap.observe(passed / tokens / MS_PER_SECOND)
        self._timings.record(self._gap_name, passed)


class TokenMeters:
    """Makes the meter of each stream."""

    def __init__(
        self, *, clock: Clock, timings: Timings, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._timings = timings
        self._metrics = metrics

    def start(self, context: RequestContext, pipeline: Pipeline) -> TokenMeter:
        """Returns a meter that counts from the request's arrival."""
        return TokenMeter(
            clock=self._clock,
            timings=self._timings,
            gap_name=(pipeline.name, pipeline.stages[-1].name, "gap"),
            first=self._metrics.first_token_seconds.labels(pipeline.name),
            gap=self._metrics.token_gap_seconds.labels(pipeline.name),
            began=context.arrived,
        )
