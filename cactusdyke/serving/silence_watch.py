"""Gives up attempts that are silent, once another one can follow."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from cactusdyke.clock import Clock

READ_DELAY_MS = 20.0
"""A daemon that was suspended finds its timers expired before it has read what
arrived meanwhile; it reads within this time."""
CLOCK_STEP_MS = 1.0
"""Shorter sleeps may end before the clock has moved."""
PREPARE_AGAIN_MS = 250.0
"""How long after a next attempt could not be prepared it is tried again."""


class SilenceWatch:
    """Watches one attempt for silence of its replica.

    A replica that is silent may have ended or only paused, which look alike.
    The attempt therefore goes on while the next one is prepared, and for as
    long as none can follow.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit_ms: float,
        on_silent: Callable[[], None],
        prepare_next: Callable[[], Awaitable[bool]],
    ) -> None:
        """Begins to measure the silence.

        Args:
            clock: The clock.
            limit_ms: How long the replica may be silent.
            on_silent: Called once the replica has been silent for longer.
            prepare_next: Makes sure that another attempt can follow; returns
                whether it can.
        """
        self._clock = clock
        self._limit_ms = limit_ms
        self._on_silent = on_silent
        self._prepare_next = prepare_next
        self._heard_at = clock.now()
        self._suspended = False
        self._attempt = anyio.CancelScope()
        self._preparation = anyio.CancelScope()

    @property
    def attempt_scope(self) -> anyio.CancelScope:
        """The scope of the attempt, cancelled when it is given up."""
        return self._attempt

    @property
    def silent_ms(self) -> float:
        """How long nothing has come."""
        return self._clock.now() - self._heard_at

    def restart(self, limit_ms: float) -> None:
        """Records that something came, and how long the next may take."""
        self._heard_at = self._clock.now()
        self._limit_ms = limit_ms
        self._suspended = False
        self._preparation.cancel()

    def suspend(self) -> None:
        """Stops the watch until it is restarted; nothing is read meanwhile."""
        self._suspended = True
        self._preparation.cancel()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Watches the attempt while the block runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run)
            yield
            tasks.cancel_scope.cancel()

    async def _run(self) -> None:
        await self._until_silent()
        self._on_silent()
        while True:
            await self._until_silent()
            with anyio.CancelScope() as self._preparation:
                ready = await self._prepare_next()
                # Something may have come just as the preparation ended.
                if ready and not self._preparation.cancel_called:
                    self._attempt.cancel()
                    return
            await self._clock.sleep(PREPARE_AGAIN_MS)

    async def _until_silent(self) -> None:
        while True:
            if self._suspended:
                await self._clock.sleep(self._limit_ms)
            elif (left_ms := self._limit_ms - self.silent_ms) > 0:
                await self._clock.sleep(max(left_ms, CLOCK_STEP_MS))
            else:
                heard_at = self._heard_at
                await self._clock.sleep(READ_DELAY_MS)
                if heard_at == self._heard_at and not self._suspended:
                    return
