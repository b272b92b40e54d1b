"""Steps of the first seconds after all daemons were lost."""

from __future__ import annotations

import anyio
from behave import given, then, when
from result import Ok

from cactusdyke.infrastructure.host_list import HostList, HostState, ListedHost
from cactusdyke.serving.batcher import FETCH_MS, StageBatcher
from cactusdyke.serving.dialect import MemoryTold, Piece
from cactusdyke.serving.dispatch import Dispatch
from cactusdyke.serving.dispatch_messages import StageInputs
from cactusdyke.serving.patience import CallerPatience
from cactusdyke.serving.stage_queue import Backlog, Batch
from features.steps.serving_steps import HandClock, route
from features.steps.stage_queue_steps import MB, _queue, group, made, names
from features.support.member_fleet import MemberFleet
from features.support.virtual import run_virtual

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
                    fleet.daemons[name].members.announce_start()
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
    for task in context.group.tasks:
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
