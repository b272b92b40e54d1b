"""Tracks the calls, memory and speed of a stage service's replicas."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.serving.dialect import MemoryReport
    from cactusdyke.serving.model import BatchSpec

SLOWDOWN_DECAY_MS = 5_000.0
"""Time constant with which a measured slowdown decays to none."""
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_000.0
NO_MEMORY_PAUSE_MS = 50.0
REPORT_LAG_MS = 400.0
"""Twice the age of about 200 ms that memory reports have."""


@attrs.define(kw_only=True)
class StageReplica:
    """Estimated state of one replica of a stage service.

    Attributes:
        running_calls: Number of calls in progress.
        busy_until: Instant at which its current call should end.
        held_results: Size in bytes and expiry of the results in its memory, by
            handle.
        held_bytes: Total size of these results.
        reserved_bytes: Bytes that the results of the calls in progress need.
        unaccounted_bytes: Bytes in use at `unaccounted_at` that are neither
            held nor reserved, such as results of other daemons.
        unaccounted_at: Instant of that estimate.
        report_pending_until: Instant before which it gets no call, as its
            memory report is awaited.
        data_centre: Its data centre.
        slowdown: Ratio of actual to specified duration of its calls at
            `slowdown_at`.
        slowdown_at: Instant of the last measurement.
        consecutive_failures: Calls that failed since the last success.
        paused_until: Instant before which it gets no call.
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
        """Returns the slowdown, which decays to 1 since its measurement."""
        age = now - self.slowdown_at
        return 1 + (self.slowdown - 1) * math.exp(-age / SLOWDOWN_DECAY_MS)

    def record_slowdown(self, measured: float, now: Instant) -> None:
        """Records the slowdown that was measured over one call."""
        current = self.current_slowdown(now)
        self.slowdown = current + 0.5 * (measured - current)
        self.slowdown_at = now

    def back_off(self, now: Instant) -> None:
        """Pauses calls, for twice as long after each consecutive failure."""
        pause = min(
            MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self.consecutive_failures
        )
        self.consecutive_failures += 1
        self.paused_until = now + pause

    def end_call(self, reserved_bytes: float, now: Instant) -> None:
        """Records that a call has ended, with success or not."""
        self.running_calls = max(0, self.running_calls - 1)
        self.reserved_bytes -= reserved_bytes
        self.busy_until = now

    def record_usage(self, now: Instant) -> None:
        """Adds the memory known to be in use to the recent history."""
        self._usage_history.append((now, self.held_bytes + self.reserved_bytes))
        while self._usage_history[0][0] < now - REPORT_LAG_MS:
            self._usage_history.popleft()

    def apply_report(
        self, spec: BatchSpec, report: MemoryReport, now: Instant
    ) -> float:
        """Applies a memory report; returns the unaccounted share of memory.

        Reports are rounded and a few hundred milliseconds old: results that
        were freed since would count as results of other daemons, which starves
        the queue beside an empty memory. So a report only bounds the current
        estimate, by the least and the most memory known to be in use here
        during that time.
        """
        self.record_usage(now)
        known = [size for _, size in self._usage_history]
        lower = spec.result_capacity_bytes - report.max_free_bytes - max(known)
        upper = spec.result_capacity_bytes - report.min_free_bytes - min(known)
        estimate = self._current_unaccounted(spec, now)
        self.unaccounted_bytes = max(0.0, lower, min(estimate, upper))
        self.unaccounted_at = now
        self.report_pending_until = now
        return self.unaccounted_bytes / max(1.0, spec.result_capacity_bytes)

    def add_result(self, handle: str, size: float, until: Instant) -> None:
        """Records a result that occupies memory until freed or expired."""
        self.held_results[handle] = (size, until)
        self.held_bytes += size

    def remove_result(self, handle: str) -> None:
        """Records that a result was freed or has expired."""
        size, _ = self.held_results.pop(handle, (0.0, 0.0))
        self.held_bytes -= size

    def free_bytes(self, spec: BatchSpec, now: Instant) -> float:
        """Returns the estimated memory left for results, in bytes."""
        self._drop_expired(now)
        unaccounted = self._current_unaccounted(spec, now)
        known = self.held_bytes + self.reserved_bytes
        return spec.result_capacity_bytes - known - unaccounted

    def record_shortage(
        self, spec: BatchSpec, overestimated_bytes: float, now: Instant
    ) -> None:
        """Records that a replica had no memory for a result.

        Results of a daemon that has died, or whose release failed, occupy
        memory until they expire. Calls to the replica then take their full time
        without results. A single result larger than announced looks alike,
        except that other results of its call were stored. So no more memory is
        counted as unaccounted than the call has shown.

        Args:
            spec: Memory and result lifetime of a replica.
            overestimated_bytes: Bytes that were counted as free when the call
                began and were not.
            now: The current instant.
        """
        taken = self._current_unaccounted(spec, now) + max(
            0.0, overestimated_bytes
        )
        self.unaccounted_bytes = min(spec.result_capacity_bytes, taken)
        self.unaccounted_at = now

    def pause_for_memory(self, now: Instant) -> None:
        """Pauses calls until some of its results may have been freed."""
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
