"""Measured slowdown of backend servers, relative to typical durations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

NEWEST_WEIGHT = 0.3
HALF_LIFE_MS = 10_000.0
MAX_SLOWDOWN = 50.0
MIN_SLOWDOWN = 0.2
NOISE_FACTOR = 1.25


@attrs.define(kw_only=True)
class _Average:
    value: float
    at: Instant


class SlowdownTracker:
    """A decaying average of durations, as multiples of the typical one."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._averages: dict[str, _Average] = {}

    def observe(self, server_name: str, ratio: float) -> None:
        """Records one duration, divided by the typical one."""
        ratio = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        now = self._clock.now()
        known = self._averages.get(server_name)
        if known is None:
            known = self._averages[server_name] = _Average(value=1.0, at=now)
        value = self._decayed(known, now)
        known.value = value + NEWEST_WEIGHT * (ratio - value)
        known.at = now

    def slowdown(self, server_name: str) -> float:
        """Returns 1 for the typical speed and more for a slow server.

        A slow server that is not chosen is not measured again. Its slowdown
        therefore decays towards 1, until it is chosen once more.
        """
        known = self._averages.get(server_name)
        if known is None:
            return 1.0
        value = self._decayed(known, self._clock.now())
        # Differences within the noise are ignored; otherwise every daemon
        # would send its requests to the server with the least measured value.
        return 1.0 if 1 / NOISE_FACTOR < value < NOISE_FACTOR else value

    def drop_stale(self) -> None:
        """Drops averages that have decayed to about 1."""
        oldest = self._clock.now() - 10 * HALF_LIFE_MS
        self._averages = {
            name: known
            for name, known in self._averages.items()
            if known.at > oldest
        }

    def _decayed(self, known: _Average, now: Instant) -> float:
        decay: float = 0.5 ** ((now - known.at) / HALF_LIFE_MS)
        return 1.0 + (known.value - 1.0) * decay
