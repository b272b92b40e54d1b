"""Prints a measurement as a table and writes it as JSON."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

BUILD = pathlib.Path("build/bench")


def table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Returns rows as text, a column for each key of any row."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def write(name: str, value: Any) -> pathlib.Path:
    """Writes `build/bench/NAME.json` and returns its path."""
    BUILD.mkdir(parents=True, exist_ok=True)
    path = BUILD / f"{name}.json"
    path.write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")
    return path


def _cell(value: Any) -> str:
    if value is None:
        return ""
    return f"{value:.4g}" if isinstance(value, float) else str(value)
