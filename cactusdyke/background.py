"""Runs background tasks so that an error in one of them ends nothing else.

An error that escapes from a task group ends all tasks beside it, and in the end
the process. The data that caused it usually reaches all daemons, which would
then end together, and again after each start.
"""

from __future__ import annotations

import contextlib
import traceback
from typing import TYPE_CHECKING, TypeVarTuple, Unpack

import anyio
import prometheus_client

from cactusdyke import events
from cactusdyke.clock import EventLoopClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from anyio.abc import TaskGroup

MIN_PAUSE_MS = 100.0
MAX_PAUSE_MS = 10_000.0
STABLE_MS = 60_000.0
"""After running for this long, a task restarts after the shortest pause."""
MAX_TRACE_CHARACTERS = 4_000

FAILURES = prometheus_client.Counter(
    "cactusdyke_background_task_failures",
    "Errors of background tasks that the code does not expect, by task.",
    ("task",),
    registry=None,
)
"""Counts for the whole process; each daemon registers it with its metrics."""

Arguments = TypeVarTuple("Arguments")


async def run_contained(
    function: Callable[[Unpack[Arguments]], Awaitable[object]],
    *arguments: *Arguments,
) -> None:
    """Runs a task once; an error is logged and counted."""
    try:
        await function(*arguments)
    except Exception as error:
        _record_failure(_name(function), error, restart_ms=None)


async def keep_running(
    function: Callable[[Unpack[Arguments]], Awaitable[object]],
    *arguments: *Arguments,
) -> None:
    """Runs a task until it returns, again and again if it fails.

    The pause before it is run again grows with each failure.
    """
    clock = EventLoopClock()
    pause_ms = MIN_PAUSE_MS
    while True:
        started_at = clock.now()
        try:
            await function(*arguments)
        except Exception as error:
            if clock.now() - started_at >= STABLE_MS:
                pause_ms = MIN_PAUSE_MS
            _record_failure(_name(function), error, restart_ms=pause_ms)
        else:
            return
        await clock.sleep(pause_ms)
        pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)


@contextlib.contextmanager
def contain_errors(task: str) -> Iterator[None]:
    """Logs and counts an error in the block, and goes on behind it.

    Args:
        task: What the block does, for the log and the count.
    """
    try:
        yield
    except Exception as error:
        _record_failure(task, error, restart_ms=None)


def failure_count() -> int:
    """Returns how many background tasks have failed in this process."""
    samples = (s for metric in FAILURES.collect() for s in metric.samples)
    return sum(int(s.value) for s in samples if s.name.endswith("_total"))


class BackgroundTasks:
    """Starts tasks whose errors don't reach the tasks beside them."""

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks

    def start_soon(
        self,
        function: Callable[[Unpack[Arguments]], Awaitable[object]],
        *arguments: *Arguments,
    ) -> None:
        """Starts a task that is run once."""
        self._tasks.start_soon(run_contained, function, *arguments)

    def start_loop(
        self,
        function: Callable[[Unpack[Arguments]], Awaitable[object]],
        *arguments: *Arguments,
    ) -> None:
        """Starts a task that is run again if it fails."""
        self._tasks.start_soon(keep_running, function, *arguments)


@contextlib.asynccontextmanager
async def background_tasks() -> AsyncIterator[BackgroundTasks]:
    """Opens a task group; leaving the block waits for all its tasks."""
    async with anyio.create_task_group() as tasks:
        yield BackgroundTasks(tasks)


def _name(function: Callable[..., Awaitable[object]]) -> str:
    return getattr(function, "__qualname__", repr(function))


def _record_failure(
    task: str, error: Exception, *, restart_ms: float | None
) -> None:
    FAILURES.labels(task).inc()
    trace = "".join(traceback.format_exception(error))
    events.log(
        events.Event.BACKGROUND_TASK_FAILED,
        task=task,
        error=repr(error),
        trace=trace[-MAX_TRACE_CHARACTERS:],
        restart_ms=restart_ms,
    )
