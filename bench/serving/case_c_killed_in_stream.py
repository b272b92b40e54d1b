"""Engines killed, then frozen, in the middle of streams."""

from __future__ import annotations

from typing import Any

import attrs

from bench.serving.load import NAIVE, Load, measure
from features.support.deployment import Deployment

EVERY_MS = 4_000.0
DOWN_MS = 2_000.0


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Compares streams of 40 tokens while one engine after another dies."""
    load = Load(
        seconds=5 if tiny else 24,
        per_second=10 if tiny else 40,
        deadline_ms=2_000,
        slots=16,
        options={"stage_ms": 50, "token_ms": 10, "tokens": 40},
        stream=True,
        fault=_kill_in_turn,
        expected_ms=500,
    )
    frozen = attrs.evolve(load, fault=_freeze_in_turn)
    return [
        *measure(load, {"naive, killed": NAIVE, "project, killed": None}),
        *measure(frozen, {"naive, frozen": NAIVE, "project, frozen": None}),
    ]


async def _kill_in_turn(deployment: Deployment) -> None:
    hub = deployment.hub
    for name, server in list(deployment.servers.items()):
        await hub.clock.sleep(EVERY_MS - DOWN_MS)
        hub.kill(name)
        await hub.clock.sleep(DOWN_MS)
        hub.listen(f"{name}:1", server.routes.handle, owner=name)


async def _freeze_in_turn(deployment: Deployment) -> None:
    hub = deployment.hub
    for name in list(deployment.servers):
        await hub.clock.sleep(EVERY_MS - DOWN_MS)
        hub.freeze(name)
        await hub.clock.sleep(DOWN_MS)
        hub.wake(name)
