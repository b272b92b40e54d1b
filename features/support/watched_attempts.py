"""Attempts that are given up when they are silent, whatever follows."""

from __future__ import annotations

import contextlib

from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.end_check import EndCheck
from cactusdyke.serving.silence_watch import SilenceWatch


@contextlib.asynccontextmanager
async def watched(clock, limit_ms):
    """Yields the watch of an attempt that may be silent for so long."""

    async def prepare_next():
        return True

    watch = SilenceWatch(
        clock=clock,
        limit_ms=limit_ms,
        on_silent=lambda: None,
        prepare_next=prepare_next,
    )
    async with watch.running():
        yield watch


def end_check(clock, connections):
    """Returns the check of answers that end with their connection."""
    return EndCheck(
        clock=clock,
        dialect=PlatformDialect(),
        connections=connections,
        deployment=Deployment(clock=clock),
    )
