"""Estimates the load of backend servers from delayed reports."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.routing.messages import LoadReport

REPORT_LIFETIME_MS = 10_000.0
MAX_CHANGES_KEPT = 512


@attrs.define(kw_only=True)
class _Entry:
    """Load of one backend server.

    Attributes:
        in_flight: This daemon's requests in flight.
        reported: Requests running and queued in the last report.
        measured_at: Instant at which the last report was measured.
        changes: This daemon's starts (+1) and ends (-1) after that instant.
        updated_at: Instant of the last change or report.
    """

    in_flight: int = 0
    reported: float = 0.0
    measured_at: Instant = -REPORT_LIFETIME_MS
    changes: collections.deque[tuple[Instant, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CHANGES_KEPT)
    )
    updated_at: Instant = 0.0


class LoadTracker:
    """Combines last reports, their age and local requests since then."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_start(self, server_name: str) -> None:
        """Records the start of a request from this daemon."""
        self._record_change(server_name, 1)

    def record_end(self, server_name: str) -> None:
        """Records the end of a request from this daemon."""
        self._record_change(server_name, -1)

    def record_report(
        self, server_name: str, report: LoadReport, received_at: Instant
    ) -> None:
        """Records a load report of a backend server.

        Args:
            server_name: The backend server that the report is about.
            report: The report, with its age when it was sent.
            received_at: Instant on this daemon's clock.
        """
        measured_at = received_at - report.age_ms
        entry = self._entries.setdefault(server_name, _Entry())
        # Reports arrive on several paths, so an older one may arrive later. It
        # would restore an outdated load without the local requests that started
        # or ended between the two, whose changes are dropped already.
        if measured_at < entry.measured_at:
            return
        entry.measured_at = measured_at
        entry.reported = float(report.running + report.waiting)
        entry.updated_at = self._clock.now()
        while entry.changes and entry.changes[0][0] <= measured_at:
            entry.changes.popleft()

    def in_flight(self, server_name: str) -> int:
        """Returns the number of this daemon's requests in flight there."""
        entry = self._entries.get(server_name)
        return entry.in_flight if entry else 0

    def outstanding(self, server_name: str) -> float:
        """Estimates the number of requests running and queued there."""
        entry = self._entries.get(server_name)
        if entry is None:
            return 0.0
        age = self._clock.now() - entry.measured_at
        if age >= REPORT_LIFETIME_MS:
            return float(entry.in_flight)
        since = sum(change for _, change in entry.changes)
        estimate = entry.reported + since
        # The other daemons' share of the report loses weight with its age; the
        # number of local requests in flight is exact.
        others = max(0.0, estimate - entry.in_flight)
        return entry.in_flight + others * (1 - age / REPORT_LIFETIME_MS)

    def drop_idle(self) -> None:
        """Drops expired entries, such as those of removed servers."""
        oldest = self._clock.now() - REPORT_LIFETIME_MS
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.in_flight or entry.updated_at > oldest
        }

    def _record_change(self, server_name: str, delta: int) -> None:
        now = self._clock.now()
        entry = self._entries.setdefault(server_name, _Entry())
        entry.in_flight += delta
        entry.changes.append((now, delta))
        entry.updated_at = now
