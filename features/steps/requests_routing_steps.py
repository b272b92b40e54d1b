"""Steps of the router on its own, with a clock that the test sets."""

from __future__ import annotations

import random
from unittest import mock

import attrs
from behave import given, then, when

from cactusdyke.clock import Clock
from cactusdyke.configuration.model import BackendServer, Pool, PoolKind
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.routing import router
from cactusdyke.routing.messages import LoadReport
from cactusdyke.routing.router import Router

CHOICES = 200
FAILURE = Failure(
    kind=FailureKind.CONNECTION_LOST, detail="broken", ran=Ran.UNKNOWN
)


class _ManualClock(Clock):
    """A clock that the test advances."""

    def __init__(self):
        self.instant = 100_000.0

    def now(self):
        return self.instant

    def wall(self):
        return int(self.instant)


class _CountingRouter(Router):
    """Counts the backend servers that each choice examines."""

    examined = 0

    def may_use(self, server):
        self.examined += 1
        return super().may_use(server)


def _pool(servers):
    return Pool(
        name="engine", kind=PoolKind.ENGINE, backend_servers=tuple(servers)
    )


def _server(number, **options):
    name = f"engine-{number}"
    return BackendServer(
        name=name, address=f"{name}:1", data_centre="glenorchy", **options
    )


def _router(context, servers):
    context.clock = _ManualClock()
    context.router = _CountingRouter(
        clock=context.clock, rng=random.Random(7), data_centre="glenorchy"
    )
    context.pool = _pool(servers)


@given("a router with {count:d} engines")
def given_router(context, count):
    _router(context, [_server(number + 1) for number in range(count)])


@given("a router with a fast expensive engine and a slow cheap one")
def given_fast_and_cheap(context):
    _router(
        context,
        [
            _server(1, speed=2.0, price_per_second=0.008),
            _server(2, speed=1.0, price_per_second=0.001),
        ],
    )


@when(
    "both reported no requests 500 ms ago and {count:d} requests are in flight"
    " at engine-1"
)
def when_in_flight(context, count):
    for name in ("engine-1", "engine-2"):
        report = LoadReport(running=0, waiting=0, age_ms=500)
        context.router.load.record_report(name, report, context.clock.now())
    for _ in range(count):
        context.router.load.record_start("engine-1")


@when(
    "engine-2 reports {running:d} running, and then an older report of none"
    " arrives"
)
def when_older(context, running):
    now = context.clock.now()
    load = context.router.load
    load.record_report("engine-2", LoadReport(running=running, waiting=0), now)
    late = LoadReport(running=0, waiting=0, age_ms=900)
    load.record_report("engine-2", late, now)


@then("{name} is chosen each time")
def then_chosen(context, name):
    chosen = {context.router.choose(context.pool).name for _ in range(CHOICES)}
    assert chosen == {name}, chosen


@when("every engine fails {count:d} times")
def when_all_fail(context, count):
    for _ in range(count):
        for server in context.pool.backend_servers:
            context.router.record_failure(context.pool, server, FAILURE)


def _usable(context):
    return [
        server
        for server in context.pool.backend_servers
        if context.router.may_use(server)
    ]


@then("{count:d} engines are usable")
def then_usable(context, count):
    assert len(_usable(context)) == count, _usable(context)


@when("the first ejection is over")
def when_ejection_over(context):
    context.ejected = {
        server.name for server in context.pool.backend_servers
    } - {server.name for server in _usable(context)}
    context.clock.instant += 1_100


@then("an ejected engine is probed by one request at a time")
def then_probed(context):
    chosen = [context.router.choose(context.pool).name for _ in range(CHOICES)]
    for name in context.ejected:
        assert chosen.count(name) == 1, (name, chosen.count(name))


@when("{count:d} choices are made")
def when_choices(context, count):
    context.examined = []
    _choose(context, count)


@when("the same with {count:d} engines")
def when_choices_again(context, count):
    given_router(context, count)
    _choose(context, 1_000)


def _choose(context, count):
    for number in range(count):
        context.router.examined = 0
        context.router.choose(context.pool, prefix=f"prefix-{number % 50}")
        context.examined.append(context.router.examined)


@then("no choice examined more than {count:d} backend servers")
def then_examined(context, count):
    assert max(context.examined) <= count, max(context.examined)


@when("requests of two revisions with the same pool alternate")
def when_two_revisions(context):
    equal = [attrs.evolve(s) for s in context.pool.backend_servers]
    pools = (context.pool, _pool(equal))
    with mock.patch.object(
        router, "PoolIndex", wraps=router.PoolIndex
    ) as index:
        for number in range(CHOICES):
            context.router.choose(pools[number % 2])
    context.index_builds = index.call_count


@then("the index of the pool was built once")
def then_built_once(context):
    assert context.index_builds == 1, context.index_builds


@when("requests of one prefix arrive in sequence")
def when_prefix(context):
    context.chosen = {
        context.router.choose(context.pool, prefix="history").name
        for _ in range(CHOICES)
    }


@then("all of them go to one engine")
def then_one_engine(context):
    assert len(context.chosen) == 1, context.chosen


@when("all slots of that engine are taken")
def when_full(context):
    (name,) = context.chosen
    for _ in range(8):
        context.router.load.record_start(name)


@then("the prefix goes to another engine")
def then_other_engine(context):
    server = context.router.choose(context.pool, prefix="history")
    assert server.name not in context.chosen


@then("with only attainment weighted the fast one is chosen")
def then_fast(context):
    _chosen_with(context, 1.0, "engine-1")


@then("with cost weighted 80 percent the cheap one is chosen")
def then_cheap(context):
    _chosen_with(context, 0.2, "engine-2")


@then("a full cheap one is not chosen")
def then_not_full(context):
    for _ in range(8):
        context.router.load.record_start("engine-2")
    _chosen_with(context, 0.2, "engine-1")


def _chosen_with(context, weight, name):
    server = context.router.choose(context.pool, attainment_weight=weight)
    assert server.name == name, server
