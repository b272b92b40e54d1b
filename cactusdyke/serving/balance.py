"""Chooses a replica of a plain service by its expected cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.replica_load import ReplicaLoads

DEFAULT_LATENCY_MS = 100.0
"""Assumed for replicas without measurements; only ratios matter."""
FAILURE_COST = 4.0
"""A failed attempt costs about as much as four successful ones: the attempt
itself, its retry, and the loss from the retry budget."""
IDLE_MS = 2_000.0
IDLE_BONUS = 0.3
"""Share by which the expected latency of an idle replica is reduced. Otherwise
the replica that was once the fastest would receive all requests."""
REMOTE_PENALTY = 0.03
"""Slight preference for the local data centre: links between data centres are
priced."""
NEAR_BEST = 1.25
"""Ratio to the least cost up to which replicas are equally likely to be drawn.
An idle replica and one with two thirds of its slots taken are within it."""
DRAWN_LIMIT = 1.4
"""Ratio from which they are never drawn. A replica that reported 2.5 times its
normal time is drawn again after five sixths of the decay time."""


def expected_cost(
    replica: Replica,
    health: ReplicaHealth,
    *,
    latency_ms: float,
    typical_ms: float,
    local_data_centre: str,
) -> float:
    """Returns the expected cost of a request at a replica, in milliseconds.

    The cost is the expected latency plus a penalty for recent failures.
    """
    load = health.load(replica.name)
    slots = max(1, replica.slots)
    queueing = 0.3 * load / slots + max(0.0, load + 1 - slots) / slots
    remote = REMOTE_PENALTY if replica.data_centre != local_data_centre else 0.0
    idle = min(1.0, health.idle_ms(replica.name) / IDLE_MS)
    latency = latency_ms * (1 - IDLE_BONUS * idle)
    failure_cost = FAILURE_COST * health.failure_share(replica.name)
    return latency * (1 + queueing + remote) + typical_ms * failure_cost


def choose(
    replicas: Sequence[Replica],
    health: ReplicaHealth,
    *,
    rng: random.Random,
    local_data_centre: str,
    exclude: Collection[str] = (),
    loads: ReplicaLoads | None = None,
) -> Replica | None:
    """Returns the replica with the least expected cost, or one near it.

    With reports of how slow replicas are, one of the near-best is drawn: many
    daemons may have the same report, and must not all choose the same replica.

    Args:
        replicas: Replicas of one service.
        health: Outcomes, latency and load of each.
        rng: Source of random numbers.
        local_data_centre: Data centre of this daemon.
        exclude: Names of replicas that are used only if there are no others.
        loads: Reports of how slow replicas are.
    """
    candidates = [r for r in replicas if r.name not in exclude]
    if not candidates:
        candidates = list(replicas)
    if not candidates:
        return None
    rng.shuffle(candidates)
    measured = [health.latency(r.name) for r in candidates]
    latencies = [
        (total_ms + DEFAULT_LATENCY_MS) / (weight + 1)
        for total_ms, weight in measured
    ]
    typical_ms = sorted(latencies)[len(latencies) // 2]
    costs = [
        expected_cost(
            replica,
            health,
            latency_ms=(total_ms + typical_ms) / (weight + 1),
            typical_ms=typical_ms,
            local_data_centre=local_data_centre,
        )
        for replica, (total_ms, weight) in zip(
            candidates, measured, strict=True
        )
    ]
    if loads is None or not loads.is_informed(candidates[0].service):
        return candidates[costs.index(min(costs))]
    slowed = [
        cost * loads.slowdown(replica)
        for cost, replica in zip(costs, candidates, strict=True)
    ]
    return _draw_near_best(candidates, slowed, rng)


def _draw_near_best(
    candidates: Sequence[Replica], costs: Sequence[float], rng: random.Random
) -> Replica:
    """Draws one of the replicas whose cost is near the least."""
    least = min(costs)
    limit = DRAWN_LIMIT * least
    full = (DRAWN_LIMIT - NEAR_BEST) * least
    weights = [max(0.0, min(full, limit - cost)) for cost in costs]
    left = rng.random() * sum(weights)
    for candidate, weight in zip(candidates, weights, strict=True):
        left -= weight
        if left < 0:
            return candidate
    return candidates[costs.index(least)]
