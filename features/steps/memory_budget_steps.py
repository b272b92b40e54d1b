"""Steps for the limit on the memory of all request bodies."""

from __future__ import annotations

import contextlib
import tempfile

import anyio
import yaml
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.platform import settings as platform_settings
from cactusdyke.transport.exchange import Exchange, ExchangeError
from cactusdyke.transport.memory_budget import (
    DEFAULT_WAIT_BYTES,
    DISCONNECT_MARK,
    WAIT_MARK,
    Held,
    Kind,
    MemoryBudget,
    NoMemoryError,
    Pace,
    Reader,
)
from cactusdyke.transport.resident_memory import resident_bytes
from features.steps.platform_forwarding_steps import play
from features.support.platform_rig import (
    HOST,
    KEY,
    PlatformWorld,
    configuration,
    route,
)
from standins.virtual import run_virtual

MEGABYTE = 1 << 20
ANSWER_TIMEOUT_S = 4.0


@given("bodies that hold nearly all of the memory for bodies")
def given_nearly_full_memory(context):
    context.memory = MemoryBudget(
        clock=EventLoopClock(), memory_mb=lambda: None
    )


async def read(context, size, name):
    """Reads a body and holds it; records when it was read or refused."""
    try:
        with context.memory.hold(Kind.BODIES) as body:
            await body.add(size)
            context.read[name] = anyio.current_time()
            await anyio.sleep_forever()
    except NoMemoryError:
        context.refused[name] = anyio.current_time()


async def hold_bodies(context, *, answered_after_s):
    with context.memory.hold(Kind.BODIES) as body:
        await body.add(DEFAULT_WAIT_BYTES - 1_000)
        await anyio.sleep(answered_after_s)


def run_bodies(context, names, *, answered_after_s):
    """Runs bodies of a megabyte that come while others hold the memory."""
    context.read = {}
    context.refused = {}

    async def run():
        async with anyio.create_task_group() as tasks:

            async def hold():
                await hold_bodies(context, answered_after_s=answered_after_s)

            tasks.start_soon(hold)
            await anyio.sleep(0.001)
            for name in names:
                tasks.start_soon(read, context, MEGABYTE, name)
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("another body of a megabyte comes")
def another_body(context):
    run_bodies(context, ["one"], answered_after_s=1)


@then("it is read only after one of the others is answered")
def check_read_after_answer(context):
    assert list(context.read) == ["one"]
    assert 1.0 <= context.read["one"] < 1.1, context.read


@when("two more bodies come and the others are answered")
def two_bodies(context):
    run_bodies(context, ["one", "two"], answered_after_s=1)


@then("both are read")
def check_both_read(context):
    assert sorted(context.read) == ["one", "two"], context.read
    assert max(context.read.values()) < 1.1, context.read


@when("another body comes and none is answered")
def none_answered(context):
    run_bodies(context, ["one"], answered_after_s=10)


@then("it is refused after two seconds")
def check_refused(context):
    assert context.read == {}
    assert 2.0 <= context.refused["one"] < 2.1, context.refused


async def unfinished_upload(world, linger_s):
    settings = world.settings["d1"]
    head = (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Content-Length: {8 * MEGABYTE}\r\n\r\n"
    )
    stream = await anyio.connect_tcp(settings.front.host, settings.front.port)
    async with stream:
        with anyio.move_on_after(linger_s):
            await stream.send(head.encode() + b"x" * (7 * MEGABYTE))
            await anyio.sleep(linger_s)


@when("ten bodies of seven megabytes {end} and another request comes")
def unfinished_bodies(context, end):
    linger_s = {"are left by callers": 0.3, "come too slowly": 5.5}[end]

    async def scenario(world):
        await world.add_replica("p1")
        limits = configuration([])["limits"]
        world.configure(
            [route("look", "plain")],
            limits={**limits, "max_body_bytes": 8 * MEGABYTE},
        )
        await world.start_daemon("d1")
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(unfinished_upload, world, linger_s)
                await anyio.sleep(0.1)
        context.answer = None
        with (
            anyio.move_on_after(ANSWER_TIMEOUT_S),
            contextlib.suppress(ExchangeError),
        ):
            context.answer = await world.request(
                "/look/a", body=b"b" * MEGABYTE
            )

    play(scenario)


@then("the request with a body is answered")
def check_answered_body(context):
    assert context.answer is not None, "the body was not read"
    assert context.answer[0] == 200, context.answer


class MegabyteAnswer(Exchange):
    """An exchange whose answer has a megabyte."""

    sent = True
    ends_with_connection = False

    async def send(self, method, target, headers, body):
        raise NotImplementedError

    async def head(self):
        raise NotImplementedError

    async def body(self):
        for _ in range(16):
            yield b"x" * 65_536


@when("an answer is read that {repeatable} as more than the budget is held")
def answer_beyond_budget(context, repeatable):
    async def run():
        budget = context.memory
        body = Held(budget, Kind.BODIES)
        body.set(budget.size + 1)
        context.ended = None
        with budget.hold(Kind.ANSWERS) as held:
            try:
                context.ended = await MegabyteAnswer().whole_body(
                    most=2 * MEGABYTE,
                    held=held,
                    must_finish=repeatable == "may run only once",
                )
            except ExchangeError as error:
                context.ended = error
            context.answer_bytes = budget.held_of(Kind.ANSWERS)
            context.took_s = anyio.current_time()
        body.release()
        assert not budget.held_bytes

    run_virtual(run)


@then("it fails after two seconds")
def check_answer_failed(context):
    assert isinstance(context.ended, ExchangeError), context.ended
    assert 2.0 <= context.took_s < 2.1, context.took_s


@then("it is read whole, and counted")
def check_answer_read(context):
    assert len(context.ended) == MEGABYTE
    assert context.answer_bytes == MEGABYTE
    assert context.took_s < 0.1


class FakeReader(Reader):
    """A reader with a given hold and pace."""

    def __init__(self, budget, name, *, held, bytes_per_s, seconds, once):
        self.name = name
        self._held = Held(budget, Kind.UNSENT)
        self._once = once
        self._pace = Pace(since=0.0, taken=0)
        for second in range(1, seconds + 1):
            self._pace.record(second * 1_000.0, int(second * bytes_per_s))
        budget.add_reader(self)
        self._held.set(held)

    @property
    def held(self):
        return self._held

    @property
    def pace(self):
        return self._pace

    @property
    def last_resort(self):
        return self._once

    def observe(self, now):
        pass

    def disconnect(self):
        self.name += " (disconnected)"


@given("a host with {memory} MB of memory")
def given_host(context, memory):
    context.memory_mb = None if memory == "untold" else float(memory)
    context.memory = MemoryBudget(
        clock=EventLoopClock(), memory_mb=lambda: context.memory_mb
    )


@then("{size:d} kB may be held, and bodies wait above {mark:d} kB")
def check_budget(context, size, mark):
    budget = context.memory
    assert budget.size // 1_024 == size, budget.size
    assert round(budget.size * WAIT_MARK) // 1_024 == mark, budget.size


@when("the settings tell {memory:g} MB")
def changed_settings(context, memory):
    context.memory_mb = memory


@when("the process has {uncounted:d} MB that are not counted")
def uncounted_memory(context, uncounted):
    context.memory.set_uncounted(uncounted * MEGABYTE)


@then("the process is seen to have more than 10 MB")
def check_resident(context):
    del context
    assert resident_bytes() > 10 * MEGABYTE, resident_bytes()


def read_small_budget(context):
    """Adds the readers of the scenario's table to a budget of 4 MB."""
    context.memory_mb = 1.0
    budget = context.memory = MemoryBudget(
        clock=EventLoopClock(), memory_mb=lambda: context.memory_mb
    )
    context.readers = [
        FakeReader(
            budget,
            row["reader"],
            held=int(row["held kB"]) * 1_024,
            bytes_per_s=float(row["bytes a second"]),
            seconds=int(row["seconds"]),
            once=row["may run only once"] == "yes",
        )
        for row in context.table
    ]


@given("these readers of a host with little memory")
def given_readers(context):
    read_small_budget(context)


@when("a body takes the budget above the upper mark, by {kilobytes:d} kB")
def above_mark(context, kilobytes):
    budget = context.memory
    mark = int(DISCONNECT_MARK * budget.size)
    body = Held(budget, Kind.BODIES)

    async def run():
        body.set(mark - budget.held_bytes + kilobytes * 1_024)

    run_virtual(run)


@then("{names} are disconnected")
def check_disconnected(context, names):
    ended = [
        reader.name.split()[0]
        for reader in context.readers
        if "disconnected" in reader.name
    ]
    assert ended == names.split(" and "), ended
    assert not any(
        reader.held.size
        for reader in context.readers
        if "disconnected" in reader.name
    )


@when("they are observed")
def observed(context):
    async def run():
        context.memory.observe_readers()

    run_virtual(run)


@then("settings with {memory} MB of memory are rejected")
def check_rejected(context, memory):
    del context
    world = PlatformWorld()
    world.store_address = "127.0.0.1:1"
    value = yaml.safe_load(world.settings_text("d1"))
    value["limits"] = {"memory_mb": memory}
    with tempfile.NamedTemporaryFile("w") as file:
        yaml.safe_dump(value, file)
        file.flush()
        loaded = platform_settings.load(file.name)
    assert loaded.is_err(), loaded
    assert "memory" in loaded.err_value.message or memory == "much", loaded
