"""Deletes old records at a bounded rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from result import Err

from cactusdyke import events
from cactusdyke.booking.record import (
    RECORD_PREFIX,
    Record,
    RecordState,
    decode,
)
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from cactusdyke.clock import Clock
    from cactusdyke.infrastructure.object_store import ObjectStore

RETENTION_MS = 24 * 3_600_000
"""How long a key is remembered after its record was written."""
UNRESOLVED_RETENTION_MS = 7 * RETENTION_MS
"""The same for calls whose outcome nobody knows."""
PAGE = 20
"""Records read at once; each may hold a megabyte."""
READ_INTERVAL_MS = 1_000.0
DELETE_INTERVAL_MS = 50.0
IDLE_INTERVAL_MS = 60_000.0


class Sweeper(Service):
    """Goes round the records, on one daemon.

    Every daemon works out by rendezvous hash whose turn it is. Where they
    see different members, two may sweep for a while: deletes name the
    version they read, so that this costs calls and breaks nothing.
    """

    def __init__(
        self,
        *,
        daemon: str,
        clock: Clock,
        object_store: ObjectStore,
        members: Callable[[], Collection[str]],
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._object_store = object_store
        self._members = members
        self._after = ""

    async def run(self) -> None:
        """Reads one page after the other, round and round."""
        while True:
            if not self._is_chosen():
                await self._clock.sleep(IDLE_INTERVAL_MS)
                continue
            whole_round = await self._sweep_page()
            await self._clock.sleep(
                IDLE_INTERVAL_MS if whole_round else READ_INTERVAL_MS
            )

    def _is_chosen(self) -> bool:
        return chosen(self._members()) == self._daemon

    async def _sweep_page(self) -> bool:
        """Deletes what is old in one page; returns if it was the last."""
        listed = await self._object_store.list(
            RECORD_PREFIX, after=self._after, limit=PAGE
        )
        if isinstance(listed, Err):
            return True
        page = listed.ok_value
        deleted = 0
        for stored in page:
            self._after = stored.key
            found = decode(stored)
            if isinstance(found, Err) or not self._is_old(
                found.ok_value.record
            ):
                continue
            await self._object_store.delete(
                stored.key, if_version=stored.version
            )
            deleted += 1
            await self._clock.sleep(DELETE_INTERVAL_MS)
        if deleted:
            events.log(events.Event.BOOKINGS_DELETED, count=deleted)
        if len(page) < PAGE:
            self._after = ""
            return True
        return False

    def _is_old(self, record: Record) -> bool:
        resolved = record.state in {RecordState.DONE, RecordState.NOT_RUN}
        kept_ms = RETENTION_MS if resolved else UNRESOLVED_RETENTION_MS
        return self._clock.wall() - record.created_at > kept_ms


def chosen(names: Collection[str]) -> str | None:
    """Returns which of the daemons sweeps."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"sweeper/{name}".encode()),
        default=None,
    )
