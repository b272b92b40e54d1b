"""Reserves places in a stage service's capacity for callers it refused.

A refused burst whose callers return when the backlog has drained is a second
burst. Each refused request therefore gets a place of its own, paced by the
measured drain rate, and its `Retry-After` is the time of that place.

Handles bursts of a few times the capacity for some seconds. It does no I/O, and
its owner reports the drain rate. If it is lost with its decider, requests that
return are new arrivals.
"""

from __future__ import annotations

import collections
import math

import attrs

from cactusdyke.clock import Clock, Instant

SLOT_MS = 100.0
EARLY_MS = 200.0
"""How long before its time a request is accepted. Callers' clocks and the
delays on the way to the daemon differ by less."""
LATE_MS = 1_500.0
"""How long after its time a request is accepted. It covers a caller that makes
a new connection to another daemon, and the stages before this one."""
MAX_RESERVATIONS = 10_000
MAX_AHEAD_SLOTS = 300
"""No caller waits longer than 30 s, and the search for a place is bounded."""
RESERVED_SHARE = 0.45
"""Share of the drain rate that is reserved; the rest is for new arrivals. At a
load of three quarters and a burst, shares of 0.35 and 0.7 brought a second
burst above 1.3 times the capacity."""


@attrs.frozen(kw_only=True)
class ReturnTime:
    """When a refused request should return.

    Attributes:
        in_ms: Time until then.
        reserved: Whether a place is reserved for it.
    """

    in_ms: float
    reserved: bool


@attrs.define(kw_only=True)
class ReturnCounts:
    """What became of refused requests, since the start.

    Attributes:
        reserved: Reservations that were made.
        returned: Requests that returned at their time.
        expired: Reservations whose request did not return.
        final: Refusals without a place.
    """

    reserved: int = 0
    returned: int = 0
    expired: int = 0
    final: int = 0


@attrs.frozen(kw_only=True)
class _Reservation:
    at: Instant
    slot: int
    pieces: int
    priority: int


@attrs.define(kw_only=True, eq=False)
class _Slot:
    """One slot of the service's capacity.

    Attributes:
        used: Pieces that were ever reserved in it.
        digests: The reservations that begin in it.
        expected: Pieces of those that have not returned, by priority.
    """

    used: float = 0.0
    digests: list[str] = attrs.field(factory=list)
    expected: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )


class ReturnTimes:
    """The reservations of one stage service."""

    def __init__(
        self, *, clock: Clock, max_reservations: int = MAX_RESERVATIONS
    ) -> None:
        self._clock = clock
        self._max_reservations = max_reservations
        self._reservations: dict[str, _Reservation] = {}
        self._slots: dict[int, _Slot] = {}
        self._first_slot = 0
        self._counts = ReturnCounts()

    @property
    def counts(self) -> ReturnCounts:
        """What became of the refused requests."""
        return self._counts

    @property
    def count(self) -> int:
        """Number of requests that have a reservation."""
        return len(self._reservations)

    def reserve(
        self,
        digest: str,
        *,
        pieces: int,
        priority: int,
        pieces_per_ms: float,
        earliest_ms: float,
        latest_ms: float,
    ) -> ReturnTime:
        """Reserves the next free place for a refused request.

        A request that has a place that is not due yet keeps it.

        Args:
            digest: Identifies the request; empty if it is not to have a place.
            pieces: Number of its pieces.
            priority: Its priority; 0 is the highest.
            pieces_per_ms: Measured drain rate of the service.
            earliest_ms: Time until the service has drained what precedes it.
            latest_ms: The longest time that its caller waits before it returns.

        Returns:
            The time of its place; without a place, when there will be capacity.
        """
        self._expire()
        now = self._clock.now()
        held = self._reservations.get(digest)
        if held is not None and now < held.at:
            return ReturnTime(in_ms=held.at - now, reserved=True)
        self._remove(digest)
        capacity = RESERVED_SHARE * pieces_per_ms * SLOT_MS
        first = int((now + earliest_ms) // SLOT_MS)
        number = self._free_slot(first, capacity)
        if number is None:
            self._counts.final += 1
            return ReturnTime(in_ms=MAX_AHEAD_SLOTS * SLOT_MS, reserved=False)
        at = max(now + earliest_ms, self._instant_in(number, capacity))
        full = len(self._reservations) >= self._max_reservations
        if not digest or full or not at - now <= latest_ms:
            self._counts.final += 1
            return ReturnTime(in_ms=at - now, reserved=False)
        self._occupy(number, pieces, capacity)
        slot = self._slots[number]
        slot.digests.append(digest)
        slot.expected[priority] += pieces
        self._counts.reserved += 1
        self._reservations[digest] = _Reservation(
            at=at, slot=number, pieces=pieces, priority=priority
        )
        return ReturnTime(in_ms=at - now, reserved=True)

    def is_due(self, digest: str) -> bool:
        """Returns whether a request has a reservation that is valid now."""
        held = self._reservations.get(digest)
        if held is None:
            return False
        return -EARLY_MS <= self._clock.now() - held.at <= LATE_MS

    def claim(self, digest: str) -> bool:
        """Returns whether a request has a valid reservation, and ends it."""
        if not self._reservations or not self.is_due(digest):
            return False
        self._remove(digest)
        self._counts.returned += 1
        return True

    def expected_pieces(self, within_ms: float, priority: int) -> int:
        """Returns how many reserved pieces will precede a new arrival.

        Args:
            within_ms: Time for which the new arrival would be queued.
            priority: Its priority.
        """
        if not self._reservations:
            return 0
        self._expire()
        until = min(within_ms, MAX_AHEAD_SLOTS * SLOT_MS)
        last = int((self._clock.now() + until) // SLOT_MS)
        return sum(
            pieces
            for number in range(self._first_slot, last + 1)
            if number in self._slots
            for other, pieces in self._slots[number].expected.items()
            if other <= priority
        )

    def _free_slot(self, first: int, capacity: float) -> int | None:
        """Returns the first slot with a place, None if there is none soon."""
        if capacity <= 0 or not math.isfinite(capacity):
            return None
        for number in range(first, first + MAX_AHEAD_SLOTS):
            slot = self._slots.get(number)
            if slot is None or slot.used < capacity:
                return number
        return None

    def _instant_in(self, number: int, capacity: float) -> Instant:
        """Returns the instant in a slot at which its free part begins."""
        slot = self._slots.get(number)
        used = slot.used / capacity if slot else 0.0
        return (number + used) * SLOT_MS

    def _occupy(self, number: int, pieces: float, capacity: float) -> None:
        """Counts pieces in a slot and, beyond its capacity, in later ones."""
        for later in range(number, number + MAX_AHEAD_SLOTS):
            slot = self._slots.setdefault(later, _Slot())
            taken = min(pieces, max(0.0, capacity - slot.used))
            slot.used += taken
            pieces -= taken
            if pieces <= 0:
                return

    def _remove(self, digest: str) -> None:
        held = self._reservations.pop(digest, None)
        if held is not None:
            self._slots[held.slot].expected[held.priority] -= held.pieces

    def _expire(self) -> None:
        """Removes the slots, and their reservations, that are past."""
        oldest = int((self._clock.now() - LATE_MS) // SLOT_MS)
        if oldest <= self._first_slot:
            return
        self._first_slot = oldest
        for number in [n for n in self._slots if n < oldest]:
            for digest in self._slots.pop(number).digests:
                held = self._reservations.get(digest)
                if held is not None and held.slot == number:
                    del self._reservations[digest]
                    self._counts.expired += 1
