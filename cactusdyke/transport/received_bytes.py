"""Counts what is held of a connection's requests that are not whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.transport.memory_budget import Held, Kind
from cactusdyke.transport.uploads import SMALL_BYTES, Upload

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.memory_budget import MemoryBudget


class CountedUpload(Upload):
    """A request whose bytes count towards the budget as they are received.

    Up to `SMALL_BYTES` are counted with the connection.
    """

    def __init__(self, *, budget: MemoryBudget, clock: Clock) -> None:
        self._budget = budget
        self._clock = clock
        self._received = Held(budget, Kind.RECEIVED)
        self._listed = False
        self._progressed_at = clock.now()

    @property
    def held_bytes(self) -> int:
        """How many bytes are held for a request that is not whole."""
        return self._received.size

    @property
    def progressed_at(self) -> Instant:
        """When bytes came last."""
        return self._progressed_at

    def _count_received(self, size: int) -> None:
        """Counts that so many bytes are held now."""
        listed = size > SMALL_BYTES
        if listed != self._listed:
            self._listed = listed
            if listed:
                self._budget.uploads.add(self)
            else:
                self._budget.uploads.remove(self)
        elif not listed:
            return
        self._progressed_at = self._clock.now()
        self._received.set(size if listed else 0)
