"""Steps of which daemons a caller is told of."""

from __future__ import annotations

import anyio
import attrs
from behave import then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.serving.caller_addresses import daemons_for_caller
from cactusdyke.serving.processor_load import ProcessorLoad
from features.support.state_fleet import peer
from standins import virtual

FIVE = ("a", "b", "c", "d", "e")


def _told(count):
    daemons = [peer(n, data_centres=FIVE) for n in range(count)]
    return daemons_for_caller(daemons, "a", max_count=64)


@when(
    "a caller asks for addresses among {count:d} daemons in five data centres"
)
def ask(context, count):
    context.told = _told(count)


@then("{near:d} of them are near, and {far:d} elsewhere")
def check_told(context, near, far):
    places = [daemon.data_centre for daemon in context.told]
    assert places.count("a") == near, places
    assert len(places) - places.count("a") == far, places


@when("all daemons near a caller are lost among 195")
def lose_near(context):
    context.left = [d for d in _told(195) if d.data_centre != "a"]


@then("it still knows one of each other data centre")
def check_left(context):
    assert sorted(d.data_centre for d in context.left) == ["b", "c", "d", "e"]


@when("a daemon joins 348 others")
def join(context):
    context.before = {d.name for d in _told(348)}
    # The 351st daemon stands with the caller.
    context.after = {d.name for d in _told(351)}


@then("at most one address that callers know is told of no more")
def check_kept(context):
    assert len(context.before - context.after) <= 1


@when("most daemons near a caller are busy among 195")
def busy_near(context):
    daemons = [
        attrs.evolve(daemon, busy=daemon.data_centre == "a" and number % 3 != 0)
        for number, daemon in enumerate(
            peer(n, data_centres=FIVE) for n in range(195)
        )
    ]
    context.told = daemons_for_caller(daemons, "a", max_count=64)


@then("it is told of those of other data centres as well")
def check_far_too(context):
    far = [d for d in context.told if d.data_centre != "a"]
    assert len(far) == 64 - 39, len(far)


@when("a process uses 20, 60, 40 and 20 in 100 of its cores for a second each")
def use_processor(context):
    context.busy = []

    async def story():
        used = [0.0]
        load = ProcessorLoad(
            clock=EventLoopClock(), cores=0.5, cpu_time_s=lambda: used[0]
        )
        for share in (0.2, 0.6, 0.4, 0.2):
            await anyio.sleep(1.0)
            used[0] += share * 0.5
            context.busy.append(load.busy)

    virtual.run_virtual(story)


@then("it is calm, busy, still busy and calm")
def check_busy(context):
    assert context.busy == [False, True, True, False]
