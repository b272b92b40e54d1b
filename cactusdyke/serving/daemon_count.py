"""The number of daemons by which a limit that all of them share is divided."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.serving.peers import PeerDaemons

CACHE_MS = 50.0
"""A request asks for the count once for each replica of its service."""


@attrs.define(kw_only=True)
class _Count:
    """A daemon count, and when it was last the estimate."""

    value: int
    until: Instant


class DaemonCount:
    """The daemon count that this daemon divides shared limits by.

    A limit over a time window is shared with the daemons of the whole window:
    what a daemon used stays used after it has left.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        daemons: PeerDaemons,
        window_ms: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._daemons = daemons
        self._window_ms = window_ms
        self._recent: collections.deque[_Count] = collections.deque()
        self._changed_at: Instant = clock.now()
        self._is_known = False
        self._highest = 1
        self._valid_until: Instant = -math.inf

    def highest(self) -> int:
        """Returns the highest count of the last window, at least 1."""
        now = self._clock.now()
        if now >= self._valid_until:
            self._valid_until = now + CACHE_MS
            self._highest = self._update(now)
        return self._highest

    @property
    def unchanged_ms(self) -> float:
        """Time since the estimate last changed, in milliseconds."""
        self.highest()
        return self._clock.now() - self._changed_at

    @property
    def is_known(self) -> bool:
        """Whether the estimate rests on more than the settings."""
        self._is_known = self._is_known or self._daemons.count_known
        return self._is_known

    @property
    def known_for_ms(self) -> float:
        """For how long it has; milliseconds, 0 while it does not."""
        known_at = self._daemons.count_known_at
        return 0.0 if known_at is None else self._clock.now() - known_at

    def _update(self, now: Instant) -> int:
        estimate = max(1, self._daemons.estimated_count())
        if not self._recent or self._recent[-1].value != estimate:
            self._changed_at = now
            if self._recent:
                self._recent[-1].until = now
            self._recent.append(_Count(value=estimate, until=now))
        self._recent[-1].until = now
        while self._recent[0].until < now - self._window_ms():
            self._recent.popleft()
        return max(count.value for count in self._recent)
