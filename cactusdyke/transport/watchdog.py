"""Ends waits on connections that take too long."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant

TICK_MS = 25.0
LONGEST_PAUSE_MS = 5_000.0
LONGEST_ADJUSTABLE_PAUSE_MS = 250.0
"""A limit that is moved closer during a wait is noticed after this long."""


class Watched(abc.ABC):
    """A connection that somebody waits on."""

    @property
    @abc.abstractmethod
    def wait_until(self) -> Instant:
        """Instant at which the present wait has taken too long."""

    @property
    def is_adjustable(self) -> bool:
        """Whether the instant may be moved during the wait."""
        return False

    @abc.abstractmethod
    async def give_up(self) -> None:
        """Closes the connection, which ends the wait."""


class Watchdog:
    """Looks through all present waits when the earliest has taken too long.

    A time-out scope around each wait costs more than the read that it bounds,
    and nearly none of them ever fires. It sleeps until the earliest wait is
    too long; a wait that begins and would be too long sooner wakes it.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._waiting: set[Watched] = set()
        self._begun = anyio.Event()
        self._sooner = anyio.Event()
        self._looks_at: Instant = 0.0

    def begin(self, watched: Watched) -> None:
        """Notes that a wait has begun."""
        self._waiting.add(watched)
        if not self._begun.is_set():
            self._begun.set()
        if watched.wait_until < self._looks_at:
            self._sooner.set()

    def end(self, watched: Watched) -> None:
        """Notes that a wait has ended."""
        self._waiting.discard(watched)

    async def run(self) -> None:
        """Watches until it is cancelled; sleeps while nobody waits."""
        while True:
            await self._begun.wait()
            await self._pause()
            now = self._clock.now()
            late = [w for w in self._waiting if w.wait_until <= now]
            for watched in late:
                self._waiting.discard(watched)
                await watched.give_up()
            if not self._waiting:
                self._begun = anyio.Event()

    async def _pause(self) -> None:
        self._sooner = anyio.Event()
        now = self._clock.now()
        earliest = min((w.wait_until for w in self._waiting), default=now)
        adjustable = any(w.is_adjustable for w in self._waiting)
        longest_ms = (
            LONGEST_ADJUSTABLE_PAUSE_MS if adjustable else LONGEST_PAUSE_MS
        )
        pause_ms = min(earliest - now, longest_ms)
        self._looks_at = now + pause_ms
        with self._clock.timeout(max(TICK_MS, pause_ms)):
            await self._sooner.wait()
            # Many waits begin within one turn, and each may be the earliest.
            await self._clock.sleep(TICK_MS)
