"""Decides which replicas of a stage service get the next calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.clock import Instant
    from cactusdyke.serving.model import BatchSpec
    from cactusdyke.serving.stage_replicas import StageReplica


def callable_replicas(
    replicas: Mapping[str, StageReplica],
    *,
    spec: BatchSpec,
    reported_slowdown: Callable[[str], float],
    now: Instant,
) -> list[str]:
    """Returns the replicas that can take a call now, the best first."""
    ends = {
        name: max(now, replica.busy_until, replica.paused_until)
        + spec.full_call_ms * replica.current_slowdown(now)
        for name, replica in replicas.items()
    }
    free = []
    for name, replica in replicas.items():
        if replica.running_calls >= spec.concurrent_calls:
            continue
        if now < max(replica.paused_until, replica.report_pending_until):
            continue
        # A slow replica gets a call only if no other replica, including
        # the busy ones, would finish it sooner.
        others = [end for other, end in ends.items() if other != name]
        if others and ends[name] > min(others) + spec.full_call_ms:
            continue
        free.append(name)
    # Reports only order the free replicas. Calls that were held back from
    # replicas that report a slowdown made all slower at 0.8 of the
    # capacity: a report comes at the end of a call, which takes about half
    # as long as they stay slow.
    return sorted(
        free,
        key=lambda n: (
            round(
                replicas[n].current_slowdown(now) * reported_slowdown(n),
                1,
            ),
            replicas[n].held_bytes,
        ),
    )
