"""Counts requests in flight, so that a planned stop cuts none."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.clock import Clock


class Flights(Service):
    """Knows how many requests are in flight and when there are none."""

    def __init__(self, *, clock: Clock, linger_ms: float) -> None:
        self._clock = clock
        self._linger_ms = linger_ms
        self._count = 0
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """How many requests are in flight."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight while the block runs."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            self._changed.set()
            self._changed = anyio.Event()

    async def drain(self) -> None:
        """Waits out the lifetime of addresses given, then the requests."""
        await self._clock.sleep(self._linger_ms)
        while self._count:
            await self._changed.wait()
