"""A copy of the store's objects of one kind, updated from store or peers."""

from __future__ import annotations

import abc
import collections
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.background import contain_errors
from cactusdyke.infrastructure.watched_store import Change, StoreObject

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import WatchedStore

STORE = "store"
"""The source of what the store itself has answered."""
MAX_CHANGES = 4_000
"""Objects whose last change is kept for followers; a follower behind these
changes gets all objects."""


@attrs.frozen(kw_only=True)
class _LastChange:
    """The last change of an object, and the revision that it led to."""

    revision: int
    change: Change


class FollowedState(abc.ABC):
    """Lists a kind, then applies its changes; keeps its state in outages.

    Its revision never decreases, whether updates come from the store itself or
    from another daemon that reads the store.
    """

    def __init__(self, *, kind: str, store: WatchedStore, clock: Clock) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._objects: dict[str, StoreObject] = {}
        self._revision = 0
        self._listed = False
        self._confirmed_at: Instant = clock.now()
        self._store_lost = False
        self._transit_ms = 0.0
        self._last_changes: collections.OrderedDict[str, _LastChange] = (
            collections.OrderedDict()
        )
        self._last_change_revision = 0
        self._oldest_revision = 0
        self._change_hook: Callable[[], None] = lambda: None

    @property
    def name(self) -> str:
        """The state's name in exchanges between daemons."""
        return self._kind

    @property
    def revision(self) -> int:
        """The store's revision of this state, 0 before the first update."""
        return self._revision

    @property
    def listed(self) -> bool:
        """Whether all objects have been listed, so that changes suffice."""
        return self._listed

    @property
    def age_ms(self) -> float:
        """Time since the store last confirmed this state as current, in ms."""
        return self._clock.now() - self._confirmed_at

    def on_change(self, hook: Callable[[], None]) -> None:
        """Sets the hook that is called after each change."""
        self._change_hook = hook

    async def read(self, *, wait_ms: float) -> Result[bool, Failure]:
        """Reads from the store; returns whether anything has changed.

        Args:
            wait_ms: How long the store may wait for a change.
        """
        read = await (self._watch(wait_ms) if self._listed else self._list())
        if isinstance(read, Err) and not self._store_lost:
            self._store_lost = True
            events.log(
                events.Event.SERVING_SOURCE_LOST,
                kind=self._kind,
                revision=self._revision,
                detail=read.err_value.detail,
            )
        return read

    def has_changes_since(self, revision: int) -> bool:
        """Whether something has changed since a revision."""
        if revision < self._oldest_revision:
            return True
        return self._last_change_revision > revision

    def status(self) -> dict[str, Any]:
        """Returns the revision and the age of this state as JSON values."""
        return {"revision": self._revision, "age_ms": round(self.age_ms)}

    def lacking_since(self, revision: int) -> dict[str, Any]:
        """Returns what has changed since a revision as JSON values.

        All objects are returned if changes since that revision are no longer
        kept. Of an object that has changed more than once the last change
        suffices.
        """
        if revision < self._oldest_revision:
            objects = self._objects.values()
            return {"objects": [[o.name, o.revision, o.spec] for o in objects]}
        newer = itertools.takewhile(
            lambda last: last.revision > revision,
            reversed(self._last_changes.values()),
        )
        changes = [last.change for last in newer]
        return {
            "changes": [
                [c.object.name, c.object.revision, c.object.spec, c.deleted]
                for c in reversed(changes)
            ]
        }

    def encode_since(self, revision: int) -> dict[str, Any]:
        """Returns the status, and what has changed since a revision."""
        return {**self.status(), **self.lacking_since(revision)}

    def merge(
        self,
        body: Mapping[str, Any],
        *,
        source: str,
        transit_ms: float = 0.0,
    ) -> None:
        """Applies another daemon's state unless it is older than this one.

        Args:
            body: The state as `encode_since` returned it.
            source: Name of the daemon that sent it.
            transit_ms: Longest time that the answer may have been on its way.

        Raises:
            KeyError, TypeError, ValueError: The body is malformed.
        """
        revision, age_ms = int(body["revision"]), float(body["age_ms"])
        if revision < self._revision or not revision:
            return
        if "objects" in body:
            if revision > self._revision:
                before = self._revision
                objects = [_decode_object(value) for value in body["objects"]]
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
                    Change(object=_decode_object(value), deleted=bool(deleted))
                    for *value, deleted in body["changes"]
                ],
                revision,
                source,
            )
        self._record_confirmation(self._clock.now() - age_ms - transit_ms)

    async def _list(self) -> Result[bool, Failure]:
        asked_at = self._clock.now()
        answer = await self._store.list(self._kind)
        if isinstance(answer, Err):
            return answer
        listing = answer.ok_value
        # A peer may have sent a newer state in the meantime.
        newer = listing.revision >= self._revision
        if newer:
            self._replace(listing.objects, listing.revision, STORE)
        self._listed = True
        self._on_store_answer(asked_at)
        return Ok(newer)

    async def _watch(self, wait_ms: float) -> Result[bool, Failure]:
        asked_at = self._clock.now()
        answer = await self._store.watch(
            self._kind, revision=self._revision, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.lost:
            self._on_store_answer(asked_at)
            self._listed = False
            return Ok(False)
        changes = answer.ok_value.changes
        now = self._clock.now()
        if not changes:
            # The store has waited for as long as it was asked to.
            self._transit_ms = max(0.0, now - asked_at - wait_ms)
        self._on_store_answer(max(asked_at, now - self._transit_ms))
        if answer.ok_value.revision >= self._revision:
            self._apply_changes(changes, answer.ok_value.revision, STORE)
        return Ok(bool(changes))

    def _on_store_answer(self, confirmed_at: Instant) -> None:
        self._record_confirmation(confirmed_at)
        if self._store_lost:
            self._store_lost = False
            events.log(
                events.Event.SERVING_SOURCE_REGAINED,
                kind=self._kind,
                revision=self._revision,
            )

    def _record_confirmation(self, at: Instant) -> None:
        self._confirmed_at = max(self._confirmed_at, at)

    def _replace(
        self, objects: Sequence[StoreObject], revision: int, source: str
    ) -> None:
        self._objects = {entry.name: entry for entry in objects}
        self._apply_objects(source)
        self._revision = self._oldest_revision = revision
        self._last_changes.clear()
        self._last_change_revision = 0
        self._listed = True
        self._change_hook()

    def _apply_changes(
        self, changes: Sequence[Change], revision: int, source: str
    ) -> None:
        if not changes:
            self._revision = revision
            return
        with self._batch():
            for change in changes:
                if change.deleted:
                    self._objects.pop(change.object.name, None)
                else:
                    self._objects[change.object.name] = change.object
                # The changes behind it don't depend on this one.
                with contain_errors(f"apply a change of {self._kind}"):
                    self._apply_change(change, source)
        self._record_changes(changes, revision)
        # Changes up to a revision are not read again once it is recorded.
        self._revision = revision
        self._change_hook()

    def _record_changes(self, changes: Sequence[Change], revision: int) -> None:
        for change in changes:
            self._last_changes.pop(change.object.name, None)
            self._last_changes[change.object.name] = _LastChange(
                revision=revision, change=change
            )
        self._last_change_revision = revision
        while len(self._last_changes) > MAX_CHANGES:
            _, oldest = self._last_changes.popitem(last=False)
            self._oldest_revision = oldest.revision

    def _batch(self) -> contextlib.AbstractContextManager[None]:
        """Returns the context in which several changes are applied."""
        return contextlib.nullcontext()

    @abc.abstractmethod
    def _apply_objects(self, source: str) -> None:
        """Applies all objects; `source` is the store or a daemon's name."""

    @abc.abstractmethod
    def _apply_change(self, change: Change, source: str) -> None:
        """Applies one change; `source` is the store or a daemon's name."""


def _decode_object(value: Sequence[Any]) -> StoreObject:
    name, revision, spec = value
    return StoreObject(name=str(name), revision=int(revision), spec=spec)
