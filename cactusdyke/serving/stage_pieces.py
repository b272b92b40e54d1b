"""Pieces of stages on their way through a queue, and the calls with them."""

from __future__ import annotations

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.dialect import Piece, PieceResult
from cactusdyke.serving.dispatch_messages import StageInputs


@attrs.define(kw_only=True, eq=False)
class PieceTask:
    """Progress of one piece in the queue and in calls.

    Attributes:
        piece: The piece.
        group: All pieces of the same stage of the same request.
        attempts: Number of calls that included the piece.
        inputs_fetched: Whether its current call has had time to fetch its
            inputs.
        result: Result or failure, None while it is pending.
    """

    piece: Piece
    group: PieceGroup
    attempts: int = 0
    inputs_fetched: bool = False
    result: PieceResult | None = None


@attrs.define(kw_only=True, eq=False)
class PieceGroup:
    """All pieces of one stage of one request.

    Attributes:
        objective_at: Instant until which results have their full value.
        deadline_at: Instant after which results have no value.
        priority: Priority of the request; 0 is the most urgent.
        result_bytes: Approximate size of one result.
        data_centre: Data centre of the inputs, or of the reader of the
            results; empty if unknown.
        transfer_bytes: Bytes to transfer for each piece that is computed in
            another data centre.
        tasks: The pieces.
        queued_at: Instant at which it was queued.
        feasible: Whether it could meet its objective when it was queued.
        cancelled: Whether its request no longer needs it.
        started: Whether a call has included one of its pieces.
        last_use_of: Inputs that no other work needs.
        inputs_freed: Whether those inputs have been freed early.
        inputs_in_scarce_memory: Whether its inputs occupy memory that other
            work needs.
        customer: Name of the request's customer, empty if unknown.
        weight: The customer's weight.
        within_share: Whether it was within its customer's share when it
            arrived; None before that is decided.
        late_shift_ms: Shift of the group in the order of late ones; 0 if it is
            within the share.
        digest: Equal for each retry of its request; empty if the request must
            not get a reservation.
        caller_waits_until: Instant until which the caller waits.
        reserved: Whether its request was refused before and has returned at the
            time that was reserved for it.
    """

    objective_at: Instant
    deadline_at: Instant
    priority: int
    result_bytes: float
    data_centre: str = ""
    transfer_bytes: float = 0.0
    tasks: list[PieceTask] = attrs.field(factory=list)
    queued_at: Instant = 0.0
    feasible: bool = True
    cancelled: bool = False
    started: bool = False
    last_use_of: tuple[StageInputs, ...] = ()
    inputs_freed: bool = False
    inputs_in_scarce_memory: bool = False
    customer: str = ""
    weight: float = 1.0
    within_share: bool | None = None
    late_shift_ms: float = 0.0
    digest: str = ""
    caller_waits_until: Instant = 0.0
    reserved: bool = False

    @property
    def done(self) -> bool:
        """Whether every piece has a result or a failure."""
        return all(task.result is not None for task in self.tasks)

    @property
    def inputs_fetched(self) -> bool:
        """Whether every piece has had time to fetch its inputs."""
        return all(task.inputs_fetched for task in self.tasks)


@attrs.frozen(kw_only=True)
class Backlog:
    """Estimated queueing delay of a new group, in milliseconds.

    Attributes:
        feasible_ms: Delay behind the groups that can still meet their
            objectives.
        all_ms: Delay behind all groups within their customers' shares. The
            others must not cause daemons to refuse requests of customers
            within their shares.
        total_ms: Delay behind all groups.
    """

    feasible_ms: float = 0.0
    all_ms: float = 0.0
    total_ms: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Batch:
    """The pieces of one call to a replica.

    Attributes:
        replica_name: Name of the replica.
        tasks: The pieces.
        expected_ms: Expected duration of the call.
        started_at: Instant at which the batch was composed.
        free_bytes: Estimated free memory of the replica at that instant.
        without_memory: Number of queued pieces that it left out, as the replica
            had no memory for their results.
        reported_slowdown: Slowdown that the replica had reported by then.
        ended: Whether the call has ended, with success or not.
    """

    replica_name: str
    tasks: tuple[PieceTask, ...]
    expected_ms: float
    started_at: Instant
    free_bytes: float
    without_memory: int = 0
    reported_slowdown: float = 1.0
    ended: bool = False
