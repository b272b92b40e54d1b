"""One straggler at 10x in a pool of ten."""

from __future__ import annotations

from typing import Any

from bench.serving.load import NAIVE, Load, measure
from features.support.deployment import Deployment

SLOW_AFTER_MS = 2_000.0


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Compares whole answers while one engine turns ten times slower."""
    load = Load(
        seconds=3 if tiny else 20,
        per_second=20 if tiny else 150,
        deadline_ms=600,
        options={"stage_ms": 100},
        fault=_slow_one,
    )
    return measure(load, {"naive": NAIVE, "project": None})


async def _slow_one(deployment: Deployment) -> None:
    await deployment.hub.clock.sleep(SLOW_AFTER_MS)
    deployment.servers["engine-4"].faults["slow_factor"] = 10
