"""Follows the head in the platform's object service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import loader, objects

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.confirmation import Confirmations
    from cactusdyke.configuration.revisions import Revisions
    from cactusdyke.configuration.roles import Roles
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.object_store import ObjectStore

WATCH_MS = 10_000.0
"""How long a watch on the store waits; a renewal confirms the revision."""

WATCHER_READ_MS = 5_000.0
"""Between a watcher's reads of the head, in case its watch went silent."""

FOLLOWER_READ_MS = 30_000.0
"""Between a follower's reads of the head, at the least."""

READ_MS_PER_DAEMON = 500.0
"""Stretches followers' reads so that all of them make two a second."""

PATIENCE_MS = 2_000.0
"""Longest wait for peers before parts are read from the store instead."""

START_PATIENCE_MS = 3_000.0
"""The same for a daemon that has nothing in force yet."""

RETRY_MS = 1_000.0
ROLE_CHECK_MS = 1_000.0


class StoreFollower:
    """Watches the head if that is this daemon's role, and reads it."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        revisions: Revisions,
        roles: Roles,
        confirmations: Confirmations,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._object_store = object_store
        self._source = loader.StoreSource(object_store=object_store)
        self._revisions = revisions
        self._roles = roles
        self._confirmations = confirmations
        self._version = 0
        self._answers = True

    async def run(self) -> None:
        """Follows the head until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._read)

    async def _watch(self) -> None:
        while True:
            if not self._roles.watches_store:
                await self._clock.sleep(ROLE_CHECK_MS)
                continue
            asked_at = self._clock.now()
            answer = await self._object_store.watch(
                objects.HEAD_KEY,
                above_version=self._version,
                wait_ms=WATCH_MS,
            )
            match answer:
                case Ok(None):
                    self._confirmations.store_answered(asked_at)
                    continue
                case Ok(stored):
                    assert stored is not None
                    if await self._take(stored.value, stored.version, asked_at):
                        continue
            await self._pause(RETRY_MS)

    async def _read(self) -> None:
        # A watch that went silent looks like one that waits. Reads show what
        # it missed; their jitter spreads daemons that started together.
        while True:
            asked_at = self._clock.now()
            answer = await self._object_store.read(objects.HEAD_KEY)
            self._note(answer)
            match answer:
                case Ok(None):
                    self._confirmations.store_answered(asked_at)
                case Ok(stored):
                    assert stored is not None
                    await self._take(stored.value, stored.version, asked_at)
            failed = answer.is_err() and self._roles.watches_store
            await self._pause(RETRY_MS if failed else self._read_interval_ms())

    async def _take(self, data: bytes, version: int, asked_at: Instant) -> bool:
        decoded = objects.decode_head(data)
        if isinstance(decoded, Err):
            events.log(
                events.Event.CONFIGURATION_REJECTED,
                revision="head",
                detail=decoded.err_value.message,
            )
            return False
        head = decoded.ok_value
        if head.revision < self._revisions.number:
            events.log(
                events.Event.CONFIGURATION_STORE_BEHIND,
                revision=self._revisions.number,
                stored=head.revision,
            )
        await self._let_peers_go_first(head)
        # Only a head that is whole here moves the watch on: one that could
        # not be loaded has to come again.
        if not await self._revisions.take(head, self._source):
            return False
        self._version = max(self._version, version)
        if head.revision == self._revisions.number:
            self._confirmations.store_answered(asked_at)
        return True

    async def _let_peers_go_first(self, head: objects.Head) -> None:
        """Waits a little where peers can give what the store would."""
        # If all daemons start at once, each would read every part from the
        # store (seen as thousands of reads in a second). The fourth root
        # makes short waits rare: the few daemons that draw one read, and the
        # others find the revision at them before their own waits end.
        if self._revisions.number == 0 and self._roles.others():
            wait_ms = START_PATIENCE_MS * self._rng.random() ** 0.25
        elif not self._roles.watches_store:
            wait_ms = self._rng.uniform(0.0, PATIENCE_MS)
        else:
            return
        await self._revisions.wait_above(head.revision - 1, wait_ms=wait_ms)

    def _note(self, answer: Result[object, Failure]) -> None:
        if answer.is_ok() == self._answers:
            return
        self._answers = answer.is_ok()
        if isinstance(answer, Err):
            events.log(
                events.Event.STORE_UNAVAILABLE,
                detail=answer.err_value.message,
            )
        else:
            events.log(events.Event.STORE_AVAILABLE)

    def _read_interval_ms(self) -> float:
        if self._roles.watches_store:
            return WATCHER_READ_MS
        return max(FOLLOWER_READ_MS, self._roles.daemons * READ_MS_PER_DAEMON)

    async def _pause(self, duration_ms: float) -> None:
        await self._clock.sleep(duration_ms * self._rng.uniform(0.8, 1.2))
