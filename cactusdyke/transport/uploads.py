"""Requests that are being received, and which of them give way.

A request that has not come whole has not run, so that it can be refused at any
time. Callers that stop short of the end of their requests would otherwise hold
memory and connections for as long as they like.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.clock import Clock, Instant

SMALL_BYTES = 4_096
"""Requests that hold no more than this never give way: ordinary ones are read
also while memory is short."""
STALL_MS = 1_000.0
"""A request of which nothing has come for so long gives way to one that waits
for memory, and to a new connection."""


class Upload(abc.ABC):
    """A request that has not come whole."""

    @property
    @abc.abstractmethod
    def held_bytes(self) -> int:
        """How many bytes are held for it."""

    @property
    @abc.abstractmethod
    def progressed_at(self) -> Instant:
        """When bytes of it came last, or were not read for lack of memory."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Gives back what is held, and refuses the request."""


class Uploads:
    """The requests that are being received and hold more than a little."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._uploads: dict[Upload, None] = {}
        self.on_evicted: Callable[[int], None] = lambda _: None

    def __bool__(self) -> bool:
        return bool(self._uploads)

    def add(self, upload: Upload) -> None:
        """Adds a request that holds more than `SMALL_BYTES`."""
        self._uploads[upload] = None

    def remove(self, upload: Upload) -> None:
        """Removes a request that is whole, or holds little."""
        self._uploads.pop(upload, None)

    def evict(self, *, while_needed: Callable[[], bool]) -> None:
        """Evicts requests: those that stall, then those that hold most."""
        now = self._clock.now()
        self._evict(
            sorted(
                self._uploads,
                key=lambda u: (_stalls(u, now), u.held_bytes),
                reverse=True,
            ),
            while_needed,
        )

    def evict_stalled(self, *, while_needed: Callable[[], bool]) -> None:
        """Evicts requests that stall, those first that do so for longest."""
        now = self._clock.now()
        stalled = [upload for upload in self._uploads if _stalls(upload, now)]
        self._evict(
            sorted(stalled, key=lambda u: u.progressed_at), while_needed
        )

    def _evict(
        self, uploads: Iterable[Upload], while_needed: Callable[[], bool]
    ) -> None:
        for upload in uploads:
            if not while_needed():
                return
            self.remove(upload)
            self.on_evicted(upload.held_bytes)
            upload.evict()


def _stalls(upload: Upload, now: Instant) -> bool:
    return now - upload.progressed_at >= STALL_MS
