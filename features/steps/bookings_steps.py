"""Steps about bookings: their records, and the machine that breaks them."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when

from bench.serving import case_h_bookings
from cactusdyke.booking.record import Record, RecordState, record_key
from features.support.booking_machine import run_machine
from features.support.booking_world import BookingWorld, Said
from standins.virtual import run_virtual

NAIVE = {"cactusdyke.booking": "bench.naive.bookings"}
KEY = "trailer-7"


def _setup(context: Any) -> list[Any]:
    if not hasattr(context, "booking_setup"):
        context.booking_setup = []
    return context.booking_setup


def _run(context: Any, action: Any) -> None:
    async def play() -> None:
        by_key = getattr(context, "booking_by_key", False)
        async with BookingWorld(by_key=by_key) as world:
            for prepare in _setup(context):
                prepare(world)
            context.booked = {}
            context.booked_ms = {}
            await action(world)
            context.booking_count = world.executions(KEY)
            context.booking_said = list(world.said)
            world.check()

    run_virtual(play)


async def _book(context: Any, world: BookingWorld, name: str, what=7) -> Said:
    began = world.hub.clock.now()
    said = await world.book_and_wait(name, KEY, what)
    context.booked[name] = said
    context.booked_ms[name] = world.hub.clock.now() - began
    return said


@when(
    "bookings are made under {examples:d} schedules of up to {steps:d}"
    " faults and calls"
)
def when_machine(context, examples, steps):
    context.booking_worlds = run_machine(examples=examples, steps=steps)


@then("the booking oracle finds no promise broken")
def then_sound(context):
    assert context.booking_worlds > 0


@when(
    "naive bookings are made under {examples:d} schedules of up to {steps:d}"
    " faults and calls"
)
def when_naive_machine(context, examples, steps):
    context.booking_broken = ""
    try:
        run_machine(examples=examples, steps=steps, replacements=NAIVE)
    except BaseException as error:
        context.booking_broken = _innermost(error)


@then("the booking oracle finds a promise broken")
def then_broken(context):
    assert "BrokenPromise" in context.booking_broken, context.booking_broken


def _innermost(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return repr(error)


@given('a booking\'s owner is to be "{fault}" at "{step}" for {ms:d} ms')
def given_fault(context, fault, step, ms):
    _setup(context).append(lambda world: world.arm(step, fault, ms))


@given('the store is cut off from "{name}" for {ms:d} ms')
def given_cut(context, name, ms):
    async def later(world):
        await world.hub.clock.sleep(100.0)
        await world.strike("one_way", name, ms)

    _setup(context).append(lambda world: world.hub.start(later, world))


@given("a plain service that can be asked by key")
def given_by_key(context):
    context.booking_by_key = True


@given("the store is down")
def given_store_down(context):
    _setup(context).append(
        lambda world: world.deployment.store.faults.update(down=True)
    )


@given("the backend servers refuse the next {count:d} calls")
def given_refusals(context, count):
    def prepare(world):
        for server in world.deployment.servers.values():
            server.faults["refuse"] = count // 2

    _setup(context).append(prepare)


@given("the backend servers lose their next answer")
def given_lost(context):
    def prepare(world):
        for server in world.deployment.servers.values():
            server.faults["lose_answers"] = 1

    _setup(context).append(prepare)


@given("the backend servers answer with {size:d} bytes")
def given_size(context, size):
    def prepare(world):
        for server in world.deployment.servers.values():
            server.faults["output_bytes"] = size

    _setup(context).append(prepare)


@when("a trailer is booked with one key at every daemon in turn")
def when_every(context):
    async def action(world):
        before = world.record_writes
        await _book(context, world, "entry-1")
        await world.hub.clock.sleep(100.0)
        context.booking_writes = world.record_writes - before
        for name in world.names[1:]:
            await _book(context, world, name)

    _run(context, action)


@when("two trailers are booked with one key")
def when_two_trailers(context):
    async def action(world):
        await _book(context, world, "entry-1", 7)
        await _book(context, world, "entry-2", 8)

    _run(context, action)


@when("a trailer is booked with one key at two daemons at once")
def when_at_once(context):
    async def action(world):
        world.book("entry-1", KEY, 7)
        world.book("entry-2", KEY, 7)
        await world.heal()

    _run(context, action)


@when('a trailer is booked at "{first}" and then at "{second}" with one key')
def when_then(context, first, second):
    _when_after(context, first, 500, second)


@when('a trailer is booked at "{first}" and after {ms:d} ms at "{second}"')
def when_after(context, first, ms, second):
    _when_after(context, first, ms, second)


def _when_after(context, first, ms, second):
    async def action(world):
        async def book_first():
            await _book(context, world, first)

        world.hub.start(book_first)
        await world.hub.clock.sleep(ms)
        await _book(context, world, second)
        await world.heal()

    _run(context, action)


@when('a trailer is booked at "{name}"')
def when_booked(context, name):
    _run(context, lambda world: _book(context, world, name))


@when('a trailer is booked at "{name}", which is then told to stop')
def when_stopped(context, name):
    async def action(world):
        await _book(context, world, name)
        await world.deployment.daemons[name].drain()
        world.deployment.kill_daemon(name)
        await _book(context, world, "entry-2")

    _run(context, action)


@then("each booking answer names the same receipt")
def then_same_receipt(context):
    receipts = {said.output["receipt"] for said in context.booked.values()}
    assert len(receipts) == 1


@then("the booking was made {count:d} time")
@then("the booking was made {count:d} times")
def then_count(context, count):
    assert context.booking_count == count, context.booking_said


@then("the store counted {count:d} writes for the first booking")
def then_writes(context, count):
    assert context.booking_writes == count, context.booking_writes


@then("the second booking is refused as {kind} and {ran}")
def then_second(context, kind, ran):
    said = context.booked["entry-2"]
    assert (said.kind, said.ran) == (kind, ran), said


@then("nobody was told of the booking that it was not_run")
def then_nobody(context):
    assert all(said.ran != "not_run" for said in context.booking_said)


@then('the booking answer at "{name}" names a receipt')
def then_receipt(context, name):
    assert context.booked[name].output is not None, context.booked[name]


@then('the booking answer at "{name}" was {ran}')
def then_ran(context, name, ran):
    assert context.booked[name].ran == ran, context.booked[name]


@then("the booking answer came within {ms:d} ms of virtual time")
def then_within(context, ms):
    assert all(took <= ms for took in context.booked_ms.values())


@then('the booking answer at "{name}" came within {ms:d} ms of virtual time')
def then_within_at(context, name, ms):
    assert context.booked_ms[name] <= ms, context.booked_ms


@when("{old:d} records are past their retention and {young:d} are not")
def when_old(context, old, young):
    async def action(world):
        clock = world.hub.clock
        objects = world.deployment.store
        deletes: list[float] = []
        objects.on_delete = lambda: deletes.append(clock.now())
        # Virtual time begins at nought: age is made by waiting.
        record = Record(
            state=RecordState.DONE,
            owner="entry-1",
            nonce="n",
            content="c",
            request_id="r",
            created_at=clock.wall() - 2 * 24 * 3_600_000,
            expires_at=0,
        )
        for number in range(old + young):
            if number == old:
                record = attrs.evolve(record, created_at=clock.wall())
            key = record_key("road-crews", f"old-{number}")
            objects.version += 1
            objects.objects[key] = (objects.version, record.encode())
        await clock.sleep(180_000.0)
        context.booking_left = sum(
            key.startswith("bookings/") for key in objects.objects
        )
        context.booking_deletes = deletes

    _run(context, action)


@then("{count:d} records are left")
def then_left(context, count):
    assert context.booking_left == count, context.booking_left


@then("no second saw more than {count:d} deletes")
def then_deletes(context, count):
    times = context.booking_deletes
    assert times
    for began in times:
        assert sum(began <= each < began + 1_000 for each in times) <= count


@when("bookings are measured in their smallest size")
def when_measured(context):
    context.booking_rows = case_h_bookings.run_case(tiny=True)


@then("the naive bookings were doubled and the project's were not")
def then_not_doubled(context):
    naive, project = context.booking_rows
    assert (naive["column"], project["column"]) == ("naive", "project")
    assert naive["bookings"] == project["bookings"] > 0
    assert naive["doubled"] > 0
    assert (project["doubled"], project["false_not_run"]) == (0, 0)


@then("the project's bookings took {count:d} writes each")
def then_each(context, count):
    assert context.booking_rows[1]["writes_per_booking"] == count
