"""What a stage's queue knows of one replica: its calls, memory and pace."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.serving.dialect import MemoryTold
    from cactusdyke.serving.model import BatchSpec

SLOWDOWN_DECAY_MS = 5_000.0
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_000.0
NO_MEMORY_PAUSE_MS = 50.0
REPORT_LAG_MS = 400.0
"""Replicas' word of their memory was seen some 200 ms old; twice that."""


@attrs.define(kw_only=True)
class StageReplica:
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

    running_calls: int = 0
    busy_until: Instant = 0.0
    held_results: collections.OrderedDict[str, tuple[float, Instant]] = (
        attrs.field(factory=collections.OrderedDict)
    )
    held_bytes: float = 0.0
    reserved_bytes: float = 0.0
    unaccounted_bytes: float = 0.0
    unaccounted_at: Instant = 0.0
    report_pending_until: Instant = 0.0
    _usage_history: collections.deque[tuple[Instant, float]] = attrs.field(
        factory=collections.deque
    )
    data_centre: str = ""
    slowdown: float = 1.0
    slowdown_at: Instant = 0.0
    consecutive_failures: int = 0
    paused_until: Instant = 0.0

    def current_slowdown(self, now: Instant) -> float:
        """Returns how many times longer its calls take; fades towards 1."""
        age = now - self.slowdown_at
        return 1 + (self.slowdown - 1) * math.exp(-age / SLOWDOWN_DECAY_MS)

    def record_slowdown(self, measured: float, now: Instant) -> None:
        """Takes how much longer a call took than it should have."""
        pace = self.current_slowdown(now)
        self.slowdown = pace + 0.5 * (measured - pace)
        self.slowdown_at = now

    def back_off(self, now: Instant) -> None:
        """Keeps calls from it, for longer with each failure in a row."""
        pause = min(
            MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self.consecutive_failures
        )
        self.consecutive_failures += 1
        self.paused_until = now + pause

    def end_call(self, reserved_bytes: float, now: Instant) -> None:
        """Notes that a call has ended, however it did."""
        self.running_calls = max(0, self.running_calls - 1)
        self.reserved_bytes -= reserved_bytes
        self.busy_until = now

    def record_usage(self, now: Instant) -> None:
        """Keeps what was known to be taken lately, before and after changes."""
        self._usage_history.append((now, self.held_bytes + self.reserved_bytes))
        while self._usage_history[0][0] < now - REPORT_LAG_MS:
            self._usage_history.popleft()

    def apply_report(
        self, spec: BatchSpec, report: MemoryTold, now: Instant
    ) -> float:
        """Takes a replica's own word; returns the share that may be unknown.

        Its word is rounded, and of a few hundred milliseconds ago: results
        freed since would look like others'. Taken for exact it once starved
        the queue. So it only bounds what is believed, by the least and the
        most that was known here in that time.
        """
        self.record_usage(now)
        known = [size for _, size in self._usage_history]
        least = spec.result_room_bytes - report.at_most - max(known)
        most = spec.result_room_bytes - report.at_least - min(known)
        believed = self._current_unaccounted(spec, now)
        self.unaccounted_bytes = max(0.0, least, min(believed, most))
        self.unaccounted_at = now
        self.report_pending_until = now
        return self.unaccounted_bytes / max(1.0, spec.result_room_bytes)

    def add_result(self, handle: str, size: float, until: Instant) -> None:
        """Notes a result that takes its memory until it is freed."""
        self.held_results[handle] = (size, until)
        self.held_bytes += size

    def remove_result(self, handle: str) -> None:
        """Notes that a result was freed."""
        size, _ = self.held_results.pop(handle, (0.0, 0.0))
        self.held_bytes -= size

    def free_bytes(self, spec: BatchSpec, now: Instant) -> float:
        """Returns how many bytes of results it may still take."""
        self._drop_expired(now)
        unknown = self._current_unaccounted(spec, now)
        known = self.held_bytes + self.reserved_bytes
        return spec.result_room_bytes - known - unknown

    def record_shortage(
        self, spec: BatchSpec, overestimated_bytes: float, now: Instant
    ) -> None:
        """Takes a replica's word that it has no room left.

        Results that a daemon had made before it died, or that nobody could
        free, take room until they expire. It shows as calls that take their
        whole time and bring nothing. One result that was a little larger than
        told shows alike, but for the others of its call that were made: no
        more is believed taken than the call has shown.

        Args:
            spec: What a replica holds.
            overestimated_bytes: Bytes of the room believed free as the call
                began that were not.
            now: This instant.
        """
        taken = self._current_unaccounted(spec, now) + max(
            0.0, overestimated_bytes
        )
        self.unaccounted_bytes = min(spec.result_room_bytes, taken)
        self.unaccounted_at = now

    def pause_for_memory(self, now: Instant) -> None:
        """Leaves it alone until some of its results may have gone."""
        self.paused_until = now + NO_MEMORY_PAUSE_MS

    def _current_unaccounted(self, spec: BatchSpec, now: Instant) -> float:
        age = now - self.unaccounted_at
        left = max(0.0, 1 - age / max(1.0, spec.result_lifetime_ms))
        return self.unaccounted_bytes * left

    def _drop_expired(self, now: Instant) -> None:
        while self.held_results:
            handle, (_, until) = next(iter(self.held_results.items()))
            if until > now:
                return
            self.remove_result(handle)
