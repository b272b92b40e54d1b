"""Steps on the stage queue: its order, its memory, and a state machine."""

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
from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
from cactusdyke.serving.stage_queue import StageQueue
from features.steps.serving_steps import ManualClock

MB = 1e6


def batch_spec(**changes):
    fields = {
        "concurrent_calls": 1,
        "queued_calls": 2,
        "batch": 5,
        "call_ms": 150.0,
        "piece_ms": 25.6,
        "result_capacity_bytes": 1_000 * MB,
        "result_lifetime_ms": 4_000.0,
    }
    return BatchSpec(**{**fields, **changes})


def group(name, pieces, now=0.0, **changes):
    fields = {
        "objective_at": now + 800.0,
        "deadline_at": now + 4_000.0,
        "priority": 0,
        "result_bytes": MB,
    }
    created = PieceGroup(**{**fields, **changes})
    created.tasks = [
        PieceTask(
            piece=Piece(request_id=name, stage=0, number=n), group=created
        )
        for n in range(pieces)
    ]
    return created


def computed(batch, start=0):
    return [
        PieceResult(handle=f"{batch.replica_name}/{start + n}")
        for n in range(len(batch.tasks))
    ]


def names(batch):
    return [task.piece.request_id for task in batch.tasks]


def make_queue(context, replica_names, **changes):
    context.clock = ManualClock()
    context.replica_names = replica_names
    context.queue = StageQueue(clock=context.clock, spec=batch_spec(**changes))
    for replica_name in replica_names:
        context.queue.set_data_centre(replica_name, f"at-{replica_name}")


@given("a stage queue with calls of 5 pieces and one replica")
def one_replica(context):
    make_queue(context, ["m1"])


@given("a stage queue with calls of 5 pieces and two replicas")
def two_replicas(context):
    make_queue(context, ["m1", "m2"])


@given("a stage queue whose replicas have memory for 4 results")
def small_memory(context):
    make_queue(context, ["m1"], result_capacity_bytes=4 * MB)


@when("three requests of 2 pieces are queued")
def three_requests(context):
    for name in "abc":
        context.queue.add(group(name, 2))
    context.batch = context.queue.next_batch(context.replica_names)


@then("the first call holds 5 pieces of three requests")
def check_shared(context):
    assert len(context.batch.tasks) == 5
    assert set(names(context.batch)) == {"a", "b", "c"}
    assert context.queue.next_batch(context.replica_names) is None


@when(
    "a request of 8 pieces is queued and a more urgent one after its first call"
)
def started(context):
    context.queue.add(group("a", 8, priority=2))
    first = context.queue.next_batch(context.replica_names)
    context.queue.add(group("b", 5, priority=0))
    context.clock.ms += 278.0
    context.queue.call_ended(first, computed(first))
    context.batch = context.queue.next_batch(context.replica_names)


@then("the second call finishes the first request")
def check_started(context):
    assert names(context.batch)[:3] == ["a", "a", "a"], names(context.batch)


@when("a late request and one that can be on time are queued")
def late_and_not(context):
    context.queue.add(group("late", 5, objective_at=100.0))
    context.queue.add(group("good", 5, objective_at=1_500.0))
    context.batch = context.queue.next_batch(context.replica_names)


@then("the one that can be on time goes first")
def check_late(context):
    assert set(names(context.batch)) == {"good"}


@when("requests of priority 2 and 0 are queued, 5 pieces each")
def priorities(context):
    context.queue.add(group("low", 5, priority=2))
    context.queue.add(group("high", 5, priority=0))
    context.batch = context.queue.next_batch(context.replica_names)


@then("the first call is all of priority 0")
def check_priorities(context):
    assert set(names(context.batch)) == {"high"}


@given("a stage queue whose replicas have memory for 9 results")
def larger_memory(context):
    make_queue(context, ["m1"], result_capacity_bytes=9 * MB)


@when("the last piece of a call finds no memory")
def one_without_memory(context):
    context.queue.add(group("a", 4, deadline_at=60_000.0))
    first = context.queue.next_batch(context.replica_names)
    context.clock.ms += 250.0
    context.queue.call_ended(first, computed(first))
    context.queue.add(group("b", 5, context.clock.ms, deadline_at=60_000.0))
    second = context.queue.next_batch(context.replica_names)
    assert len(second.tasks) == 5
    context.clock.ms += 250.0
    results = computed(second, start=4)
    results[-1] = PieceResult(failure=PieceFailure.NO_ROOM)
    context.queue.call_ended(second, results)


@then("the next call uses all free memory of the replica")
def check_memory_again(context):
    context.queue.results_freed("m1", [f"m1/{n}" for n in range(8)])
    context.queue.add(group("c", 5, context.clock.ms, deadline_at=60_000.0))
    batch = context.queue.next_batch(context.replica_names)
    assert len(batch.tasks) == 5, len(batch.tasks)


@when("a request of 7 pieces is queued")
def seven_pieces(context):
    context.queue.add(group("a", 7))


@then("the first call holds 4 pieces and no other follows")
def check_memory(context):
    batch = context.queue.next_batch(context.replica_names)
    assert len(batch.tasks) == 4
    context.clock.ms += 250.0
    context.queue.call_ended(batch, computed(batch))
    assert context.queue.next_batch(context.replica_names) is None


@then("once two results are freed a call of 2 pieces follows")
def check_freed(context):
    context.queue.results_freed("m1", ["m1/0", "m1/1"])
    batch = context.queue.next_batch(context.replica_names)
    assert len(batch.tasks) == 2


@when("a call finds no memory for its pieces")
def no_memory(context):
    context.queue.add(group("a", 4, deadline_at=60_000.0))
    batch = context.queue.next_batch(context.replica_names)
    assert len(batch.tasks) == 4
    context.clock.ms += 160.0
    context.queue.call_ended(
        batch, [PieceResult(failure=PieceFailure.NO_ROOM)] * 4
    )


@then("the next call comes later and is smaller")
def check_smaller(context):
    assert context.queue.next_batch(context.replica_names) is None
    context.clock.ms += 2_100.0
    batch = context.queue.next_batch(context.replica_names)
    assert 1 <= len(batch.tasks) <= 2, len(batch.tasks)
    context.queue.call_ended(batch, computed(batch))
    context.queue.results_freed("m1", [f"m1/{n}" for n in range(4)])


@then("after the lifetime of results it is full again")
def check_full_again(context):
    context.clock.ms += 4_000.0
    context.queue.add(group("b", 4, now=context.clock.ms))
    batch = context.queue.next_batch(context.replica_names)
    assert len(batch.tasks) == 4, len(batch.tasks)


@when("a call is refused ten times")
def refused(context):
    context.queue.add(group("a", 3, deadline_at=60_000.0))
    for _ in range(10):
        batch = context.queue.next_batch(context.replica_names)
        assert context.queue.call_refused(batch) == []
        context.clock.ms += 100.0


@then("its pieces are still queued")
def check_refused(context):
    assert context.queue.queued_count == 3


@when("a call fails four times")
def fails(context):
    context.queue.add(group("a", 3, deadline_at=60_000.0))
    context.settled = []
    for _ in range(4):
        batch = context.queue.next_batch(context.replica_names)
        context.settled += context.queue.call_ended(batch, None)
        context.clock.ms += 5_000.0


@then("its pieces are settled as failed")
def check_fails(context):
    results = {task.result.failure for task in context.settled}
    assert len(context.settled) == 3
    assert results == {PieceFailure.FAILED}
    assert context.queue.queued_count == 0


@when("a request waits until shortly before its deadline")
def near_deadline(context):
    context.queue.add(group("a", 2, deadline_at=1_000.0))
    context.clock.ms = 900.0
    context.settled = context.queue.expire()


@then("its pieces are settled as late and never sent")
def check_near_deadline(context):
    assert [t.result.failure for t in context.settled] == [
        PieceFailure.LATE
    ] * 2
    assert context.queue.next_batch(context.replica_names) is None


@when("one replica was measured to be 6 times slower")
def slow(context):
    for _ in range(4):
        context.queue.add(group("a", 10, now=context.clock.ms))
        batches = [
            context.queue.next_batch([replica_name])
            for replica_name in context.replica_names
        ]
        usual_ms = batches[0].expected_ms
        context.clock.ms += 278.0
        context.queue.call_ended(batches[1], computed(batches[1]))
        context.clock.ms += 6 * 278.0 - 278.0
        context.queue.call_ended(batches[0], computed(batches[0]))
        assert usual_ms > 0


@then("it gets no call while the other one would finish sooner")
def check_slow(context):
    context.queue.add(group("b", 10, now=context.clock.ms))
    first = context.queue.next_batch(context.replica_names)
    assert first.replica_name == "m2", first.replica_name
    assert context.queue.next_batch(context.replica_names) is None


@when("pieces whose inputs are at the busy replica are queued")
def local_inputs(context):
    context.queue.add(group("a", 5, data_centre="at-m1", transfer_bytes=MB))
    first = context.queue.next_batch(context.replica_names)
    assert first.replica_name == "m1"
    context.clock.ms += 150.0
    context.queue.add(
        group("b", 3, context.clock.ms, data_centre="at-m1", transfer_bytes=MB)
    )


@then("the free replica skips them")
def check_local_inputs(context):
    assert context.queue.next_batch(context.replica_names) is None


@then("it takes them once more are queued than the next call holds")
def check_remote_call(context):
    context.queue.add(group("c", 3, data_centre="at-m1", transfer_bytes=MB))
    batch = context.queue.next_batch(context.replica_names)
    assert batch is not None
    assert batch.replica_name == "m2"


@when("pieces arrive twice as fast as calls can hold them")
def backlog_grows(context):
    context.backlogs = []
    for number in range(20):
        now = context.clock.ms
        context.queue.add(
            group(f"g{number}", 10, now, deadline_at=now + 60_000)
        )
        batch = context.queue.next_batch(context.replica_names)
        context.clock.ms += 278.0
        context.queue.call_ended(batch, computed(batch, number * 10))
        context.backlogs.append(context.queue.backlog())


@then("the reported backlog grows, and that of feasible pieces is bounded")
def check_backlog(context):
    last = context.backlogs[-1]
    assert last.all_ms > 4_000, last
    assert last.feasible_ms < 1_000, last
    assert context.backlogs[2].all_ms < last.all_ms


class ForgetfulQueue(StageQueue):
    """Leaves the pieces of a call in the queue."""

    def _start(self, name, tasks):
        kept = list(self._queued)
        batch = super()._start(name, tasks)
        self._queued = kept
        return batch


class QueueMachine(RuleBasedStateMachine):
    """Drives a queue; the model is which pieces are in calls or settled."""

    kind = StageQueue

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.queue = self.kind(
            clock=self.clock, spec=batch_spec(result_capacity_bytes=8 * MB)
        )
        self.replica_names = ["m1", "m2", "m3"]
        self.groups = []
        self.calls = []
        self.settled = []
        self.handles = 0

    @rule(pieces=st.integers(1, 8), slack=st.integers(100, 3_000))
    def add(self, pieces, slack):
        now = self.clock.ms
        new_group = group(
            f"g{len(self.groups)}",
            pieces,
            objective_at=now + slack,
            deadline_at=now + 3 * slack,
        )
        self.groups.append(new_group)
        self.queue.add(new_group)

    @rule(ms=st.integers(1, 2_000))
    def pass_time(self, ms):
        self.clock.ms += ms
        self.record_settled(self.queue.expire())

    @rule(count=st.integers(1, 3))
    def send(self, count):
        batch = self.queue.next_batch(self.replica_names[:count])
        if batch is None:
            return
        assert 1 <= len(batch.tasks) <= 5
        for task in batch.tasks:
            assert not task.group.cancelled, "a cancelled piece was sent"
            assert task.result is None, "a settled piece was sent"
            for other in self.calls:
                assert task not in other.tasks, "a piece is in two calls"
        self.calls.append(batch)

    @rule(data=st.data(), how=st.sampled_from(["computed", "lost", "refused"]))
    def end(self, data, how):
        if not self.calls:
            return
        batch = self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1)))
        if how == "refused":
            self.record_settled(self.queue.call_refused(batch))
            return
        results = None
        if how == "computed":
            self.handles += len(batch.tasks)
            results = computed(batch, self.handles)
        self.record_settled(self.queue.call_ended(batch, results))

    @rule(data=st.data())
    def cancel(self, data):
        if self.groups:
            self.queue.cancel(data.draw(st.sampled_from(self.groups)))

    def record_settled(self, tasks):
        for task in tasks:
            assert task.result is not None
            assert all(task is not old for old in self.settled), "settled twice"
            self.settled.append(task)

    @invariant()
    def no_piece_is_lost(self):
        waiting = {id(task) for task in self.queue._queued}
        calling = {id(t) for batch in self.calls for t in batch.tasks}
        for one in self.groups:
            for task in one.tasks:
                known = id(task) in waiting or id(task) in calling
                assert known or task.result or one.cancelled, "a piece is lost"

    @invariant()
    def memory_is_not_overfilled(self):
        for replica_name in self.replica_names:
            assert self.queue.held_bytes(replica_name) <= 8 * MB + 1


class ForgetfulMachine(QueueMachine):
    kind = ForgetfulQueue


def machine_fails(machine, examples):
    """Returns the first violation that a machine finds, empty if none.

    The failing example is not shrunk. That would take minutes where an example
    simulates seconds of many daemons.
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
    context.violation = machine_fails(QueueMachine, 150)


@then("it finds no violated invariant")
def check_machine(context):
    assert context.violation == "", context.violation


@then("it finds one in a queue that does not remove sent pieces")
def check_naive_machine(context):
    assert machine_fails(ForgetfulMachine, 100) != ""


def simulate(rate, pattern, *, alone):
    """Returns how many of 100 requests are on time in a simulation."""
    rng = random.Random(11)
    clock = ManualClock()
    spec = batch_spec(batch=5)
    queue = StageQueue(clock=clock, spec=spec)
    replica_names = ["m1", "m2", "m3"]
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
    pending = [(at, n, pieces) for n, (at, pieces) in enumerate(arrivals)]
    heapq.heapify(pending)
    groups, end_times, number = [], {}, len(pending)
    while pending:
        clock.ms, key, item = heapq.heappop(pending)
        if isinstance(item, int):
            one = group(f"g{key}", item, now=clock.ms, result_bytes=0.0)
            groups.append(one)
            queue.add(one)
        else:
            for task in queue.call_ended(item, computed(item, key * 10)):
                end_times[id(task.group)] = clock.ms
        queue.expire()
        while (
            batch := next_call(queue, replica_names, alone=alone)
        ) is not None:
            number += 1
            end = clock.ms + 150.0 + len(batch.tasks) * 25.6
            heapq.heappush(pending, (end, number, batch))
    on_time = sum(
        all(t.result and t.result.handle for t in one.tasks)
        and end_times[id(one)] <= one.objective_at
        for one in groups
    )
    return 100.0 * on_time / len(groups)


def next_call(queue, replica_names, *, alone):
    """Returns the next call: shared, or with the pieces of one request."""
    if not alone:
        return queue.next_batch(replica_names)
    waiting = list(queue._queued)
    if not waiting:
        return None
    first = waiting[0].group
    queue._queued = [t for t in waiting if t.group is first]
    batch = queue.next_batch(replica_names)
    rest = [t for t in waiting if t.group is not first]
    queue._queued = [*queue._queued, *rest]
    return batch


@when("{rate:d} requests a second arrive for 20 seconds, {pattern}")
def run_pattern(context, rate, pattern):
    context.shared = simulate(rate, pattern, alone=False)
    context.alone = simulate(rate, pattern, alone=True)


@then("at least {min_share:d} of 100 are on time with shared calls")
def check_shared_pattern(context, min_share):
    assert context.shared >= min_share, context.shared


@then("at most {max_share:d} of 100 with a call for each request")
def check_alone_pattern(context, max_share):
    assert context.alone <= max_share, context.alone


@when("the named patterns are simulated with each policy")
def simulate_patterns(context):
    context.rows = case_j_stage_policies.run_case(tiny=True)


@then("no policy exceeds the capacity of all replicas in full calls")
def check_policy_bound(context):
    assert len(context.rows) == len(case_j_stage_policies.PATTERNS)
    for row in context.rows:
        for policy in case_j_stage_policies.POLICIES:
            assert row[policy] <= row["bound"] + 1e-9, row


@then(
    "in bursts the queue has at least {more:d} of 100 more than any naive one"
)
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
