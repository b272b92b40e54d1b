"""Orders the pieces of a stage service and composes its calls.

The queue does no I/O: its owner reports events and sends the calls that the
queue returns.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cactusdyke.serving.dialect import PieceFailure, PieceResult
from cactusdyke.serving.replica_load import unexplained
from cactusdyke.serving.share_admission import MAX_OVER_SHARE_MS, ShareAdmission
from cactusdyke.serving.stage_locality import LocalCalls, needs_large_transfer
from cactusdyke.serving.stage_order import earliest_objective, sort_key
from cactusdyke.serving.stage_pieces import Backlog, Batch
from cactusdyke.serving.stage_replica_choice import callable_replicas
from cactusdyke.serving.stage_replicas import StageReplica
from cactusdyke.serving.stage_throughput import StageThroughput

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.customer_shares import CustomerShares
    from cactusdyke.serving.dialect import MemoryReport
    from cactusdyke.serving.model import BatchSpec
    from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask

MAX_ATTEMPTS = 4
FEASIBILITY_MARGIN = 1.2
"""Allowance for calls that are not full."""
REFUSED_PAUSE_MS = 60.0
"""A replica that refuses a call runs one of another daemon; it takes 200 ms."""
TRANSFER_PENALTY_MS = 120.0
"""Shift of a piece in the order at a replica outside the data centre of its
inputs, or of the engine that fetches its result."""
MAX_LATE_WAIT_MS = 2_500.0
"""Wait after which a late group is refused, unless it was started or its inputs
occupy scarce memory. Its caller can retry when there is capacity, and the queue
does not fill with work whose results are never read."""
DELIVERY_MARGIN_MS = 50.0
"""A result that arrives this shortly before its deadline cannot be used."""


class StageQueue:
    """Queue of the pieces of one stage service.

    Args:
        clock: The clock.
        spec: Capacity and timing of a replica.
        reported_slowdown: Returns how slow a replica says that it is.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        spec: BatchSpec,
        reported_slowdown: Callable[[str], float] = lambda _: 1.0,
    ) -> None:
        self._clock = clock
        self._reported_slowdown = reported_slowdown
        self.spec = spec
        self._queued: list[PieceTask] = []
        self._usable_names: frozenset[str] = frozenset()
        self._without_memory = 0
        self._throughput = StageThroughput(clock=clock)
        self._replicas: dict[str, StageReplica] = {}
        self._admission = ShareAdmission(clock=clock, capacity=self._capacity)

    @property
    def shares(self) -> CustomerShares:
        """The shares of the customers under overload."""
        return self._admission.shares

    @property
    def queued_count(self) -> int:
        """Number of pieces that are queued, and in no call yet."""
        return len(self._queued)

    def held_bytes(self, replica_name: str) -> float:
        """Returns the bytes of a replica's known and expected results."""
        replica = self._replica(replica_name)
        return replica.held_bytes + replica.reserved_bytes

    def backlog_ms(self, replica_names: Sequence[str], ahead: int) -> float:
        """Estimates how long `ahead` pieces keep the replicas busy."""
        if not replica_names:
            return math.inf
        calls = ahead / self.spec.batch
        now = self._clock.now()
        busy = min(
            max(0.0, self._replica(name).busy_until - now)
            for name in replica_names
        )
        return busy + calls * self.spec.full_call_ms / len(replica_names)

    def backlog(self) -> Backlog:
        """Estimates the queueing delay of a group that is added now."""
        now = self._clock.now()
        feasible_count = sum(
            not self._sort_key(task.group, now)[0] for task in self._queued
        )
        count = len(self._queued)
        return Backlog(
            feasible_ms=self._drain_ms(feasible_count),
            all_ms=self._drain_ms(
                count - self._admission.count_over_share(self._queued)
            ),
            total_ms=self._drain_ms(count),
        )

    def refuses_over_share(self, group: PieceGroup) -> bool:
        """Returns whether too much work over its share precedes a group."""
        self._admission.decide(group)
        if group.within_share or group.started:
            return False
        ahead = self._admission.count_over_share_ahead(group, self._queued)
        return self._drain_ms(ahead) > MAX_OVER_SHARE_MS

    def _capacity(self) -> float:
        """Returns the pieces per millisecond that are shared out."""
        batch = self.spec.batch
        return batch / max(1.0, self._drain_ms(batch))

    @property
    def pieces_per_ms(self) -> float:
        """The measured throughput, or that of full calls without a backlog."""
        return 1.0 / self._drain_ms(1)

    def _drain_ms(self, ahead: int) -> float:
        """Estimates how long all usable replicas take for `ahead` pieces.

        Replicas without free memory for results compute fewer pieces than
        their calls can carry; the measured throughput then counts.
        """
        replica_count = max(1, len(self._usable_names))
        full_ms = (
            ahead / self.spec.batch * self.spec.full_call_ms / replica_count
        )
        return max(full_ms, self._throughput.drain_ms(ahead))

    def add(self, group: PieceGroup) -> None:
        """Queues a group's pieces.

        Feasibility is decided here, by the pieces ahead of the group. Decided
        later, every piece would be computed just as it becomes late under
        overload, and all requests would miss their objectives at full load.
        """
        now = group.queued_at = self._clock.now()
        self._admission.decide(group)
        group.feasible = bool(group.within_share)
        if group.reserved:
            group.objective_at = earliest_objective(
                self._queued, group.priority, now, self.spec.call_ms
            )
        if group.feasible:
            ahead = self.ahead_of(group)
            group.feasible = self._is_feasible(group, ahead)
            if not group.feasible and self._is_feasible(group, 0):
                self.shares.record_contention()
        if not self._queued:
            self._throughput.record_nonempty()
        self._queued.extend(group.tasks)

    def _is_feasible(self, group: PieceGroup, ahead: int) -> bool:
        wait_ms = FEASIBILITY_MARGIN * self._drain_ms(ahead + len(group.tasks))
        end_at = self._clock.now() + wait_ms + self.spec.call_ms
        return end_at <= group.objective_at

    def cancel(self, group: PieceGroup) -> None:
        """Removes the queued pieces of a group."""
        group.cancelled = True
        self._queued = [t for t in self._queued if t.group is not group]

    def ahead_of(self, group: PieceGroup) -> int:
        """Returns the number of queued pieces that precede a group."""
        now = self._clock.now()
        self._admission.decide(group)
        own_key = self._sort_key(group, now)
        return sum(self._sort_key(t.group, now) < own_key for t in self._queued)

    def set_data_centre(self, replica_name: str, data_centre: str) -> None:
        """Records the data centre of a replica."""
        self._replica(replica_name).data_centre = data_centre

    def next_batch(self, replica_names: Sequence[str]) -> Batch | None:
        """Returns the next call to make, None if none can be made now."""
        self._drop_cancelled()
        self._usable_names = frozenset(replica_names)
        if not self._queued:
            self._throughput.record_empty()
            self._admission.record_empty()
            return None
        free = callable_replicas(
            {name: self._replica(name) for name in replica_names},
            spec=self.spec,
            reported_slowdown=self._reported_slowdown,
            now=self._clock.now(),
        )
        for name in free:
            tasks = self._choose_tasks(name, free)
            if tasks:
                return self._start(name, tasks)
        return None

    def call_ended(
        self, batch: Batch, results: Sequence[PieceResult] | None
    ) -> list[PieceTask]:
        """Records the end of a call and returns the settled pieces.

        Args:
            batch: The call.
            results: One result for each piece, None if the call failed.
        """
        replica = self._replica(batch.replica_name)
        replica.record_usage(self._clock.now())
        replica.end_call(_result_bytes(batch), self._clock.now())
        if results is None:
            replica.back_off(self._clock.now())
            return self._requeue(batch.tasks)
        replica.consecutive_failures = 0
        computed = sum(1 for result in results if result.handle)
        self._throughput.record_results(computed)
        self._record_slowdown(replica, batch)
        settled: list[PieceTask] = []
        to_retry: list[PieceTask] = []
        for task, result in zip(batch.tasks, results, strict=True):
            if result.handle:
                until = self._clock.now() + self.spec.result_lifetime_ms
                replica.add_result(
                    result.handle, task.group.result_bytes, until
                )
            if result.failure in {PieceFailure.FAILED, PieceFailure.NO_ROOM}:
                to_retry.append(task)
                continue
            task.result = result
            settled.append(task)
        self._record_memory(replica, batch, results)
        return settled + self._requeue(to_retry)

    def call_refused(self, batch: Batch) -> list[PieceTask]:
        """Records that a replica refused a call, which counts as no attempt."""
        replica = self._replica(batch.replica_name)
        replica.end_call(_result_bytes(batch), self._clock.now())
        replica.paused_until = self._clock.now() + REFUSED_PAUSE_MS
        for task in batch.tasks:
            task.attempts -= 1
        return self._requeue(batch.tasks)

    def require_reports(self, names: Sequence[str], until: Instant) -> None:
        """Holds back calls to replicas until they report, or until `until`."""
        for name in names:
            self._replica(name).report_pending_until = until

    def apply_report(self, replica_name: str, report: MemoryReport) -> float:
        """Applies a memory report; returns the unaccounted share of memory."""
        replica = self._replica(replica_name)
        return replica.apply_report(self.spec, report, self._clock.now())

    def results_freed(self, replica_name: str, handles: Sequence[str]) -> None:
        """Records that results were freed."""
        replica = self._replica(replica_name)
        replica.record_usage(self._clock.now())
        for handle in handles:
            replica.remove_result(handle)

    def record_held_result(
        self, replica_name: str, handle: str, size: float, age_ms: float
    ) -> None:
        """Records a result that another daemon reports at a replica."""
        replica = self._replica(replica_name)
        if handle not in replica.held_results:
            until = self._clock.now() + self.spec.result_lifetime_ms - age_ms
            replica.add_result(handle, size, until)
            # It expires before the results computed here, and expiry is
            # checked in the order of this dictionary.
            replica.held_results.move_to_end(handle, last=False)

    def expire(self) -> list[PieceTask]:
        """Settles queued pieces that are to be abandoned and returns them."""
        now = self._clock.now()
        late = [t for t in self._queued if self._should_abandon(t.group, now)]
        for task in late:
            task.result = PieceResult(failure=PieceFailure.LATE)
        self._queued = [t for t in self._queued if t.result is None]
        return late

    def _drop_cancelled(self) -> None:
        self._queued = [
            task for task in self._queued if not task.group.cancelled
        ]

    def _should_abandon(self, group: PieceGroup, now: Instant) -> bool:
        min_ms = self.spec.call_ms + self.spec.piece_ms + DELIVERY_MARGIN_MS
        if now + min_ms > group.deadline_at:
            return True
        waited_long = now - group.queued_at > MAX_LATE_WAIT_MS
        return waited_long and self._sort_key(group, now)[0]

    def _sort_key(self, group: PieceGroup, now: Instant) -> tuple[bool, float]:
        return sort_key(group, now, self.spec.call_ms)

    def _choose_tasks(self, name: str, free: Sequence[str]) -> list[PieceTask]:
        replica = self._replica(name)
        now = self._clock.now()
        free_bytes = replica.free_bytes(self.spec, now)

        def order(task: PieceTask) -> tuple[bool, float]:
            late, rank_ms = self._sort_key(task.group, now)
            needs_transfer = needs_large_transfer(task.group, replica)
            return late, rank_ms + (
                TRANSFER_PENALTY_MS if needs_transfer else 0.0
            )

        local_calls = LocalCalls(
            spec=self.spec,
            usable=[self._replica(n) for n in self._usable_names],
            queued=self._queued,
            now=now,
        )
        elsewhere = {self._replica(n).data_centre for n in free if n != name}
        tasks: list[PieceTask] = []
        self._without_memory = 0
        for task in sorted(self._queued, key=order):
            if len(tasks) >= self.spec.batch:
                break
            if needs_large_transfer(task.group, replica) and (
                task.group.data_centre in elsewhere
                or local_calls.in_time(task.group)
            ):
                continue
            if task.group.result_bytes > free_bytes:
                self._without_memory += 1
                continue
            free_bytes -= task.group.result_bytes
            tasks.append(task)
        return tasks

    def _start(self, name: str, tasks: list[PieceTask]) -> Batch:
        taken = set(map(id, tasks))
        self._queued = [t for t in self._queued if id(t) not in taken]
        replica = self._replica(name)
        now = self._clock.now()
        reported_slowdown = self._reported_slowdown(name)
        expected_ms = (
            self.spec.expected_call_ms(len(tasks))
            * replica.current_slowdown(now)
            * reported_slowdown
        )
        free_bytes = replica.free_bytes(self.spec, now)
        replica.running_calls += 1
        replica.busy_until = now + expected_ms
        replica.record_usage(now)
        replica.reserved_bytes += sum(t.group.result_bytes for t in tasks)
        for task in tasks:
            task.attempts += 1
            task.group.started = True
            if not task.group.data_centre:
                # One reader fetches all results of a group, so the remaining
                # pieces prefer the same data centre.
                task.group.data_centre = replica.data_centre
        return Batch(
            replica_name=name,
            tasks=tuple(tasks),
            expected_ms=expected_ms,
            started_at=now,
            free_bytes=free_bytes,
            without_memory=self._without_memory,
            reported_slowdown=reported_slowdown,
        )

    def _requeue(self, tasks: Sequence[PieceTask]) -> list[PieceTask]:
        """Queues pieces again; fails and returns those out of attempts."""
        abandoned = []
        for task in tasks:
            if task.group.cancelled:
                continue
            if task.attempts >= MAX_ATTEMPTS:
                task.result = PieceResult(failure=PieceFailure.FAILED)
                abandoned.append(task)
            else:
                self._queued.append(task)
        return abandoned

    def _record_memory(
        self,
        replica: StageReplica,
        batch: Batch,
        results: Sequence[PieceResult],
    ) -> None:
        """Corrects the memory estimate of a replica from the end of a call.

        The free memory was less than the computed results and one rejected
        result take together. No more than that is deducted: treating the whole
        memory as full after one rejected piece halved the calls of a replica
        for seconds while pieces were queued.
        """
        sizes = [task.group.result_bytes for task in batch.tasks]
        pairs = list(zip(sizes, results, strict=True))
        rejected = [s for s, r in pairs if r.failure is PieceFailure.NO_ROOM]
        if not rejected:
            return
        computed = sum(size for size, result in pairs if result.handle)
        overestimated_bytes = batch.free_bytes - computed - min(rejected)
        now = self._clock.now()
        replica.record_shortage(self.spec, overestimated_bytes, now)
        if not computed:
            replica.pause_for_memory(now)

    def _record_slowdown(self, replica: StageReplica, batch: Batch) -> None:
        now = self._clock.now()
        expected_ms = self.spec.expected_call_ms(len(batch.tasks))
        slowdown = unexplained(
            (now - batch.started_at) / expected_ms,
            batch.reported_slowdown,
            self._reported_slowdown(batch.replica_name),
        )
        replica.record_slowdown(max(0.5, slowdown), now)

    def _replica(self, name: str) -> StageReplica:
        return self._replicas.setdefault(name, StageReplica())


def _result_bytes(batch: Batch) -> float:
    return sum(task.group.result_bytes for task in batch.tasks)
