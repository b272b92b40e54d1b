"""Plays of the emulator for scenarios that ask for several seeds."""

from __future__ import annotations

from emulator.experiment import OURS, run
from emulator.scenario import Experiment


def play_seeds(scenario, seeds):
    """Plays a scenario with each seed; returns the results in order."""
    results = run(
        Experiment(scenarios={}),
        {"s": scenario},
        seeds=seeds,
        jobs=len(seeds),
    )
    return [results["s", OURS, seed] for seed in seeds]
