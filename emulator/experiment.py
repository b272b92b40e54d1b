"""Plays scenarios with policies and seeds, and compares them."""

from __future__ import annotations

import concurrent.futures
import gc
import itertools
import multiprocessing
import pathlib
import random
import statistics
from typing import TYPE_CHECKING, Any

from emulator.arrivals import draw
from emulator.bound import bound
from emulator.play import PlayResult, play
from emulator.scenario import Policy, Scenario, load_scenario

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from emulator.scenario import Experiment

GC_THRESHOLDS = (100_000, 20, 100)
"""A play keeps almost all that it makes; collections cost a sixth of it."""
OURS = "ours"

Results = dict[tuple[str, str, int], PlayResult]


def load_scenarios(
    experiment: Experiment, folder: pathlib.Path
) -> dict[str, Scenario]:
    """Reads the scenarios of an experiment, by name.

    Raises:
        OSError: A file is not there.
        ValueError: A file is not a scenario.
    """
    found = {}
    for name, path in experiment.scenarios.items():
        loaded = load_scenario(folder / path)
        if loaded.is_err():
            raise ValueError(loaded.unwrap_err().detail)
        found[name] = loaded.unwrap()
    return found


def run(
    experiment: Experiment,
    scenarios: Mapping[str, Scenario],
    *,
    seeds: Sequence[int],
    jobs: int,
) -> Results:
    """Plays all of it, a process for each play: policies change a process."""
    policies: dict[str, Policy | None] = {OURS: None, **experiment.policies}
    plays = list(itertools.product(scenarios, policies, seeds))
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=jobs,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
        initializer=gc.set_threshold,
        initargs=GC_THRESHOLDS,
    ) as pool:
        done = [
            pool.submit(play, scenarios[scenario], seed, policies[policy])
            for scenario, policy, seed in plays
        ]
        return {
            key: future.result()
            for key, future in zip(plays, done, strict=True)
        }


def rows(
    results: Results, scenarios: Mapping[str, Scenario], seeds: Sequence[int]
) -> list[dict[str, Any]]:
    """Returns a line for each scenario and policy, and one for the bound."""
    lines = []
    for scenario in scenarios:
        policies = dict.fromkeys(p for s, p, _ in results if s == scenario)
        for policy in policies:
            plays = [results[scenario, policy, seed] for seed in seeds]
            lines.append(_row(scenario, policy, plays))
        bounds = [
            bound(scenarios[scenario], draw(scenarios[scenario], _rng(seed)))
            for seed in seeds
        ]
        lines.append(
            {
                "scenario": scenario,
                "policy": "bound",
                "worth": round(statistics.mean(bounds), 3),
            }
        )
    return lines


def _rng(seed: int) -> random.Random:
    return random.Random(seed)


def _row(
    scenario: str, policy: str, plays: Sequence[PlayResult]
) -> dict[str, Any]:
    def mean(values: Sequence[float], digits: int = 3) -> float:
        return round(statistics.mean(values), digits)

    kinds = {
        kind: mean([p.kinds[kind] for p in plays], 2) for kind in plays[0].kinds
    }
    customers = [value for p in plays for value in p.customers.values()]
    least = {"least customer": round(min(customers), 3)} if customers else {}
    return {
        "scenario": scenario,
        "policy": policy,
        "worth": mean([p.worth for p in plays]),
        "spread": round(statistics.pstdev([p.worth for p in plays]), 3),
        "worst windows": mean([p.worst_windows for p in plays]),
        "crossed MB": mean([p.crossed_mb for p in plays], 0),
        "unused": mean([p.unused for p in plays]),
        "no room": mean([p.no_room for p in plays], 0),
        "disagreed ms": mean([p.disagreed_ms for p in plays], 0),
        "crashes": mean([p.crashes for p in plays], 1),
        "to cold": mean(
            [p.counts.get("requests to cold", 0) for p in plays], 0
        ),
        "too many for cold": sum(
            p.counts.get("requests too many for cold", 0) for p in plays
        ),
        "to limited": mean(
            [p.counts.get("requests to limited", 0) for p in plays], 0
        ),
        "too many for limited": sum(
            p.counts.get("requests too many for limited", 0) for p in plays
        ),
        "sent on": max(p.sent_on for p in plays),
        "sound refused": sum(
            p.counts.get("sound quarantined", 0) for p in plays
        ),
        **least,
        **kinds,
    }


def draw_plot(results: Results, path: str) -> None:
    """Writes a PNG: worth by time, a line for each policy.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: The file can't be written.
    """
    import matplotlib as mpl  # noqa: PLC0415  (only where a plot is wanted)

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    names = list(dict.fromkeys(scenario for scenario, _, _ in results))
    figure, axes = pyplot.subplots(
        len(names), 1, squeeze=False, figsize=(8, 3 * len(names))
    )
    for name, (axis,) in zip(names, axes, strict=True):
        for policy in dict.fromkeys(p for s, p, _ in results if s == name):
            plays = [
                r
                for (s, p, _), r in results.items()
                if (s, p) == (name, policy)
            ]
            windows = sorted(set.intersection(*(set(r.windows) for r in plays)))
            worth = [
                statistics.mean(r.windows[w] for r in plays) for w in windows
            ]
            axis.plot([2 * w for w in windows], worth, label=policy)
        axis.set_title(name)
        axis.set_ylabel("worth")
        axis.legend(fontsize="x-small")
    axes[-1][0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
