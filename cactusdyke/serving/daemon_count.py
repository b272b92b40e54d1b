"""The number of daemons by which a limit that all of them share is divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peers import PeerDaemons


class DaemonCount:
    """The daemon count that this daemon divides shared limits by."""

    def __init__(self, *, clock: Clock, daemons: PeerDaemons) -> None:
        self._clock = clock
        self._daemons = daemons
        self._last = 0
        self._changed_at: Instant = clock.now()

    def current(self) -> int:
        """Returns the count to divide by, at least 1."""
        count = max(1, self._daemons.estimated_count())
        if count != self._last:
            self._last = count
            self._changed_at = self._clock.now()
        return count

    @property
    def age_ms(self) -> float:
        """Time since the count last changed, in milliseconds."""
        self.current()
        return self._clock.now() - self._changed_at
