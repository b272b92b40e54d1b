"""Whether this process has little processor time left."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock

SPAN_MS = 1_000.0
BUSY_SHARE = 0.5
CALM_SHARE = 0.3


class ProcessorLoad:
    """The share of its cores that a process used in the last span."""

    def __init__(
        self,
        *,
        clock: Clock,
        cores: float,
        cpu_time_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._clock = clock
        self._cores = cores
        self._used_s = cpu_time_s
        self._from = (clock.now(), cpu_time_s())
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether it uses so much that others should take what comes."""
        began, used_before = self._from
        span_ms = self._clock.now() - began
        if span_ms >= SPAN_MS:
            used_s = self._used_s()
            self._from = (self._clock.now(), used_s)
            used_ms = (used_s - used_before) * MS_PER_SECOND
            share = used_ms / span_ms / self._cores
            self._busy = share > (CALM_SHARE if self._busy else BUSY_SHARE)
        return self._busy
