"""Shared prefixes in limited cache memory."""

from __future__ import annotations

import random
from typing import Any

from bench.serving.load import NAIVE, Load, measure

PREFIXES = 60
NO_HINTS = {"cactusdyke.routing": "bench.naive.no_hints"}


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Compares random choice, no hints and hints: each engine keeps 8."""
    load = Load(
        seconds=3 if tiny else 20,
        per_second=20 if tiny else 100,
        deadline_ms=800,
        options={"stage_ms": 60, "prefill_ms": 200, "cached_prefixes": 8},
        value=_value,
    )
    return measure(
        load, {"naive": NAIVE, "without hints": NO_HINTS, "project": None}
    )


def _value(number: int, rng: random.Random) -> dict[str, Any]:
    # A few prefixes are asked for much more often than the others.
    prefix = min(int(rng.paretovariate(0.7)), PREFIXES)
    return {"number": number, "prefix": f"history-{prefix}"}
