"""The project's only clock: instants and durations in milliseconds."""

from __future__ import annotations

import abc
import time
from typing import TypeAlias

import anyio

Instant: TypeAlias = float
"""A point on one process's clock, in milliseconds; never sent to others."""

MS_PER_SECOND = 1000.0


class Clock(abc.ABC):
    """Tells the time, sleeps and bounds waits, all in milliseconds."""

    @abc.abstractmethod
    def now(self) -> Instant:
        """Returns the current instant on this process's clock."""

    @abc.abstractmethod
    def wall(self) -> int:
        """Returns milliseconds since the epoch, for records read by people."""

    async def sleep(self, duration_ms: float) -> None:
        """Waits for `duration_ms` milliseconds."""
        await anyio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)

    def timeout(self, duration_ms: float) -> anyio.CancelScope:
        """Returns a scope that cancels its block after `duration_ms`."""
        return anyio.move_on_after(max(0.0, duration_ms) / MS_PER_SECOND)


class SystemClock(Clock):
    """The machine's clock, which goes on while the process is frozen.

    CLOCK_BOOTTIME counts time spent suspended. A lease holder that was paused
    therefore finds its lease lapsed when it wakes.
    """

    def now(self) -> Instant:
        """Returns milliseconds since the machine was started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class EventLoopClock(Clock):
    """The event loop's clock: virtual time where the loop's is virtual."""

    def now(self) -> Instant:
        """Returns the event loop's time in milliseconds."""
        return anyio.current_time() * MS_PER_SECOND

    def wall(self) -> int:
        """Returns the event loop's time, so that runs are repeatable."""
        return int(self.now())
