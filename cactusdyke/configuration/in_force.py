"""Keeps the highest accepted revision in force in this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import model, objects
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.platform.object_store import ObjectStore

WATCH_MS = 10_000.0
RETRY_MS = 1_000.0


class InForce(Service):
    """Applies whole, higher revisions only."""

    def __init__(self, *, clock: Clock, object_store: ObjectStore) -> None:
        self._clock = clock
        self._object_store = object_store
        self._current = model.EMPTY
        self._parts: dict[str, bytes] = {}

    @property
    def current(self) -> model.Configuration:
        """The configuration in force."""
        return self._current

    async def run(self) -> None:
        """Follows the head for as long as the daemon runs."""
        version = 0
        while True:
            answer = await self._object_store.watch(
                objects.HEAD_KEY, above_version=version, wait_ms=WATCH_MS
            )
            match answer:
                case Ok(None):
                    continue
                case Ok(stored):
                    assert stored is not None
                    applied = await self._apply(stored.value)
                    if applied.is_ok():
                        version = stored.version
                        continue
                case Err(failure):
                    events.log(
                        events.Event.STORE_UNAVAILABLE, detail=failure.message
                    )
            await self._clock.sleep(RETRY_MS)

    async def _apply(self, data: bytes) -> Result[None, Failure]:
        head = objects.decode_head(data)
        if isinstance(head, Err):
            return head
        return await self._apply_head(head.ok_value)

    async def _apply_head(self, head: objects.Head) -> Result[None, Failure]:
        if head.revision <= self._current.revision:
            return Ok(None)
        parts: dict[str, bytes] = {}
        for name, digest in head.parts.items():
            part = await self._part(digest)
            if isinstance(part, Err):
                return part
            parts[name] = part.ok_value
        joined = objects.join(head.revision, parts)
        if isinstance(joined, Err):
            events.log(
                events.Event.CONFIGURATION_REJECTED,
                revision=head.revision,
                detail=joined.err_value.message,
            )
            return joined
        self._parts = {
            digest: parts[name] for name, digest in head.parts.items()
        }
        self._current = joined.ok_value
        events.log(events.Event.CONFIGURATION_APPLIED, revision=head.revision)
        return Ok(None)

    async def _part(self, digest: str) -> Result[bytes, Failure]:
        if digest in self._parts:
            return Ok(self._parts[digest])
        answer = await self._object_store.read(objects.part_key(digest))
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Err(
                Failure(
                    kind=FailureKind.NOT_FOUND,
                    detail=f"The configuration part {digest} is missing",
                )
            )
        return Ok(answer.ok_value.value)
