"""`python -m bench NAME`: runs one measurement."""

from __future__ import annotations

import importlib

import fire

MEASUREMENTS = ("serving", "control", "capacity")


def run(name: str, *, tiny: bool = False, only: str = "") -> None:
    """Runs a measurement.

    Args:
        name: serving, control or capacity.
        tiny: Whether to run it in its smallest size, as CI does.
        only: Run only the cases whose names begin with this.
    """
    if name not in MEASUREMENTS:
        raise SystemExit(f"bench: name one of {', '.join(MEASUREMENTS)}")
    module = importlib.import_module(f"bench.{name}")
    module.run(tiny=tiny, only=only)


if __name__ == "__main__":
    fire.Fire(run)
