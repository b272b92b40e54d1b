"""The project's only clock: instants and durations in milliseconds."""

from __future__ import annotations

import abc
import functools
import math
import os
import time
from typing import Any, TypeAlias

import anyio
import attrs

Instant: TypeAlias = float
"""A point on one process's clock, in milliseconds; never sent to others."""

MS_PER_SECOND = 1000.0
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
TIME_NAMESPACE_PATH = "/proc/self/ns/time"


@attrs.frozen(kw_only=True)
class MachineTime:
    """A point on a machine's clock, which all its processes share.

    Attributes:
        boot_id: Identifies the machine and its boot; times of different ones
            can't be compared.
        ms: Milliseconds since the boot.
    """

    boot_id: str
    ms: float

    def encode(self) -> list[str | float]:
        """Returns the time as a JSON value."""
        return [self.boot_id, self.ms]

    @classmethod
    def decode(cls, value: Any) -> MachineTime:
        """Returns a time from a JSON value.

        Raises:
            TypeError, ValueError: It can't be read.
        """
        boot_id, ms = value
        if not 0.0 <= float(ms) < math.inf:
            raise ValueError(f"no time: {ms!r:.60}")
        return cls(boot_id=str(boot_id), ms=float(ms))

    def since(self, earlier: MachineTime) -> float | None:
        """Returns the milliseconds since an earlier time, None if unknown."""
        if self.boot_id != earlier.boot_id or self.ms < earlier.ms:
            return None
        return self.ms - earlier.ms


class Clock(abc.ABC):
    """Tells the time, sleeps and bounds waits, all in milliseconds."""

    @abc.abstractmethod
    def now(self) -> Instant:
        """Returns the current instant on this process's clock."""

    @abc.abstractmethod
    def wall(self) -> int:
        """Returns milliseconds since the epoch, for records read by people."""

    def machine_time(self) -> MachineTime | None:
        """Returns the time on the machine's clock, None if there is none."""
        return None

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

    def machine_time(self) -> MachineTime | None:
        """Returns the time on the machine's clock, None if there is none."""
        boot_id = _boot_id()
        if boot_id is None:
            return None
        return MachineTime(boot_id=boot_id, ms=self.now())


@functools.cache
def _boot_id() -> str | None:
    """Returns what identifies the clock that CLOCK_BOOTTIME reads.

    A container may have a time namespace, in which the clock is shifted.
    """
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            boot_id = file.read().strip()
        return f"{boot_id}/{os.readlink(TIME_NAMESPACE_PATH)}"
    except (OSError, ValueError):
        return None


class EventLoopClock(Clock):
    """The event loop's clock: virtual time where the loop's is virtual."""

    def now(self) -> Instant:
        """Returns the event loop's time in milliseconds."""
        return anyio.current_time() * MS_PER_SECOND

    def wall(self) -> int:
        """Returns the event loop's time, so that runs are repeatable."""
        return int(self.now())
