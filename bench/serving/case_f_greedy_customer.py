"""One greedy customer at three times the capacity, four others as usual."""

from __future__ import annotations

from typing import Any

import anyio

from bench.serving.overload import OPEN, OverloadRun, Size
from standins.virtual import run_virtual

GREEDY = "greedy"
OTHERS = ("customer-1", "customer-2", "customer-3", "customer-4")
OTHERS_LOAD = 0.5
GREEDY_LOAD = 3.0


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row without the greedy customer, a naive and our own."""
    size = Size(daemons=3, engines=4, slots=2) if tiny else Size()
    seconds = 6 if tiny else 20
    columns = ("naive", "project") if tiny else ("alone", "naive", "project")
    return [run_virtual(_run, column, size, seconds) for column in columns]


async def _run(column: str, size: Size, seconds: int) -> dict[str, Any]:
    run = OverloadRun(
        size=size,
        customers={name: {} for name in (GREEDY, *OTHERS)},
        replacements=OPEN if column == "naive" else None,
    )
    async with run, anyio.create_task_group() as tasks:
        for name in OTHERS:
            rate = OTHERS_LOAD * size.capacity / len(OTHERS)
            tasks.start_soon(_offer, run, name, rate, seconds)
        if column != "alone":
            await run.deployment.hub.clock.sleep(1_000.0)
            rate = GREEDY_LOAD * size.capacity
            tasks.start_soon(_offer, run, GREEDY, rate, seconds - 1)
    greedy = run.tallies[GREEDY]
    others = [run.tallies[name] for name in OTHERS]
    sent = sum(t.sent for t in others)
    return {
        "column": column,
        "others sent": sent,
        "others attainment": sum(len(t.kept) for t in others) / sent,
        "others refused": sum(sum(t.kinds.values()) for t in others),
        "others late": sum(t.late for t in others),
        "others median ms": max(t.percentile_ms(50) for t in others),
        "others 99th ms": max(t.percentile_ms(99) for t in others),
        "greedy sent": greedy.sent,
        "greedy answered in time": len(greedy.kept),
        "goodput/capacity": sum(len(t.kept) for t in run.tallies.values())
        / (size.capacity * seconds),
    }


async def _offer(
    run: OverloadRun, name: str, rate: float, seconds: int
) -> None:
    await run.offer(name, rate=rate, duration_ms=seconds * 1000.0)
