"""Steps of the stage queue: its order, its memory, and a state machine."""

from __future__ import annotations

import heapq
import random

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.serving import case_j_stage_policies
from cactusdyke.serving.dialect import Piece, PieceFailure, PieceResult
from cactusdyke.serving.model import BatchSpec
from cactusdyke.serving.stage_queue import PieceGroup, PieceTask, StageQueue
from features.steps.serving_steps import ManualClock

MB = 1e6


def batch_spec(**changes):
    fields = {
        "concurrent_calls": 1,
        "waiting_calls": 2,
        "batch": 5,
        "call_ms": 150.0,
        "piece_ms": 25.6,
        "result_room_bytes": 1_000 * MB,
        "result_lifetime_ms": 4_000.0,
    }
    return BatchSpec(**{**fields, **changes})


def group(name, pieces, now=0.0, **changes):
    fields = {
        "needed_by": now + 800.0,
        "ends_at": now + 4_000.0,
        "priority": 0,
        "result_bytes": MB,
    }
    made = PieceGroup(**{**fields, **changes})
    made.tasks = [
        PieceTask(piece=Piece(request_id=name, stage=0, number=n), group=made)
        for n in range(pieces)
    ]
    return made


def made(batch, start=0):
    return [
        PieceResult(handle=f"{batch.maker}/{start + n}")
        for n in range(len(batch.tasks))
    ]


def names(batch):
    return [task.piece.request_id for task in batch.tasks]


def _queue(context, makers, **changes):
    context.clock = ManualClock()
    context.makers = makers
    context.queue = StageQueue(clock=context.clock, spec=batch_spec(**changes))
    for maker in makers:
        context.queue.stands_in(maker, f"at-{maker}")


@given("a stage queue with calls of 5 pieces and one replica")
def one_replica(context):
    _queue(context, ["m1"])


@given("a stage queue with calls of 5 pieces and two replicas")
def two_replicas(context):
    _queue(context, ["m1", "m2"])


@given("a stage queue whose replicas hold 4 results")
def small_memory(context):
    _queue(context, ["m1"], result_room_bytes=4 * MB)


@when("three requests of 2 pieces are queued")
def three_requests(context):
    for name in "abc":
        context.queue.add(group(name, 2))
    context.batch = context.queue.next_batch(context.makers)


@then("the first call holds 5 pieces of three requests")
def check_shared(context):
    assert len(context.batch.tasks) == 5
    assert set(names(context.batch)) == {"a", "b", "c"}
    assert context.queue.next_batch(context.makers) is None


@when(
    "a request of 8 pieces is queued and a more urgent one after its first call"
)
def begun(context):
    context.queue.add(group("a", 8, priority=2))
    first = context.queue.next_batch(context.makers)
    context.queue.add(group("b", 5, priority=0))
    context.clock.ms += 278.0
    context.queue.ended(first, made(first))
    context.batch = context.queue.next_batch(context.makers)


@then("the second call finishes the first request")
def check_begun(context):
    assert names(context.batch)[:3] == ["a", "a", "a"], names(context.batch)


@when("a late request and one that can be on time are queued")
def late_and_not(context):
    context.queue.add(group("late", 5, needed_by=100.0))
    context.queue.add(group("good", 5, needed_by=1_500.0))
    context.batch = context.queue.next_batch(context.makers)


@then("the one that can be on time goes first")
def check_late(context):
    assert set(names(context.batch)) == {"good"}


@when("requests of priority 2 and 0 are queued, 5 pieces each")
def priorities(context):
    context.queue.add(group("low", 5, priority=2))
    context.queue.add(group("high", 5, priority=0))
    context.batch = context.queue.next_batch(context.makers)


@then("the first call is all of priority 0")
def check_priorities(context):
    assert set(names(context.batch)) == {"high"}


@given("a stage queue whose replicas hold 9 results")
def larger_memory(context):
    _queue(context, ["m1"], result_room_bytes=9 * MB)


@when("the last piece of a call finds no room")
def one_without_room(context):
    context.queue.add(group("a", 4, ends_at=60_000.0))
    first = context.queue.next_batch(context.makers)
    context.clock.ms += 250.0
    context.queue.ended(first, made(first))
    context.queue.add(group("b", 5, context.clock.ms, ends_at=60_000.0))
    second = context.queue.next_batch(context.makers)
    assert len(second.tasks) == 5
    context.clock.ms += 250.0
    results = made(second, start=4)
    results[-1] = PieceResult(failure=PieceFailure.NO_ROOM)
    context.queue.ended(second, results)


@then("the next call takes all that the replica has room for")
def check_room_again(context):
    context.queue.freed("m1", [f"m1/{n}" for n in range(8)])
    context.queue.add(group("c", 5, context.clock.ms, ends_at=60_000.0))
    batch = context.queue.next_batch(context.makers)
    assert len(batch.tasks) == 5, len(batch.tasks)


@when("a request of 7 pieces is queued")
def seven_pieces(context):
    context.queue.add(group("a", 7))


@then("the first call holds 4 pieces and no other follows")
def check_room(context):
    batch = context.queue.next_batch(context.makers)
    assert len(batch.tasks) == 4
    context.clock.ms += 250.0
    context.queue.ended(batch, made(batch))
    assert context.queue.next_batch(context.makers) is None


@then("once two results are freed a call of 2 pieces follows")
def check_freed(context):
    context.queue.freed("m1", ["m1/0", "m1/1"])
    batch = context.queue.next_batch(context.makers)
    assert len(batch.tasks) == 2


@when("a call finds no room for its pieces")
def no_room(context):
    context.queue.add(group("a", 4, ends_at=60_000.0))
    batch = context.queue.next_batch(context.makers)
    assert len(batch.tasks) == 4
    context.clock.ms += 160.0
    context.queue.ended(batch, [PieceResult(failure=PieceFailure.NO_ROOM)] * 4)


@then("the next call comes later and is smaller")
def check_smaller(context):
    assert context.queue.next_batch(context.makers) is None
    context.clock.ms += 2_100.0
    batch = context.queue.next_batch(context.makers)
    assert 1 <= len(batch.tasks) <= 2, len(batch.tasks)
    context.queue.ended(batch, made(batch))
    context.queue.freed("m1", [f"m1/{n}" for n in range(4)])


@then("after the lifetime of results it is full again")
def check_full_again(context):
    context.clock.ms += 4_000.0
    context.queue.add(group("b", 4, now=context.clock.ms))
    batch = context.queue.next_batch(context.makers)
    assert len(batch.tasks) == 4, len(batch.tasks)


@when("a call is refused ten times")
def refused(context):
    context.queue.add(group("a", 3, ends_at=60_000.0))
    for _ in range(10):
        batch = context.queue.next_batch(context.makers)
        assert context.queue.refused(batch) == []
        context.clock.ms += 100.0


@then("its pieces still wait")
def check_refused(context):
    assert context.queue.waiting == 3


@when("a call fails four times")
def fails(context):
    context.queue.add(group("a", 3, ends_at=60_000.0))
    context.settled = []
    for _ in range(4):
        batch = context.queue.next_batch(context.makers)
        context.settled += context.queue.ended(batch, None)
        context.clock.ms += 5_000.0


@then("its pieces are settled as failed")
def check_fails(context):
    results = {task.result.failure for task in context.settled}
    assert len(context.settled) == 3
    assert results == {PieceFailure.FAILED}
    assert context.queue.waiting == 0


@when("a request waits until its end comes near")
def waits(context):
    context.queue.add(group("a", 2, ends_at=1_000.0))
    context.clock.ms = 900.0
    context.settled = context.queue.expire()


@then("its pieces are settled as late and never sent")
def check_waits(context):
    assert [t.result.failure for t in context.settled] == [
        PieceFailure.LATE
    ] * 2
    assert context.queue.next_batch(context.makers) is None


@when("one replica has shown to be 6 times slower")
def slow(context):
    for _ in range(4):
        context.queue.add(group("a", 10, now=context.clock.ms))
        batches = [
            context.queue.next_batch([maker]) for maker in context.makers
        ]
        usual = batches[0].expected_ms
        context.clock.ms += 278.0
        context.queue.ended(batches[1], made(batches[1]))
        context.clock.ms += 6 * 278.0 - 278.0
        context.queue.ended(batches[0], made(batches[0]))
        assert usual > 0


@then("it gets no call while the other one would be done sooner")
def check_slow(context):
    context.queue.add(group("b", 10, now=context.clock.ms))
    first = context.queue.next_batch(context.makers)
    assert first.maker == "m2", first.maker
    assert context.queue.next_batch(context.makers) is None


@when("pieces whose inputs lie with the busy replica are queued")
def near(context):
    context.queue.add(group("a", 5, data_centre="at-m1", moved_bytes=MB))
    first = context.queue.next_batch(context.makers)
    assert first.maker == "m1"
    context.clock.ms += 150.0
    context.queue.add(
        group("b", 3, context.clock.ms, data_centre="at-m1", moved_bytes=MB)
    )


@then("the free replica leaves them alone")
def check_near(context):
    assert context.queue.next_batch(context.makers) is None


@then("it helps once more wait than the next call holds")
def check_near_helps(context):
    context.queue.add(group("c", 3, data_centre="at-m1", moved_bytes=MB))
    batch = context.queue.next_batch(context.makers)
    assert batch is not None
    assert batch.maker == "m2"


@when("pieces come twice as fast as calls can hold them")
def backlog_grows(context):
    context.told = []
    for number in range(20):
        now = context.clock.ms
        context.queue.add(group(f"g{number}", 10, now, ends_at=now + 60_000))
        batch = context.queue.next_batch(context.makers)
        context.clock.ms += 278.0
        context.queue.ended(batch, made(batch, number * 10))
        context.told.append(context.queue.backlog())


@then("the backlog told grows, and that of hopeful pieces stays bounded")
def check_backlog(context):
    last = context.told[-1]
    assert last.all_ms > 4_000, last
    assert last.hopeful_ms < 1_000, last
    assert context.told[2].all_ms < last.all_ms


class ForgetfulQueue(StageQueue):
    """Leaves the pieces of a call in the queue, as a naive one might."""

    def _start(self, name, tasks):
        kept = list(self._waiting)
        batch = super()._start(name, tasks)
        self._waiting = kept
        return batch


class QueueMachine(RuleBasedStateMachine):
    """Drives a queue; the oracle is who is in a call and who is settled."""

    kind = StageQueue

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.queue = self.kind(
            clock=self.clock, spec=batch_spec(result_room_bytes=8 * MB)
        )
        self.makers = ["m1", "m2", "m3"]
        self.groups = []
        self.calls = []
        self.settled = []
        self.handles = 0

    @rule(pieces=st.integers(1, 8), slack=st.integers(100, 3_000))
    def add(self, pieces, slack):
        now = self.clock.ms
        made_group = group(
            f"g{len(self.groups)}",
            pieces,
            needed_by=now + slack,
            ends_at=now + 3 * slack,
        )
        self.groups.append(made_group)
        self.queue.add(made_group)

    @rule(ms=st.integers(1, 2_000))
    def pass_time(self, ms):
        self.clock.ms += ms
        self.take(self.queue.expire())

    @rule(count=st.integers(1, 3))
    def send(self, count):
        batch = self.queue.next_batch(self.makers[:count])
        if batch is None:
            return
        assert 1 <= len(batch.tasks) <= 5
        for task in batch.tasks:
            assert not task.group.cancelled, "a cancelled piece was sent"
            assert task.result is None, "a settled piece was sent"
            for other in self.calls:
                assert task not in other.tasks, "a piece is in two calls"
        self.calls.append(batch)

    @rule(data=st.data(), how=st.sampled_from(["made", "lost", "refused"]))
    def end(self, data, how):
        if not self.calls:
            return
        batch = self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1)))
        if how == "refused":
            self.take(self.queue.refused(batch))
            return
        results = None
        if how == "made":
            self.handles += len(batch.tasks)
            results = made(batch, self.handles)
        self.take(self.queue.ended(batch, results))

    @rule(data=st.data())
    def cancel(self, data):
        if self.groups:
            self.queue.cancel(data.draw(st.sampled_from(self.groups)))

    def take(self, tasks):
        for task in tasks:
            assert task.result is not None
            assert all(task is not old for old in self.settled), "settled twice"
            self.settled.append(task)

    @invariant()
    def nobody_is_lost(self):
        waiting = {id(task) for task in self.queue._waiting}
        calling = {id(t) for batch in self.calls for t in batch.tasks}
        for one in self.groups:
            for task in one.tasks:
                known = id(task) in waiting or id(task) in calling
                assert known or task.result or one.cancelled, "a piece is lost"

    @invariant()
    def room_is_kept(self):
        for maker in self.makers:
            assert self.queue.held_bytes(maker) <= 8 * MB + 1


class ForgetfulMachine(QueueMachine):
    kind = ForgetfulQueue


def machine_fails(machine, examples):
    """Returns what a machine finds broken, empty if nothing.

    The first broken example is told as it was found: to shorten it takes
    minutes where an example runs through seconds of many daemons.
    """
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=examples,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                report_multiple_bugs=False,
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
            ),
        )
    except AssertionError as error:
        return str(error)
    return ""


@when("the queue machine runs 150 examples")
def run_machine(context):
    context.broken = machine_fails(QueueMachine, 150)


@then("it finds no broken promise")
def check_machine(context):
    assert context.broken == "", context.broken


@then("it finds one in a queue that forgets to take sent pieces out")
def check_naive_machine(context):
    assert machine_fails(ForgetfulMachine, 100) != ""


def play(rate, pattern, *, alone):
    """Returns how many of 100 requests are on time, in virtual time."""
    rng = random.Random(11)
    clock = ManualClock()
    spec = batch_spec(batch=5)
    queue = StageQueue(clock=clock, spec=spec)
    makers = ["m1", "m2", "m3"]
    arrivals = []
    at = 0.0
    while at < 20_000.0:
        at += rng.expovariate(rate / 1_000.0)
        arrivals.append((at, rng.choice((1, 1, 2, 2, 3, 4))))
    if pattern == "burst":
        arrivals += [
            (rng.uniform(5_000, 9_000), rng.choice((1, 2, 3)))
            for _ in range(30)
        ]
    happenings = [(at, n, pieces) for n, (at, pieces) in enumerate(arrivals)]
    heapq.heapify(happenings)
    groups, ends, number = [], {}, len(happenings)
    while happenings:
        clock.ms, key, what = heapq.heappop(happenings)
        if isinstance(what, int):
            one = group(f"g{key}", what, now=clock.ms, result_bytes=0.0)
            groups.append(one)
            queue.add(one)
        else:
            for task in queue.ended(what, made(what, key * 10)):
                ends[id(task.group)] = clock.ms
        queue.expire()
        while (batch := next_call(queue, makers, alone=alone)) is not None:
            number += 1
            end = clock.ms + 150.0 + len(batch.tasks) * 25.6
            heapq.heappush(happenings, (end, number, batch))
    on_time = sum(
        all(t.result and t.result.handle for t in one.tasks)
        and ends[id(one)] <= one.needed_by
        for one in groups
    )
    return 100.0 * on_time / len(groups)


def next_call(queue, makers, *, alone):
    """The next call: shared, or of one request as a naive daemon makes it."""
    if not alone:
        return queue.next_batch(makers)
    waiting = list(queue._waiting)
    if not waiting:
        return None
    first = waiting[0].group
    queue._waiting = [t for t in waiting if t.group is first]
    batch = queue.next_batch(makers)
    rest = [t for t in waiting if t.group is not first]
    queue._waiting = [*queue._waiting, *rest]
    return batch


@when("{rate:d} requests a second come for 20 seconds, {pattern}")
def run_pattern(context, rate, pattern):
    context.shared = play(rate, pattern, alone=False)
    context.alone = play(rate, pattern, alone=True)


@then("at least {least:d} of 100 are on time with shared calls")
def check_shared_pattern(context, least):
    assert context.shared >= least, context.shared


@then("at most {most:d} of 100 with a call for each request")
def check_alone_pattern(context, most):
    assert context.alone <= most, context.alone


@when("the named patterns are played with each policy")
def play_patterns(context):
    context.rows = case_j_stage_policies.run_case(tiny=True)


@then("no policy passes what all replicas in full calls can make")
def check_policy_bound(context):
    assert len(context.rows) == len(case_j_stage_policies.PATTERNS)
    for row in context.rows:
        for policy in case_j_stage_policies.POLICIES:
            assert row[policy] <= row["bound"] + 1e-9, row


@then("in bursts ours has at least {more:d} of 100 more than any naive one")
def check_bursts(context, more):
    bursts = [row for row in context.rows if row["column"].startswith("burst")]
    assert bursts
    for row in bursts:
        naive = [
            row[policy]
            for policy in case_j_stage_policies.POLICIES
            if policy != "ours"
        ]
        assert row["ours"] >= max(naive) + more, row
