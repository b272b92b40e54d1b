"""The revision in force: replaced whole, and by a higher one only."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from cactusdyke import events
from cactusdyke.configuration import loader

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration import objects

LOAD_TIMEOUT_MS = 10_000.0
RECENT_SNAPSHOTS = 4


class Revisions:
    """Holds what is in force, and loads what is to replace it."""

    def __init__(self, *, daemon: str, clock: Clock) -> None:
        self._daemon = daemon
        self._clock = clock
        self._snapshot = loader.NOTHING
        self._recent: collections.OrderedDict[int, loader.Snapshot] = (
            collections.OrderedDict()
        )
        self._loading: dict[int, Instant] = {}
        self._changed = anyio.Event()

    @property
    def snapshot(self) -> loader.Snapshot:
        """What is in force."""
        return self._snapshot

    @property
    def number(self) -> int:
        """The revision in force."""
        return self._snapshot.head.revision

    @property
    def recent(self) -> Mapping[int, loader.Snapshot]:
        """The last few revisions that were in force."""
        return self._recent

    def loading_for_ms(self, revision: int) -> float | None:
        """Returns how long ago a load began, None if there is none."""
        began_at = self._loading.get(revision)
        return None if began_at is None else self._clock.now() - began_at

    async def wait_above(self, revision: int, *, wait_ms: float) -> None:
        """Returns once a higher revision is in force, or time is up."""
        with self._clock.timeout(wait_ms):
            while self.number <= revision:
                await self._changed.wait()

    async def take(self, head: objects.Head, source: loader.PartSource) -> bool:
        """Puts a head's revision in force if it is higher and whole.

        Returns whether the revision in force is now at least the head's.
        """
        if head.revision <= self.number:
            return True
        self._loading[head.revision] = self._clock.now()
        with self._clock.timeout(LOAD_TIMEOUT_MS):
            match await loader.load(head, source=source, known=self._snapshot):
                case Ok(snapshot):
                    self._apply(snapshot)
                case Err(failure):
                    events.log(
                        events.Event.CONFIGURATION_REJECTED,
                        daemon=self._daemon,
                        revision=head.revision,
                        detail=failure.message,
                    )
        return head.revision <= self.number

    def _apply(self, snapshot: loader.Snapshot) -> None:
        # Several loads run at once, and a slow one of an older revision may
        # end last (seen as a daemon that reverts). Nothing is awaited between
        # this comparison and the change, so revisions only rise.
        if snapshot.head.revision <= self.number:
            return
        self._snapshot = snapshot
        self._recent[self.number] = snapshot
        while len(self._recent) > RECENT_SNAPSHOTS:
            self._recent.popitem(last=False)
        for revision in [r for r in self._loading if r <= self.number]:
            del self._loading[revision]
        self._changed.set()
        self._changed = anyio.Event()
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            daemon=self._daemon,
            revision=self.number,
        )
