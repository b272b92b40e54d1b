"""The memory that bodies of requests may take together."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.clock import Clock

MOST_BYTES = 64 * 1024 * 1024
"""Of bodies not yet answered; a fifth of the smallest host's memory."""
MOST_WAIT_MS = 2_000.0
"""Bodies that are read in part hold memory too, and may wait for each other."""


class NoBodyMemoryError(Exception):
    """No memory became free in time."""


class HeldBody:
    """What one body holds of the memory."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._size = 0

    async def add(self, size: int) -> None:
        """Waits until another `size` bytes may be held, and holds them.

        Raises:
            NoBodyMemoryError: They could not be within `MOST_WAIT_MS`.
        """
        await self._memory.take(size)
        self._size += size

    def release(self) -> None:
        """Gives back all that was added."""
        self._memory.give_back(self._size)
        self._size = 0


class BodyMemory:
    """Bounds the bodies that are held at a time, over all connections.

    Many callers that send large bodies at once would hold more than a small
    host has. Whoever reads them waits instead, and the callers' windows fill.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._held = 0
        self._given_back = anyio.Event()

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Yields a body that holds nothing yet; gives its memory back."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            body.release()

    async def take(self, size: int) -> None:
        """Waits until another `size` bytes may be held, and counts them.

        Raises:
            NoBodyMemoryError: They could not be within `MOST_WAIT_MS`.
        """
        with self._clock.timeout(MOST_WAIT_MS):
            while self._held and self._held + size > MOST_BYTES:
                await self._given_back.wait()
            self._held += size
            return
        raise NoBodyMemoryError

    def give_back(self, size: int) -> None:
        """Counts `size` bytes less, and wakes all that wait."""
        self._held -= size
        given_back, self._given_back = self._given_back, anyio.Event()
        given_back.set()
