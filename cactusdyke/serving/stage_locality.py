"""Decides which pieces wait for replicas in the data centre of their data."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.clock import Instant
    from cactusdyke.serving.model import BatchSpec
    from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
    from cactusdyke.serving.stage_replicas import StageReplica

LOCAL_SLACK_MS = 100.0
"""Time that must remain before the objective when a local call ends."""
MAX_LOCAL_WAIT_MS = 150.0
"""Longest wait for a local replica while the queue is long. It is half a call,
as the inputs of the piece occupy replica memory meanwhile."""
LARGE_TRANSFER_BYTES = 200_000.0
"""Size from which the transfer for a piece is worth avoiding."""


def needs_large_transfer(group: PieceGroup, replica: StageReplica) -> bool:
    """Returns whether a replica needs a large transfer for a piece."""
    return (
        bool(group.data_centre)
        and group.data_centre != replica.data_centre
        and group.transfer_bytes >= LARGE_TRANSFER_BYTES
    )


class LocalCalls:
    """Estimates the next call of each data centre.

    Args:
        spec: Capacity and timing of a replica.
        usable: The usable replicas.
        queued: The queued pieces.
        now: The present instant.
    """

    def __init__(
        self,
        *,
        spec: BatchSpec,
        usable: Sequence[StageReplica],
        queued: Sequence[PieceTask],
        now: Instant,
    ) -> None:
        self._spec = spec
        self._usable = usable
        self._now = now
        self._queued_by_data_centre = collections.Counter(
            task.group.data_centre for task in queued
        )
        queue_is_short = 2 * len(queued) <= spec.batch * len(usable)
        self._max_wait_ms = (
            spec.full_call_ms if queue_is_short else MAX_LOCAL_WAIT_MS
        )

    def in_time(self, group: PieceGroup) -> bool:
        """Returns whether a local call would meet a group's objective.

        A free replica in another data centre then skips its pieces, unless
        more pieces are queued for the data centre than its next call takes.
        """
        data_centre = group.data_centre
        if self._queued_by_data_centre[data_centre] > self._spec.batch:
            return False
        starts = [
            max(self._now, replica.busy_until, replica.paused_until)
            for replica in self._usable
            if replica.data_centre == data_centre
        ]
        if not starts or min(starts) > self._now + self._max_wait_ms:
            return False
        end = min(starts) + self._spec.full_call_ms
        return end + LOCAL_SLACK_MS <= group.objective_at
