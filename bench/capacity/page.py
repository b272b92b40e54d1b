"""Writes the tables of docs/CAPACITY.md from docs/capacity.json.

The text around the tables is by hand; a table stands between
`<!-- table NAME -->` and `<!-- end -->`.
"""

from __future__ import annotations

import json
import pathlib
import re
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from bench.capacity import roles

PAGE = pathlib.Path("docs/CAPACITY.md")
FIGURES = pathlib.Path("docs/capacity.json")
MEASURED = pathlib.Path("build/bench/capacity.json")
BUDGETS = {"bytes/s": 5_000.0, "CPU ms/s": 12.0, "memory MB": 256.0}
MESSAGES_PER_DAEMON = 10.0
_TABLE = re.compile(r"(<!-- table (\S+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


def render(text: str, results: Mapping[str, Any]) -> str:
    """Returns the page with its tables written anew."""
    tables = {role.key: _role(role, results) for role in roles.ROLES}
    tables["total"] = _total(results)
    tables["lines"] = _lines(results)
    tables["sizes"] = _sizes()
    tables["store"] = _store(results)
    return _TABLE.sub(
        lambda match: f"{match[1]}{tables[match[2]]}{match[4]}", text
    )


def cost(
    role: roles.Role, column: str, results: Mapping[str, Any], size: roles.Size
) -> float:
    """Returns one cell: a role's cost for one daemon of a deployment."""
    return sum(term.value(results, size) for term in role.terms[column])


def _role(role: roles.Role, results: Mapping[str, Any]) -> str:
    rows = []
    for column, terms in role.terms.items():
        cells = [
            _number(cost(role, column, results, size)) for size in roles.SIZES
        ]
        formula = "; ".join(term.text() for term in terms)
        rows.append([column, *cells, formula])
    names = [size.name for size in roles.SIZES]
    return _table(["per daemon", *names, "from"], rows)


def _total(results: Mapping[str, Any]) -> str:
    control = [role for role in roles.ROLES if role.key not in roles.SERVING]
    rows = []
    for column in ("messages/s", "bytes/s", "CPU ms/s", "memory MB"):
        sums = [
            sum(cost(role, column, results, size) for role in control)
            for size in roles.SIZES
        ]
        budget = BUDGETS.get(column, MESSAGES_PER_DAEMON)
        verdict = "under" if sums[-1] <= budget else "OVER"
        cells = [_number(value) for value in sums]
        rows.append([column, *cells, _number(budget), verdict])
    names = [size.name for size in roles.SIZES]
    return _table(["control per daemon", *names, "budget", "target"], rows)


def _store(results: Mapping[str, Any]) -> str:
    rows = []
    for size in roles.SIZES:
        calls = sum(
            cost(role, "store calls/s", results, size)
            for role in roles.ROLES
            if role.key not in roles.SERVING
        )
        rows.append([size.name, _number(calls), _number(calls * size.daemons)])
    head = ["deployment", "store calls/s per daemon", "over all daemons"]
    return _table(head, rows)


def _sizes() -> str:
    columns = ("daemons", "replicas", "customers", "models", "pipelines")
    loads = ("changes_per_day", "requests", "tokens")
    rows = [
        [
            size.name,
            *(_number(getattr(size, name)) for name in (*columns, *loads)),
        ]
        for size in roles.SIZES
    ]
    head = [*columns, "changes/day", "requests/s", "tokens/s"]
    return _table(["deployment", *head], rows)


def _lines(results: Mapping[str, Any]) -> str:
    rows = []
    for axis, result in results.items():
        sizes = ", ".join(_number(s["size"]) for s in result["samples"])
        for quantity, line in result["lines"].items():
            if not any(s.get(quantity, 0.0) for s in result["samples"]):
                continue
            rows.append(
                [
                    axis,
                    sizes,
                    quantity,
                    _number(line["slope"]),
                    _number(line["intercept"]),
                    _number(line["residual"]),
                    "yes" if line["fits"] else "no",
                ]
            )
    head = ["axis", "sizes", "quantity", "slope", "intercept", "residual"]
    return _table([*head, "line fits"], rows)


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def main() -> None:
    """Writes the tables; with `--take` from the latest measurement."""
    if "--take" in sys.argv[1:]:
        FIGURES.write_text(MEASURED.read_text(encoding="utf-8"))
    results = json.loads(FIGURES.read_text(encoding="utf-8"))
    page = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(render(page, results), encoding="utf-8")


if __name__ == "__main__":
    main()
