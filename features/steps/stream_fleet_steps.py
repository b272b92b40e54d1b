"""Steps for fleets of daemons that tell one another how streams began."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke.serving import stream_origins
from cactusdyke.serving.stream_origins import StreamOrigin, StreamOrigins
from features.steps.serving_steps import ManualClock
from features.support.stream_fleet import StreamFleet
from standins import virtual

STREAMS_PER_S = 200.0
BEGIN_S = 2.0
SETTLED_S = 0.1
MOST = 0.9
RESTARTED = 20
RESTART_PAUSE_S = 0.2


@given("{count:d} daemons that begin streams")
def fleet(context, count):
    context.count = count


@when("of these {what}")
def trouble(context, what):
    async def run():
        async with StreamFleet(count=context.count) as fleet:
            await fleet.begin_streams(per_s=STREAMS_PER_S, for_s=BEGIN_S)
            await anyio.sleep(SETTLED_S)
            match what:
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
