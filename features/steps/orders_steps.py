"""Steps of the lease, of orders to engines and of placement."""

from __future__ import annotations

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from bench.control import case_orders
from cactusdyke.orders.controller import LONGEST_ORDER_MS
from cactusdyke.orders.engines import Desired, EngineClient
from cactusdyke.orders.placement import EngineView, plan
from features.support.order_fleet import NaiveOrderFleet, OrderFleet
from features.support.order_machine import SETTINGS, Broken, OrderMachine
from standins.virtual import run_virtual

START_MS = 20_000.0
SETTLE_MS = 240_000.0


class _IgnoringMachine(OrderMachine):
    checks_fencing = False


class _NaiveMachine(OrderMachine):
    fleet = NaiveOrderFleet
    checks_fencing = False


def _machine(context, machine):
    context.broken = None
    try:
        run_state_machine_as_test(machine, settings=SETTINGS)
    except Broken as broken:
        context.broken = broken


@when("orders run through any faults with engines that check numbers")
def when_checking(context):
    _machine(context, OrderMachine)


@when("orders run through any faults with engines that ignore numbers")
def when_ignoring(context):
    _machine(context, _IgnoringMachine)


@when("orders of a naive lease run through any faults")
def when_naive(context):
    _machine(context, _NaiveMachine)


@then("orders kept their invariants")
def then_kept(context):
    assert context.broken is None, context.broken


@then("orders broke an invariant")
def then_broke(context):
    assert context.broken is not None


@given("orders to engines that check numbers")
def given_checking(context):
    context.fleet = OrderFleet(checks_fencing=True)
    context.parts = []


@given("orders to engines that check numbers by {count:d} daemons")
def given_many(context, count):
    context.fleet = OrderFleet(checks_fencing=True, daemons=count)
    context.parts = []


@given("orders to engines that ignore numbers")
def given_ignoring(context):
    context.fleet = OrderFleet(checks_fencing=False)
    context.parts = []


def _finish(context, *, start_ms=START_MS):
    async def run():
        async with context.fleet as fleet:
            await fleet.hub.clock.sleep(start_ms)
            for part in context.parts:
                await part(fleet)

    run_virtual(run)


async def _until(fleet, condition, limit_ms):
    began = fleet.hub.clock.now()
    while not condition():
        assert fleet.hub.clock.now() - began < limit_ms, "not in time"
        await fleet.hub.clock.sleep(20)


@when("orders' holder is cut off from the store")
def when_cut_off(context):
    async def cut(fleet):
        (holder,) = fleet.holders()
        keeper, _ = fleet.daemons[holder]
        number = keeper.held.fencing_number
        assert keeper.holds(number)
        assert not keeper.holds(number + 1)
        fleet.hub.link(holder, "store").cut = True
        await _until(
            fleet,
            lambda: [n for n in fleet.holders() if n != holder],
            60_000.0,
        )
        context.holds_late = keeper.holds(number)
        context.believers = fleet.most_holders

    context.parts.append(cut)
    _finish(context)


@then("orders' old holder holds its number no longer once another one begins")
def then_holds_no_longer(context):
    assert not context.holds_late
    assert context.believers == 1, context.believers


@when("orders are due and the holder pauses just before it sends one")
def when_pause(context):
    async def pause(fleet):
        (holder,) = fleet.holders()
        controller = fleet.daemons[holder][1]
        send = controller._client.order
        paused = []

        async def order(*arguments, **options):
            if not paused:
                paused.append(holder)
                fleet.hub.freeze(holder)
                fleet.hub.start(_wake_later, fleet, holder)
            return await send(*arguments, **options)

        controller._client.order = order
        await fleet.hub.clock.sleep(150_000)
        fleet.demand = {"summary": 0.0, "quote": 40.0}
        await _until(fleet, lambda: paused, 120_000)

    context.parts.append(pause)


async def _wake_later(fleet, name):
    await fleet.hub.clock.sleep(45_000)
    fleet.hub.wake(name)


@then("orders cut no request")
def then_no_cut(context):
    async def check(fleet):
        await fleet.hub.clock.sleep(60_000)
        assert fleet.cut() == 0

    context.parts.append(check)


@then("orders are in the end what the one holder wants")
def then_converged(context):
    async def check(fleet):
        await fleet.hub.clock.sleep(SETTLE_MS)
        (holder,) = fleet.holders()
        wanted = fleet.daemons[holder][1].desired()
        assert len(wanted) == len(fleet.engines)
        for name, engine in fleet.engines.items():
            assert tuple(engine.orders.desired["models"]) == (
                wanted[name].models
            )

    context.parts.append(check)
    _finish(context)


@when("orders of number 1 arrive after those of number 2")
def when_old(context):
    async def send(fleet):
        client = EngineClient(network=fleet.hub.network("elsewhere"))
        engine = fleet.engines["engine-0"]
        engine.orders.highest = 2
        context.before = dict(engine.orders.desired)
        context.answer = await client.order(
            "engine-0:1",
            Desired(models=("quote",)),
            fencing_number=1,
            may_send=lambda: True,
        )
        context.after = dict(engine.orders.desired)

    context.parts.append(send)


@then("orders of number 1 changed nothing")
def then_nothing(context):
    _finish(context)
    assert context.answer.is_err()
    assert context.before == context.after


@when("orders of the last holder arrive late at an engine")
def when_late(context):
    async def send(fleet):
        await fleet.hub.clock.sleep(60_000)
        engine = fleet.engines["engine-0"]
        context.wanted = engine.orders.desired["models"]
        client = EngineClient(network=fleet.hub.network("elsewhere"))
        sent = await client.order(
            "engine-0:1",
            Desired(models=("quote",)),
            fencing_number=0,
            may_send=lambda: True,
        )
        assert sent.is_ok()
        assert engine.orders.desired["models"] == ["quote"]

    context.parts.append(send)


@when("orders' lease is granted and the answer is lost")
def when_lost(context):
    for name in context.fleet.names:
        context.fleet.hub.link(name, "store").delay_ms = 100.0

    async def lose(fleet):
        await _until(fleet, lambda: fleet.store.counts["reads"], 10_000)
        # The read was answered, and the write is on its way.
        await fleet.hub.clock.sleep(20)
        fleet.hub.link("store", "d-0").lose_answers = 1

    context.parts.append(lose)


@then(
    "orders' lease is held by its writer within {seconds:d} seconds under"
    " number 1"
)
def then_held(context, seconds):
    async def check(fleet):
        await _until(fleet, fleet.holders, seconds * 1000)
        (holder,) = fleet.holders()
        assert fleet.daemons[holder][0].held.fencing_number == 1

    context.parts.append(check)
    _finish(context, start_ms=0)


@when("orders' holder is told to stop")
def when_stop(context):
    async def stop(fleet):
        (context.holder,) = fleet.holders()
        await fleet.daemons[context.holder][0].announce_stop()

    context.parts.append(stop)


@then("orders' lease is held by another within {seconds:d} seconds")
def then_another(context, seconds):
    async def check(fleet):
        await _until(fleet, fleet.holders, seconds * 1000)
        assert fleet.holders() != [context.holder]

    context.parts.append(check)
    _finish(context)


@then("orders cost the store at most {most:d} calls a second")
def then_calls(context, most):
    async def check(fleet):
        before = sum(fleet.store.counts.values())
        await fleet.hub.clock.sleep(60_000)
        calls = sum(fleet.store.counts.values()) - before
        assert 0 < calls <= most * 60, calls

    context.parts.append(check)
    _finish(context)


@when("orders' holder dies while orders are due")
def when_dies(context):
    async def die(fleet):
        await fleet.hub.clock.sleep(150_000)
        (holder,) = fleet.holders()
        fleet.kill(holder)
        fleet.engines["engine-0"].orders.desired["models"] = ["retired"]
        await _until(fleet, fleet.holders, 60_000)
        context.granted_at = fleet.hub.clock.now()
        context.numbers = {
            name: len(engine.orders.applied)
            for name, engine in fleet.engines.items()
        }

    context.parts.append(die)


@then(
    "orders of the next holder come at least {seconds:d} seconds after its"
    " grant"
)
def then_waits(context, seconds):
    assert seconds * 1000 == LONGEST_ORDER_MS

    async def check(fleet):
        def ordered():
            return any(
                len(engine.orders.applied) > context.numbers[name]
                for name, engine in fleet.engines.items()
            )

        await _until(fleet, ordered, SETTLE_MS)
        waited = fleet.hub.clock.now() - context.granted_at
        assert waited >= seconds * 1000, waited

    context.parts.append(check)
    _finish(context)


def _pool(summary, quote, **quote_options):
    return [
        *(EngineView(name=f"s-{i}", model="summary") for i in range(summary)),
        *(
            EngineView(name=f"q-{i}", model="quote", **quote_options)
            for i in range(quote)
        ),
    ]


MODELS = ("summary", "quote")


def _moves(engines, demand, weight=0.5):
    return plan(engines, demand, MODELS, attainment_weight=weight)


@then("placement gives a model under demand an engine of one with little")
def then_follows(context):
    moves = _moves(_pool(2, 4), {"summary": 40, "quote": 2})
    assert moves and all(move.model == "summary" for move in moves)
    assert not _moves(_pool(2, 4, stayed_ms=60_000), {"summary": 40})


@then("placement leaves engines alone when demand swings about a border")
def then_steady(context):
    engines = _pool(3, 3)
    for _ in range(10):
        for summary, quote in ((20, 14), (14, 20), (18, 18)):
            moves = _moves(engines, {"summary": summary, "quote": quote})
            assert not moves, moves


@then("placement changes at most a fifth of a pool at once")
def then_share(context):
    assert len(_moves(_pool(2, 18), {"summary": 500})) == 4
    changing = [
        *_pool(2, 14),
        *(
            EngineView(name=f"c-{i}", model="summary", changing=True)
            for i in range(4)
        ),
    ]
    assert not _moves(changing, {"summary": 500})


@then("placement never takes the last engine of a model")
def then_last(context):
    assert not _moves(_pool(5, 1), {"summary": 500})


@then("placement gives more room where attainment weighs more")
def then_room(context):
    demand = {"summary": 20, "quote": 4}
    assert _moves(_pool(3, 5), demand, weight=1.0)
    assert not _moves(_pool(3, 5), demand, weight=0.0)


@then("placement takes the cheap engine where cost weighs more")
def then_cheap(context):
    engines = [
        *_pool(1, 2, price=1.0),
        EngineView(name="fast", model="quote", speed=2.0, price=3.0),
        EngineView(name="cheap", model="quote", speed=0.9, price=0.1),
    ]
    demand = {"summary": 100, "quote": 1}
    assert _moves(engines, demand, weight=1.0)[0].engine == "fast"
    assert _moves(engines, demand, weight=0.0)[0].engine == "cheap"


@when("the orders case of the bench runs tiny")
def when_bench(context):
    context.rows = case_orders.run_case(tiny=True)


@then("orders cost the store no more with more daemons")
def then_constant(context):
    project = [r for r in context.rows if r["version"] == "project"]
    assert len(project) >= 2
    for row in project:
        assert row["store_calls_per_s"] <= 2
        assert row["cut"] == 0
        assert row["most_believers"] == 1
    naive = [r for r in context.rows if r["version"] == "naive"]
    assert naive[-1]["store_calls_per_s"] > naive[0]["store_calls_per_s"]
    assert naive[0]["most_believers"] > 1
