"""Steps of the first seconds after all daemons were lost."""

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
from cactusdyke.serving.batcher import FETCH_MS, StageBatcher
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import MemoryTold, Piece, PieceFailure
from cactusdyke.serving.dispatch import Dispatch
from cactusdyke.serving.dispatch_messages import (
    StageInputs,
    StageMade,
    StageWork,
)
from cactusdyke.serving.model import StageSpec
from cactusdyke.serving.patience import CallerPatience
from cactusdyke.serving.stage_queue import Backlog, Batch
from cactusdyke.serving.stages import StageResults, StageRunner
from features.steps.daemon_steps import _decider_world
from features.steps.serving_steps import HandClock, KnownBacklogs, route
from features.steps.stage_queue_steps import MB, _queue, group, made, names
from features.support import serving_values as values
from features.support.member_fleet import MemberFleet
from standins.virtual import run_virtual

NINE = [f"d-{n}" for n in range(9)]
ROOM = 2.78 * MB
SMALL = 0.06 * MB


class NineHosts(HostList):
    """The platform's list still names all that there were."""

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


def _know_all_after(hosts, *, told):
    async def run():
        async with MemberFleet(hosts=hosts, seed=5) as fleet:
            fleet.names = list(NINE)
            for name in NINE:
                fleet.start(name)
                if told:
                    fleet.daemons[name].members.announce()
                await anyio.sleep(0.3 / len(NINE))
            for tenths in range(100):
                known = [len(d.members.all()) for d in fleet.daemons.values()]
                if min(known) == len(NINE):
                    return tenths * 100
                await anyio.sleep(0.1)
        return 10_000

    return run_virtual(run)


@when("all of them start within 300 ms and say that they serve")
def start_all(context):
    context.told_ms = _know_all_after(context.hosts, told=True)
    context.untold_ms = _know_all_after(context.hosts, told=False)


@then("each knows all of them 100 ms after the last one started")
def know_all(context):
    assert context.told_ms <= 100, context.told_ms


@then("without a word that they serve they take longer")
def know_later(context):
    assert context.untold_ms > context.told_ms, context.untold_ms


@given("nine daemons that have known one another for a minute")
def known_for_long(context):
    context.hosts = NineHosts()


@when("one of them is killed and starts again")
def starts_again(context):
    def attach(name, fleet, heard):
        fleet.daemons[name].members.attach_provider(
            "front",
            lambda: {"a": name, "filler": "x" * 60},
            lambda other, value: heard.add(other),
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
            heard = set()
            fleet.start("d-3")
            attach("d-3", fleet, heard)
            fleet.daemons["d-3"].members.announce()
            await anyio.sleep(0.5)
            return heard

    context.heard = run_virtual(run)


@then("it has heard of the other eight within half a second")
def heard_of_all(context):
    assert context.heard == set(NINE) - {"d-3"}, context.heard


def _maker(context):
    _queue(context, ["m1"], batch=20, result_room_bytes=ROOM)
    context.clock.ms = 10_000.0


def _add(context, name, pieces):
    now = context.clock.ms
    context.queue.add(group(name, pieces, now, result_bytes=SMALL))


@given("a maker of 2.78 MB that others have filled but for 0.7 MB")
def filled_by_others(context):
    _maker(context)
    context.told = MemoryTold(at_least=0.0, at_most=MB)


@when("a decider takes over and the maker tells whole megabytes")
def takes_over(context):
    context.queue.ask_first(["m1"], context.clock.ms + 50.0)
    _add(context, "a", 40)
    context.before = context.queue.next_batch(["m1"])
    context.clock.ms += 5.0
    context.queue.told_free("m1", context.told)
    context.first = context.queue.next_batch(["m1"])


@then("it makes no call before it was told")
def no_call_before(context):
    assert context.before is None


@then("its first call holds no more than what may be free")
def first_call_fits(context):
    assert len(context.first.tasks) * SMALL <= context.told.at_most
    assert len(context.first.tasks) >= 15


@given("a maker of 2.78 MB that is believed to be full")
def believed_full(context):
    _maker(context)
    maker = context.queue._maker("m1")
    maker.learn_full(context.queue.spec, ROOM, context.clock.ms)
    _add(context, "a", 40)
    assert context.queue.next_batch(["m1"]) is None


@when("the maker tells that 2 MB are free")
def tells_two(context):
    told = MemoryTold(at_least=2 * MB, at_most=3 * MB)
    context.queue.told_free("m1", told)


@then("calls are filled again but for what may be unknown")
def filled_again(context):
    batch = context.queue.next_batch(["m1"])
    assert len(batch.tasks) == 20
    maker = context.queue._maker("m1")
    assert 0 < maker.unknown_bytes <= ROOM - 2 * MB


@given("a maker of 2.78 MB that is full of results known here")
def full_of_own(context):
    _maker(context)
    context.handles = []
    for call in range(2):
        _add(context, f"a{call}", 20)
        batch = context.queue.next_batch(["m1"])
        results = made(batch, 100 * call)
        context.clock.ms += 300.0
        context.queue.ended(batch, results)
        context.handles += [result.handle for result in results]


@when("they are freed and the maker still tells that nothing is free")
def freed_since(context):
    context.queue.freed("m1", context.handles)
    context.clock.ms += 150.0
    context.queue.told_free("m1", MemoryTold(at_least=0.0, at_most=MB))


@then("the whole of its memory is used")
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


@when("one comes that waits 5.2 seconds, and one that waits 3")
def two_callers(context):
    context.new = context.patience.waited_ms(context.route, 5_200.0)
    context.back = context.patience.waited_ms(context.route, 3_000.0)


@then("the first is new, and the second has been trying for 2.6 seconds")
def told_apart(context):
    assert context.new == 0.0
    assert 2_450.0 < context.back < 2_650.0, context.back


@given("a route that keeps callers waiting for 6 seconds at most")
def known_timeout(context):
    context.route = route(timeout_ms=6_000.0)
    context.patience = CallerPatience()


@when("its first caller waits 4.4 seconds")
def first_caller(context):
    context.back = context.patience.waited_ms(context.route, 4_400.0)


@then("it has been trying for 1.2 seconds")
def known_first(context):
    assert 1_100.0 < context.back < 1_200.0, context.back


@given("pieces in a call whose inputs nothing else needs")
def inputs_of_call(context):
    inputs = StageInputs(service="before", handles=("m/1", "m/2"))
    context.group = group("a", 4, moved_bytes=MB, last_use_of=(inputs,))
    context.group.holds_scarce = True
    context.plenty = group("b", 4, moved_bytes=MB, last_use_of=(inputs,))
    for task in (*context.group.tasks, *context.plenty.tasks):
        task.piece = Piece(
            request_id="a", stage=1, number=0, inputs=inputs.handles
        )
    context.freed = []


def _call_of(tasks):
    return Batch(
        maker="m1",
        tasks=tuple(tasks),
        expected_ms=300.0,
        started_at=0.0,
        room_bytes=MB,
    )


@when("the call has had the time to fetch them")
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
    assert FETCH_MS <= context.took_ms < 2 * FETCH_MS
    assert context.group.inputs_freed
    assert not context.plenty.inputs_freed


class Steady:
    """Deciders that have been the same for a while."""

    def __init__(self, stable_ms):
        self.stable_ms = stable_ms


@given("a decider that may free inputs early")
def may_free(context):
    def frees(*, backlog_ms, stable_ms):
        freed = []
        dispatch = Dispatch.__new__(Dispatch)
        dispatch._deciders = Steady(stable_ms)
        dispatch.backlog = lambda service: Backlog(all_ms=backlog_ms)
        dispatch.free = lambda service, handles: freed.append(handles)
        told = dispatch._free_early("before", ["m/1"])
        assert told == bool(freed)
        return told

    context.frees = frees


@then("it does with a backlog and daemons that stay")
def does(context):
    assert context.frees(backlog_ms=500.0, stable_ms=4_000.0)


@then("it does not without a backlog")
def not_calm(context):
    assert not context.frees(backlog_ms=100.0, stable_ms=4_000.0)


@then("it does not within 3 seconds of a daemon that came or left")
def not_changing(context):
    assert not context.frees(backlog_ms=500.0, stable_ms=2_900.0)


class LosesInputs(KnownBacklogs):
    """Makes what it is asked for, but for one piece whose inputs are gone."""

    loser = "narrow"

    def __init__(self):
        super().__init__()
        self.works = []

    async def make(self, work):
        first = work.service not in self.made
        self.works.append(work)
        made = (await super().make(work)).unwrap()
        if work.service == self.loser and first:
            gone = ("", *made.handles[1:])
            return Ok(StageMade(handles=gone, inputs_freed=True))
        return Ok(made)


STAGES = (StageSpec(service="wide"), StageSpec(service="narrow", after=(0,)))


def _runner(context, dispatch):
    context.dispatch = dispatch
    context.runner = StageRunner(
        clock=EventLoopClock(),
        rng=random.Random(1),
        dispatch=dispatch,
        deployment=Deployment(clock=EventLoopClock()),
    )


def _request(pieces, *, objective_at):
    request = values.serving_context(route(stages=STAGES), pieces=pieces)
    request.objective_at = objective_at
    request.first_by = 60_000.0
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


@then("its inputs are made again, and the lost piece alone, before others")
def made_again(context):
    works = [
        (work.service, [p.number for p in work.pieces], work.again)
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
    context.dispatch.loser = "last"


@when("a request runs through all three of them")
def runs_through_three(context):
    stages = (*STAGES, StageSpec(service="last", after=(1,)))
    request = values.serving_context(route(stages=stages), pieces=(1, 1, 2))
    request.objective_at = request.first_by = 60_000.0
    context.handles = run_virtual(
        context.runner.run, request, StageResults(request)
    ).unwrap()


@then("all that was freed is made again, and the request has its results")
def three_again(context):
    made = [work.service for work in context.dispatch.works]
    assert made == ["wide", "narrow", "last"] * 2, made
    assert context.handles == ["last/0", "last/1"]
    inputs = context.dispatch.works[-1].pieces[0].inputs
    assert inputs == ("narrow/0",), inputs


@given("a decider that is asked for new work and for work made before")
def asked_twice(context):
    async def run():
        decider = Decider(
            clock=EventLoopClock(),
            deployment=_decider_world(),
            dialect=PlatformDialect(),
            connections=values.NoConnections(),
            tracing=Tracing(daemon="d1"),
        )
        context.begun = {}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(decider.run)
            await anyio.sleep(0.01)
            for again in (False, True):
                work = StageWork(
                    service="stage",
                    name=f"work {again}",
                    pieces=(Piece(request_id="r", stage=0, number=0),),
                    needed_in_ms=1_000.0,
                    ends_in_ms=2_000.0,
                    priority=0,
                    result_bytes=1.0,
                    may_refuse=False,
                    again=again,
                )
                make = partial(decider.make_work, work, pinned=False)
                tasks.start_soon(make)
            await anyio.sleep(0.01)
            for name, known in decider._groups.items():
                context.begun[name] = known.group.begun
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the latter counts as begun")
def counts_as_begun(context):
    assert context.begun == {"work False": False, "work True": True}


class BehindUntil(KnownBacklogs):
    """The second stage is behind until a moment."""

    until = math.inf

    def backlog(self, service):
        now = anyio.current_time() * 1_000
        behind = service == "narrow" and now < self.until
        return Backlog(hopeful_ms=0.0, all_ms=3_000.0 * behind)


@given("stages of which the second is 3 seconds behind")
def three_behind(context):
    _runner(context, BehindUntil())


def _run_late(context, *, objective_at=-1.0):
    async def run():
        began = anyio.current_time()
        request = _request((1, 2), objective_at=objective_at)
        answer = await context.runner.run(request, StageResults(request))
        return answer, (anyio.current_time() - began) * 1_000

    return run_virtual(run)


@when("a request comes that can't be on time any more")
def late_request(context):
    context.refused, context.refused_ms = _run_late(context)
    context.begun = list(context.dispatch.made)
    context.dispatch.until = 1_000.0
    context.served, context.served_ms = _run_late(context)
    context.dispatch.until = math.inf
    context.hopeful, context.hopeful_ms = _run_late(
        context, objective_at=60_000.0
    )


@then("it begins nothing for 2.5 seconds and is told when there will be room")
def held_back(context):
    failure = context.refused.unwrap_err()
    assert failure.kind is FailureKind.OVERLOADED
    assert 2_000 <= failure.retry_after_ms <= 4_000, failure
    assert 2_500 <= context.refused_ms < 2_800, context.refused_ms
    assert context.begun == []


@then("it begins as soon as they have caught up")
def begins_then(context):
    assert context.served.is_ok()
    assert 1_000 <= context.served_ms < 1_300, context.served_ms


@then("one that can be on time begins at once")
def begins_at_once(context):
    assert context.hopeful.is_ok()
    assert context.hopeful_ms < 10, context.hopeful_ms


def _late(name, pieces, now, **changes):
    fields = {"needed_by": now - 1.0, "ends_at": now + 9_000.0, **changes}
    return group(name, pieces, now, **fields)


@when("three late requests wait, two of one rank")
def three_late(context):
    now = context.clock.ms = 1_000.0
    add = context.queue.add
    add(_late("soon", 2, now, priority=1, ends_at=now + 4_000.0))
    add(_late("long", 2, now, priority=1))
    add(_late("urgent", 2, now, priority=0, ends_at=now + 3_000.0))
    context.first = context.queue.next_batch(["m1"])


@then("the call holds the more urgent one, then the one with most time left")
def urgent_first(context):
    assert names(context.first) == ["urgent", "urgent", "long", "long", "soon"]


@when("a late request waits behind others for 2.6 seconds")
def waits_long(context):
    now = context.clock.ms = 1_000.0
    context.late = _late("late", 2, now)
    context.begun = _late("begun", 6, now, priority=-1)
    context.hopeful = group("hopeful", 2, now, needed_by=now + 60_000.0)
    context.hopeful.ends_at = now + 60_000.0
    context.queue.add(context.begun)
    context.first = context.queue.next_batch(["m1"])
    context.queue.add(context.late)
    context.queue.add(context.hopeful)
    context.clock.ms += 2_400.0
    context.early = context.queue.expire()
    context.clock.ms += 200.0
    context.expired = context.queue.expire()


@then("it is settled as late, and what was begun or is hopeful is not")
def settled_late(context):
    assert len(context.first.tasks) == 5
    assert context.early == []
    assert {t.piece.request_id for t in context.expired} == {"late"}
    assert all(
        t.result.failure is PieceFailure.LATE for t in context.late.tasks
    )


@when("late pieces with inputs in scarce memory wait among hopeful ones")
def late_with_inputs(context):
    now = context.clock.ms = 1_000.0
    late = {"needed_by": now - 1.0, "ends_at": now + 4_000.0}
    context.queue.add(group("plain", 2, now, **late))
    context.queue.add(group("hopeful", 3, now, needed_by=now + 2_000.0))
    context.queue.add(group("holds", 2, now, holds_scarce=True, **late))
    context.first = context.queue.next_batch(["m1"])


@then("they go into the next call")
def in_next_call(context):
    assert sorted(set(names(context.first))) == ["holds", "hopeful"]


@then("late pieces without go behind the hopeful")
def behind(context):
    context.clock.ms += 278.0
    context.queue.ended(context.first, made(context.first))
    assert names(context.queue.next_batch(["m1"])) == ["plain", "plain"]


class EventClock(HandClock):
    """Sleeps on the event loop's virtual time."""

    async def sleep(self, duration_ms):
        await anyio.sleep(duration_ms / 1_000)
