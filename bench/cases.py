"""A measurement made of cases, each a module with a `run_case`."""

from __future__ import annotations

import importlib
import pkgutil
import types
from typing import Any

from bench import report


def run(package: types.ModuleType, *, tiny: bool, only: str) -> None:
    """Runs the modules `case_*` of a package, prints and writes their rows.

    A case has `run_case(tiny: bool) -> list[dict]`, a row for each column
    that is compared, such as the naive version's and the project's.
    """
    name = package.__name__.split(".")[-1]
    cases: dict[str, list[dict[str, Any]]] = {}
    for module in sorted(
        m.name for m in pkgutil.iter_modules(package.__path__)
    ):
        if not module.startswith(f"case_{only}"):
            continue
        case = importlib.import_module(f"{package.__name__}.{module}")
        rows = case.run_case(tiny=tiny)
        print(f"\n{module}: {(case.__doc__ or '').splitlines()[0]}")
        print(report.table(rows))
        cases[module] = rows
    print(f"\nwritten: {report.write(name, cases)}")
