"""Log events that may come thousands of times a second."""

from __future__ import annotations

import attrs

from cactusdyke import events
from cactusdyke.clock import Instant

LOG_INTERVAL_MS = 1_000.0


@attrs.define(kw_only=True)
class LogLimit:
    """Logs an event at most once in `LOG_INTERVAL_MS`, with a count."""

    event: events.Event
    logged_at: Instant = -LOG_INTERVAL_MS
    count: int = 0

    def record(self, now: Instant, **fields: object) -> None:
        """Counts one; logs if the last line is long enough ago."""
        self.count += 1
        if now - self.logged_at >= LOG_INTERVAL_MS:
            events.log(self.event, count=self.count, **fields)
            self.logged_at, self.count = now, 0
