"""How fast backend servers proved to be against the others of their pool."""

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
class _Slowness:
    value: float
    at: Instant


class SlowdownTracker:
    """A decaying average of times taken, as multiples of what is typical."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._slowness: dict[str, _Slowness] = {}

    def observe(self, server_name: str, ratio: float) -> None:
        """Takes in one time taken, divided by what is typical."""
        ratio = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        now = self._clock.now()
        known = self._slowness.get(server_name)
        if known is None:
            known = self._slowness[server_name] = _Slowness(value=1.0, at=now)
        value = self._decayed(known, now)
        known.value = value + NEWEST_WEIGHT * (ratio - value)
        known.at = now

    def slowdown(self, server_name: str) -> float:
        """Returns 1 for the typical speed and more for a straggler.

        A straggler that nobody chooses is not measured again. Its slowness
        therefore fades, until a request tries it once more.
        """
        known = self._slowness.get(server_name)
        if known is None:
            return 1.0
        value = self._decayed(known, self._clock.now())
        # Within the noise all are alike; otherwise every daemon would send
        # its requests to the one that was quickest by a hair.
        return 1.0 if 1 / NOISE_FACTOR < value < NOISE_FACTOR else value

    def drop_stale(self) -> None:
        """Drops what has faded away."""
        oldest = self._clock.now() - 10 * HALF_LIFE_MS
        self._slowness = {
            name: known
            for name, known in self._slowness.items()
            if known.at > oldest
        }

    def _decayed(self, known: _Slowness, now: Instant) -> float:
        fade: float = 0.5 ** ((now - known.at) / HALF_LIFE_MS)
        return 1.0 + (known.value - 1.0) * fade
