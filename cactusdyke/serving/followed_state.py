"""A kind of the store's objects, kept up to date from the store or a peer."""

from __future__ import annotations

import abc
import collections
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.infrastructure.watched_store import Change, StoreObject

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import WatchedStore

MAX_BATCHES = 500
"""Changes kept for daemons that follow this one; older ones list all."""


@attrs.frozen(kw_only=True)
class _Batch:
    """Changes that came together, and the revision that they lead to."""

    revision: int
    changes: tuple[Change, ...]


class FollowedState(abc.ABC):
    """Lists a kind, then follows its changes; keeps all through outages.

    Its revision only grows, whoever told it: the store itself, or another
    daemon that reads the store.
    """

    def __init__(self, *, kind: str, store: WatchedStore, clock: Clock) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._objects: dict[str, StoreObject] = {}
        self._revision = 0
        self._listed = False
        self._confirmed_at: Instant = clock.now()
        self._lost = False
        self._batches: collections.deque[_Batch] = collections.deque()
        self._oldest = 0
        self._on_change: Callable[[], None] = lambda: None

    @property
    def name(self) -> str:
        """Names the state among those that daemons exchange."""
        return self._kind

    @property
    def revision(self) -> int:
        """The store's revision that the state is of, 0 before the first."""
        return self._revision

    @property
    def listed(self) -> bool:
        """Whether all objects are known, and changes are enough from now on."""
        return self._listed

    @property
    def age_ms(self) -> float:
        """How long ago the store last said that nothing newer was there."""
        return self._clock.now() - self._confirmed_at

    def on_change(self, hook: Callable[[], None]) -> None:
        """Calls `hook` after each change."""
        self._on_change = hook

    async def read(self, *, wait_ms: float) -> Result[bool, Failure]:
        """Reads from the store; returns whether anything has changed.

        Args:
            wait_ms: How long the store may wait for a change.
        """
        read = await (self._watch(wait_ms) if self._listed else self._list())
        if isinstance(read, Err) and not self._lost:
            self._lost = True
            events.log(
                events.Event.SERVING_SOURCE_LOST,
                kind=self._kind,
                revision=self._revision,
                detail=read.err_value.detail,
            )
        return read

    def has_changes_since(self, revision: int) -> bool:
        """Whether a daemon that is at a revision lacks something."""
        if revision < self._oldest:
            return True
        return bool(self._batches) and self._batches[-1].revision > revision

    def encode_since(self, revision: int) -> dict[str, Any]:
        """Returns what a daemon lacks that is at a revision."""
        body: dict[str, Any] = {
            "revision": self._revision,
            "age_ms": round(self.age_ms),
        }
        if revision < self._oldest:
            objects = self._objects.values()
            body["objects"] = [[o.name, o.revision, o.spec] for o in objects]
        else:
            body["changes"] = [
                [c.object.name, c.object.revision, c.object.spec, c.deleted]
                for batch in self._batches
                if batch.revision > revision
                for c in batch.changes
            ]
        return body

    def merge(self, body: Mapping[str, Any], *, source: str) -> None:
        """Takes what another daemon knows, unless it is older.

        Raises:
            KeyError, TypeError, ValueError: The value is of no known form.
        """
        revision, age_ms = int(body["revision"]), float(body["age_ms"])
        if revision < self._revision or not revision:
            return
        if "objects" in body:
            if revision > self._revision:
                before = self._revision
                objects = [_from_wire(value) for value in body["objects"]]
                self._replace(objects, revision, source)
                events.log(
                    events.Event.SERVING_PEER_NEWER,
                    state=self._kind,
                    peer=source,
                    before=before,
                    revision=revision,
                    age_ms=round(age_ms),
                )
        else:
            self._apply_changes(
                [
                    Change(object=_from_wire(value), deleted=bool(deleted))
                    for *value, deleted in body["changes"]
                ],
                revision,
            )
        self._confirm(self._clock.now() - age_ms)

    async def _list(self) -> Result[bool, Failure]:
        answer = await self._store.list(self._kind)
        if isinstance(answer, Err):
            return answer
        listing = answer.ok_value
        # Another daemon may have told a newer state meanwhile.
        newer = listing.revision >= self._revision
        if newer:
            self._replace(listing.objects, listing.revision, "store")
        self._listed = True
        self._heard()
        return Ok(newer)

    async def _watch(self, wait_ms: float) -> Result[bool, Failure]:
        answer = await self._store.watch(
            self._kind, revision=self._revision, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return answer
        self._heard()
        if answer.ok_value.lost:
            self._listed = False
            return Ok(False)
        changes = answer.ok_value.changes
        if answer.ok_value.revision >= self._revision:
            self._apply_changes(changes, answer.ok_value.revision)
        return Ok(bool(changes))

    def _heard(self) -> None:
        self._confirm(self._clock.now())
        if self._lost:
            self._lost = False
            events.log(
                events.Event.SERVING_SOURCE_REGAINED,
                kind=self._kind,
                revision=self._revision,
            )

    def _confirm(self, at: Instant) -> None:
        self._confirmed_at = max(self._confirmed_at, at)

    def _replace(
        self, objects: Sequence[StoreObject], revision: int, source: str
    ) -> None:
        self._objects = {entry.name: entry for entry in objects}
        self._revision = self._oldest = revision
        self._batches.clear()
        self._listed = True
        self._apply_objects(source)
        self._on_change()

    def _apply_changes(self, changes: Sequence[Change], revision: int) -> None:
        self._revision = revision
        if not changes:
            return
        if len(self._batches) >= MAX_BATCHES:
            self._oldest = self._batches.popleft().revision
        self._batches.append(_Batch(revision=revision, changes=tuple(changes)))
        for change in changes:
            if change.deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
            self._apply_change(change)
        self._on_change()

    @abc.abstractmethod
    def _apply_objects(self, source: str) -> None:
        """Puts all objects in force."""

    @abc.abstractmethod
    def _apply_change(self, change: Change) -> None:
        """Puts one change in force."""


def _from_wire(value: Sequence[Any]) -> StoreObject:
    name, revision, spec = value
    return StoreObject(name=str(name), revision=int(revision), spec=spec)
