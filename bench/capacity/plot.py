"""Draws what was measured with its lines."""

from __future__ import annotations

import pathlib
from typing import Any

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot

QUANTITIES = ("cpu_ms", "memory_mb")
COLUMN_INCHES = 4.0
ROW_INCHES = 2.6


def draw(results: dict[str, Any], path: pathlib.Path) -> None:
    """Writes one picture: a row a quantity, a column an axis."""
    if not results:
        return
    figure, plots = pyplot.subplots(
        len(QUANTITIES),
        len(results),
        figsize=(COLUMN_INCHES * len(results), ROW_INCHES * len(QUANTITIES)),
        squeeze=False,
    )
    for column, (name, result) in enumerate(results.items()):
        sizes = [sample["size"] for sample in result["samples"]]
        for row, quantity in enumerate(QUANTITIES):
            plot = plots[row][column]
            values = [sample[quantity] for sample in result["samples"]]
            line = result["lines"][quantity]
            fitted = [line["intercept"] + line["slope"] * s for s in sizes]
            plot.plot(sizes, values, "o", sizes, fitted, "-")
            plot.set_xlabel(f"{name} ({result['unit']})")
            plot.set_ylabel(quantity)
            plot.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
