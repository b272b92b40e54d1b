"""Takes failing backend servers out for a while, and lets them back in."""

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
    """How a backend server has been doing.

    Attributes:
        pool: The pool that it was ejected from, or an empty text.
        failures: Failures in a row.
        ejections: How often it was ejected since it was last good for long.
        until: Instant at which it may be probed.
        probing_until: Instant until which a probe is under way.
        returned_at: Instant at which it was let back in.
    """

    pool: str = ""
    failures: int = 0
    ejections: int = 0
    until: Instant = 0.0
    probing_until: Instant = 0.0
    returned_at: Instant = 0.0


class Ejections:
    """Bounded ejection with growing time and half-open probing."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._out: dict[str, set[str]] = {}

    def is_ejected(self, server_name: str) -> bool:
        """Returns whether a backend server may not be chosen now."""
        record = self._records.get(server_name)
        if record is None or not record.pool:
            return False
        now = self._clock.now()
        return now < record.until or now < record.probing_until

    def record_choice(self, server_name: str) -> None:
        """Notes a choice; that of an ejected one is its only probe."""
        record = self._records.get(server_name)
        if record is not None and record.pool:
            record.probing_until = self._clock.now() + PROBE_TIMEOUT_MS

    def record_success(self, server_name: str) -> None:
        """Notes a success, which lets an ejected one back in."""
        record = self._records.get(server_name)
        if record is None:
            return
        now = self._clock.now()
        record.failures = 0
        if record.pool:
            self._out[record.pool].discard(server_name)
            record.pool = ""
            record.probing_until = 0.0
            record.returned_at = now
        elif now - record.returned_at > HEALTHY_RESET_MS:
            del self._records[server_name]

    def record_failure(
        self, server_name: str, *, pool: str, pool_size: int
    ) -> bool:
        """Notes a failure; returns whether it took the server out."""
        record = self._records.setdefault(server_name, _Record())
        record.failures += 1
        if record.pool:
            # Requests that were in flight when it was ejected fail as well;
            # only a probe that fails says something new.
            if self._clock.now() >= record.until:
                self._lengthen(record)
            return False
        if record.failures < FAILURES_TO_EJECT:
            return False
        out = self._out.setdefault(pool, set())
        # A fault on this daemon's side makes every server of a pool fail.
        # Ejecting them all would turn a brown-out into an outage, so at least
        # half of the pool always stays.
        if len(out) + 1 > pool_size * MAX_EJECTED_SHARE:
            return False
        out.add(server_name)
        record.pool = pool
        self._lengthen(record)
        return True

    def drop_stale(self) -> None:
        """Drops records of backend servers that are no longer used."""
        oldest = self._clock.now() - HEALTHY_RESET_MS
        for name, record in list(self._records.items()):
            if max(record.until, record.returned_at) < oldest:
                self._out.get(record.pool, set()).discard(name)
                del self._records[name]

    def _lengthen(self, record: _Record) -> None:
        time_out = FIRST_EJECTION_MS * 2**record.ejections
        record.until = self._clock.now() + time_out
        if time_out < MAX_EJECTION_MS:
            record.ejections += 1
        record.probing_until = 0.0
