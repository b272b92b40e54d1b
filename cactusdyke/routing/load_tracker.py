"""What is known of each backend server's load, although reports lag."""

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
    """One backend server's page.

    Attributes:
        in_flight: This daemon's own requests in flight.
        reported: Requests running and waiting in the last report.
        measured_at: Instant that the last report speaks of.
        changes: Own starts (+1) and ends (-1) after that instant.
        touched_at: Instant of the last change or report.
    """

    in_flight: int = 0
    reported: float = 0.0
    measured_at: Instant = -REPORT_LIFETIME_MS
    changes: collections.deque[tuple[Instant, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CHANGES_KEPT)
    )
    touched_at: Instant = 0.0


class LoadTracker:
    """Combines last reports, their age and own requests since."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_start(self, server_name: str) -> None:
        """Notes that an own request is in flight."""
        self._change(server_name, 1)

    def record_end(self, server_name: str) -> None:
        """Notes that an own request is no longer in flight."""
        self._change(server_name, -1)

    def record_report(
        self, server_name: str, report: LoadReport, received_at: Instant
    ) -> None:
        """Takes in what a backend server said of itself.

        Args:
            server_name: Whose load it is.
            report: What it said, with the report's age when it was sent.
            received_at: Instant on this daemon's clock.
        """
        measured_at = received_at - report.age_ms
        entry = self._entries.setdefault(server_name, _Entry())
        # Reports come by several ways, so an older one may arrive later. It
        # would bring back a load that is over, and own requests counted since
        # the newer one would be missing.
        if measured_at < entry.measured_at:
            return
        entry.measured_at = measured_at
        entry.reported = float(report.running + report.waiting)
        entry.touched_at = self._clock.now()
        while entry.changes and entry.changes[0][0] <= measured_at:
            entry.changes.popleft()

    def in_flight(self, server_name: str) -> int:
        """Returns how many own requests are in flight there."""
        entry = self._entries.get(server_name)
        return entry.in_flight if entry else 0

    def outstanding(self, server_name: str) -> float:
        """Estimates how many requests are running and waiting there."""
        entry = self._entries.get(server_name)
        if entry is None:
            return 0.0
        age = self._clock.now() - entry.measured_at
        if age >= REPORT_LIFETIME_MS:
            return float(entry.in_flight)
        since = sum(change for _, change in entry.changes)
        estimate = entry.reported + since
        # What others had there at the time of the report is less and less
        # true; own requests in flight are known.
        others = max(0.0, estimate - entry.in_flight)
        return entry.in_flight + others * (1 - age / REPORT_LIFETIME_MS)

    def drop_idle(self) -> None:
        """Drops entries that say nothing any more, such as removed servers."""
        oldest = self._clock.now() - REPORT_LIFETIME_MS
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.in_flight or entry.touched_at > oldest
        }

    def _change(self, server_name: str, by: int) -> None:
        now = self._clock.now()
        entry = self._entries.setdefault(server_name, _Entry())
        entry.in_flight += by
        entry.changes.append((now, by))
        entry.touched_at = now
