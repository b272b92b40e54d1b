"""Bounds how much work a stage's replicas can do for one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.model import BatchSpec, StageSpec

TOLERANCE = 2.0
"""Replicas may be this many times as fast or as large as is configured, or more
may be started, before a request that is refused could have been served."""
MIN_CALL_MS = 1.0
MAX_PIECES_AT_ONCE = 1_000
"""Pieces of one stage that a request has in a queue. Each queued piece costs
memory, and time whenever a call is composed."""
MAX_INPUTS_AT_ONCE = 20_000
"""Inputs of those pieces; each piece states all of its inputs in its call."""


def most_pieces(
    stage: StageSpec,
    batching: BatchSpec,
    *,
    replica_count: int,
    within_ms: float,
) -> float:
    """Returns a bound of the pieces of a stage that can be computed in time.

    All results of a stage are in its replicas' memory at the same time.
    """
    replicas = max(1, replica_count)
    call_ms = max(MIN_CALL_MS, batching.full_call_ms)
    calls = 1 + math.floor(max(0.0, within_ms) * TOLERANCE / call_ms)
    in_time = replicas * batching.concurrent_calls * batching.batch * calls
    if not stage.result_bytes:
        return in_time
    capacity_bytes = replicas * batching.result_capacity_bytes
    in_memory = max(
        batching.batch, TOLERANCE * capacity_bytes / stage.result_bytes
    )
    return min(in_time, in_memory)


def pieces_at_once(input_count: int) -> int:
    """Returns how many pieces with so many inputs may be queued together."""
    by_inputs = MAX_INPUTS_AT_ONCE // max(1, input_count)
    return max(1, min(MAX_PIECES_AT_ONCE, by_inputs))
