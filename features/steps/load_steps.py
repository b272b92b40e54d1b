"""Steps for load reports and departures, in virtual time."""

from __future__ import annotations

import base64

import attrs
from behave import given, then, when
from result import Ok

from bench.control import case_load_reports
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.infrastructure.host_list import HostList, HostState, ListedHost
from cactusdyke.load.replicas import in_data_centre
from features.support.load_fleet import LoadFleet
from standins.virtual import run_virtual

SETTLE_MS = 15_000.0


class _CountingHostList(HostList):
    def __init__(self):
        self.hosts = ()
        self.reads = 0

    async def read(self):
        self.reads += 1
        return Ok(self.hosts)


def _start(context, replicas, daemons, hosts=None):
    context.actions = []
    context.sizes = (replicas, daemons)
    context.hosts = hosts


def _finish(context):
    async def run():
        replicas, daemons = context.sizes
        async with LoadFleet(replicas=replicas) as load:
            if context.hosts:
                load.host_list = context.hosts
            load.fleet.start_all(daemons)
            await load.fleet.hub.clock.sleep(SETTLE_MS)
            for action in context.actions:
                await action(load)

    run_virtual(run)


@given("load of {replicas:d} replicas read by {daemons:d} daemons")
def given_load(context, replicas, daemons):
    _start(context, replicas, daemons)


@given(
    "load of {replicas:d} replicas read by {daemons:d} daemons with a host list"
)
def given_hosts(context, replicas, daemons):
    _start(context, replicas, daemons, _CountingHostList())


@then("load readings are at most {seconds:d} seconds old at every daemon")
def then_fresh(context, seconds):
    async def check(load):
        for _ in range(10):
            await load.fleet.hub.clock.sleep(700)
            assert load.ages()[-1] <= seconds * 1000, load.ages()[-5:]

    context.actions.append(check)


@then("load is read at most 3 times a second by each daemon")
def then_reads(context):
    async def check(load):
        before = {n: _read_count(d) for n, d in load.fleet.daemons.items()}
        await load.fleet.hub.clock.sleep(10_000)
        for name, daemon in load.fleet.daemons.items():
            assert 0 < _read_count(daemon) - before[name] <= 33

    context.actions.append(check)


def _read_count(daemon):
    return daemon.traffic.messages_of("load")


@then("the load tracker of {name} has the load that {replica} reported")
def then_tracked(context, name, replica):
    async def check(load):
        load.engines[replica].waiting = 7
        await load.fleet.hub.clock.sleep(6_000)
        tracker = load.router_of(name).load
        assert 3 < tracker.outstanding(replica) <= 7, tracker.outstanding(
            replica
        )

    context.actions.append(check)
    _finish(context)


@when("load collector {name} dies")
def when_dies(context, name):
    async def kill(load):
        load.fleet.kill(name)
        await load.fleet.hub.clock.sleep(12_000)

    context.actions.append(kill)


@then("load readings are at most {seconds:d} seconds old at every daemon again")
def then_fresh_again(context, seconds):
    then_fresh(context, seconds)
    _finish(context)


@when("load collector {name} is told to stop")
def when_stopped(context, name):
    async def stop(load):
        await load.fleet.leave(name)
        await load.fleet.hub.clock.sleep(1_500)

    context.actions.append(stop)


@then("load collector {name} keeps running and reads nothing")
def then_idle(context, name):
    async def check(load):
        daemon = load.fleet.daemons[name]
        before = _read_count(daemon)
        await load.fleet.hub.clock.sleep(5_000)
        assert _read_count(daemon) == before
        assert load.fleet.listed(name) == set()

    context.actions.append(check)
    _finish(context)


@when("load of {count:d} requests for {model} runs at {replica}")
def when_busy(context, count, model, replica):
    async def busy(load):
        engine = load.engines[replica]
        original = engine.load
        engine.load = lambda: {**original(), "running": count, "model": model}
        await load.fleet.hub.clock.sleep(20_000)

    context.actions.append(busy)


@then("load of {model} is {count:d} at every daemon")
def then_aggregate(context, model, count):
    async def check(load):
        for name in load.fleet.daemons:
            found = [
                a.running
                for a in load.collector_of(name).all_aggregates()
                if a.model == model
            ]
            assert found == [count], (name, found)

    context.actions.append(check)
    _finish(context)


@when("load readings arrive in the order of another revision")
def when_other_order(context):
    async def send(load):
        name = "d-0"
        collector = load.collector_of(name)
        for engine in load.engines.values():
            engine.faults["down"] = True
        pool = load.configuration.pools["engine"]
        shorter = attrs.evolve(pool, backend_servers=pool.backend_servers[3:])
        other = in_data_centre(
            attrs.evolve(load.configuration, pools={"engine": shorter}),
            load.fleet.place(name)[0],
        )
        context.recorded = []
        original_add = collector.readings.add
        collector.readings.add = lambda n, r: (
            context.recorded.append(r.waiting),
            original_add(n, r),
        )
        data = bytes((0, 99, 255, 0)) * len(other.replicas)
        value = [other.key, base64.b64encode(data).decode()]
        sender = load.fleet.daemons["d-3"].members.own
        collector.readings.read(sender, value)

    context.actions.append(send)


@then("load of no replica was taken from them")
def then_none_taken(context):
    _finish(context)
    assert 99 not in context.recorded


@when("load replica {replica} starts to leave")
def when_leaves(context, replica):
    async def leave(load):
        load.engines[replica].leaving = True

    context.actions.append(leave)


@when("load replica {replica} refuses a call of {name} as leaving")
def when_refuses(context, replica, name):
    async def refuse(load):
        router = load.router_of(name)
        pool = load.configuration.pools["engine"]
        server = next(s for s in pool.backend_servers if s.name == replica)
        failure = Failure(kind=FailureKind.BACKEND_LEAVING, detail="leaving")
        router.record_failure(pool, server, failure)

    context.actions.append(refuse)


@when("load host list shows {replica} as leaving")
def when_listed(context, replica):
    async def listed(load):
        context.before = context.hosts.reads
        context.hosts.hosts = (
            ListedHost(
                name=replica,
                address=f"{replica}:1",
                data_centre="s1",
                state=HostState.LEAVING,
            ),
        )

    context.actions.append(listed)


@then(
    "load replica {replica} is marked at every daemon within {seconds:d}"
    " seconds"
)
def then_marked(context, replica, seconds):
    async def check(load):
        await load.fleet.until(
            lambda: all(
                load.router_of(n).is_leaving(replica)
                for n in load.fleet.daemons
            ),
            limit_ms=seconds * 1000,
        )

    context.actions.append(check)
    if not context.hosts:
        _finish(context)


@then("load host list was read less than {count:d} times a second")
def then_few_reads(context, count):
    async def check(load):
        before = context.hosts.reads
        await load.fleet.hub.clock.sleep(20_000)
        assert 0 < context.hosts.reads - before < 20 * count

    context.actions.append(check)
    _finish(context)


@when("load replica {replica} leaves for {seconds:d} seconds and returns")
def when_comes_back(context, replica, seconds):
    async def leave(load):
        load.engines[replica].leaving = True
        await load.fleet.hub.clock.sleep(seconds * 1000)
        assert load.router_of("d-0").is_leaving(replica)
        load.engines[replica].leaving = False

    context.actions.append(leave)


@then(
    "load replica {replica} is unmarked at every daemon within {seconds:d}"
    " seconds"
)
def then_unmarked(context, replica, seconds):
    async def check(load):
        await load.fleet.until(
            lambda: (
                not any(
                    load.router_of(n).is_leaving(replica)
                    for n in load.fleet.daemons
                )
            ),
            limit_ms=seconds * 1000,
        )

    context.actions.append(check)
    _finish(context)


@when("the load reports case of the benchmarks runs in its smallest size")
def when_bench(context):
    context.rows = case_load_reports.run_case(tiny=True)


@then("load collectors send fewer messages than if all read all")
def then_less(context):
    rows = {(row["version"], str(row["daemons"])): row for row in context.rows}
    last = "350 by slope"
    assert rows["project", last]["messages_per_s"] <= 5
    assert rows["all read all", last]["messages_per_s"] > 50
    assert rows["answers only", "6"]["median_age_ms"] > 0
