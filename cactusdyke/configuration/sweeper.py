"""Deletes what revisions that are no longer kept leave behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import loader, objects
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.history import History
    from cactusdyke.infrastructure.object_store import ObjectStore

KEPT_REVISIONS = 2_000
"""Revisions that can be gone back to; 5 hours' worth at 8,600 a day."""

REVISIONS_PER_WAKE = 2
"""Two for each submission, so that a backlog shrinks."""

DELETE_INTERVAL_MS = 50.0
ORPHANS_PER_LIST = 100


class Sweeper:
    """Forgets the oldest revision once more than KEPT_REVISIONS are kept.

    A reference is born with one revision and dropped by a later one for
    good: going back writes parts anew. So what the oldest kept revision
    names and its successor doesn't is named by no kept revision. Parts of
    attempts that lost the race for it carry another nonce, and are found by
    the prefix that they share with its own.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        object_store: ObjectStore,
        history: History,
        kept_revisions: int = KEPT_REVISIONS,
    ) -> None:
        self._clock = clock
        self._object_store = object_store
        self._source = loader.StoreSource(object_store=object_store)
        self._history = history
        self._kept_revisions = kept_revisions
        self._woken = anyio.Event()

    def wake(self) -> None:
        """Tells that a revision was accepted."""
        self._woken.set()

    async def run(self) -> None:
        """Sweeps after each accepted submission, until cancelled."""
        while True:
            await self._woken.wait()
            self._woken = anyio.Event()
            for _ in range(REVISIONS_PER_WAKE):
                swept = await self.sweep_oldest()
                if isinstance(swept, Err) or not swept.ok_value:
                    break

    async def sweep_oldest(self) -> Result[bool, Failure]:
        """Forgets the oldest revision; returns whether there was one."""
        found = await self._oldest()
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(False)
        return await self._forget(*found.ok_value)

    async def _oldest(
        self,
    ) -> Result[tuple[objects.Head, objects.Head] | None, Failure]:
        """Returns the revision to forget and its successor, if there is one."""
        stored = await self._history.head()
        if isinstance(stored, Err):
            return stored
        newest = stored.ok_value.head
        listed = await self._object_store.list(objects.HISTORY_PREFIX, limit=1)
        if isinstance(listed, Err):
            return listed
        if not listed.ok_value:
            return Ok(None)
        decoded = objects.decode_head(listed.ok_value[0].value)
        if isinstance(decoded, Err):
            return decoded
        oldest = decoded.ok_value
        if oldest.revision > newest.revision - self._kept_revisions:
            return Ok(None)
        successor = await self._history.revision(oldest.revision + 1, newest)
        return successor.map(lambda head: (oldest, head))

    async def _forget(
        self, oldest: objects.Head, successor: objects.Head
    ) -> Result[bool, Failure]:
        dropped = await self._dropped(oldest, successor)
        if isinstance(dropped, Err):
            return dropped
        orphans = await self._orphans(oldest)
        if isinstance(orphans, Err):
            return orphans
        # The history object goes last: a sweep that is cut short is begun
        # again from it, by whichever daemon accepts next.
        for key in (
            *dropped.ok_value,
            *orphans.ok_value,
            objects.submission_key(oldest.submission),
            objects.history_key(oldest.revision),
        ):
            deleted = await self._object_store.delete(key)
            if isinstance(deleted, Err):
                return deleted
            await self._clock.sleep(DELETE_INTERVAL_MS)
        events.log(events.Event.HISTORY_SWEPT, revision=oldest.revision)
        return Ok(True)

    async def _dropped(
        self, oldest: objects.Head, successor: objects.Head
    ) -> Result[list[str], Failure]:
        old, new = set(oldest.manifests), set(successor.manifests)
        # Manifests go after their parts, so one that an earlier sweep, cut
        # short, has deleted already leaves none of its parts behind.
        gone = await self._listed_by(old - new, may_be_missing=True)
        if isinstance(gone, Err):
            return gone
        kept = await self._listed_by(new - old, may_be_missing=False)
        if isinstance(kept, Err):
            return kept
        parts = sorted(gone.ok_value - kept.ok_value)
        manifests = sorted(filter(None, old - new))
        return Ok([objects.part_key(r) for r in (*parts, *manifests)])

    async def _listed_by(
        self, manifests: set[str], *, may_be_missing: bool
    ) -> Result[set[str], Failure]:
        wanted = sorted(filter(None, manifests))
        fetched = await self._source.fetch(wanted)
        if isinstance(fetched, Err):
            return fetched
        if len(fetched.ok_value) < len(wanted) and not may_be_missing:
            return Err(
                Failure(
                    kind=FailureKind.NOT_FOUND,
                    detail="A manifest of a kept revision is missing",
                )
            )
        references: set[str] = set()
        for name, data in fetched.ok_value.items():
            match objects.decode(data, dict[str, str], name=name):
                case Ok(listed):
                    references.update(listed.values())
                case Err(failure):
                    return Err(failure)
        return Ok(references)

    async def _orphans(
        self, winner: objects.Head
    ) -> Result[list[str], Failure]:
        prefix = objects.part_key(f"{winner.revision - 1}-")
        orphans: list[str] = []
        after = ""
        while True:
            listed = await self._object_store.list(
                prefix, after=after, limit=ORPHANS_PER_LIST
            )
            if isinstance(listed, Err):
                return listed
            for stored in listed.ok_value:
                reference = stored.key.removeprefix(objects.PART_PREFIX)
                if objects.nonce_of(reference) != winner.nonce:
                    orphans.append(stored.key)
            if len(listed.ok_value) < ORPHANS_PER_LIST:
                return Ok(orphans)
            after = listed.ok_value[-1].key
