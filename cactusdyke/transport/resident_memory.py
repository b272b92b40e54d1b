"""Compares the process's memory with what the budget counts."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.transport.memory_budget import MemoryBudget

LOOK_MS = 1_000.0
_STATM = pathlib.Path("/proc/self/statm")
_RESIDENT_FIELD = 1


class ResidentMemory:
    """Looks once a second, and tells the budget what it does not count.

    Memory of many small objects, of libraries and of a fragmented heap is
    missing to requests as well, and the platform ends a process for it.
    """

    def __init__(self, *, clock: Clock, budget: MemoryBudget) -> None:
        self._clock = clock
        self._budget = budget

    async def run(self) -> None:
        """Looks until it is cancelled."""
        while True:
            held = self._budget.held_bytes
            self._budget.set_uncounted(resident_bytes() - held)
            await self._clock.sleep(LOOK_MS)


def resident_bytes() -> int:
    """Returns the process's resident memory, 0 where it is not told."""
    try:
        fields = _STATM.read_text(encoding="ascii").split()
    except OSError:
        return 0
    return int(fields[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
