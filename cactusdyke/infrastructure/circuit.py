"""Holds calls back from a service that does not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock, Instant

FAILURES_TO_OPEN = 4
FIRST_OPEN_MS = 250.0
LONGEST_OPEN_MS = 2_000.0
PROBE_LIMIT_MS = 4_000.0


class Circuit:
    """Opens after failures in a row; then lets one call probe at a time.

    The wait between probes doubles up to LONGEST_OPEN_MS and is drawn at
    random below it, so that daemons neither keep calling through an outage
    nor all come back in the instant it ends.
    """

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._open_ms = 0.0
        self._open_until: Instant = 0.0
        self._probe_started: Instant | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are being held back."""
        return self._open_ms > 0

    def retry_after_ms(self) -> int:
        """Returns how long calls are held back for now."""
        return int(max(1.0, self._open_until - self._clock.now()))

    def allow(self) -> bool:
        """Returns whether a call may go out, as a probe if it is open."""
        if not self.is_open:
            return True
        now = self._clock.now()
        if now < self._open_until:
            return False
        # A probe whose task was cancelled never reports back; its time limit
        # keeps the circuit from staying open for good.
        if (
            self._probe_started is not None
            and now - self._probe_started < PROBE_LIMIT_MS
        ):
            return False
        self._probe_started = now
        return True

    def succeeded(self) -> None:
        """Notes that the service answered."""
        self._failures = 0
        self._open_ms = 0.0
        self._probe_started = None

    def failed(self) -> bool:
        """Notes a failure; returns whether it opened the circuit."""
        self._failures += 1
        self._probe_started = None
        if self._failures < FAILURES_TO_OPEN:
            return False
        opened = not self.is_open
        self._open_ms = min(
            LONGEST_OPEN_MS, max(FIRST_OPEN_MS, self._open_ms * 2)
        )
        self._open_until = self._clock.now() + self._rng.uniform(
            self._open_ms / 2, self._open_ms
        )
        return opened
