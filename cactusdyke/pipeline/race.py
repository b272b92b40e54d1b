"""Runs an attempt and, if it exceeds a delay, a hedge in parallel."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Generic, TypeAlias, TypeVar

import anyio
from result import Err, Ok, Result

from cactusdyke.errors import Failure

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

T = TypeVar("T")
Runner: TypeAlias = Callable[[], Awaitable[Result[T, Failure]]]


class Race(Generic[T]):
    """Returns the first successful answer and cancels the other attempt.

    Args:
        clock: Measures the delay.
        primary: Runs the first attempt.
        backup: Returns the runner of the hedge, or None if no hedge may be
            made yet; it is then called again after another delay.
        drop: Releases an answer that succeeded second.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        primary: Runner[T],
        backup: Callable[[], Runner[T] | None],
        drop: Callable[[T], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._primary = primary
        self._backup = backup
        self._drop = drop
        self._running = 0
        self._winner: Ok[T] | None = None
        self._failure: Err[Failure] | None = None

    async def run(self, delay_ms: float) -> Result[T, Failure]:
        """Returns the first successful answer, or the last failure.

        Args:
            delay_ms: Time from the start to the hedge, in milliseconds.
        """
        async with anyio.create_task_group() as tasks:
            self._start(tasks, self._primary)
            runner = None
            while runner is None:
                await self._clock.sleep(delay_ms)
                runner = self._backup()
            self._start(tasks, runner)
        # The task group ends when an answer cancels it or every attempt fails.
        if self._winner is not None:
            return self._winner
        assert self._failure is not None
        return self._failure

    def _start(self, tasks: anyio.abc.TaskGroup, runner: Runner[T]) -> None:
        self._running += 1
        tasks.start_soon(self._run, tasks.cancel_scope, runner)

    async def _run(self, scope: anyio.CancelScope, runner: Runner[T]) -> None:
        answer = await runner()
        self._running -= 1
        if isinstance(answer, Err):
            self._failure = answer
        elif self._winner is None:
            self._winner = answer
        else:
            # Both attempts succeeded in the same iteration of the event loop.
            # The stage uses only the first answer; the second is dropped.
            with anyio.CancelScope(shield=True):
                await self._drop(answer.ok_value)
            return
        if isinstance(answer, Ok) or not self._running:
            scope.cancel()
