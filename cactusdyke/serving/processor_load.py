"""Detects whether this process uses most of its share of processor time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock

INTERVAL_MS = 1_000.0
BUSY_SHARE = 0.5
IDLE_SHARE = 0.3
"""Lower than `BUSY_SHARE`, so that a process does not alternate between busy
and idle."""


class ProcessorLoad:
    """Compares the processor time of a process with the cores that it has.

    The share of the last complete interval counts.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        cores: float,
        cpu_time_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._clock = clock
        self._cores = cores
        self._cpu_time_s = cpu_time_s
        self._interval_start = (clock.now(), cpu_time_s())
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether the process is busy; others should get new requests then."""
        started_at, cpu_s_before = self._interval_start
        elapsed_ms = self._clock.now() - started_at
        if elapsed_ms >= INTERVAL_MS:
            cpu_s = self._cpu_time_s()
            self._interval_start = (self._clock.now(), cpu_s)
            cpu_ms = (cpu_s - cpu_s_before) * MS_PER_SECOND
            share = cpu_ms / elapsed_ms / self._cores
            self._busy = share > (IDLE_SHARE if self._busy else BUSY_SHARE)
        return self._busy
