"""Steps for the choice of store readers and what they pass on."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.serving import state_readers
from cactusdyke.serving.state_readers import MIN_READERS
from cactusdyke.serving.state_timings import StateTimings
from features.support.state_fleet import (
    KIND,
    StateFleet,
    Things,
    peer,
)
from standins import virtual

DATA_CENTRES = ("a", "b", "c", "d", "e")


@when("{count:d} daemons in five data centres choose who reads the store")
def choose(context, count):
    context.daemons = [peer(n, data_centres=DATA_CENTRES) for n in range(count)]
    context.readers = state_readers.choose_readers(context.daemons)
    context.sources = _sources(context.daemons, ())


def _sources(daemons, avoided):
    chosen = state_readers.choose_readers(daemons)
    return {
        daemon.name: state_readers.choose_source(daemon, chosen, avoided)
        for daemon in daemons
    }


@then("{count:d} of them do, in different data centres")
def check_readers(context, count):
    assert len(context.readers) == count, context.readers
    data_centres = {reader.data_centre for reader in context.readers}
    assert len(data_centres) == min(count, len(DATA_CENTRES))


@then("no reader has over 64 followers on average")
def check_followers(context):
    followers = [s for s in context.sources.values() if s is not None]
    assert len(followers) <= 64 * len(context.readers)
    for daemon in context.daemons:
        source = context.sources[daemon.name]
        near = [
            r for r in context.readers if r.data_centre == daemon.data_centre
        ]
        assert source is None or not near or source in near


@then("without one of the readers its followers have another one")
def check_lost_reader(context):
    lost = context.readers[0]
    for name, source in _sources(context.daemons, {lost.name}).items():
        assert source is None or source.name != lost.name, name


@when("hosts of two sizes choose who reads the store")
def choose_large(context):
    daemons = [
        *(peer(n, data_centres=("a",), size_class=-2) for n in range(20)),
        peer(20, data_centres=("a",), size_class=0, warmed_up=False),
        peer(21, data_centres=("a",), size_class=0),
    ]
    context.readers = state_readers.choose_readers(daemons)


@then("the first reader is a large host that has run for a while")
def check_large(context):
    assert context.readers[0].name == "d21"


@given("{count:d} daemons that follow the store")
def fleet(context, count):
    context.count = count


def _play(context, scenario):
    async def run():
        async with StateFleet(count=context.count) as fleet:
            await scenario(fleet)

    virtual.run_virtual(run, seed=1)


@when("20 things change in 30 seconds")
def many_changes(context):
    async def scenario(fleet):
        fleet.attempts.clear()
        for number in range(20):
            fleet.store.put(KIND, f"t{number}", {})
            await anyio.sleep(1.5)
        context.callers = dict(fleet.attempts)
        context.readers = fleet.readers
        assert len(context.readers) == MIN_READERS
        context.seen = {n: s.seen for n, s in fleet.states.items()}

    _play(context, scenario)


@then("only its readers call the store, for each change and each wait once")
def check_calls(context):
    waits = 30_000.0 / StateTimings().long_poll_ms
    assert set(context.callers) == set(context.readers), context.callers
    for name, calls in context.callers.items():
        assert calls <= 20 + waits + 1, (name, calls)


@then("each daemon has seen each change once, in order")
def check_seen(context):
    expected = [f"t{number}" for number in range(20)]
    for name, seen in context.seen.items():
        assert [s for s in seen if s.startswith("t")] == expected, (name, seen)


@when("a thing changes")
def single_change(context):
    async def scenario(fleet):
        fleet.store.put(KIND, "new", {})
        context.took_s = await fleet.until_all_have(
            "new", list(fleet.states), within_s=5.0
        )

    _play(context, scenario)


@then("all daemons have it within {within:d} ms")
@then("all other daemons have it within {within:d} ms")
def check_took(context, within):
    assert context.took_s * 1_000 <= within, context.took_s


@when("a reader {fault} and a thing changes")
def reader_fault(context, fault):
    async def scenario(fleet):
        reader = fleet.readers[0]
        assert any(fleet.source_of(n) == reader for n in fleet.states)
        links = [(reader, "store"), ("store", reader)]
        match fault:
            case "is frozen":
                fleet.hub.freeze(reader)
            case "has died":
                fleet.hub.kill(reader)
            case "becomes unreachable":
                for name in (*fleet.states, "store"):
                    links += [(reader, name), (name, reader)]
        if fault.startswith("is cut") or fault.startswith("is gone"):
            for source, target in links:
                fleet.hub.link(source, target).silent = True
            fleet.hub.silence_open(reader, "store")
            for name in fleet.states:
                if fault.startswith("is gone"):
                    fleet.hub.silence_open(name, reader)
        await anyio.sleep(0.05)
        fleet.store.put(KIND, "new", {})
        others = [name for name in fleet.states if name != reader]
        context.took_s = await fleet.until_all_have("new", others, within_s=9.0)

    _play(context, scenario)


@when("the store is down for ten seconds and a thing changes as it returns")
def store_down(context):
    async def scenario(fleet):
        fleet.store.faults["down"] = True
        before = fleet.calls
        await anyio.sleep(10.0)
        context.calls = fleet.calls - before
        fleet.store.faults.clear()
        fleet.store.put(KIND, "new", {})
        context.took_s = await fleet.until_all_have(
            "new", list(fleet.states), within_s=9.0
        )

    _play(context, scenario)


@then("it gets under 10 calls a daemon in that time")
def check_calls_while_down(context):
    assert context.calls < 10 * context.count, context.calls


@then("all daemons have the change within two seconds")
@then("all daemons have them within two seconds")
def check_two_seconds(context):
    assert context.took_s <= 2.0, context.took_s


@when("the store rejects all but one of them and a thing changes")
def rejected(context):
    async def scenario(fleet):
        served = fleet.readers[-1]
        fleet.rejected = set(fleet.states) - {served}
        await anyio.sleep(2.0)
        fleet.store.put(KIND, "new", {})
        context.took_s = await fleet.until_all_have(
            "new", list(fleet.states), within_s=9.0
        )

    _play(context, scenario)


@when("a daemon receives an older state than its own from another one")
def older_state(context):
    async def scenario():
        state = Things(store=None, clock=EventLoopClock())
        state.merge(
            {"revision": 9, "age_ms": 0, "objects": [["new", 9, {}]]},
            source="d1",
        )
        for older in (
            {"revision": 5, "age_ms": 0, "objects": [["old", 5, {}]]},
            {"revision": 8, "age_ms": 0, "changes": [["old", 8, {}, False]]},
        ):
            state.merge(older, source="d2")
        context.state = state

    virtual.run_virtual(scenario, seed=1)


@then("it keeps its own state")
def check_kept(context):
    assert context.state.names == {"new"}
    assert context.state.revision == 9


@when("things change while the store's history is lost")
def history_lost(context):
    async def scenario(fleet):
        fleet.store.put(KIND, "first", {})
        fleet.store.forget_history()
        fleet.store.put(KIND, "new", {})
        context.took_s = await fleet.until_all_have(
            "new", list(fleet.states), within_s=5.0
        )
        assert all("first" in s.names for s in fleet.states.values())

    _play(context, scenario)
