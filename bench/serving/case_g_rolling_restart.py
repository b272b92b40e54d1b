"""(g) A rolling restart of all daemons under load."""

from __future__ import annotations

import pathlib
from typing import Any

from bench.serving import rolling
from standins.fleet import DAEMON_MODULE

BUILD = pathlib.Path("build/bench/rolling")
COLUMNS = (("naive", "bench.naive.abrupt"), ("project", DAEMON_MODULE))
CALLERS = 24
TINY_CALLERS = 6


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for uvicorn's own stop and one for the project's."""
    rows = []
    for column, module in COLUMNS:
        rolled = rolling.roll(
            BUILD / column,
            callers=TINY_CALLERS if tiny else CALLERS,
            module=module,
            restarted=rolling.NAMES[:1] if tiny else rolling.NAMES,
        )
        rows.append(
            {
                "column": column,
                "answered": rolled.answered.total(),
                "cut": rolled.cut.total(),
                "refused": rolled.refused,
                "limited": rolled.limited,
                "doubled": rolled.doubled,
                "exits": rolled.exits,
                "first": rolled.details[:1],
            }
        )
    return rows
