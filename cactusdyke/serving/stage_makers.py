"""What a stage's queue knows of one replica: its calls, memory and pace."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.serving.dialect import MemoryReport
    from cactusdyke.serving.model import BatchSpec

PACE_MEMORY_MS = 5_000.0
AVOID_FIRST_MS = 200.0
AVOID_MOST_MS = 3_000.0
NO_ROOM_PAUSE_MS = 50.0
REPORT_LAG_MS = 400.0
"""Replicas' word of their memory was seen some 200 ms old; twice that."""


@attrs.define(kw_only=True)
class Maker:
    """What is known of one replica of a stage service.

    Attributes:
        calls: Calls under way there.
        busy_until: When its present call should end.
        held: Bytes of results there, by handle.
        promised: Bytes of results that the calls under way will make.
        unknown_bytes: Bytes taken there that are not in `held`, when learned.
        unknown_at: When that was learned.
        unsure_until: Instant before which its memory is being asked for.
        data_centre: Where it stands.
        pace: How many times longer its calls take than they should.
        avoid_until: Instant before which it gets no call.
    """

    calls: int = 0
    busy_until: Instant = 0.0
    held: collections.OrderedDict[str, tuple[float, Instant]] = attrs.field(
        factory=collections.OrderedDict
    )
    held_bytes: float = 0.0
    promised: float = 0.0
    unknown_bytes: float = 0.0
    unknown_at: Instant = 0.0
    unsure_until: Instant = 0.0
    _known: collections.deque[tuple[Instant, float]] = attrs.field(
        factory=collections.deque
    )
    data_centre: str = ""
    pace: float = 1.0
    pace_at: Instant = 0.0
    failures: int = 0
    avoid_until: Instant = 0.0

    def pace_now(self, now: Instant) -> float:
        """Returns how many times longer its calls take; fades towards 1."""
        age = now - self.pace_at
        return 1 + (self.pace - 1) * math.exp(-age / PACE_MEMORY_MS)

    def learn_pace(self, seen: float, now: Instant) -> None:
        """Takes how much longer a call took than it should have."""
        pace = self.pace_now(now)
        self.pace = pace + 0.5 * (seen - pace)
        self.pace_at = now

    def avoid(self, now: Instant) -> None:
        """Keeps calls from it, for longer with each failure in a row."""
        pause = min(AVOID_MOST_MS, AVOID_FIRST_MS * 2**self.failures)
        self.failures += 1
        self.avoid_until = now + pause

    def end_call(self, promised_bytes: float, now: Instant) -> None:
        """Notes that a call has ended, however it did."""
        self.calls = max(0, self.calls - 1)
        self.promised -= promised_bytes
        self.busy_until = now

    def note_known(self, now: Instant) -> None:
        """Keeps what was known to be taken lately, before and after changes."""
        self._known.append((now, self.held_bytes + self.promised))
        while self._known[0][0] < now - REPORT_LAG_MS:
            self._known.popleft()

    def told_free(
        self, spec: BatchSpec, told: MemoryReport, now: Instant
    ) -> float:
        """Takes a replica's own word; returns the share that may be unknown.

        Its word is rounded, and of a few hundred milliseconds ago: results
        freed since would look like others'. Taken for exact it once starved
        the queue. So it only bounds what is believed, by the least and the
        most that was known here in that time.
        """
        self.note_known(now)
        known = [size for _, size in self._known]
        least = spec.result_capacity_bytes - told.max_free_bytes - max(known)
        most = spec.result_capacity_bytes - told.min_free_bytes - min(known)
        believed = self._unknown_now(spec, now)
        self.unknown_bytes = max(0.0, least, min(believed, most))
        self.unknown_at = now
        self.unsure_until = now
        return self.unknown_bytes / max(1.0, spec.result_capacity_bytes)

    def hold(self, handle: str, size: float, until: Instant) -> None:
        """Notes a result that takes its memory until it is freed."""
        self.held[handle] = (size, until)
        self.held_bytes += size

    def free(self, handle: str) -> None:
        """Notes that a result was freed."""
        size, _ = self.held.pop(handle, (0.0, 0.0))
        self.held_bytes -= size

    def room(self, spec: BatchSpec, now: Instant) -> float:
        """Returns how many bytes of results it may still take."""
        self._drop_expired(now)
        unknown = self._unknown_now(spec, now)
        known = self.held_bytes + self.promised
        return spec.result_capacity_bytes - known - unknown

    def learn_full(
        self, spec: BatchSpec, believed_too_much: float, now: Instant
    ) -> None:
        """Takes a replica's word that it has no room left.

        Results that a daemon had made before it died, or that nobody could
        free, take room until they expire. It shows as calls that take their
        whole time and bring nothing. One result that was a little larger than
        told shows alike, but for the others of its call that were made: no
        more is believed taken than the call has shown.

        Args:
            spec: What a replica holds.
            believed_too_much: Bytes of the room believed free as the call
                began that were not.
            now: This instant.
        """
        taken = self._unknown_now(spec, now) + max(0.0, believed_too_much)
        self.unknown_bytes = min(spec.result_capacity_bytes, taken)
        self.unknown_at = now

    def pause(self, now: Instant) -> None:
        """Leaves it alone until some of its results may have gone."""
        self.avoid_until = now + NO_ROOM_PAUSE_MS

    def _unknown_now(self, spec: BatchSpec, now: Instant) -> float:
        age = now - self.unknown_at
        left = max(0.0, 1 - age / max(1.0, spec.result_lifetime_ms))
        return self.unknown_bytes * left

    def _drop_expired(self, now: Instant) -> None:
        while self.held:
            handle, (_, until) = next(iter(self.held.items()))
            if until > now:
                return
            self.free(handle)
