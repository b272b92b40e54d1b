"""Measures what each thing that grows costs one daemon, and fits lines."""

from __future__ import annotations

import json
from typing import Any

import attrs

from bench import report
from bench.capacity import axes, fit, plot

SETTLE_S = 3.0
SECONDS = 5.0
TINY_SETTLE_S = 0.5
TINY_SECONDS = 1.0
NOT_FITTED = frozenset({"size", "seconds", "aimed_at"})


def run(*, tiny: bool, only: str) -> None:
    """Measures the axes whose names begin with `only`.

    With `only`, the other axes keep what an earlier run has written.
    """
    results: dict[str, Any] = _earlier() if only else {}
    for axis in axes.AXES:
        if axis.name.startswith(only):
            results[axis.name] = measure(axis, tiny=tiny)
    path = report.write("capacity", results)
    plot.draw(results, report.BUILD / "capacity.png")
    print(f"\nwritten: {path}")


def _earlier() -> dict[str, Any]:
    path = report.BUILD / "capacity.json"
    if not path.exists():
        return {}
    found: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return found


def measure(axis: axes.Axis, *, tiny: bool) -> dict[str, Any]:
    """Measures one axis at each of its sizes."""
    samples = [
        axis.measure(
            size,
            settle_s=TINY_SETTLE_S if tiny else SETTLE_S + axis.extra_settle_s,
            seconds=TINY_SECONDS if tiny else SECONDS,
        )
        for size in (axis.tiny_sizes if tiny else axis.sizes)
    ]
    print(f"\n{axis.name}, for each {axis.unit}")
    print(report.table(samples))
    lines = _lines(samples)
    print(
        report.table(
            [{"quantity": name, **line} for name, line in lines.items()]
        )
    )
    return {"unit": axis.unit, "samples": samples, "lines": lines}


def _lines(samples: list[dict[str, float]]) -> dict[str, dict[str, Any]]:
    names = {name for sample in samples for name in sample} - NOT_FITTED
    sizes = [sample["size"] for sample in samples]
    return {
        name: attrs.asdict(
            fit.fit(sizes, [sample.get(name, 0.0) for sample in samples])
        )
        for name in sorted(names)
    }
