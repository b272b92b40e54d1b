"""Steps for shares of retries that processes leave to their successors."""

from __future__ import annotations

import types

import anyio
from behave import given, then, when

from cactusdyke.clock import EventLoopClock, MachineTime
from cactusdyke.platform.registry import HANDOVER_FIELD, KIND, DaemonRegistry
from cactusdyke.platform.store import StoreClient
from cactusdyke.serving.daemon_count import DaemonCount
from cactusdyke.serving.retry_budget import RetryAllowance, RetryBudget
from cactusdyke.transport.messages import Response
from features.steps.platform_forwarding_steps import play, runs
from features.support.handover_fleet import (
    HandoverFleet,
    MachineClock,
    random_story,
    restarted_before_failures,
    returned_late,
)
from features.support.platform_rig import route
from features.support.retry_fleet import KnownDaemons
from standins.hub import Hub
from standins.platform_store import PlatformStore
from standins.virtual import run_virtual

SERVICE = "service"
FAIL_AT_MS = 24_000.0
DAEMONS = 6
WHOLE_RETRIES = 4
"""Of the share of 8.1, two fifths are what requests may save."""


@when("a service fails as {count:d} daemons have just restarted in turn")
def fail_after_restarts(context, count):
    context.fleet = fleet = HandoverFleet(count=count, seed=1)
    restarted_before_failures(fleet, FAIL_AT_MS)
    fleet.run()
    context.excess = {count: fleet.worst_excess()}


@then("within a second they use at least seven tenths of the slack")
def check_at_once(context):
    traffic = context.fleet.traffic
    at_once = [at for at in traffic.retries if at < FAIL_AT_MS + 1_000.0]
    used = len(at_once) / context.fleet.allowance.slack
    assert used >= 0.7, used


@when("daemons live through {count:d} random stories of restarts")
def live_through(context, count):
    context.excess, context.host_excess = {}, {}
    context.inherited = 0
    for seed in range(count):
        fleet = HandoverFleet(count=(6, 6, 64, 6)[seed % 4], seed=seed)
        fleet.others_forget = seed % 8 >= 4
        random_story(fleet)
        fleet.run()
        context.excess[seed] = fleet.worst_excess()
        if not fleet.others_forget:
            context.host_excess[seed] = fleet.host_excess()
        context.inherited += fleet.inherited


@then("no host's processes send more than the host's part")
def check_hosts(context):
    above = {k: v for k, v in context.host_excess.items() if v > 0}
    assert context.host_excess
    assert not above, above


@then("processes went on with what others had left at least {count:d} times")
def check_inherited(context, count):
    assert context.inherited >= count, context.inherited


@when("half of {count:d} daemons return with what they left long before")
def return_late(context, count):
    fleet = HandoverFleet(count=count, seed=1)
    returned_late(fleet)
    fleet.run()
    context.excess = {count: fleet.worst_excess()}


def _budget(clock, known_at=0.0):
    return RetryBudget(
        clock=clock,
        allowance=lambda: RetryAllowance(slack=50),
        daemon_count=DaemonCount(
            clock=clock,
            daemons=KnownDaemons(DAEMONS, known_at),
            window_ms=lambda: 10_000.0,
        ),
    )


def _charge_all(budget):
    permits = []
    while (permit := budget.charge(SERVICE)) is not None:
        permits.append(permit)
    return permits


def _count_allowed(budget):
    permits = _charge_all(budget)
    for permit in permits:
        permit.release()
    return len(permits)


@given("a process that has no share yet")
def without_share(context):
    context.budget = _budget(MachineClock())


@given("a process whose retry waits to be sent")
def with_pending(context):
    clock = MachineClock()
    context.budget = _budget(clock)
    clock.ms = 10_000.0
    assert context.budget.charge(SERVICE) is not None


@given("a process whose machine's clock can't be told apart")
def without_machine(context):
    clock = MachineClock()
    clock.machine_time = lambda: None
    context.budget = _budget(clock)
    clock.ms = 10_000.0


@when("it stops as planned")
def close(context):
    context.left = context.budget.close()


@then("it leaves nothing, and sends no more retries")
def check_nothing_left(context):
    assert context.left is None
    assert context.budget.charge(SERVICE) is None


@given("what a process has left on its machine")
def left_on_machine(context):
    context.clock = MachineClock()
    budget = _budget(context.clock)
    context.clock.ms = 20_000.0
    context.left = budget.close()
    assert context.left is not None


@when("a process starts on another machine")
def start_elsewhere(context):
    context.clock.machine = "other"
    context.budget = _budget(context.clock, known_at=context.clock.ms)


@when("a process starts on a machine whose clock was set back")
def start_earlier(context):
    context.clock.ms -= 1.0
    context.budget = _budget(context.clock, known_at=context.clock.ms)


@when("a process starts {seconds:g} seconds later")
def start_later(context, seconds):
    context.clock.ms += 1_000.0 * seconds
    context.budget = _budget(context.clock, known_at=context.clock.ms)


@when("a process starts and knows nothing of the others")
def start_alone(context):
    context.budget = _budget(context.clock, known_at=None)


@when("a process starts that has a share of its own")
def start_with_share(context):
    context.budget = _budget(context.clock)


@then("it does not take what was left")
def check_own_share(context):
    assert not context.budget.inherit(context.left)


@then("it has no share yet")
def check_not_taken(context):
    assert not context.budget.inherit(context.left)
    assert context.budget.charge(SERVICE) is None


class SharedClock(EventLoopClock):
    """The event loop's clock as the clock of one machine."""

    def machine_time(self):
        return MachineTime(boot_id="machine", ms=self.now())


class Process:
    """The registry and the budget of one process."""

    def __init__(self, hub, name="d0", owner=""):
        self.clock = SharedClock()
        settings = types.SimpleNamespace(
            node=name,
            zone="here",
            peer=types.SimpleNamespace(address="10.0.0.7:1"),
        )
        self.registry = DaemonRegistry(
            settings=settings,
            store=StoreClient(
                address="store:1",
                network=hub.network(owner or name),
                clock=self.clock,
            ),
            clock=self.clock,
        )
        self.daemons = KnownDaemons(DAEMONS, None)
        self.budget = RetryBudget(
            clock=self.clock,
            allowance=lambda: RetryAllowance(slack=50),
            daemon_count=DaemonCount(
                clock=self.clock,
                daemons=self.daemons,
                window_ms=lambda: 10_000.0,
            ),
        )
        self.registry.pass_on(self.budget)

    async def read(self):
        hosts = (await self.registry.read()).unwrap()
        self.daemons.known_at = self.registry.listed_at
        return hosts

    async def start(self):
        await self.read()
        await self.registry.run()

    async def stop(self):
        await self.registry.announce_stop()
        await self.leave()

    async def leave(self):
        await self.registry.leave_share(self.budget.close())


def _with_store(context, story):
    """Plays a story in virtual time with the platform's store."""

    async def scenario():
        async with Hub() as hub:
            context.hub = hub
            context.store = PlatformStore(clock=hub.clock)
            hub.listen("store:1", context.store.routes.handle, owner="store")
            await story(hub)

    run_virtual(scenario)


@given(
    "a daemon that has used {used:d} retries of its share, and stops as planned"
)
def stopped(context, used):
    async def before(hub):
        first = Process(hub)
        await first.start()
        await anyio.sleep(10.0)
        for _ in range(used):
            first.budget.charge(SERVICE).mark_sent()
        writes = context.store.counts["writes"]
        await first.stop()
        context.stop_writes = context.store.counts["writes"] - writes
        await anyio.sleep(0.6)

    context.before, context.used = before, used


@when("two processes of its name start at once")
def two_start(context):
    async def story(hub):
        await context.before(hub)
        both = [Process(hub, owner="a"), Process(hub, owner="b")]
        for process in both:
            await process.read()
        writes = context.store.counts["writes"]
        await both[0].registry.run()
        context.start_writes = context.store.counts["writes"] - writes
        await both[1].registry.run()
        context.allowed = [_count_allowed(p.budget) for p in both]
        await anyio.sleep(19.8)
        context.soon = _count_allowed(both[1].budget)
        await anyio.sleep(0.4)
        context.later = _count_allowed(both[1].budget)

    _with_store(context, story)


@then("one of them has the rest of the share")
def check_one(context):
    assert context.allowed[0] == WHOLE_RETRIES - context.used, context.allowed


@then("the other one has none for two windows")
def check_other(context):
    assert context.allowed[1] == 0, context.allowed
    assert context.soon == 0, context.soon
    assert context.later > 0, context.later


@then("the store was called once more than without")
def check_calls(context):
    # A removal as before and the share; one write as the object exists.
    assert context.stop_writes == 2, context.stop_writes
    assert context.start_writes == 1, context.start_writes


@when("a process of its name starts, and another one {seconds:d} seconds later")
def another_later(context, seconds):
    async def story(hub):
        await context.before(hub)
        await Process(hub, owner="a").start()
        await anyio.sleep(seconds)
        context.later = later = Process(hub, owner="b")
        await later.start()
        context.soon = []
        for _ in range(20):
            await anyio.sleep(1.0)
            context.soon.append(_count_allowed(later.budget))

    _with_store(context, story)


@then("the later one has none for {seconds:d} seconds")
def check_none_for(context, seconds):
    assert not any(context.soon[: seconds - 1]), context.soon
    assert context.soon[seconds], context.soon


REFUSED = {"refuses the first write": 1, "refuses writes for seconds": 6}


@when("a process of its name starts as the store {trouble}")
def start_as_store(context, trouble):
    async def story(hub):
        await context.before(hub)
        left = REFUSED.get(trouble, 0)
        handle = context.store.routes.handle

        async def refuse(request):
            nonlocal left
            if request.method != "GET" and left:
                left -= 1
                return Response(status=503)
            return await handle(request)

        hub.listen("store:1", refuse, owner="store")
        process = Process(hub, owner="next")
        await process.read()
        if trouble == "loses the first answer":
            hub.link("store", "next").lose_answers = 1
        hub.start(process.registry.run)
        await anyio.sleep(2.0)
        context.allowed = _count_allowed(process.budget)
        await anyio.sleep(10.1)
        context.later = _count_allowed(process.budget)

    _with_store(context, story)


@then(
    "it has {now:d} whole retries 2 seconds after its start,"
    " and {soon:d} after 12"
)
def check_taken(context, now, soon):
    # What is left of the slack without whole retries is saved meanwhile.
    assert context.allowed == now, context.allowed
    assert soon <= context.later <= soon + bool(soon), context.later


@when("another daemon reads the list")
def another_reads(context):
    async def story(hub):
        await context.before(hub)
        assert HANDOVER_FIELD in context.store.objects[KIND]["d0"][1]
        other = Process(hub, name="d1")
        context.listed = await other.read()
        context.counted = other.registry.registered_count

    _with_store(context, story)


@then("it lists and counts no daemon of that name")
def check_not_listed(context):
    assert context.listed == (), context.listed
    assert context.counted == 0, context.counted


@when("another daemon starts {minutes:d} minutes later")
def another_starts(context, minutes):
    async def story(hub):
        await context.before(hub)
        await anyio.sleep(minutes * 60.0)
        await Process(hub, name="d1").start()
        context.left = set(context.store.objects[KIND])

    _with_store(context, story)


@then("what the stopped daemon left is {what}")
def check_left(context, what):
    assert context.left == ({"d0", "d1"} if what == "kept" else {"d1"})


@when("it returns while another daemon is about to remove what it left")
def returns_meanwhile(context):
    async def story(hub):
        await context.before(hub)
        await anyio.sleep(70 * 60.0)
        other = Process(hub, name="d1")
        await other.read()
        await Process(hub, owner="a").start()
        await other.registry.run()
        context.left = dict(context.store.objects[KIND])

    _with_store(context, story)


@then("it stays registered")
def check_registered(context):
    _, spec = context.left["d0"]
    assert "address" in spec, spec


@given("a daemon with a share")
def with_share(context):
    async def before(hub):
        context.first = Process(hub)
        await context.first.start()
        await anyio.sleep(10.0)

    context.before = before


@when("it stops as planned while the store {trouble}")
def stop_in_trouble(context, trouble):
    async def story(hub):
        await context.before(hub)
        first = context.first
        link = hub.link("d0", "store")
        link.silent = trouble == "is away"
        await first.registry.announce_stop()
        link.silent = trouble != "has its next process listed"
        successor = Process(hub, owner="next")
        if not link.silent:
            await successor.start()
        began = anyio.current_time()
        await first.leave()
        context.waited_ms = 1_000.0 * (anyio.current_time() - began)
        if link.silent:
            await successor.start()
        context.allowed = _count_allowed(successor.budget)
        context.entry = context.store.objects[KIND]["d0"][1]

    _with_store(context, story)


@then("its stop has waited for at most {ms:d} ms at its end")
def check_waited(context, ms):
    assert context.waited_ms <= ms + 1.0, context.waited_ms


@then("its next process is listed, without a share")
def check_next(context):
    assert context.allowed == 0, context.allowed
    assert context.entry["address"] == "10.0.0.7:1", context.entry


LEFT = {
    "closed_at": ["machine", 0.0],
    "daemons": 6,
    "services": {SERVICE: [1, 0.5]},
}
FAULTS = {
    "no time": {**LEFT, "closed_at": None},
    "a time of day": {**LEFT, "closed_at": 1_796_607_263_720},
    "a negative use": {**LEFT, "services": {SERVICE: [-5, 0.5]}},
    "an infinite amount": {**LEFT, "services": {SERVICE: [1, "inf"]}},
    "another type": [1, 2],
}


@when("a daemon starts from a stored share with {fault}")
def start_from(context, fault):
    async def story(hub):
        left = {HANDOVER_FIELD: FAULTS[fault]}
        context.store.put(KIND, "d0", left)
        process = Process(hub)
        await process.start()
        context.allowed = _count_allowed(process.budget)
        context.entry = context.store.objects[KIND]["d0"][1]

    _with_store(context, story)


@then("it is registered, without a share")
def check_registered(context):
    assert context.allowed == 0, context.allowed
    assert context.entry["address"] == "10.0.0.7:1", context.entry


WINDOW_S = 6.0


@when("replicas fail the first request after a planned restart")
def after_restart(context):
    async def story(world):
        world.further_bounds = {"budget_window_s": WINDOW_S}
        for name in ("p1", "p2"):
            await world.add_replica(name)
        world.configure([route("look", "plain")])
        process = await world.start_process("d1")
        await anyio.sleep(WINDOW_S + 0.5)
        await process.stop()
        context.left = process.logged("CD4017")
        successor = world.start_copy("d1")
        await world.listens(world.settings["d1"].front.address)
        await anyio.sleep(1.0)
        for replica in world.replicas.values():
            replica.faults.add("errors")
        await world.request("/look/a")
        context.runs = runs(world)
        await successor.stop()
        context.inherited = successor.logged("CD4018")

    play(story)


@then("the request is sent again")
def check_again(context):
    assert len(context.left) == len(context.inherited) == 1, context.left
    assert len(context.runs) == 2, context.runs
