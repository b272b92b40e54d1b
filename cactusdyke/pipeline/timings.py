"""Percentiles of recent durations of stages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Hashable

    from cactusdyke.clock import Clock, Instant

WINDOW_MS = 30_000.0
REFRESH_INTERVAL_MS = 250.0
REFRESH_SAMPLES = 16
MIN_SAMPLES = 20
TICKS_PER_MS = 10
MAX_RECORDED_MS = 60_000
SIGNIFICANT_DIGITS = 2
P5, P50, P95, P99 = 5.0, 50.0, 95.0, 99.0
_PERCENTILES = (P5, P50, P95, P99)


class _Window:
    """Two rotating histograms, so that old durations expire."""

    def __init__(self, now: Instant) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._rotated_at = now
        self._refreshed_at = now
        self._new_samples = 0
        self._values: dict[float, float] = {}

    def record(self, now: Instant, duration_ms: float) -> None:
        self._rotate(now)
        ticks = int(duration_ms * TICKS_PER_MS)
        self._current.record_value(
            min(max(ticks, 1), MAX_RECORDED_MS * TICKS_PER_MS)
        )
        self._new_samples += 1

    def quantile(self, now: Instant, percent: float) -> float | None:
        self._rotate(now)
        is_due = now - self._refreshed_at >= REFRESH_INTERVAL_MS
        # Computing percentiles scans the whole histogram, which costs more than
        # the rest of a routing decision, and a value that is a few requests
        # old is accurate enough.
        if self._new_samples >= REFRESH_SAMPLES or (
            self._new_samples and is_due
        ):
            self._refresh(now)
        return self._values.get(percent)

    def _rotate(self, now: Instant) -> None:
        if now - self._rotated_at < WINDOW_MS:
            return
        if now - self._rotated_at >= 2 * WINDOW_MS:
            self._current = _histogram()
        self._previous = self._current
        self._current = _histogram()
        self._rotated_at = now
        self._refresh(now)

    def _refresh(self, now: Instant) -> None:
        self._new_samples = 0
        self._refreshed_at = now
        combined = self._current
        if combined.get_total_count() < MIN_SAMPLES:
            combined = _histogram()
            combined.add(self._current)
            combined.add(self._previous)
        if combined.get_total_count() < MIN_SAMPLES:
            self._values = {}
            return
        found = combined.get_percentile_to_value_dict(list(_PERCENTILES))
        self._values = {q: found[q] / TICKS_PER_MS for q in _PERCENTILES}


class Timings(Service):
    """Percentiles by key, of the durations of about the last 30 seconds.

    Durations that were measured in an outage must expire, as otherwise the
    daemon would refuse requests that can be served again after it.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._windows: dict[Hashable, _Window] = {}

    def record(self, name: Hashable, duration_ms: float) -> None:
        """Records one duration, in milliseconds."""
        now = self._clock.now()
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _Window(now)
        window.record(now, duration_ms)

    def quantile(self, name: Hashable, percent: float) -> float | None:
        """Returns a percentile in milliseconds, None without enough samples.

        Args:
            name: The key that the durations were recorded under.
            percent: One of `P5`, `P50`, `P95` and `P99`.
        """
        window = self._windows.get(name)
        if window is None:
            return None
        return window.quantile(self._clock.now(), percent)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_MS * TICKS_PER_MS, SIGNIFICANT_DIGITS)
