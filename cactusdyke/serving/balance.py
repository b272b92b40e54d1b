"""Chooses a replica of a plain service by the time it should take there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica

DEFAULT_LATENCY_MS = 100.0
"""Assumed of a service that was not measured; only ratios matter."""
FAILURE_COST = 4.0
"""A failed attempt costs about as much as four that succeed: the attempt,
the next one, and the retry that it takes from the budget."""
IDLE_MS = 2_000.0
IDLE_BONUS = 0.3
"""A replica that got nothing for a while looks so much faster than it is known
to be: else the one that was best once would get everything for ever."""
REMOTE_PENALTY = 0.03
"""A small push towards the own data centre: links between them are priced."""


def expected_cost(
    replica: Replica,
    health: ReplicaHealth,
    *,
    typical_ms: float,
    local_data_centre: str,
) -> float:
    """Returns about how long a request sent there takes, in milliseconds."""
    latency = health.latency_ms(replica.name, typical_ms)
    load = health.load(replica.name)
    slots = max(1, replica.slots)
    crowd = 0.3 * load / slots + max(0.0, load + 1 - slots) / slots
    far = REMOTE_PENALTY if replica.data_centre != local_data_centre else 0.0
    unused = min(1.0, health.idle_ms(replica.name) / IDLE_MS)
    latency *= 1 - IDLE_BONUS * unused
    failing = FAILURE_COST * health.failure_share(replica.name)
    return latency * (1 + crowd + far) + typical_ms * failing


def choose(
    replicas: Sequence[Replica],
    health: ReplicaHealth,
    *,
    rng: random.Random,
    local_data_centre: str,
    exclude: Collection[str] = (),
) -> Replica | None:
    """Returns the replica with the least expected cost."""
    candidates = [r for r in replicas if r.name not in exclude]
    if not candidates:
        candidates = list(replicas)
    if not candidates:
        return None
    rng.shuffle(candidates)
    known = [health.latency_ms(r.name, DEFAULT_LATENCY_MS) for r in candidates]
    usual_ms = sorted(known)[len(known) // 2]
    return min(
        candidates,
        key=lambda r: expected_cost(
            r, health, typical_ms=usual_ms, local_data_centre=local_data_centre
        ),
    )
