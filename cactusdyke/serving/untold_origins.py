"""Keeps the origins of streams that no other daemon could be told.

A daemon that is cut off from all others still serves its callers. If it then
ends, or its callers' connections break, nobody else knows how its streams
began. As long as no daemon accepts what it tells, it saves them in the store.
"""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING, TypeAlias

import anyio
from result import Err

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.serving.stream_origins import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.serving.stream_origins import StreamOrigins

ISOLATED_AFTER_MS = 300.0
"""Nothing accepted for this long is more than one daemon that has ended."""
SAVE_INTERVAL_MS = 100.0
READ_TIMEOUT_MS = 300.0
READ_VALID_MS = 200.0
"""Many callers take streams up at the same moment."""
MAX_SAVED = 1_000
"""Origins in one object, the newest ones; about 50 kB."""

EncodedOrigin: TypeAlias = list[str]
"""A stream's id, service and software version."""


class OriginStore(abc.ABC):
    """Stores origins where every daemon can read them."""

    @abc.abstractmethod
    async def save_origins(
        self, begun: list[EncodedOrigin]
    ) -> Result[None, Failure]:
        """Saves this daemon's origins, replacing what it saved before."""

    @abc.abstractmethod
    async def read_origins(self) -> Result[list[EncodedOrigin], Failure]:
        """Returns the origins that all daemons have saved."""


class UntoldOrigins(Service):
    """Saves origins while this daemon is isolated, and reads others'."""

    def __init__(
        self, *, clock: Clock, origins: StreamOrigins, store: OriginStore
    ) -> None:
        self._clock = clock
        self._origins = origins
        self._store = store
        self._failing = False
        self._saving = False
        self._accepted_at: Instant = clock.now()
        self._changed = anyio.Event()
        self._regained: Callable[[], None] = lambda: None
        self._reading = anyio.Lock()
        self._read_at: Instant = -math.inf
        self._read: dict[str, StreamOrigin] = {}

    @property
    def isolated(self) -> bool:
        """Whether no daemon accepts what this one tells."""
        waited_ms = self._clock.now() - self._accepted_at
        return self._failing and waited_ms > ISOLATED_AFTER_MS

    def on_regained(self, hook: Callable[[], None]) -> None:
        """Sets the hook that is called when others can be told again."""
        self._regained = hook

    def record_result(self, *, accepted: bool, sent_at: Instant) -> None:
        """Records whether a daemon accepted origins.

        That one does not means nothing if another one has since they were sent.
        """
        if not accepted:
            if self._accepted_at < sent_at:
                self._failing = True
                self._changed.set()
            return
        self._failing = False
        self._accepted_at = self._clock.now()
        if self._saving:
            self._saving = False
            self._regained()

    def record_begin(self) -> None:
        """Records that a stream has begun at this daemon."""
        if self._failing:
            self._changed.set()

    async def run(self) -> None:
        """Saves origins until it is cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            await self._clock.sleep(SAVE_INTERVAL_MS)
            if not self._failing:
                continue
            if not self.isolated or not await self._save():
                self._changed.set()

    async def find(self, stream_id: str) -> StreamOrigin | None:
        """Returns an origin that a daemon has saved, None if there is none."""
        async with self._reading:
            if self._clock.now() - self._read_at > READ_VALID_MS:
                with self._clock.timeout(READ_TIMEOUT_MS):
                    await self._read_all()
                self._read_at = self._clock.now()
        return self._read.get(stream_id)

    async def _save(self) -> bool:
        self._saving = True
        begun = [
            [stream_id, origin.service, origin.version]
            for stream_id, origin in self._origins.begun_here()
        ]
        answer = await self._store.save_origins(begun[-MAX_SAVED:])
        if isinstance(answer, Err):
            _log_unavailable(answer.err_value)
        return answer.is_ok()

    async def _read_all(self) -> None:
        answer = await self._store.read_origins()
        if isinstance(answer, Err):
            _log_unavailable(answer.err_value)
            return
        self._read = {
            stream_id: StreamOrigin(service=service, version=version)
            for stream_id, service, version in answer.ok_value
        }


def _log_unavailable(failure: Failure) -> None:
    events.log(events.Event.ORIGINS_UNAVAILABLE, detail=failure.detail)
