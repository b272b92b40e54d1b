"""Steps for how old a copy of the store's state is."""

from __future__ import annotations

import base64
import contextlib
import pathlib
import tempfile
import tracemalloc
import zlib
from typing import ClassVar
from unittest import mock

import anyio
import attrs
import yaml
from behave import given, then, when
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.infrastructure.watched_store import (
    Change,
    Changes,
    Listing,
    StoreObject,
    WatchedStore,
)
from cactusdyke.platform import settings as platform_settings
from cactusdyke.serving import followed_state, state_encoding
from cactusdyke.serving.state_exchange import STATE_PATH
from cactusdyke.serving.state_readers import RankedReaders, rank_readers
from cactusdyke.transport import timed_fetch
from cactusdyke.transport.messages import Request, json_response
from cactusdyke.transport.network import (
    MAX_BODY_BYTES,
    CallOptions,
    Incoming,
    Network,
)
from features.support.platform_rig import PlatformWorld
from features.support.state_fleet import FixedDaemons, StateFleet, Things, peer
from standins import virtual

WAIT_MS = 400.0
SETTLED_S = 1.5
WATCHED_S = 1.0
MOST_QUESTIONS = 12
"""Of all followers to both readers in a second; long polls alone are ten."""


class _Store(WatchedStore):
    """Answers after the wait, or at once if it has a change, and then late."""

    def __init__(self):
        self.late_ms = 0.0
        self.change = False

    async def list(self, kind):
        await anyio.sleep(self.late_ms / 1_000)
        return Ok(Listing(objects=(), revision=1))

    async def watch(self, kind, *, revision, wait_ms):
        held_ms = 0.0 if self.change else wait_ms
        await anyio.sleep((held_ms + self.late_ms) / 1_000)
        if not self.change:
            return Ok(Changes(changes=(), revision=revision))
        entry = StoreObject(name="new", revision=revision + 1, spec={})
        changes = (Change(object=entry, deleted=False),)
        return Ok(Changes(changes=changes, revision=revision + 1))

    async def put(self, kind, name, spec):
        raise AssertionError("nothing is written")

    async def delete(self, kind, name):
        raise AssertionError("nothing is written")


@given("a state that the store has listed")
def listed(context):
    context.store = _Store()


async def _watch_slowly(state, store, late_ms):
    store.late_ms = late_ms
    await state.read(wait_ms=WAIT_MS)


async def _change_slowly(state, store, late_ms):
    await _watch_slowly(state, store, late_ms)
    store.change = True
    await state.read(wait_ms=WAIT_MS)


async def _list_slowly(state, store, late_ms):
    store.late_ms = late_ms
    state._listed = False
    await state.read(wait_ms=WAIT_MS)


async def _merge_slowly(state, store, late_ms):
    del store
    state.merge(
        {"revision": 9, "age_ms": 0, "objects": []},
        source="d1",
        transit_ms=late_ms,
    )


STORIES = {
    "a watch without a change": _watch_slowly,
    "a change after a slow watch": _change_slowly,
    "a list": _list_slowly,
    "an answer of another daemon": _merge_slowly,
}


@when("{what} takes {late:d} ms longer")
def takes_longer(context, what, late):
    async def run():
        state = Things(store=context.store, clock=EventLoopClock())
        await state.read(wait_ms=0.0)
        await anyio.sleep(5.0)
        await STORIES[what](state, context.store, late)
        context.age_ms = state.age_ms

    virtual.run_virtual(run, seed=1)


@then("the state is between {least:d} and {most:d} ms old")
def check_age(context, least, most):
    assert least <= context.age_ms <= most, context.age_ms


@when("the store refuses the readers for a while")
def refuses(context):
    async def run():
        fleet = StateFleet(count=context.count, apply_ms=context.bound_ms)
        async with fleet:
            context.readers = set(fleet.readers)
            fleet.rejected |= context.readers
            await anyio.sleep(SETTLED_S)
            fleet.asked.clear()
            await anyio.sleep(WATCHED_S)
            context.asked = {name: fleet.asked[name] for name in fleet.asked}
            context.sources = {
                name: fleet.source_of(name)
                for name in fleet.states
                if name not in context.readers
            }

    virtual.run_virtual(run, seed=1)


@then("their followers have left them, and ask them a few times at most")
def check_left(context):
    assert not context.readers & set(context.sources.values())
    asked = sum(context.asked.get(name, 0) for name in context.readers)
    assert asked <= MOST_QUESTIONS, context.asked


@when("a daemon avoids both readers among 60")
def avoids(context):
    daemons = tuple(peer(n) for n in range(60))
    context.ranked = [d.name for d in rank_readers(daemons)]
    context.ranks = RankedReaders(daemons=FixedDaemons(daemons))


@then("the next two in rank read for it, and nobody if it avoids these too")
def check_substitutes(context):
    def current(avoided):
        return [d.name for d in context.ranks.current(avoided)]

    ranked = context.ranked
    assert current(()) == ranked[:2]
    assert current(ranked[:1]) == ranked[1:3]
    assert current(ranked[:2]) == ranked[2:4]
    assert current(ranked[:4]) == []


@when("a source tells of no state")
def tells_nothing(context):
    async def run():
        fleet = StateFleet(count=context.count)
        async with fleet:

            async def handle(request):
                assert request.path == STATE_PATH
                return json_response({"held_ms": 0, "states": {}})

            fleet.hub.listen("empty:1", handle, owner="empty")
            empty = attrs.evolve(peer(1), address="empty:1")
            exchange = next(iter(fleet.exchanges.values()))
            context.age_ms = await exchange._poll(empty, wait_ms=0.0)

    virtual.run_virtual(run, seed=1)


@then("it counts as silent")
def check_silent(context):
    assert context.age_ms == float("inf"), context.age_ms


@when("the settings say that changes must be in force within {bound}")
def settings_say(context, bound):
    world = PlatformWorld()
    world.store_address = "127.0.0.1:1"
    value = yaml.safe_load(bound)
    world.further_bounds = {} if bound == "none" else {"config_apply_ms": value}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(world.settings_text("d1"), encoding="utf-8")
        context.loaded = platform_settings.load(str(path))


@then("silent sources are noticed within {within:d} ms")
def check_stale_ms(context, within):
    stale_ms = context.loaded.unwrap().state_timings.stale_ms
    assert round(stale_ms, 6) == within, stale_ms


@then("the settings are refused, and the value named")
def check_settings_refused(context):
    detail = context.loaded.unwrap_err().detail
    assert "wrong" in detail, detail
    assert "apply_ms" in detail or "soon" in detail, detail


@given("a state in which one object has changed 1,000 times, and two once")
def often_changed(context):
    async def run():
        context.state = Things(store=None, clock=EventLoopClock())
        context.state.merge(
            {"revision": 1, "age_ms": 0, "objects": [["often", 1, {}]]},
            source="d1",
        )
        names = ["early", *["often"] * 1_000, "late"]
        for revision, name in enumerate(names, start=2):
            context.state.merge(
                {
                    "revision": revision,
                    "age_ms": 0,
                    "changes": [[name, revision, {}, False]],
                },
                source="d1",
            )
        context.told = {
            known: context.state.encode_since(known)
            for known in (0, 1, 3, context.state.revision)
        }

    virtual.run_virtual(run, seed=1)


@then("a daemon that knows the first of them gets the last of each, in order")
def check_last_changes(context):
    names = [name for name, *_ in context.told[1]["changes"]]
    assert names == ["early", "often", "late"], names
    assert [c[0] for c in context.told[3]["changes"]] == ["often", "late"]


@then("one that knows all of them gets none")
def check_no_changes(context):
    assert context.told[context.state.revision]["changes"] == []


@then("one that knows nothing gets all objects")
def check_all_objects(context):
    names = {name for name, *_ in context.told[0]["objects"]}
    assert names == {"early", "often", "late"}, names


@then("{count:d} changes are kept")
def check_kept_changes(context, count):
    assert len(context.state._last_changes) == count


def _state_of_changes(names):
    """Returns a state in which objects change in order, from revision 2 on."""

    async def run():
        state = Things(store=None, clock=EventLoopClock())
        state.merge({"revision": 1, "age_ms": 0, "objects": []}, source="d1")
        for revision, name in enumerate(names, start=2):
            changes = [[name, revision, {}, False]]
            state.merge(
                {"revision": revision, "age_ms": 0, "changes": changes},
                source="d1",
            )
        return state

    return virtual.run_virtual(run, seed=1)


@given("a state in which a first object changes, a second, and the first again")
def changed_again(context):
    context.state = _state_of_changes(("first", "second", "first"))


@then("a daemon that knows of the second gets the first")
def check_changed_again(context):
    told = context.state.lacking_since(3)
    assert [name for name, *_ in told["changes"]] == ["first"], told


@given("a state that keeps the last change of 3 objects, and 5 have changed")
def few_kept(context):
    with mock.patch.object(followed_state, "MAX_CHANGES", 3):
        context.state = _state_of_changes(f"n{n}" for n in range(2, 7))


@then("a daemon that knows the first of them gets all objects")
def check_gets_all(context):
    told = context.state.lacking_since(2)
    assert len(told["objects"]) == 5, told


@then("one that knows all but the last gets that one")
def check_gets_last(context):
    told = context.state.lacking_since(5)
    assert [name for name, *_ in told["changes"]] == ["n6"], told


class _Paced(Network):
    """Answers after 50 ms, and then in parts."""

    def __init__(self, comes):
        self._comes = comes

    @contextlib.asynccontextmanager
    async def open(self, address, request, options):
        if self._comes == "has no head":
            await anyio.sleep_forever()
        if self._comes != "comes at once":
            await anyio.sleep(0.05)
        yield Ok(_PacedAnswer(self._comes))


class _PacedAnswer(Incoming):
    status = 200
    headers: ClassVar = {}

    def __init__(self, comes):
        self._comes = comes

    async def chunks(self):
        if self._comes == "stops behind its head":
            await anyio.sleep_forever()
        if self._comes == "stops behind a part":
            await anyio.sleep(0.1)
            yield b"part"
            await anyio.sleep_forever()
        count = {
            "comes in parts for 800 ms": 8,
            "comes in parts and does not end": 10_000,
        }
        for _ in range(count.get(self._comes, 0)):
            await anyio.sleep(0.1)
            yield b"part"


@given("an answer that {comes}")
def paced_answer(context, comes):
    context.network = _Paced(comes)


@when(
    "it is fetched within {head:d} ms to its head, {progress:d} between parts,"
    " {body:d} in all"
)
def fetched(context, head, progress, body):
    async def run():
        clock = EventLoopClock()
        began = clock.now()
        context.fetched = await timed_fetch.fetch(
            context.network,
            "h:1",
            Request(method="GET", path="/"),
            CallOptions(),
            limits=timed_fetch.FetchLimits(
                head_ms=head, progress_ms=progress, body_ms=body
            ),
            clock=clock,
        )
        context.took_ms = clock.now() - began

    virtual.run_virtual(run, seed=1)


@then("the call {ends} after {ms:d} ms")
def check_fetched(context, ends, ms):
    assert context.fetched.is_ok() == (ends == "is ok"), context.fetched
    assert abs(context.took_ms - ms) < 1, context.took_ms


@when("a state is unpacked that has ten times the bytes of a message")
def unpack_large(context):
    stream = zlib.compressobj()
    parts = [stream.compress(b'{"changes":[]')]
    parts += [stream.compress(b" " * MAX_BODY_BYTES) for _ in range(10)]
    parts += [stream.compress(b"}"), stream.flush()]
    packed = base64.b64encode(b"".join(parts)).decode()
    tracemalloc.start()
    try:
        state_encoding.unpack({"packed": packed})
        context.rejected = False
    except ValueError:
        context.rejected = True
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("it is rejected before all of it is unpacked")
def check_unpacked(context):
    assert context.rejected
    assert context.peak_bytes < 3 * MAX_BODY_BYTES, context.peak_bytes
