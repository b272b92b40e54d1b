"""A burst at three times the capacity, 6 daemons, in virtual time."""

from __future__ import annotations

from typing import Any

from bench.serving.overload import OPEN, OverloadRun, Size
from standins.virtual import run_virtual

CUSTOMERS = {f"customer-{n}": {} for n in range(5)}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for the naive version and one for the project."""
    size = Size(engines=4, slots=2) if tiny else Size()
    seconds = 4 if tiny else 20
    return [
        run_virtual(_run, column, size, seconds, daemons)
        for daemons in (None, 1)
        for column in ("naive", "project")
        if not (tiny and daemons)
    ]


async def _run(
    column: str, size: Size, seconds: int, daemons: int | None
) -> dict[str, Any]:
    replacements = OPEN if column == "naive" else None
    run = OverloadRun(size=size, customers=CUSTOMERS, replacements=replacements)
    async with run:
        await _offer(run, 0.7, seconds, daemons)
        began = run.now
        await _offer(run, 3.0, seconds, daemons)
        # The first answers to the burst take one request's time to come.
        kept = run.kept_between(began + 1_000.0, began + seconds * 1000.0)
        await _offer(run, 0.7, seconds, daemons)
    tallies = list(run.tallies.values())
    sent = sum(t.sent for t in tallies)
    refused_ms = sorted(ms for t in tallies for ms in t.refused_after_ms)
    refused_ms = refused_ms or [0.0]
    return {
        "column": column,
        "daemons called": daemons or size.daemons,
        "sent": sent,
        "goodput/capacity": kept / (size.capacity * (seconds - 1)),
        "attainment": sum(len(t.kept) for t in tallies) / sent,
        "late": sum(t.late for t in tallies),
        **{f"refused {k}": n for k, n in sorted(run.refused().items())},
        "false not_run": run.false_not_run(),
        "refused without retry_after": sum(
            t.without_retry_after for t in tallies
        ),
        "refused after ms, median": refused_ms[len(refused_ms) // 2],
        "refused after ms, worst": refused_ms[-1],
    }


async def _offer(
    run: OverloadRun, load: float, seconds: int, daemons: int | None
) -> None:
    """Offers a multiple of the capacity, without waiting for the answers."""
    for name in CUSTOMERS:
        run.deployment.hub.start(
            _offer_one, run, name, load, seconds * 1000.0, daemons
        )
    await run.deployment.hub.clock.sleep(seconds * 1000.0)


async def _offer_one(
    run: OverloadRun,
    name: str,
    load: float,
    duration_ms: float,
    daemons: int | None,
) -> None:
    await run.offer(
        name,
        rate=load * run.size.capacity / len(CUSTOMERS),
        duration_ms=duration_ms,
        daemons=daemons,
    )
