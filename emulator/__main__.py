"""`python -m emulator EXPERIMENT`: policies against each other, as a table."""

from __future__ import annotations

import json as json_module
import pathlib
import sys

import fire

from bench.report import table
from emulator import experiment as experiments
from emulator.play import check_policy
from emulator.scenario import load_experiment


def main(
    path: str, *, seeds: str = "", jobs: int = 4, plot: str = "", json: str = ""
) -> None:
    """Plays an experiment and prints a line for each scenario and policy.

    Args:
        path: The experiment, JSON with comments.
        seeds: Seeds in place of the file's, such as 1,2,3.
        jobs: How many plays at a time.
        plot: Where to write a picture, if wanted.
        json: Where to write the table as JSON, if wanted.
    """
    try:
        loaded = load_experiment(pathlib.Path(path))
        if loaded.is_err():
            raise ValueError(loaded.unwrap_err().detail)
        experiment = loaded.unwrap()
        scenarios = experiments.load_scenarios(
            experiment, pathlib.Path(path).parent
        )
        chosen = _seeds(seeds) or experiment.seeds
        for policy in experiment.policies.values():
            check_policy(policy)
    except (AttributeError, ImportError, OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    results = experiments.run(experiment, scenarios, seeds=chosen, jobs=jobs)
    rows = experiments.rows(results, scenarios, chosen)
    print(table(rows))
    if json:
        text = json_module.dumps(rows, indent=2) + "\n"
        pathlib.Path(json).write_text(text, encoding="utf-8")
    if plot:
        experiments.draw_plot(results, plot)


def _seeds(text: object) -> tuple[int, ...]:
    """Reads what fire made of `1,2,3`: a tuple, a number or text.

    Raises:
        ValueError: It is no list of numbers.
    """
    if text == "":
        return ()
    if isinstance(text, int):
        return (text,)
    parts = text if isinstance(text, tuple) else str(text).split(",")
    return tuple(int(part) for part in parts)


if __name__ == "__main__":
    fire.Fire(main)
