"""The measurements of serving, a module a case."""

from __future__ import annotations

import sys

from bench import cases


def run(*, tiny: bool, only: str) -> None:
    """Runs the cases; see `bench.cases`."""
    cases.run(sys.modules[__name__], tiny=tiny, only=only)
