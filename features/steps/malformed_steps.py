"""Steps for data that can't be read, and for errors of background tasks."""

from __future__ import annotations

import contextlib
import itertools
from unittest import mock

import anyio
import orjson
from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as for_all

from cactusdyke import background
from cactusdyke.clock import SystemClock
from cactusdyke.kernel import Kernel, Service
from cactusdyke.serving.followed_state import FollowedState
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.messages import parse_object
from cactusdyke.transport.network_address import NetworkAddress
from features.steps.platform_forwarding_steps import play
from features.steps.platform_state_steps import captured_events
from features.support import malformed
from features.support.platform_rig import replica_entry, route, until
from standins.virtual import run_virtual

UNREADABLE = "\ufffd\ufffd\ufffd\ufffd:8080"
UNREADABLE_ENTRIES = {"i-1": "plain", "i-2": "plain", "i-3": "stage"}
REQUESTS_S = 4.0
CALLERS = 6
WORK_MS = 50.0
"""So that callers are spread over all replicas."""
DRAIN_S = 2.0
START_S = 8.0
FAILURE = "CD1012"
EXAMPLES = 150


async def _keep_asking(world, daemon, answers):
    """Looks something up, one request after the other, until cancelled."""
    caller = id(anyio.get_current_task())
    for number in itertools.count():
        try:
            status, _, _ = await world.request(
                "/look/a", daemon=daemon, request_id=f"{caller}-{number}"
            )
        except ExchangeError as error:
            status = str(error)
        answers.append(status)


@given("{count:d} daemons as processes under callers")
def processes(context, count):
    context.names = [f"d{number}" for number in range(1, count + 1)]


async def _run_callers(world, context, disturb):
    """Lets callers ask all daemons, and disturbs these meanwhile."""
    context.answers = []
    with anyio.move_on_after(REQUESTS_S):
        async with anyio.create_task_group() as tasks:
            for name in CALLERS * context.names:
                tasks.start_soon(_keep_asking, world, name, context.answers)
            await anyio.sleep(REQUESTS_S / 8)
            await disturb()


async def _start_replicas(world):
    for name in ("p1", "p2"):
        (await world.add_replica(name)).work_ms = WORK_MS
    world.configure([route("look", "plain")])


@when("entries that can't be read are put into the list of replicas")
def unreadable_entries(context):
    async def story(world):
        await _start_replicas(world)
        await world.add_replica("s1", service="stage")
        context.running = await world.start_group(*context.names)

        async def disturb():
            for name, service in UNREADABLE_ENTRIES.items():
                world.store.put(
                    "servers", name, replica_entry(UNREADABLE, service=service)
                )

        await _run_callers(world, context, disturb)
        context.metrics = [
            await world.metric(name, "cactusdyke_rejected_entries")
            for name in context.names
        ]
        for process in context.running:
            await process.stop()

    play(story)


@when("entries with values of many odd kinds come, and a replica leaves")
def many_odd_entries(context):
    async def story(world):
        await _start_replicas(world)
        context.running = await world.start_group(*context.names)
        left = world.replicas["p1"]

        async def disturb():
            for number, value in enumerate(malformed.ODD_VALUES):
                for field in ("address", "capacity", "state"):
                    entry = malformed.OddEntry(
                        field=field, value=value, place=0
                    )
                    world.store.put(
                        "servers",
                        f"i-{field}-{number}",
                        orjson.Fragment(entry.encode()),
                    )
                await anyio.sleep(0.02)
            world.list_replica("p1", state="draining")
            await anyio.sleep(DRAIN_S)
            before = len(left.runs)
            await anyio.sleep(REQUESTS_S / 8)
            context.late = len(left.runs) - before

        context.late = None
        await _run_callers(world, context, disturb)
        for process in context.running:
            await process.stop()

    play(story)


@then("the replica that left gets nothing any more")
def check_left_replica(context):
    assert context.late == 0, context.late


@then("no request is lost or refused, and no daemon has ended")
def check_processes(context):
    assert [p.code for p in context.running] == [0] * len(context.names)
    assert len(context.answers) > 100, len(context.answers)
    others = [answer for answer in context.answers if answer != 200]
    assert not others, others[:5]


@then("each daemon logs each of the entries once, and counts them")
def check_rejections(context):
    for process in context.running:
        rejected = [line["name"] for line in process.logged("CD2202")]
        assert sorted(rejected) == sorted(UNREADABLE_ENTRIES), rejected
    count = float(len(UNREADABLE_ENTRIES))
    assert context.metrics == [count] * len(context.names), context.metrics


def _parse_anything(text):
    host, _, port = text.rpartition(":")
    return NetworkAddress(host=host, port=int(port))


async def _not_contained(function, *arguments):
    await function(*arguments)


@contextlib.contextmanager
def _without(guard):
    with contextlib.ExitStack() as stack:
        if guard == "the check of decoded addresses":
            stack.enter_context(
                mock.patch.object(NetworkAddress, "parse", _parse_anything)
            )
        else:
            for name in ("run_contained", "keep_running"):
                stack.enter_context(
                    mock.patch.object(background, name, _not_contained)
                )
        yield


@given("a daemon without {guard}")
def without_guard(context, guard):
    context.guard = guard


@when("an entry whose address can't be read is put into the list of replicas")
def entry_without_guard(context):
    async def story(world):
        # Only with a second daemon is there one to ask for a tunnel.
        (await world.add_replica("p1")).work_ms = WORK_MS
        world.configure([route("look", "plain")])
        await world.start_daemon("d1")
        await world.start_daemon(
            "d2", seeds=[world.settings["d1"].peer.address]
        )
        members = world.daemons["d1"]._members
        await until(lambda: len(members.all()) == 2)
        world.store.put("servers", "i-1", replica_entry(UNREADABLE))
        context.during = []
        with anyio.move_on_after(2.0):
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(_keep_asking, world, "d1", context.during)
        world.store.remove("servers", "i-1")
        await anyio.sleep(0.5)
        context.after = [(await world.request("/look/a"))[0] for _ in range(5)]

    with _without(context.guard):
        play(story)


@then("the daemon goes on, and answers requests once the entry is gone")
def check_goes_on(context):
    assert 200 in context.during, context.during[:5]
    assert context.after == [200] * 5, context.after


@when("a replica drains behind an entry that is nested 2,000 deep")
def deeply_nested(context):
    nested = orjson.Fragment(b"[" * 2_000 + b"]" * 2_000)

    async def story(world):
        for name in ("p1", "p2"):
            (await world.add_replica(name)).work_ms = WORK_MS
        world.configure([route("look", "plain")])
        process = await world.start_process("d1")
        world.store.put(
            "servers", "i-1", replica_entry("127.0.0.1:9", service=nested)
        )
        await anyio.sleep(0.5)
        world.list_replica("p1", state="draining")
        await anyio.sleep(DRAIN_S)
        before = len(world.replicas["p1"].runs)
        context.answers = []
        with anyio.move_on_after(1):
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(_keep_asking, world, "d1", context.answers)
        context.late = len(world.replicas["p1"].runs) - before
        await process.stop()
        context.status = None
        with anyio.move_on_after(START_S):
            process = await world.start_process("d2")
            context.status = (await world.request("/look/a", daemon="d2"))[0]
            await process.stop()

    play(story)


@then("it gets nothing later than drain_ms after its report")
def check_drained(context):
    assert context.answers.count(200) > CALLERS, context.answers[:5]
    assert not context.late, context.late


@then("a daemon that starts then serves requests")
def check_started(context):
    assert context.status == 200, context.status


class _Names(FollowedState):
    """Collects the names of changed objects; fails at one of them."""

    def __init__(self, **dependencies):
        super().__init__(kind="names", **dependencies)
        self.applied = []

    def _apply_objects(self, source):
        del source

    def _apply_change(self, change, source):
        del source
        if change.object.name == "bad":
            raise RuntimeError("cannot be applied")
        self.applied.append(change.object.name)


@when("the second of three changes in a batch can't be applied")
def failing_change(context):
    context.state = _Names(store=None, clock=SystemClock())
    names = ("first", "bad", "last")
    with captured_events() as context.events:
        context.state.merge(
            {
                "revision": 5,
                "age_ms": 0,
                "changes": [[name, 5, {}, False] for name in names],
            },
            source="d2",
        )


@then("the changes before and behind it are in force, and it is logged")
def check_failing_change(context):
    assert context.state.applied == ["first", "last"], context.state.applied
    assert context.state.revision == 5
    logged = [
        e for e in context.events if e["message_type"].startswith(FAILURE)
    ]
    assert ["cannot be applied" in line["error"] for line in logged] == [True]


@when("a message is read that is nested in {levels:d} levels")
def nested_message(context, levels):
    inner = b"[" * (levels - 1) + b"]" * (levels - 1)
    context.message = parse_object(b'{"a":' + inner + b"}")


@then("the message is {outcome}")
def check_nested_message(context, outcome):
    assert context.message.is_ok() == (outcome == "read"), context.message


@when("generated {data} is read, and used by all that reads it")
def generated(context, data):
    source = malformed.SOURCES[data]

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )
    @for_all(source.values)
    def read(value):
        source.check(value)

    def read_all():
        for value in source.examples:
            source.check(value)
        read()

    context.read = read_all


@then("nothing fails, and sound data beside it holds")
def check_generated(context):
    context.read()


class _Failing(Service):
    """Fails as often as it is run, at once."""

    def __init__(self):
        self.runs = []

    async def run(self):
        self.runs.append(anyio.current_time())
        raise UnicodeError("cannot be encoded")


class _Ticking(Service):
    def __init__(self):
        self.ticks = 0

    async def run(self):
        while True:
            await anyio.sleep(1)
            self.ticks += 1


@when("a service's background work fails again and again beside a sound one")
def failing_service(context):
    async def run():
        context.failing, context.ticking = _Failing(), _Ticking()
        kernel = Kernel()
        kernel.add("failing", context.failing)
        kernel.add("ticking", context.ticking)
        async with kernel:
            await anyio.sleep(60.5)

    before = _failure_count("_Failing.run")
    with captured_events() as events:
        run_virtual(run)
    context.counted = _failure_count("_Failing.run") - before
    context.events = events


def _failure_count(task):
    return background.FAILURES.labels(task)._value.get()


@then("it is run again after pauses that grow up to a limit")
def check_pauses(context):
    runs = context.failing.runs
    pauses = [round(1_000 * (b - a)) for a, b in itertools.pairwise(runs)]
    assert pauses == sorted(pauses), pauses
    assert pauses[0] == background.MIN_PAUSE_MS, pauses
    assert pauses[-1] == background.MAX_PAUSE_MS, pauses


@then("each failure is logged with its trace and counted")
def check_failures(context):
    logged = [
        e for e in context.events if e["message_type"].startswith(FAILURE)
    ]
    assert len(logged) == context.counted == len(context.failing.runs)
    for line in logged:
        assert line["task"] == "_Failing.run"
        assert "cannot be encoded" in line["error"]
        assert "raise UnicodeError" in line["trace"]


@then("the sound service runs all the while")
def check_ticking(context):
    assert context.ticking.ticks == 60, context.ticking.ticks


@when("a task fails beside one that goes on and one that is cancelled")
def failing_task(context):
    async def fail():
        raise TypeError("not expected")

    async def go_on():
        await anyio.sleep(1)
        context.went_on = True

    async def wait():
        try:
            await anyio.sleep_forever()
        except anyio.get_cancelled_exc_class():
            context.was_cancelled = True
            raise

    async def run():
        with anyio.CancelScope() as scope:
            async with background.background_tasks() as tasks:
                tasks.start_soon(wait)
                tasks.start_soon(fail)
                tasks.start_loop(go_on)
                await anyio.sleep(2)
                scope.cancel()
        context.scope = scope

    run_virtual(run)


@then("the one goes on, and the cancellation is passed on")
def check_siblings(context):
    assert context.went_on
    assert context.was_cancelled
    assert context.scope.cancelled_caught


@when("a daemon starts whose port for callers is taken")
def port_taken(context):
    context.error = None

    async def story(world):
        world.configure([route("look", "plain")])
        process = await world.start_process("d1")
        context.second = world.start_copy("d1")
        await context.second.end()
        await process.stop()

    play(story)


@then("it ends with the error")
def check_ended(context):
    assert context.second.code not in {0, None}
