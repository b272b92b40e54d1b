"""What one choice of a backend server costs, by the pool's size."""

from __future__ import annotations

import random
import time
from typing import Any

from cactusdyke.clock import SystemClock
from cactusdyke.configuration.model import BackendServer, Pool, PoolKind
from cactusdyke.routing.pool_index import PoolIndex
from cactusdyke.routing.router import Router

DATA_CENTRES = 10
PREFIXES = 200
US_PER_SECOND = 1_000_000


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Times choices by load alone and with a prefix, and the layout."""
    choices = 200 if tiny else 20_000
    return [_measure(size, choices) for size in (18, 60, 180, 600, 1_800)]


def _measure(size: int, choices: int) -> dict[str, Any]:
    pool = Pool(
        name="engines",
        kind=PoolKind.ENGINE,
        backend_servers=tuple(
            BackendServer(
                name=f"engine-{number}",
                address=f"engine-{number}:1",
                data_centre=f"centre-{number % DATA_CENTRES}",
            )
            for number in range(size)
        ),
    )
    router = Router(
        clock=SystemClock(), rng=random.Random(1), data_centre="centre-0"
    )
    began = time.perf_counter()
    _ = PoolIndex(pool, "centre-0").ring
    laid_out = time.perf_counter() - began
    return {
        "column": f"{size} replicas",
        "choices": choices,
        "us_a_choice": _time(router, pool, choices, prefixes=0),
        "us_with_prefix": _time(router, pool, choices, prefixes=PREFIXES),
        "layout_ms": laid_out * 1_000,
    }


def _time(router: Router, pool: Pool, choices: int, *, prefixes: int) -> float:
    began = time.perf_counter()
    for number in range(choices):
        prefix = f"prefix-{number % prefixes}" if prefixes else ""
        server = router.choose(pool, prefix=prefix)
        assert server is not None
        with router.in_flight(server):
            pass
    return (time.perf_counter() - began) / choices * US_PER_SECOND
