"""Decides in which order the groups of a stage service are computed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.clock import Instant
    from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask

PRIORITY_STEP_MS = 500.0
"""Shift of a group's objective in the order for each step of priority."""
LATE_PRIORITY_STEP_MS = 60_000.0
"""The same among late groups. It exceeds the time that callers wait and the
shift by customers' shares, so that priority precedes both."""
STARTED_ADVANCE_MS = 10_000.0
"""Moves every group with a piece in a call ahead of groups without one."""
RESERVED_OBJECTIVE_MS = 1_500.0
"""Objective of a returning group if none of its priority is queued. It is the
shortest of the users' objectives, so that more urgent groups stay ahead."""


def sort_key(
    group: PieceGroup, now: Instant, call_ms: float
) -> tuple[bool, float]:
    """Returns a key that is smaller for groups that precede others.

    Groups that can meet their objectives precede late ones: a late result
    has little value, and computing it first makes other groups late.
    """
    # The results of a started group occupy replica memory until its last
    # piece is computed. Many started groups would fill the memory with
    # incomplete sets of results.
    # The inputs of a group occupy memory too: late groups queued behind all
    # others kept half of the previous stage's memory in use for seconds,
    # until the inputs expired and were computed again, and no request met
    # its objective.
    occupies_memory = group.started or group.inputs_in_scarce_memory
    if is_late(group, now, call_ms) and not occupies_memory:
        # Among late groups the one with the most time left goes first.
        # Ordered by deadline, all of them finished just as their callers
        # gave up: the results of 22 requests a day reached an engine too
        # late.
        return (
            True,
            group.priority * LATE_PRIORITY_STEP_MS
            + group.late_shift_ms
            - group.deadline_at,
        )
    rank_ms = (
        group.priority * PRIORITY_STEP_MS - group.started * STARTED_ADVANCE_MS
    )
    return (False, group.objective_at + rank_ms)


def is_late(group: PieceGroup, now: Instant, call_ms: float) -> bool:
    """Returns whether a group counts as one that misses its objective."""
    # A place must not carry a customer past the share of others.
    if group.reserved and group.within_share is not False:
        return False
    return not group.feasible or now + call_ms > group.objective_at


def earliest_objective(
    queued: Iterable[PieceTask], priority: int, now: Instant, call_ms: float
) -> Instant:
    """Returns an objective that precedes those of one priority.

    A group that gets it stays behind more urgent groups that precede all of
    its priority.
    """
    objectives = (
        task.group.objective_at - 1.0
        for task in queued
        if task.group.priority == priority
        and not task.group.reserved
        and not is_late(task.group, now, call_ms)
    )
    return min(objectives, default=now + RESERVED_OBJECTIVE_MS)
