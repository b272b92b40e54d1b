"""A token bucket that bounds how often this daemon calls the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant


class CallBudget:
    """Lets calls through at a steady rate, and a burst on top."""

    def __init__(
        self, *, clock: Clock, calls_per_second: float, burst: float
    ) -> None:
        self._clock = clock
        self._per_ms = calls_per_second / MS_PER_SECOND
        self._burst = burst
        self._tokens = burst
        self._counted_at: Instant | None = None

    async def take(self, *, patience_ms: float) -> bool:
        """Waits for a call's turn; returns False if that takes too long."""
        now = self._clock.now()
        if self._counted_at is not None:
            gained = (now - self._counted_at) * self._per_ms
            self._tokens = min(self._burst, self._tokens + gained)
        self._counted_at = now
        wait_ms = max(0.0, (1.0 - self._tokens) / self._per_ms)
        if wait_ms > patience_ms:
            return False
        # Taken before the wait, so that others queue behind this call.
        self._tokens -= 1.0
        if wait_ms > 0:
            await self._clock.sleep(wait_ms)
        return True
