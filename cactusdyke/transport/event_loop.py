"""The event loop of a daemon, which asks the kernel for events less often."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from selectors import SelectorKey

MAX_SKIPPED_POLLS = 4
"""Turns of the loop in a row that run only what is already due. A chain of
callbacks rarely takes more turns than that, and connections that become ready
meanwhile wait for a fraction of a millisecond."""


class BatchingSelector(selectors.EpollSelector):
    """Skips polls that could not block, for a few turns of the loop.

    asyncio polls before every turn, also while callbacks are due. Most turns
    of a daemon only resume a task, and the system call then takes longer than
    the turn itself.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Returns the descriptors that are ready, none if the poll is skipped.

        Args:
            timeout: Longest wait in seconds; None to wait without a limit.
        """
        if (
            timeout is not None
            and timeout <= 0
            and self._skipped < MAX_SKIPPED_POLLS
        ):
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns the event loop that a daemon runs on."""
    return asyncio.SelectorEventLoop(BatchingSelector())
