"""Steps for the choice of daemons whose addresses callers are given."""

from __future__ import annotations

import anyio
import attrs
from behave import then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.serving.caller_addresses import daemons_for_caller
from cactusdyke.serving.processor_load import ProcessorLoad
from features.support.state_fleet import peer
from standins import virtual

DATA_CENTRES = ("a", "b", "c", "d", "e")


def _select(count):
    daemons = [peer(n, data_centres=DATA_CENTRES) for n in range(count)]
    return daemons_for_caller(daemons, "a", max_count=64)


@when(
    "a caller requests addresses among {count:d} daemons in five data centres"
)
def request_addresses(context, count):
    context.selected = _select(count)


@then("{local:d} of them are local, and {remote:d} remote")
def check_selected(context, local, remote):
    data_centres = [daemon.data_centre for daemon in context.selected]
    assert data_centres.count("a") == local, data_centres
    assert len(data_centres) - data_centres.count("a") == remote, data_centres


@when("all daemons local to a caller are lost among 195")
def lose_local(context):
    context.left = [d for d in _select(195) if d.data_centre != "a"]


@then("it still has one of each other data centre")
def check_left(context):
    assert sorted(d.data_centre for d in context.left) == ["b", "c", "d", "e"]


@when("a daemon joins 348 others")
def join(context):
    context.before = {d.name for d in _select(348)}
    # The 351st daemon is in the data centre of the caller.
    context.after = {d.name for d in _select(351)}


@then("at most one address is no longer given to callers")
def check_kept(context):
    assert len(context.before - context.after) <= 1


@when("most daemons local to a caller are busy among 195")
def busy_local(context):
    daemons = [
        attrs.evolve(daemon, busy=daemon.data_centre == "a" and number % 3 != 0)
        for number, daemon in enumerate(
            peer(n, data_centres=DATA_CENTRES) for n in range(195)
        )
    ]
    context.selected = daemons_for_caller(daemons, "a", max_count=64)


@then("it is given those of other data centres as well")
def check_remote_too(context):
    remote = [d for d in context.selected if d.data_centre != "a"]
    assert len(remote) == 64 - 39, len(remote)


@when("a process uses 20, 60, 40 and 20 in 100 of its cores for a second each")
def use_cpu(context):
    context.busy = []

    async def measure():
        cpu_s = [0.0]
        load = ProcessorLoad(
            clock=EventLoopClock(), cores=0.5, cpu_time_s=lambda: cpu_s[0]
        )
        for share in (0.2, 0.6, 0.4, 0.2):
            await anyio.sleep(1.0)
            cpu_s[0] += share * 0.5
            context.busy.append(load.busy)

    virtual.run_virtual(measure)


@then("it is idle, busy, still busy and idle")
def check_busy(context):
    assert context.busy == [False, True, True, False]
