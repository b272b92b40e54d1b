"""Chooses the replica of a plain service with the least expected cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica

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


def expected_cost(
    replica: Replica,
    health: ReplicaHealth,
    *,
    typical_ms: float,
    local_data_centre: str,
) -> float:
    """Returns the expected cost of a request at a replica, in milliseconds.

    The cost is the expected latency plus a penalty for recent failures.
    """
    latency = health.latency_ms(replica.name, typical_ms)
    load = health.load(replica.name)
    slots = max(1, replica.slots)
    queueing = 0.3 * load / slots + max(0.0, load + 1 - slots) / slots
    remote = REMOTE_PENALTY if replica.data_centre != local_data_centre else 0.0
    idle = min(1.0, health.idle_ms(replica.name) / IDLE_MS)
    latency *= 1 - IDLE_BONUS * idle
    failure_cost = FAILURE_COST * health.failure_share(replica.name)
    return latency * (1 + queueing + remote) + typical_ms * failure_cost


def choose(
    replicas: Sequence[Replica],
    health: ReplicaHealth,
    *,
    rng: random.Random,
    local_data_centre: str,
    exclude: Collection[str] = (),
) -> Replica | None:
    """Returns the replica with the least expected cost.

    Replicas in `exclude` are used only if there are no others.
    """
    candidates = [r for r in replicas if r.name not in exclude]
    if not candidates:
        candidates = list(replicas)
    if not candidates:
        return None
    rng.shuffle(candidates)
    latencies = [
        health.latency_ms(r.name, DEFAULT_LATENCY_MS) for r in candidates
    ]
    typical_ms = sorted(latencies)[len(latencies) // 2]
    return min(
        candidates,
        key=lambda r: expected_cost(
            r,
            health,
            typical_ms=typical_ms,
            local_data_centre=local_data_centre,
        ),
    )
