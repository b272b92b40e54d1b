"""The order of a stage service's pieces, and what fills its next call.

No network here: the queue is told what happened and asked what to send.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Clock, Instant
from cactusdyke.serving.dialect import (
    MemoryTold,
    Piece,
    PieceFailure,
    PieceResult,
)
from cactusdyke.serving.dispatch_messages import StageInputs
from cactusdyke.serving.stage_replicas import StageReplica

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.model import BatchSpec

PRIORITY_STEP_MS = 500.0
"""How much earlier a piece counts as needed for each step of priority."""
LATE_PRIORITY_STEP_MS = 20_000.0
"""The same among late ones: longer than callers wait, so rank goes first."""
MAX_ATTEMPTS = 4
FEASIBILITY_MARGIN = 1.2
"""Calls are seldom quite full."""
REFUSED_PAUSE_MS = 60.0
"""Another daemon's call is under way there; it takes some 200 ms."""
STARTED_ADVANCE_MS = 10_000.0
"""Puts a group that was begun before every one that was not."""
LOCAL_SLACK_MS = 100.0
MAX_LOCAL_WAIT_MS = 150.0
"""Half a call. Its inputs take their makers' memory as long as it waits."""
RATE_WINDOW_MS = 1_500.0
"""Some five calls of each replica."""
LARGE_TRANSFER_BYTES = 200_000.0
TRANSFER_PENALTY_MS = 120.0
"""How much later a piece counts as needed at a replica of another data centre
than that of its inputs, or of the engine that fetches its result."""
MAX_LATE_WAIT_MS = 2_500.0
"""A late group that was not begun by then is refused: its caller may come back
when there is room, and the queue does not grow by what nobody will have."""
DELIVERY_MARGIN_MS = 50.0
"""A result that comes so shortly before the end of the request is no use."""


@attrs.define(kw_only=True, eq=False)
class PieceTask:
    """A piece that waits for its result.

    Attributes:
        piece: The piece.
        group: The request's stage that it belongs to.
        tries: Calls that it was in.
        fetched: Whether a call that it is in must have fetched its inputs.
        result: Its result, once there is one.
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
        needed_by: Instant by which its results are of full value.
        ends_at: Instant after which they are of none.
        priority: The request's rank, 0 first.
        result_bytes: About how large one result is.
        data_centre: Where its inputs lie, or its results will be fetched to.
        moved_bytes: What each piece moves that is made elsewhere.
        tasks: The pieces.
        queued_at: When it was queued.
        hopeful: Whether it could be on time when it was queued.
        cancelled: Whether nobody waits for it any more.
        begun: Whether a piece of it was in a call.
        last_use_of: Inputs that nothing else needs.
        inputs_freed: Whether they were freed.
        holds_scarce: Whether its inputs take memory that others wait for.
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

    @property
    def done(self) -> bool:
        """Whether every piece has a result or a failure."""
        return all(task.result is not None for task in self.tasks)

    @property
    def inputs_fetched(self) -> bool:
        """Whether every piece must have fetched its inputs."""
        return all(task.inputs_fetched for task in self.tasks)


@attrs.frozen(kw_only=True)
class Backlog:
    """How long a group that is queued now would wait, in milliseconds.

    Attributes:
        hopeful_ms: Behind the groups that can still be on time.
        all_ms: Behind all groups.
    """

    feasible_ms: float = 0.0
    all_ms: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Batch:
    """What the next call holds.

    Attributes:
        maker: The replica's name.
        tasks: The pieces in it.
        expected_ms: About how long the call should take.
        started_at: When it was made up.
        room_bytes: The room for its results that the maker was believed to
            have.
        ended: Whether the call has ended, however it did.
    """

    replica_name: str
    tasks: tuple[PieceTask, ...]
    expected_ms: float
    started_at: Instant
    free_bytes: float
    ended: bool = False


class StageQueue:
    """Pieces that wait for one stage service."""

    def __init__(self, *, clock: Clock, spec: BatchSpec) -> None:
        self._clock = clock
        self.spec = spec
        self._queued: list[PieceTask] = []
        self._usable_names: frozenset[str] = frozenset()
        self._recent_results: collections.deque[tuple[Instant, int]] = (
            collections.deque()
        )
        self._nonempty_since: Instant = math.inf
        self._replicas: dict[str, StageReplica] = {}

    @property
    def queued_count(self) -> int:
        """Pieces that are in no call."""
        return len(self._queued)

    def held_bytes(self, replica_name: str) -> float:
        """Returns what is known to be held and promised at a replica."""
        maker = self._replica(replica_name)
        return maker.held_bytes + maker.reserved_bytes

    def backlog_ms(self, replica_names: Sequence[str], ahead: int) -> float:
        """Returns about how long `ahead` pieces keep the replicas busy."""
        if not replica_names:
            return math.inf
        full_ms = self.spec.call_ms + self.spec.batch * self.spec.piece_ms
        calls = ahead / self.spec.batch
        now = self._clock.now()
        busy = min(
            max(0.0, self._replica(name).busy_until - now)
            for name in replica_names
        )
        return busy + calls * full_ms / len(replica_names)

    def backlog(self) -> Backlog:
        """Returns how long a group queued now would wait."""
        now = self._clock.now()
        hopeful = sum(
            not self._sort_key(task.group, now)[0] for task in self._queued
        )
        return Backlog(
            feasible_ms=self._drain_ms(hopeful),
            all_ms=self._drain_ms(len(self._queued)),
        )

    def _drain_ms(self, ahead: int) -> float:
        """Returns about how long `ahead` pieces take all known replicas.

        By what they have made lately, where pieces waited all the while:
        short of memory for results they make less than their calls hold.
        """
        makers = max(1, len(self._usable_names))
        full_ms = ahead / self.spec.batch * self._full_call_ms() / makers
        now = self._clock.now()
        while (
            self._recent_results
            and self._recent_results[0][0] < now - RATE_WINDOW_MS
        ):
            self._recent_results.popleft()
        if now - self._nonempty_since < RATE_WINDOW_MS:
            return full_ms
        made = sum(count for _, count in self._recent_results)
        return max(full_ms, ahead * RATE_WINDOW_MS / max(1, made))

    def add(self, group: PieceGroup) -> None:
        """Queues a group's pieces.

        Whether it can still be on time is decided now, by what goes before
        it. Under overload every piece would otherwise be served just as it
        becomes late: seen as a queue in which all were late, at full load.
        """
        group.queued_at = self._clock.now()
        group.feasible = True
        ahead = self.ahead_of(group) + len(group.tasks)
        wait_ms = FEASIBILITY_MARGIN * self._drain_ms(ahead)
        now = self._clock.now()
        group.feasible = now + wait_ms + self.spec.call_ms <= group.objective_at
        if not self._queued:
            self._nonempty_since = now
        self._queued.extend(group.tasks)

    def cancel(self, group: PieceGroup) -> None:
        """Takes back what of a group is in no call."""
        group.cancelled = True
        self._queued = [t for t in self._queued if t.group is not group]

    def ahead_of(self, group: PieceGroup) -> int:
        """Returns how many waiting pieces go before a group's."""
        now = self._clock.now()
        own = self._sort_key(group, now)
        return sum(self._sort_key(t.group, now) < own for t in self._queued)

    def set_data_centre(self, replica_name: str, data_centre: str) -> None:
        """Notes where a replica stands."""
        self._replica(replica_name).data_centre = data_centre

    def next_batch(self, replica_names: Sequence[str]) -> Batch | None:
        """Returns the next call to make, None if there is none for now."""
        self._drop_cancelled()
        self._usable_names = frozenset(replica_names)
        if not self._queued:
            self._nonempty_since = math.inf
            return None
        free = self._callable_replicas(replica_names)
        for name in free:
            tasks = self._choose_tasks(name, free)
            if tasks:
                return self._start(name, tasks)
        return None

    def call_ended(
        self, batch: Batch, results: Sequence[PieceResult] | None
    ) -> list[PieceTask]:
        """Takes the end of a call; returns the pieces that are settled.

        Args:
            batch: The call.
            results: What each piece got, None if the call failed whole.
        """
        maker = self._replica(batch.replica_name)
        maker.record_usage(self._clock.now())
        maker.end_call(_result_bytes(batch), self._clock.now())
        if results is None:
            maker.back_off(self._clock.now())
            return self._requeue(batch.tasks)
        maker.consecutive_failures = 0
        made = sum(1 for result in results if result.handle)
        self._recent_results.append((self._clock.now(), made))
        self._record_slowdown(maker, batch)
        settled: list[PieceTask] = []
        again: list[PieceTask] = []
        for task, result in zip(batch.tasks, results, strict=True):
            if result.handle:
                until = self._clock.now() + self.spec.result_lifetime_ms
                maker.add_result(result.handle, task.group.result_bytes, until)
            if result.failure in {PieceFailure.FAILED, PieceFailure.NO_ROOM}:
                again.append(task)
                continue
            task.result = result
            settled.append(task)
        self._record_memory(maker, batch, results)
        return settled + self._requeue(again)

    def call_refused(self, batch: Batch) -> list[PieceTask]:
        """Takes the word of a replica that it did not take a call."""
        maker = self._replica(batch.replica_name)
        maker.end_call(_result_bytes(batch), self._clock.now())
        maker.paused_until = self._clock.now() + REFUSED_PAUSE_MS
        for task in batch.tasks:
            task.attempts -= 1
        return self._requeue(batch.tasks)

    def require_reports(self, names: Sequence[str], until: Instant) -> None:
        """Makes no call to replicas until their memory was asked for."""
        for name in names:
            self._replica(name).report_pending_until = until

    def apply_report(self, replica_name: str, report: MemoryTold) -> float:
        """Takes a replica's word of its memory; returns the unknown share."""
        maker = self._replica(replica_name)
        return maker.apply_report(self.spec, report, self._clock.now())

    def results_freed(self, replica_name: str, handles: Sequence[str]) -> None:
        """Notes that results were freed."""
        maker = self._replica(replica_name)
        maker.record_usage(self._clock.now())
        for handle in handles:
            maker.remove_result(handle)

    def record_held_result(
        self, replica_name: str, handle: str, size: float, age_ms: float
    ) -> None:
        """Takes another daemon's word that a replica holds a result."""
        maker = self._replica(replica_name)
        if handle not in maker.held_results:
            until = self._clock.now() + self.spec.result_lifetime_ms - age_ms
            maker.add_result(handle, size, until)
            # It ends sooner than what is made here; ends are looked for in
            # order.
            maker.held_results.move_to_end(handle, last=False)

    def expire(self) -> list[PieceTask]:
        """Returns pieces whose time has run out while they waited."""
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
        least = self.spec.call_ms + self.spec.piece_ms + DELIVERY_MARGIN_MS
        if now + least > group.deadline_at:
            return True
        waits = now - group.queued_at > MAX_LATE_WAIT_MS
        return waits and self._sort_key(group, now)[0]

    def _sort_key(self, group: PieceGroup, now: Instant) -> tuple[bool, float]:
        """Returns what is smaller for the group that goes first.

        Groups that can still be on time come before those that can't: a late
        answer is worth little, and would make the next ones late as well.
        """
        # The results of a group that was begun lie in their makers' memory
        # until the last piece is made. Many groups begun at once would fill it
        # with what none of them can use yet.
        # So do the inputs of a group: late groups that waited behind all others
        # kept half of the memory of the stage before for seconds, until they
        # expired and were made again, and no request came through on time.
        holds = group.started or group.inputs_in_scarce_memory
        if self._is_late(group, now) and not holds:
            # Of those that are late, whoever has most time left comes through.
            # By their ends all were served just as their callers gave up, seen
            # as results of 22 requests a day that came to an engine too late.
            return (
                True,
                group.priority * LATE_PRIORITY_STEP_MS - group.deadline_at,
            )
        rank_ms = (
            group.priority * PRIORITY_STEP_MS
            - group.started * STARTED_ADVANCE_MS
        )
        return (False, group.objective_at + rank_ms)

    def _is_late(self, group: PieceGroup, now: Instant) -> bool:
        return (
            not group.feasible or now + self.spec.call_ms > group.objective_at
        )

    def _callable_replicas(self, replica_names: Sequence[str]) -> list[str]:
        """Returns the replicas that may get a call now, the best first."""
        now = self._clock.now()
        known = [(name, self._replica(name)) for name in replica_names]
        ends = {
            name: max(now, maker.busy_until, maker.paused_until)
            + self._full_call_ms() * maker.current_slowdown(self._clock.now())
            for name, maker in known
        }
        free = []
        for name, maker in known:
            if maker.running_calls >= self.spec.concurrent_calls:
                continue
            if now < max(maker.paused_until, maker.report_pending_until):
                continue
            # A slow replica gets a call only if no other one, busy as it is,
            # would be done with it sooner.
            others = [end for other, end in ends.items() if other != name]
            if others and ends[name] > min(others) + self._full_call_ms():
                continue
            free.append(name)
        return sorted(
            free,
            key=lambda n: (
                round(self._replicas[n].current_slowdown(self._clock.now()), 1),
                self._replicas[n].held_bytes,
            ),
        )

    def _choose_tasks(self, name: str, free: Sequence[str]) -> list[PieceTask]:
        maker = self._replica(name)
        now = self._clock.now()
        room = maker.free_bytes(self.spec, now)

        def order(task: PieceTask) -> tuple[bool, float]:
            late, until = self._sort_key(task.group, now)
            crosses = self._needs_large_transfer(task, maker)
            return late, until + (TRANSFER_PENALTY_MS if crosses else 0.0)

        near = self._count_by_data_centre()
        elsewhere = {self._replica(n).data_centre for n in free if n != name}
        chosen: list[PieceTask] = []
        for task in sorted(self._queued, key=order):
            if len(chosen) >= self.spec.batch:
                break
            if self._needs_large_transfer(task, maker) and (
                task.group.data_centre in elsewhere
                or self._is_local_call_in_time(task, near, now)
            ):
                continue
            if task.group.result_bytes > room:
                continue
            room -= task.group.result_bytes
            chosen.append(task)
        return chosen

    def _count_by_data_centre(self) -> dict[str, int]:
        """Returns how many pieces wait for each data centre."""
        return collections.Counter(
            task.group.data_centre for task in self._queued
        )

    def _is_local_call_in_time(
        self, task: PieceTask, near: dict[str, int], now: Instant
    ) -> bool:
        """Returns whether a piece is on time where it should be made.

        A free replica elsewhere leaves it alone then, but helps as soon as
        more wait there than the next call takes.
        """
        data_centre = task.group.data_centre
        if near[data_centre] > self.spec.batch:
            return False
        starts = [
            max(now, maker.busy_until, maker.paused_until)
            for name, maker in self._replicas.items()
            if maker.data_centre == data_centre and name in self._usable_names
        ]
        calm = 2 * len(self._queued) <= self.spec.batch * len(
            self._usable_names
        )
        wait_ms = self._full_call_ms() if calm else MAX_LOCAL_WAIT_MS
        if not starts or min(starts) > now + wait_ms:
            return False
        end = min(starts) + self._full_call_ms()
        return end + LOCAL_SLACK_MS <= task.group.objective_at

    def _needs_large_transfer(
        self, task: PieceTask, maker: StageReplica
    ) -> bool:
        """Returns whether much would be moved between data centres."""
        return (
            bool(task.group.data_centre)
            and task.group.data_centre != maker.data_centre
            and task.group.transfer_bytes >= LARGE_TRANSFER_BYTES
        )

    def _start(self, name: str, tasks: list[PieceTask]) -> Batch:
        taken = set(map(id, tasks))
        self._queued = [t for t in self._queued if id(t) not in taken]
        maker = self._replica(name)
        now = self._clock.now()
        expected_ms = (
            self.spec.call_ms + len(tasks) * self.spec.piece_ms
        ) * maker.current_slowdown(self._clock.now())
        room_bytes = maker.free_bytes(self.spec, now)
        maker.running_calls += 1
        maker.busy_until = now + expected_ms
        maker.record_usage(now)
        maker.reserved_bytes += sum(t.group.result_bytes for t in tasks)
        for task in tasks:
            task.attempts += 1
            task.group.started = True
            if not task.group.data_centre:
                # Whoever fetches the results fetches all of them.
                task.group.data_centre = maker.data_centre
        return Batch(
            replica_name=name,
            tasks=tuple(tasks),
            expected_ms=expected_ms,
            started_at=now,
            free_bytes=room_bytes,
        )

    def _requeue(self, tasks: Sequence[PieceTask]) -> list[PieceTask]:
        """Queues pieces again; returns those that were tried too often."""
        given_up = []
        for task in tasks:
            if task.group.cancelled:
                continue
            if task.attempts >= MAX_ATTEMPTS:
                task.result = PieceResult(failure=PieceFailure.FAILED)
                given_up.append(task)
            else:
                self._queued.append(task)
        return given_up

    def _record_memory(
        self, maker: StageReplica, batch: Batch, results: Sequence[PieceResult]
    ) -> None:
        """Takes what a call has shown of its maker's memory.

        The room was less than what the made results take and one that found
        none. All of it believed taken after one such piece, as once was done,
        kept a maker at half its calls for seconds, with pieces waiting.
        """
        sizes = [task.group.result_bytes for task in batch.tasks]
        pairs = list(zip(sizes, results, strict=True))
        no_room = [s for s, r in pairs if r.failure is PieceFailure.NO_ROOM]
        if not no_room:
            return
        made = sum(size for size, result in pairs if result.handle)
        too_much = batch.free_bytes - made - min(no_room)
        now = self._clock.now()
        maker.record_shortage(self.spec, too_much, now)
        if not made:
            maker.pause_for_memory(now)

    def _record_slowdown(self, maker: StageReplica, batch: Batch) -> None:
        now = self._clock.now()
        usual = self.spec.call_ms + len(batch.tasks) * self.spec.piece_ms
        seen = max(0.5, (now - batch.started_at) / usual)
        maker.record_slowdown(seen, now)

    def _full_call_ms(self) -> float:
        return self.spec.call_ms + self.spec.batch * self.spec.piece_ms

    def _replica(self, name: str) -> StageReplica:
        return self._replicas.setdefault(name, StageReplica())


def _result_bytes(batch: Batch) -> float:
    return sum(task.group.result_bytes for task in batch.tasks)
