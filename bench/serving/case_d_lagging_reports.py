"""Load reports that lag two seconds, under bursts near capacity."""

from __future__ import annotations

from typing import Any

from bench.serving.load import NAIVE, Load, measure

REPORTS_ONLY = {"cactusdyke.routing": "bench.naive.report_routing"}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Compares random choice, belief in the last report, and the project."""
    load = Load(
        seconds=3 if tiny else 20,
        per_second=20 if tiny else 300,
        deadline_ms=400,
        options={"stage_ms": 100, "load_lag_ms": 2_000},
    )
    return measure(
        load,
        {"naive": NAIVE, "last report": REPORTS_ONLY, "project": None},
    )
