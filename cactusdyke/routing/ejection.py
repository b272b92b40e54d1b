"""Temporarily ejects failing backend servers from their pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 32_000.0
PROBE_TIMEOUT_MS = 10_000.0
HEALTHY_RESET_MS = 60_000.0
MAX_EJECTED_SHARE = 0.5


@attrs.define(kw_only=True)
class _Record:
    """Health record of one backend server.

    Attributes:
        pool: The pool that it is ejected from; empty if it is not ejected.
        failures: Consecutive failures.
        ejections: Ejections since it was last healthy; each doubles the next
            duration, up to `MAX_EJECTION_MS`.
        ejected_until: Instant from which it may be probed.
        probing_until: Instant until which a probe is in progress.
        reinstated_at: Instant at which its last ejection ended.
    """

    pool: str = ""
    failures: int = 0
    ejections: int = 0
    ejected_until: Instant = 0.0
    probing_until: Instant = 0.0
    reinstated_at: Instant = 0.0


class Ejections:
    """Outlier ejection with exponential back-off and half-open probing."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._ejected: dict[str, set[str]] = {}

    def is_ejected(self, server_name: str) -> bool:
        """Returns whether a server is ejected and not due for a probe."""
        record = self._records.get(server_name)
        if record is None or not record.pool:
            return False
        now = self._clock.now()
        return now < record.ejected_until or now < record.probing_until

    def record_choice(self, server_name: str) -> None:
        """Records a choice; for an ejected server, it is the only probe."""
        record = self._records.get(server_name)
        if record is not None and record.pool:
            record.probing_until = self._clock.now() + PROBE_TIMEOUT_MS

    def record_success(self, server_name: str) -> None:
        """Records a success, which ends an ejection."""
        record = self._records.get(server_name)
        if record is None:
            return
        now = self._clock.now()
        record.failures = 0
        if record.pool:
            self._ejected[record.pool].discard(server_name)
            record.pool = ""
            record.probing_until = 0.0
            record.reinstated_at = now
        elif now - record.reinstated_at > HEALTHY_RESET_MS:
            del self._records[server_name]

    def record_failure(
        self, server_name: str, *, pool: str, pool_size: int
    ) -> bool:
        """Records a failure; returns whether it ejects the server."""
        record = self._records.setdefault(server_name, _Record())
        record.failures += 1
        if record.pool:
            # Requests that were in flight at the ejection fail as well; only
            # the failure of a probe extends the ejection.
            if self._clock.now() >= record.ejected_until:
                self._extend_ejection(record)
            return False
        if record.failures < FAILURES_TO_EJECT:
            return False
        ejected = self._ejected.setdefault(pool, set())
        # A fault on this daemon's side makes every server of a pool fail.
        # Ejecting all of them would turn a partial failure into an outage, so
        # at least half of the pool always stays in use.
        if len(ejected) + 1 > pool_size * MAX_EJECTED_SHARE:
            return False
        ejected.add(server_name)
        record.pool = pool
        self._extend_ejection(record)
        return True

    def drop_stale(self) -> None:
        """Drops records of backend servers that are no longer used."""
        oldest = self._clock.now() - HEALTHY_RESET_MS
        for name, record in list(self._records.items()):
            if max(record.ejected_until, record.reinstated_at) < oldest:
                self._ejected.get(record.pool, set()).discard(name)
                del self._records[name]

    def _extend_ejection(self, record: _Record) -> None:
        duration_ms = FIRST_EJECTION_MS * 2**record.ejections
        record.ejected_until = self._clock.now() + duration_ms
        if duration_ms < MAX_EJECTION_MS:
            record.ejections += 1
        record.probing_until = 0.0
