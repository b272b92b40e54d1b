"""Counts requests in flight, so that a planned stop cuts none."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from cactusdyke.api.body import MAX_DEADLINE_MS
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.clock import Clock

QUIET_MS = 500.0
"""How long no request must have come before the listener is closed."""
MAX_EXTRA_LINGER_MS = 10_000.0
"""Bounds the wait for quiet, should a caller keep to an old address."""


class RequestsInFlight(Service):
    """Knows how many requests are in flight and when there are none."""

    def __init__(self, *, clock: Clock, linger_ms: float) -> None:
        self._clock = clock
        self._linger_ms = linger_ms
        self._count = 0
        self._last_began = -QUIET_MS
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """How many requests are in flight."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight while the block runs."""
        self._count += 1
        self._last_began = self._clock.now()
        try:
            yield
        finally:
            self._count -= 1
            self._changed.set()
            self._changed = anyio.Event()

    async def drain(self) -> None:
        """Waits out the lifetime of addresses given, then the requests.

        A caller may ask for addresses just before the stop and use the answer
        until its lifetime ends; until then every request is served. A request
        that crosses the closing of the listener would be cut (seen as a reset
        connection): the listener closes only after a quiet while.
        """
        await self._clock.sleep(self._linger_ms)
        with self._clock.timeout(MAX_EXTRA_LINGER_MS):
            while (wait_ms := self._until_quiet_ms()) > 0:
                await self._clock.sleep(wait_ms)
        with self._clock.timeout(MAX_DEADLINE_MS):
            while self._count:
                await self._changed.wait()

    def _until_quiet_ms(self) -> float:
        return self._last_began + QUIET_MS - self._clock.now()
