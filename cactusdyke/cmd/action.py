"""What a command line names: something to run once it was understood."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import attrs


@attrs.frozen(kw_only=True)
class Action:
    """Work to do after the whole command line was read without error.

    The parser calls a command as soon as it has its arguments, before it
    sees a wrong flag behind them; nothing may have been sent by then. There
    is no public member: the parser would offer it as a command of its own.
    """

    _work: Callable[[], None]


def run(action: Action) -> None:
    """Runs an action."""
    action._work()


def asynchronous(work: Callable[[], Awaitable[None]]) -> Action:
    """Returns an action that runs an async function."""

    async def call() -> None:
        await work()

    return Action(work=lambda: anyio.run(call))
