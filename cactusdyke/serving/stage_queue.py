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
    MemoryReport,
    Piece,
    PieceFailure,
    PieceResult,
)
from cactusdyke.serving.dispatch_messages import StageInputs
from cactusdyke.serving.stage_makers import Maker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.model import BatchSpec

PRIORITY_STEP_MS = 500.0
"""How much earlier a piece counts as needed for each step of priority."""
LATE_STEP_MS = 20_000.0
"""The same among late ones: longer than callers wait, so rank goes first."""
MOST_TRIES = 4
HOPE_MARGIN = 1.2
"""Calls are seldom quite full."""
REFUSED_PAUSE_MS = 60.0
"""Another daemon's call is under way there; it takes some 200 ms."""
BEGUN_MS = 10_000.0
"""Puts a group that was begun before every one that was not."""
NEAR_SLACK_MS = 100.0
NEAR_WAIT_MS = 150.0
"""Half a call. Its inputs take their makers' memory as long as it waits."""
RATE_WINDOW_MS = 1_500.0
"""Some five calls of each replica."""
LARGE_BYTES = 200_000.0
CROSSING_MS = 120.0
"""How much later a piece counts as needed at a replica of another data centre
than that of its inputs, or of the engine that fetches its result."""
LATE_WAIT_MS = 2_500.0
"""A late group that was not begun by then is refused: its caller may come back
when there is room, and the queue does not grow by what nobody will have."""
WORTHLESS_MS = 50.0
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
    tries: int = 0
    fetched: bool = False
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

    needed_by: Instant
    ends_at: Instant
    priority: int
    result_bytes: float
    data_centre: str = ""
    moved_bytes: float = 0.0
    tasks: list[PieceTask] = attrs.field(factory=list)
    queued_at: Instant = 0.0
    hopeful: bool = True
    cancelled: bool = False
    begun: bool = False
    last_use_of: tuple[StageInputs, ...] = ()
    inputs_freed: bool = False
    holds_scarce: bool = False

    @property
    def done(self) -> bool:
        """Whether every piece has a result or a failure."""
        return all(task.result is not None for task in self.tasks)

    @property
    def fetched(self) -> bool:
        """Whether every piece must have fetched its inputs."""
        return all(task.fetched for task in self.tasks)


@attrs.frozen(kw_only=True)
class Backlog:
    """How long a group that is queued now would wait, in milliseconds.

    Attributes:
        hopeful_ms: Behind the groups that can still be on time.
        all_ms: Behind all groups.
    """

    hopeful_ms: float = 0.0
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

    maker: str
    tasks: tuple[PieceTask, ...]
    expected_ms: float
    started_at: Instant
    room_bytes: float
    ended: bool = False


class StageQueue:
    """Pieces that wait for one stage service."""

    def __init__(self, *, clock: Clock, spec: BatchSpec) -> None:
        self._clock = clock
        self.spec = spec
        self._waiting: list[PieceTask] = []
        self._names: frozenset[str] = frozenset()
        self._made: collections.deque[tuple[Instant, int]] = collections.deque()
        self._busy_since: Instant = math.inf
        self._makers: dict[str, Maker] = {}

    @property
    def waiting(self) -> int:
        """Pieces that are in no call."""
        return len(self._waiting)

    def held_bytes(self, maker_name: str) -> float:
        """Returns what is known to be held and promised at a replica."""
        maker = self._maker(maker_name)
        return maker.held_bytes + maker.promised

    def backlog_ms(self, makers: Sequence[str], ahead: int) -> float:
        """Returns about how long `ahead` pieces keep the replicas busy."""
        if not makers:
            return math.inf
        full_ms = self.spec.call_ms + self.spec.batch * self.spec.piece_ms
        calls = ahead / self.spec.batch
        now = self._clock.now()
        busy = min(
            max(0.0, self._maker(name).busy_until - now) for name in makers
        )
        return busy + calls * full_ms / len(makers)

    def backlog(self) -> Backlog:
        """Returns how long a group queued now would wait."""
        now = self._clock.now()
        hopeful = sum(
            not self._order(task.group, now)[0] for task in self._waiting
        )
        return Backlog(
            hopeful_ms=self._queue_ms(hopeful),
            all_ms=self._queue_ms(len(self._waiting)),
        )

    def _queue_ms(self, ahead: int) -> float:
        """Returns about how long `ahead` pieces take all known replicas.

        By what they have made lately, where pieces waited all the while:
        short of memory for results they make less than their calls hold.
        """
        makers = max(1, len(self._names))
        full_ms = ahead / self.spec.batch * self._full_ms() / makers
        now = self._clock.now()
        while self._made and self._made[0][0] < now - RATE_WINDOW_MS:
            self._made.popleft()
        if now - self._busy_since < RATE_WINDOW_MS:
            return full_ms
        made = sum(count for _, count in self._made)
        return max(full_ms, ahead * RATE_WINDOW_MS / max(1, made))

    def add(self, group: PieceGroup) -> None:
        """Queues a group's pieces.

        Whether it can still be on time is decided now, by what goes before
        it. Under overload every piece would otherwise be served just as it
        becomes late: seen as a queue in which all were late, at full load.
        """
        group.queued_at = self._clock.now()
        group.hopeful = True
        ahead = self.ahead_of(group) + len(group.tasks)
        wait_ms = HOPE_MARGIN * self._queue_ms(ahead)
        now = self._clock.now()
        group.hopeful = now + wait_ms + self.spec.call_ms <= group.needed_by
        if not self._waiting:
            self._busy_since = now
        self._waiting.extend(group.tasks)

    def cancel(self, group: PieceGroup) -> None:
        """Takes back what of a group is in no call."""
        group.cancelled = True
        self._waiting = [t for t in self._waiting if t.group is not group]

    def ahead_of(self, group: PieceGroup) -> int:
        """Returns how many waiting pieces go before a group's."""
        now = self._clock.now()
        own = self._order(group, now)
        return sum(self._order(t.group, now) < own for t in self._waiting)

    def stands_in(self, maker_name: str, data_centre: str) -> None:
        """Notes where a replica stands."""
        self._maker(maker_name).data_centre = data_centre

    def next_batch(self, makers: Sequence[str]) -> Batch | None:
        """Returns the next call to make, None if there is none for now."""
        self._drop_hopeless()
        self._names = frozenset(makers)
        if not self._waiting:
            self._busy_since = math.inf
            return None
        free = self._free(makers)
        for name in free:
            tasks = self._fill(name, free)
            if tasks:
                return self._start(name, tasks)
        return None

    def ended(
        self, batch: Batch, results: Sequence[PieceResult] | None
    ) -> list[PieceTask]:
        """Takes the end of a call; returns the pieces that are settled.

        Args:
            batch: The call.
            results: What each piece got, None if the call failed whole.
        """
        maker = self._maker(batch.maker)
        maker.note_known(self._clock.now())
        maker.end_call(_bytes_of(batch), self._clock.now())
        if results is None:
            maker.avoid(self._clock.now())
            return self._again(batch.tasks)
        maker.failures = 0
        made = sum(1 for result in results if result.handle)
        self._made.append((self._clock.now(), made))
        self._learn(maker, batch)
        settled: list[PieceTask] = []
        again: list[PieceTask] = []
        for task, result in zip(batch.tasks, results, strict=True):
            if result.handle:
                until = self._clock.now() + self.spec.result_lifetime_ms
                maker.hold(result.handle, task.group.result_bytes, until)
            if result.failure in {PieceFailure.FAILED, PieceFailure.NO_ROOM}:
                again.append(task)
                continue
            task.result = result
            settled.append(task)
        self._learn_room(maker, batch, results)
        return settled + self._again(again)

    def refused(self, batch: Batch) -> list[PieceTask]:
        """Takes the word of a replica that it did not take a call."""
        maker = self._maker(batch.maker)
        maker.end_call(_bytes_of(batch), self._clock.now())
        maker.avoid_until = self._clock.now() + REFUSED_PAUSE_MS
        for task in batch.tasks:
            task.tries -= 1
        return self._again(batch.tasks)

    def ask_first(self, names: Sequence[str], until: Instant) -> None:
        """Makes no call to replicas until their memory was asked for."""
        for name in names:
            self._maker(name).unsure_until = until

    def told_free(self, maker_name: str, told: MemoryReport) -> float:
        """Takes a replica's word of its memory; returns the unknown share."""
        maker = self._maker(maker_name)
        return maker.told_free(self.spec, told, self._clock.now())

    def freed(self, maker_name: str, handles: Sequence[str]) -> None:
        """Notes that results were freed."""
        maker = self._maker(maker_name)
        maker.note_known(self._clock.now())
        for handle in handles:
            maker.free(handle)

    def learn_held(
        self, maker_name: str, handle: str, size: float, age_ms: float
    ) -> None:
        """Takes another daemon's word that a replica holds a result."""
        maker = self._maker(maker_name)
        if handle not in maker.held:
            until = self._clock.now() + self.spec.result_lifetime_ms - age_ms
            maker.hold(handle, size, until)
            # It ends sooner than what is made here; ends are looked for in
            # order.
            maker.held.move_to_end(handle, last=False)

    def expire(self) -> list[PieceTask]:
        """Returns pieces whose time has run out while they waited."""
        now = self._clock.now()
        late = [t for t in self._waiting if self._too_late(t.group, now)]
        for task in late:
            task.result = PieceResult(failure=PieceFailure.LATE)
        self._waiting = [t for t in self._waiting if t.result is None]
        return late

    def _drop_hopeless(self) -> None:
        self._waiting = [
            task for task in self._waiting if not task.group.cancelled
        ]

    def _too_late(self, group: PieceGroup, now: Instant) -> bool:
        least = self.spec.call_ms + self.spec.piece_ms + WORTHLESS_MS
        if now + least > group.ends_at:
            return True
        waits = now - group.queued_at > LATE_WAIT_MS
        return waits and self._order(group, now)[0]

    def _order(self, group: PieceGroup, now: Instant) -> tuple[bool, float]:
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
        holds = group.begun or group.holds_scarce
        if self._is_late(group, now) and not holds:
            # Of those that are late, whoever has most time left comes through.
            # By their ends all were served just as their callers gave up, seen
            # as results of 22 requests a day that came to an engine too late.
            return (True, group.priority * LATE_STEP_MS - group.ends_at)
        rank_ms = group.priority * PRIORITY_STEP_MS - group.begun * BEGUN_MS
        return (False, group.needed_by + rank_ms)

    def _is_late(self, group: PieceGroup, now: Instant) -> bool:
        return not group.hopeful or now + self.spec.call_ms > group.needed_by

    def _free(self, makers: Sequence[str]) -> list[str]:
        """Returns the replicas that may get a call now, the best first."""
        now = self._clock.now()
        known = [(name, self._maker(name)) for name in makers]
        ends = {
            name: max(now, maker.busy_until, maker.avoid_until)
            + self._full_ms() * maker.pace_now(self._clock.now())
            for name, maker in known
        }
        free = []
        for name, maker in known:
            if maker.calls >= self.spec.concurrent_calls:
                continue
            if now < max(maker.avoid_until, maker.unsure_until):
                continue
            # A slow replica gets a call only if no other one, busy as it is,
            # would be done with it sooner.
            others = [end for other, end in ends.items() if other != name]
            if others and ends[name] > min(others) + self._full_ms():
                continue
            free.append(name)
        return sorted(
            free,
            key=lambda n: (
                round(self._makers[n].pace_now(self._clock.now()), 1),
                self._makers[n].held_bytes,
            ),
        )

    def _fill(self, name: str, free: Sequence[str]) -> list[PieceTask]:
        maker = self._maker(name)
        now = self._clock.now()
        room = maker.room(self.spec, now)

        def order(task: PieceTask) -> tuple[bool, float]:
            late, until = self._order(task.group, now)
            crosses = self._crosses(task, maker)
            return late, until + (CROSSING_MS if crosses else 0.0)

        near = self._waiting_near()
        elsewhere = {self._maker(n).data_centre for n in free if n != name}
        chosen: list[PieceTask] = []
        for task in sorted(self._waiting, key=order):
            if len(chosen) >= self.spec.batch:
                break
            if self._crosses(task, maker) and (
                task.group.data_centre in elsewhere
                or self._is_soon_made_near(task, near, now)
            ):
                continue
            if task.group.result_bytes > room:
                continue
            room -= task.group.result_bytes
            chosen.append(task)
        return chosen

    def _waiting_near(self) -> dict[str, int]:
        """Returns how many pieces wait for each data centre."""
        return collections.Counter(
            task.group.data_centre for task in self._waiting
        )

    def _is_soon_made_near(
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
            max(now, maker.busy_until, maker.avoid_until)
            for name, maker in self._makers.items()
            if maker.data_centre == data_centre and name in self._names
        ]
        calm = 2 * len(self._waiting) <= self.spec.batch * len(self._names)
        wait_ms = self._full_ms() if calm else NEAR_WAIT_MS
        if not starts or min(starts) > now + wait_ms:
            return False
        end = min(starts) + self._full_ms()
        return end + NEAR_SLACK_MS <= task.group.needed_by

    def _crosses(self, task: PieceTask, maker: Maker) -> bool:
        """Returns whether much would be moved between data centres."""
        return (
            bool(task.group.data_centre)
            and task.group.data_centre != maker.data_centre
            and task.group.moved_bytes >= LARGE_BYTES
        )

    def _start(self, name: str, tasks: list[PieceTask]) -> Batch:
        taken = set(map(id, tasks))
        self._waiting = [t for t in self._waiting if id(t) not in taken]
        maker = self._maker(name)
        now = self._clock.now()
        expected_ms = (
            self.spec.call_ms + len(tasks) * self.spec.piece_ms
        ) * maker.pace_now(self._clock.now())
        room_bytes = maker.room(self.spec, now)
        maker.calls += 1
        maker.busy_until = now + expected_ms
        maker.note_known(now)
        maker.promised += sum(t.group.result_bytes for t in tasks)
        for task in tasks:
            task.tries += 1
            task.group.begun = True
            if not task.group.data_centre:
                # Whoever fetches the results fetches all of them.
                task.group.data_centre = maker.data_centre
        return Batch(
            maker=name,
            tasks=tuple(tasks),
            expected_ms=expected_ms,
            started_at=now,
            room_bytes=room_bytes,
        )

    def _again(self, tasks: Sequence[PieceTask]) -> list[PieceTask]:
        """Queues pieces again; returns those that were tried too often."""
        given_up = []
        for task in tasks:
            if task.group.cancelled:
                continue
            if task.tries >= MOST_TRIES:
                task.result = PieceResult(failure=PieceFailure.FAILED)
                given_up.append(task)
            else:
                self._waiting.append(task)
        return given_up

    def _learn_room(
        self, maker: Maker, batch: Batch, results: Sequence[PieceResult]
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
        too_much = batch.room_bytes - made - min(no_room)
        now = self._clock.now()
        maker.learn_full(self.spec, too_much, now)
        if not made:
            maker.pause(now)

    def _learn(self, maker: Maker, batch: Batch) -> None:
        now = self._clock.now()
        usual = self.spec.call_ms + len(batch.tasks) * self.spec.piece_ms
        seen = max(0.5, (now - batch.started_at) / usual)
        maker.learn_pace(seen, now)

    def _full_ms(self) -> float:
        return self.spec.call_ms + self.spec.batch * self.spec.piece_ms

    def _maker(self, name: str) -> Maker:
        return self._makers.setdefault(name, Maker())


def _bytes_of(batch: Batch) -> float:
    return sum(task.group.result_bytes for task in batch.tasks)
