"""How long stages take, as quantiles over the last seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Hashable

    from cactusdyke.clock import Clock, Instant

WINDOW_MS = 30_000.0
REFRESH_MS = 250.0
REFRESH_SAMPLES = 16
ENOUGH_SAMPLES = 20
TICKS_PER_MS = 10
LONGEST_MS = 60_000
SIGNIFICANT_DIGITS = 2
QUICK, TYPICAL, LATE, WORST = 5.0, 50.0, 95.0, 99.0
_QUANTILES = (QUICK, TYPICAL, LATE, WORST)


class _Window:
    """Two histograms in turn, so that old times are forgotten."""

    def __init__(self, now: Instant) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._turned_at = now
        self._refreshed_at = now
        self._unread = 0
        self._values: dict[float, float] = {}

    def record(self, now: Instant, duration_ms: float) -> None:
        self._turn(now)
        ticks = int(duration_ms * TICKS_PER_MS)
        self._current.record_value(
            min(max(ticks, 1), LONGEST_MS * TICKS_PER_MS)
        )
        self._unread += 1

    def quantile(self, now: Instant, percent: float) -> float | None:
        self._turn(now)
        waited = now - self._refreshed_at >= REFRESH_MS
        # Reading a quantile walks the whole histogram, which costs more than
        # the rest of a choice; a value a few requests old is as good.
        if self._unread >= REFRESH_SAMPLES or (self._unread and waited):
            self._refresh(now)
        return self._values.get(percent)

    def _turn(self, now: Instant) -> None:
        if now - self._turned_at < WINDOW_MS:
            return
        if now - self._turned_at >= 2 * WINDOW_MS:
            self._current = _histogram()
        self._previous = self._current
        self._current = _histogram()
        self._turned_at = now
        self._refresh(now)

    def _refresh(self, now: Instant) -> None:
        self._unread = 0
        self._refreshed_at = now
        both = self._current
        if both.get_total_count() < ENOUGH_SAMPLES:
            both = _histogram()
            both.add(self._current)
            both.add(self._previous)
        if both.get_total_count() < ENOUGH_SAMPLES:
            self._values = {}
            return
        found = both.get_percentile_to_value_dict(list(_QUANTILES))
        self._values = {q: found[q] / TICKS_PER_MS for q in _QUANTILES}


class Timings(Service):
    """Quantiles by name, of what was seen in the last half minute or so.

    Times that were measured in an outage would make the daemon refuse
    requests that could be served again, so they are forgotten.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._windows: dict[Hashable, _Window] = {}

    def record(self, name: Hashable, duration_ms: float) -> None:
        """Takes in one duration."""
        now = self._clock.now()
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _Window(now)
        window.record(now, duration_ms)

    def quantile(self, name: Hashable, percent: float) -> float | None:
        """Returns one of the known percentiles, None without enough samples."""
        window = self._windows.get(name)
        if window is None:
            return None
        return window.quantile(self._clock.now(), percent)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS * TICKS_PER_MS, SIGNIFICANT_DIGITS)
