"""Runs a coroutine in virtual time, with the same interleaving each time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import trio
import trio.testing

T = TypeVar("T")


def run_virtual(
    function: Callable[..., Awaitable[T]], *args: Any, seed: int = 0
) -> T:
    """Runs `function` on trio with a clock that jumps over waits."""
    # With the seed alone trio shuffles its batches differently in each run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(
        function, *args, backend="trio", backend_options={"clock": clock}
    )
