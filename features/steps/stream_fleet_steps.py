"""Steps for fleets of daemons that tell one another how streams began."""

from __future__ import annotations

import anyio
import attrs
import orjson
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.platform import stream_store
from cactusdyke.platform.store import StoreClient
from cactusdyke.platform.stream_store import PlatformOriginStore
from cactusdyke.serving import stream_origins
from cactusdyke.serving.stream_exchange import ASKED_DAEMONS
from cactusdyke.serving.stream_origins import StreamOrigin, StreamOrigins
from cactusdyke.serving.untold_origins import OriginStore, UntoldOrigins
from features.steps.serving_steps import ManualClock
from features.support.stream_fleet import StreamFleet
from standins import virtual
from standins.hub import Hub
from standins.platform_store import PlatformStore

NESTED = orjson.Fragment(b"[" * 2_000 + b"]" * 2_000)
STREAMS_PER_S = 200.0
FEW_STREAMS_PER_S = 4.0
BEGIN_S = 2.0
SETTLED_S = 0.1
FAR_MS = 50.0
MOST = 0.9
RESTARTED = 20
RESTART_PAUSE_S = 0.2
CUT = {
    "two are cut off and end": 2,
    "ten are cut off and end": 10,
    "ten were cut off a while": 10,
}
"""How many daemons are cut off from all others as streams begin."""


@given("{count:d} daemons that begin streams")
def fleet(context, count):
    context.count = count


@when("of these {what}")
def trouble(context, what):
    async def run():
        async with StreamFleet(count=context.count) as fleet:
            cut = fleet.sample(CUT.get(what, 0) / context.count)
            fleet.cut_off(cut, cut=True)
            await fleet.begin_streams(per_s=STREAMS_PER_S, for_s=BEGIN_S)
            await anyio.sleep(SETTLED_S)
            struck = cut
            match what:
                case "ten were cut off a while":
                    fleet.cut_off(cut, cut=False)
                    await fleet.begin_streams(per_s=STREAMS_PER_S, for_s=1.0)
                    await anyio.sleep(SETTLED_S)
                    fleet.saved.clear()
                case "two are cut off and end" | "ten are cut off and end":
                    await fleet.kill(cut, detected=False)
                case "half end at once":
                    struck = fleet.sample(0.5)
                    await fleet.kill(struck, detected=False)
                case "a data centre ends":
                    struck = fleet.in_data_centre("east")
                    await fleet.kill(struck, detected=True)
                case "many restart in turn":
                    struck = fleet.sample(RESTARTED / context.count)
                    for number in struck:
                        await fleet.restart(number, pause_s=RESTART_PAUSE_S)
            await fleet.take_up(begun_by=set(struck))
            context.counts = fleet.counts

    virtual.run_virtual(run, seed=1)


@then("most of the streams are known elsewhere, and none with another version")
def known(context):
    counts = context.counts
    assert counts["taken up"] > 20, counts
    assert counts["found"] >= MOST * counts["taken up"], counts
    assert not counts["wrong"], counts


@given("what a daemon remembers of a stream of version v1")
def remembered(context):
    context.clock = ManualClock()
    context.origins = StreamOrigins(clock=context.clock)
    _put(context, "stream", "v1")


def _put(context, name, version):
    context.origins.put(name, StreamOrigin(service="models", version=version))


@when("it is told that the stream began with version v2")
def told_otherwise(context):
    _put(context, "stream", "v2")


@then("the stream's version is not known")
def not_known(context):
    assert context.origins.find("stream").version == ""
    _put(context, "stream", "v1")
    assert context.origins.find("stream").version == ""


@when("it remembers many more, and a minute passes")
def many_more(context):
    for number in range(stream_origins.MAX_ORIGINS + 10):
        _put(context, f"stream-{number}", "v1")
    assert context.origins.count == stream_origins.MAX_ORIGINS
    assert context.origins.find("stream") is None
    context.clock.ms += stream_origins.LIFETIME_MS + 1


@then("it remembers none of them")
def remembers_none(context):
    assert context.origins.find("stream-99") is None
    assert context.origins.count == 0


@given("a store in which two daemons save how streams began")
def saving(context):
    context.saved = [["s1", "models", "v1"], ["s2", "models", "v2"]]


@when("an object that cannot be read is beside theirs")
def unreadable(context):
    async def run():
        async with Hub() as hub:
            store = PlatformStore(clock=hub.clock)
            hub.listen("store:1", store.routes.handle, owner="store")

            def origins(name):
                client = StoreClient(
                    address="store:1",
                    network=hub.network(name),
                    clock=hub.clock,
                )
                return PlatformOriginStore(store=client, daemon=name)

            for number, origin in enumerate(context.saved):
                (await origins(f"d{number}").save_origins([origin])).unwrap()
            store.put(stream_store.KIND, "d8", {"begun": [["s3", 5], "s4"]})
            store.put(stream_store.KIND, "d9", ["other"])
            for number, begun in enumerate((5, None, {"s5": 1}, "s6", NESTED)):
                store.put(stream_store.KIND, f"c{number}", {"begun": begun})
            context.read = (await origins("d3").read_origins()).unwrap()

    virtual.run_virtual(run)


@then("a third daemon reads both, and nothing else")
def reads_both(context):
    assert sorted(context.read) == context.saved, context.read


@when("one is without power and the others take it for alive")
def one_ends(context):
    async def run():
        async with StreamFleet(count=context.count) as fleet:
            fleet.lose_power(3)
            await fleet.begin_streams(per_s=FEW_STREAMS_PER_S, for_s=20.0)
            context.saved = fleet.saved

    virtual.run_virtual(run)


@then("none of them saves anything in the store")
def nothing_saved(context):
    assert not context.saved, context.saved


class _SilentStore(OriginStore):
    async def save_origins(self, begun):
        await anyio.sleep_forever()

    async def read_origins(self):
        await anyio.sleep_forever()


@given("a daemon whose store does not answer")
def silent_store(context):
    context.store = _SilentStore()


@when("twenty callers take up streams that nobody knows")
def twenty_callers(context):
    async def run():
        clock = EventLoopClock()
        untold = UntoldOrigins(
            clock=clock,
            origins=StreamOrigins(clock=clock),
            store=context.store,
        )
        began = clock.now()
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(untold.find, f"s{number}")
        context.took_ms = clock.now() - began

    virtual.run_virtual(run)


@then("all of them are told within a second")
def told_within_a_second(context):
    assert context.took_ms < 1_000, context.took_ms


@when("one tells of a stream and the incarnation that began it, and ends")
def incarnation_told(context):
    async def run():
        async with StreamFleet(count=context.count) as fleet:
            origin = StreamOrigin(
                service="models", version="v1", replica="r1", born=5
            )
            fleet._exchanges[0].tell("s1", origin)
            await anyio.sleep(0.1)
            await fleet.kill([0], detected=True)
            context.known = [
                await fleet._exchanges[number].find("s1")
                for number in (1, 2, 3)
            ]
            context.told = [
                found
                for exchange in fleet._exchanges.values()
                if (found := exchange._origins.find("s1")) is not None
            ]

    virtual.run_virtual(run)


@then("those that are told, and those that ask them, know the incarnation")
def check_incarnation(context):
    assert len(context.told) > len(context.known), context.told
    for origin in (*context.known, *context.told):
        assert (origin.replica, origin.born) == ("r1", 5), origin
        assert not origin.is_local


@when("a near daemon knows one engine for a name, and a far one another")
def known_twice(context):
    def origin(replica):
        return StreamOrigin(
            service="models", version="v1", replica=replica, born=1
        )

    async def run():
        async with StreamFleet(count=context.count) as fleet:
            asker = fleet._exchanges[0]
            asker._origins.put("shared", origin("e1"))
            asked = asker._ranked("shared")[:ASKED_DAEMONS]
            for daemon, replica in ((asked[0], "e1"), (asked[-1], "e2")):
                other = fleet._exchanges[int(daemon.name[1:])]
                other._origins.put("shared", origin(replica))
            fleet.hub.link(asked[-1].name, "d0").delay_ms = FAR_MS
            fleet.hub.link("d0", asked[-1].name).delay_ms = FAR_MS
            context.agreed = attrs.evolve(await asker.find_agreed("shared"))
            asker._origins.put("shared", origin("e1"))
            context.after = asker._origins.find("shared")

    virtual.run_virtual(run, seed=1)


@then("the daemon that asks both knows of no version, even if told of one")
def unknown_of_two(context):
    assert context.agreed.version == "", context.agreed
    assert context.after.version == "", context.after
