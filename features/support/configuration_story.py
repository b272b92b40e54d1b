"""Runs stories about configuration, and what they have in common."""

from __future__ import annotations

from typing import Any

from features.support.configuration_world import World
from features.support.deployment import Deployment
from standins.virtual import run_virtual


def play(context: Any, story: Any) -> None:
    """Runs a story on a fresh world in virtual time."""

    async def run() -> None:
        async with Deployment() as deployment:
            deployment.engine("encoder-1")
            deployment.engine("engine-1")
            deployment.plain("plain-1")
            world = World(deployment)
            context.world = world
            await world.start(context.daemons)
            context.outcome = await story(world)
            await world.settle()

    run_virtual(run)
