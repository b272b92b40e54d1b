"""Steps on the recovery after a loss of all daemons."""

from __future__ import annotations

import math
import random
from functools import partial

import anyio
from behave import given, then, when
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import FailureKind
from cactusdyke.infrastructure.host_list import HostList, HostState, ListedHost
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.batcher import FETCH_OVERHEAD_MS, StageBatcher
from cactusdyke.serving.caller_patience import CallerPatience
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import MemoryReport, Piece, PieceFailure
from cactusdyke.serving.dispatch import Dispatch
from cactusdyke.serving.dispatch_messages import (
    StageInputs,
    StageOutcome,
    StageWork,
)
from cactusdyke.serving.model import StageSpec
from cactusdyke.serving.stage_pieces import Backlog, Batch
from cactusdyke.serving.stages import StageResults, StageRunner
from features.steps.daemon_steps import deployment_with_stage
from features.steps.serving_steps import FakeDispatch, ManualClock, route
from features.steps.stage_queue_steps import (
    MB,
    computed,
    group,
    make_queue,
    names,
)
from features.support import serving_values as values
from features.support.member_fleet import MemberFleet
from standins.virtual import run_virtual

NINE = [f"d-{n}" for n in range(9)]
ROOM = 2.78 * MB
SMALL = 0.06 * MB


class NineHosts(HostList):
    """The platform's list of hosts, which names all nine of them."""

    async def read(self):
        return Ok(
            tuple(
                ListedHost(
                    name=name,
                    address=f"{name}:1",
                    data_centre="here",
                    state=HostState.LIVE,
                )
                for name in NINE
            )
        )


@given("nine daemons that the platform lists")
def nine_daemons(context):
    context.hosts = NineHosts()


def _discovery_ms(hosts, *, announced):
    async def run():
        async with MemberFleet(hosts=hosts, seed=5) as fleet:
            fleet.names = list(NINE)
            for name in NINE:
                fleet.start(name)
                if announced:
                    fleet.daemons[name].members.announce()
                await anyio.sleep(0.3 / len(NINE))
            for tenths in range(100):
                known = [len(d.members.all()) for d in fleet.daemons.values()]
                if min(known) == len(NINE):
                    return tenths * 100
                await anyio.sleep(0.1)
        return 10_000

    return run_virtual(run)


@when("all of them start within 300 ms and announce that they serve")
def start_all(context):
    context.announced_ms = _discovery_ms(context.hosts, announced=True)
    context.unannounced_ms = _discovery_ms(context.hosts, announced=False)


@then("each knows all of them 100 ms after the last one started")
def know_all(context):
    assert context.announced_ms <= 100, context.announced_ms


@then("without the announcement they take longer")
def know_later(context):
    assert context.unannounced_ms > context.announced_ms, context.unannounced_ms


@given("nine daemons that have known one another for a minute")
def known_for_long(context):
    context.hosts = NineHosts()


@when("one of them is killed and starts again")
def starts_again(context):
    def attach(name, fleet, received):
        fleet.daemons[name].members.attach_provider(
            "front",
            lambda: {"a": name, "filler": "x" * 60},
            lambda other, value: received.add(other),
        )

    async def run():
        async with MemberFleet(hosts=context.hosts, seed=7) as fleet:
            fleet.names = list(NINE)
            for name in NINE:
                fleet.start(name)
                attach(name, fleet, set())
                fleet.daemons[name].members.announce()
            await anyio.sleep(60)
            fleet.kill("d-3")
            await anyio.sleep(1)
            received = set()
            fleet.start("d-3")
            attach("d-3", fleet, received)
            fleet.daemons["d-3"].members.announce()
            await anyio.sleep(0.5)
            return received

    context.received = run_virtual(run)


@then("it has the state of the other eight within half a second")
def received_all(context):
    assert context.received == set(NINE) - {"d-3"}, context.received


def make_small_queue(context):
    make_queue(context, ["m1"], batch=20, result_capacity_bytes=ROOM)
    context.clock.ms = 10_000.0


def _add(context, name, pieces):
    now = context.clock.ms
    context.queue.add(group(name, pieces, now, result_bytes=SMALL))


@given("a replica with 2.78 MB that others have filled except for 0.7 MB")
def filled_by_others(context):
    make_small_queue(context)
    context.report = MemoryReport(min_free_bytes=0.0, max_free_bytes=MB)


@when("a decider takes over and the replica reports whole megabytes")
def decider_takes_over(context):
    context.queue.require_reports(["m1"], context.clock.ms + 50.0)
    _add(context, "a", 40)
    context.before = context.queue.next_batch(["m1"])
    context.clock.ms += 5.0
    context.queue.apply_report("m1", context.report)
    context.first = context.queue.next_batch(["m1"])


@then("it makes no call before the report")
def no_call_before(context):
    assert context.before is None


@then("its first call holds no more than may be free")
def first_call_fits(context):
    assert len(context.first.tasks) * SMALL <= context.report.max_free_bytes
    assert len(context.first.tasks) >= 15


@given("a replica with 2.78 MB that is estimated to be full")
def estimated_full(context):
    make_small_queue(context)
    replica = context.queue._replica("m1")
    replica.record_shortage(context.queue.spec, ROOM, context.clock.ms)
    _add(context, "a", 40)
    assert context.queue.next_batch(["m1"]) is None


@when("the replica reports that 2 MB are free")
def reports_two(context):
    report = MemoryReport(min_free_bytes=2 * MB, max_free_bytes=3 * MB)
    context.queue.apply_report("m1", report)


@then("calls are full again except for memory that may be in use")
def filled_again(context):
    batch = context.queue.next_batch(["m1"])
    assert len(batch.tasks) == 20
    replica = context.queue._replica("m1")
    assert 0 < replica.unaccounted_bytes <= ROOM - 2 * MB


@given("a replica with 2.78 MB that is full of known results")
def full_of_known(context):
    make_small_queue(context)
    context.handles = []
    for call in range(2):
        _add(context, f"a{call}", 20)
        batch = context.queue.next_batch(["m1"])
        results = computed(batch, 100 * call)
        context.clock.ms += 300.0
        context.queue.call_ended(batch, results)
        context.handles += [result.handle for result in results]


@when("they are freed and the replica still reports no free memory")
def freed_since(context):
    context.queue.results_freed("m1", context.handles)
    context.clock.ms += 150.0
    context.queue.apply_report(
        "m1", MemoryReport(min_free_bytes=0.0, max_free_bytes=MB)
    )


@then("all of its memory is used")
def whole_used(context):
    _add(context, "b", 20)
    assert len(context.queue.next_batch(["m1"]).tasks) == 20


@given("a route whose callers wait 5 to 6 seconds")
def usual_callers(context):
    context.route = route(timeout_ms=9_000.0)
    context.patience = CallerPatience()
    for number in range(40):
        waited = context.patience.waited_ms(
            context.route, 5_100.0 + 22.5 * number
        )
        assert waited == 0.0, waited


@when("one caller waits 5.2 seconds, and another one waits 3")
def two_callers(context):
    context.new = context.patience.waited_ms(context.route, 5_200.0)
    context.retrying = context.patience.waited_ms(context.route, 3_000.0)


@then("the first is new, and the second has been trying for 2.6 seconds")
def recognised(context):
    assert context.new == 0.0
    assert 2_450.0 < context.retrying < 2_650.0, context.retrying


@given("a route that keeps callers waiting for 6 seconds at most")
def known_timeout(context):
    context.route = route(timeout_ms=6_000.0)
    context.patience = CallerPatience()


@when("its first caller waits 4.4 seconds")
def first_caller(context):
    context.retrying = context.patience.waited_ms(context.route, 4_400.0)


@then("it has been trying for 1.2 seconds")
def known_first(context):
    assert 1_100.0 < context.retrying < 1_200.0, context.retrying


@given("pieces in a call whose inputs no other work needs")
def inputs_of_call(context):
    inputs = StageInputs(service="before", handles=("m/1", "m/2"))
    context.group = group("a", 4, transfer_bytes=MB, last_use_of=(inputs,))
    context.group.inputs_in_scarce_memory = True
    context.plenty = group("b", 4, transfer_bytes=MB, last_use_of=(inputs,))
    for task in (*context.group.tasks, *context.plenty.tasks):
        task.piece = Piece(
            request_id="a", stage=1, number=0, inputs=inputs.handles
        )
    context.freed = []


def _call_of(tasks):
    return Batch(
        replica_name="m1",
        tasks=tuple(tasks),
        expected_ms=300.0,
        started_at=0.0,
        free_bytes=MB,
    )


@when("the call has had time to fetch them")
def time_to_fetch(context):
    def free(service, handles):
        context.freed.append((service, tuple(handles)))
        return True

    async def run():
        batcher = StageBatcher.__new__(StageBatcher)
        batcher._clock = EventClock()
        batcher._free_inputs = free
        first, second = context.group.tasks[:3], context.group.tasks[3:]
        await batcher._free_when_fetched(_call_of(context.plenty.tasks))
        lost = _call_of(second)
        lost.ended = True
        await batcher._free_when_fetched(lost)
        await batcher._free_when_fetched(_call_of(first))
        context.early = list(context.freed)
        began = anyio.current_time()
        await batcher._free_when_fetched(_call_of(second))
        context.took_ms = (anyio.current_time() - began) * 1_000

    run_virtual(run)


@then("their inputs are freed, once all pieces of the request are in calls")
def freed_early(context):
    assert context.early == []
    assert context.freed == [("before", ("m/1", "m/2"))]
    assert FETCH_OVERHEAD_MS <= context.took_ms < 2 * FETCH_OVERHEAD_MS
    assert context.group.inputs_freed
    assert not context.plenty.inputs_freed


class StableDeciders:
    """A set of deciders that has been stable for a given time."""

    def __init__(self, stable_ms):
        self.stable_ms = stable_ms


@given("a decider that may free inputs early")
def may_free(context):
    def frees(*, backlog_ms, stable_ms):
        freed = []
        dispatch = Dispatch.__new__(Dispatch)
        dispatch._deciders = StableDeciders(stable_ms)
        dispatch.backlog = lambda service: Backlog(all_ms=backlog_ms)
        dispatch.free = lambda service, handles: freed.append(handles)
        reported = dispatch._free_early("before", ["m/1"])
        assert reported == bool(freed)
        return reported

    context.frees = frees


@then("it does with a backlog and a stable set of daemons")
def frees_with_backlog(context):
    assert context.frees(backlog_ms=500.0, stable_ms=4_000.0)


@then("it does not without a backlog")
def keeps_without_backlog(context):
    assert not context.frees(backlog_ms=100.0, stable_ms=4_000.0)


@then("it does not within 3 seconds of a daemon that joined or left")
def keeps_during_changes(context):
    assert not context.frees(backlog_ms=500.0, stable_ms=2_900.0)


class LosesInputs(FakeDispatch):
    """Computes all work except for one piece whose inputs are gone."""

    losing_service = "narrow"

    def __init__(self):
        super().__init__()
        self.works = []

    async def compute_stage(self, work):
        first = work.service not in self.made
        self.works.append(work)
        made = (await super().compute_stage(work)).unwrap()
        if work.service == self.losing_service and first:
            gone = ("", *made.handles[1:])
            return Ok(StageOutcome(handles=gone, inputs_freed=True))
        return Ok(made)


STAGES = (StageSpec(service="wide"), StageSpec(service="narrow", after=(0,)))


def _runner(context, dispatch):
    context.dispatch = dispatch
    context.runner = StageRunner(
        clock=EventLoopClock(),
        rng=random.Random(1),
        dispatch=dispatch,
        deployment=Deployment(clock=EventLoopClock()),
        returns=values.NoReturnTimes(),
    )


def _request(pieces, *, objective_at):
    request = values.serving_context(route(stages=STAGES), pieces=pieces)
    request.objective_at = objective_at
    request.start_deadline_at = 60_000.0
    return request


@given("stages of which the second loses the inputs of one piece")
def loses_inputs(context):
    _runner(context, LosesInputs())


@when("a request of 1 and 3 pieces runs through both of them")
def runs_through(context):
    request = _request((1, 3), objective_at=60_000.0)
    context.handles = run_virtual(
        context.runner.run, request, StageResults(request)
    ).unwrap()


@then("its inputs and only the lost piece are computed again, before others")
def computed_again(context):
    works = [
        (work.service, [p.number for p in work.pieces], work.repeated)
        for work in context.dispatch.works
    ]
    assert works == [
        ("wide", [0], False),
        ("narrow", [0, 1, 2], False),
        ("wide", [0], True),
        ("narrow", [0], True),
    ], works


@then("the request has the results of all three")
def has_all(context):
    assert context.handles == ["narrow/0", "narrow/1", "narrow/2"]


@given("stages of which the third loses the inputs of one piece")
def third_loses(context):
    _runner(context, LosesInputs())
    context.dispatch.losing_service = "last"


@when("a request runs through all three of them")
def runs_through_three(context):
    stages = (*STAGES, StageSpec(service="last", after=(1,)))
    request = values.serving_context(route(stages=stages), pieces=(1, 1, 2))
    request.objective_at = request.start_deadline_at = 60_000.0
    context.handles = run_virtual(
        context.runner.run, request, StageResults(request)
    ).unwrap()


@then("all that was freed is computed again, and the request has its results")
def all_computed_again(context):
    made = [work.service for work in context.dispatch.works]
    assert made == ["wide", "narrow", "last"] * 2, made
    assert context.handles == ["last/0", "last/1"]
    inputs = context.dispatch.works[-1].pieces[0].inputs
    assert inputs == ("narrow/0",), inputs


@given("a decider with new work and with repeated work")
def new_and_repeated(context):
    async def run():
        deployment = deployment_with_stage()
        decider = Decider(
            clock=EventLoopClock(),
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=values.NoConnections(),
            tracing=Tracing(daemon="d1"),
            request_limits=values.request_limits(EventLoopClock(), deployment),
        )
        context.started = {}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(decider.run)
            await anyio.sleep(0.01)
            for again in (False, True):
                work = StageWork(
                    service="stage",
                    name=f"work {again}",
                    pieces=(Piece(request_id="r", stage=0, number=0),),
                    objective_in_ms=1_000.0,
                    deadline_in_ms=2_000.0,
                    priority=0,
                    result_bytes=1.0,
                    may_refuse=False,
                    repeated=again,
                )
                make = partial(decider.compute_work, work, pinned=False)
                tasks.start_soon(make)
            await anyio.sleep(0.01)
            for name, known in decider._groups.items():
                context.started[name] = known.group.started
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the latter counts as started")
def counts_as_started(context):
    assert context.started == {"work False": False, "work True": True}


class BackloggedUntil(FakeDispatch):
    """The second stage has a backlog until a given time."""

    until = math.inf

    def backlog(self, service):
        now = anyio.current_time() * 1_000
        backlogged = service == "narrow" and now < self.until
        return Backlog(feasible_ms=0.0, all_ms=3_000.0 * backlogged)


@given("stages of which the second has a backlog of 3 seconds")
def backlog_of_three(context):
    _runner(context, BackloggedUntil())


def _run_late(context, *, objective_at=-1.0):
    async def run():
        began = anyio.current_time()
        request = _request((1, 2), objective_at=objective_at)
        answer = await context.runner.run(request, StageResults(request))
        return answer, (anyio.current_time() - began) * 1_000

    return run_virtual(run)


@when("a request arrives that can no longer be on time")
def late_request(context):
    context.refused, context.refused_ms = _run_late(context)
    context.started = list(context.dispatch.made)
    context.dispatch.until = 1_000.0
    context.served, context.served_ms = _run_late(context)
    context.dispatch.until = math.inf
    context.feasible, context.feasible_ms = _run_late(
        context, objective_at=60_000.0
    )


@then("it starts nothing for 2.5 seconds and is told when to retry")
def not_started(context):
    failure = context.refused.unwrap_err()
    assert failure.kind is FailureKind.OVERLOADED
    assert 2_000 <= failure.retry_after_ms <= 4_000, failure
    assert 2_500 <= context.refused_ms < 2_800, context.refused_ms
    assert context.started == []


@then("it starts as soon as the backlog is gone")
def starts_then(context):
    assert context.served.is_ok()
    assert 1_000 <= context.served_ms < 1_300, context.served_ms


@then("one that can be on time starts at once")
def starts_at_once(context):
    assert context.feasible.is_ok()
    assert context.feasible_ms < 10, context.feasible_ms


def _late(name, pieces, now, **changes):
    fields = {
        "objective_at": now - 1.0,
        "deadline_at": now + 9_000.0,
        **changes,
    }
    return group(name, pieces, now, **fields)


@when("three late requests are queued, two of one priority")
def three_late(context):
    now = context.clock.ms = 1_000.0
    add = context.queue.add
    add(_late("soon", 2, now, priority=1, deadline_at=now + 4_000.0))
    add(_late("long", 2, now, priority=1))
    add(_late("urgent", 2, now, priority=0, deadline_at=now + 3_000.0))
    context.first = context.queue.next_batch(["m1"])


@then("the call holds the more urgent one, then the one with most time left")
def urgent_first(context):
    assert names(context.first) == ["urgent", "urgent", "long", "long", "soon"]


@when("a late request waits behind others for 2.6 seconds")
def waits_long(context):
    now = context.clock.ms = 1_000.0
    context.late = _late("late", 2, now)
    context.started = _late("started", 6, now, priority=-1)
    context.feasible = group("feasible", 2, now, objective_at=now + 60_000.0)
    context.feasible.deadline_at = now + 60_000.0
    context.queue.add(context.started)
    context.first = context.queue.next_batch(["m1"])
    context.queue.add(context.late)
    context.queue.add(context.feasible)
    context.clock.ms += 2_400.0
    context.early = context.queue.expire()
    context.clock.ms += 200.0
    context.expired = context.queue.expire()


@then("it is settled as late, and started or feasible requests are not")
def settled_late(context):
    assert len(context.first.tasks) == 5
    assert context.early == []
    assert {t.piece.request_id for t in context.expired} == {"late"}
    assert all(
        t.result.failure is PieceFailure.LATE for t in context.late.tasks
    )


@when("late pieces with inputs in scarce memory are queued among feasible ones")
def late_with_inputs(context):
    now = context.clock.ms = 1_000.0
    late = {"objective_at": now - 1.0, "deadline_at": now + 4_000.0}
    context.queue.add(group("plain", 2, now, **late))
    context.queue.add(group("feasible", 3, now, objective_at=now + 2_000.0))
    context.queue.add(
        group("holds", 2, now, inputs_in_scarce_memory=True, **late)
    )
    context.first = context.queue.next_batch(["m1"])


@then("they go into the next call")
def in_next_call(context):
    assert sorted(set(names(context.first))) == ["feasible", "holds"]


@then("late pieces without go behind the feasible ones")
def behind(context):
    context.clock.ms += 278.0
    context.queue.call_ended(context.first, computed(context.first))
    assert names(context.queue.next_batch(["m1"])) == ["plain", "plain"]


class EventClock(ManualClock):
    """Sleeps on the event loop's virtual time."""

    async def sleep(self, duration_ms):
        await anyio.sleep(duration_ms / 1_000)
