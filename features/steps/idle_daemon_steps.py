"""Steps for daemons that have no work."""

from __future__ import annotations

import os
import selectors

import anyio
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.observe.log_sink import LogSink
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.follow import ReplicaState
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.peers import PeerDaemon
from cactusdyke.transport.event_loop import BatchingSelector
from cactusdyke.transport.watchdog import Watchdog, Watched
from features.steps.daemon_steps import deployment_with_stage
from features.steps.serving_steps import ManualClock, replica
from features.support.platform_rig import replica_entry
from features.support.serving_values import NoConnections, request_limits
from standins.virtual import run_virtual


class CountingClock(EventLoopClock):
    """Counts the waits that a timer ends."""

    def __init__(self):
        self.waits = 0

    async def sleep(self, duration_ms):
        self.waits += 1
        await super().sleep(duration_ms)

    def timeout(self, duration_ms):
        self.waits += 1
        return super().timeout(duration_ms)


@given("an event loop's selector with a readable pipe")
def given_selector(context):
    context.selector = BatchingSelector()
    context.read_end, write_end = os.pipe()
    os.write(write_end, b"x")
    context.selector.register(context.read_end, selectors.EVENT_READ)


@when("the loop polls 12 times while callbacks are due")
def poll_without_block(context):
    context.polls = [context.selector.select(0) for _ in range(12)]


@then("at least 2 of the polls report the pipe")
def check_polls(context):
    assert sum(bool(found) for found in context.polls) >= 2, context.polls
    assert not context.polls[0]


@then("a poll that may block reports it at once")
def check_blocking_poll(context):
    assert context.selector.select(5.0)
    context.selector.close()


@when("a log sink runs for 60 s without lines, and gets one line then")
def run_idle_sink(context):
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)

    async def run():
        clock = context.clock = CountingClock()
        sink = LogSink(clock=clock, daemon="d1", descriptor=write_end)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sink.run)
            await anyio.sleep(60)
            context.waits_before = clock.waits
            sink({"message_type": "CD1001:daemon_started"})
            await anyio.sleep(0.15)
            context.line = os.read(context.read_end, 1_000)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("it has not slept before the line")
def check_no_waits(context):
    assert context.waits_before == 0, context.waits_before


@then("the line is written within 150 ms")
def check_line(context):
    assert b"CD1001" in context.line


class Wait(Watched):
    """A wait that notes when it was given up."""

    def __init__(self, clock, until, *, adjustable=False):
        self._clock = clock
        self.until = until
        self._adjustable = adjustable
        self.ended_at = None

    @property
    def wait_until(self):
        return self.until

    @property
    def is_adjustable(self):
        return self._adjustable

    async def give_up(self):
        self.ended_at = self._clock.now()


@when("a wait of 4000 ms begins, and one of 600 ms during it")
def run_waits(context):
    async def run():
        clock = context.clock = CountingClock()
        watchdog = Watchdog(clock=clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watchdog.run)
            now = clock.now()
            context.waits = [Wait(clock, now + 4_000.0)]
            watchdog.begin(context.waits[0])
            await anyio.sleep(1)
            context.waits.append(Wait(clock, clock.now() + 600.0))
            watchdog.begin(context.waits[1])
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("both end within 50 ms of their time")
def check_waits_end(context):
    for wait in context.waits:
        assert 0 <= wait.ended_at - wait.until <= 50, wait.ended_at


@then("the watchdog has woken at most 6 times")
def check_wakes(context):
    assert context.clock.waits <= 6, context.clock.waits


@when("a wait of 4000 ms begins whose limit is moved to 600 ms during it")
def run_adjusted_wait(context):
    async def run():
        clock = EventLoopClock()
        watchdog = Watchdog(clock=clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watchdog.run)
            wait = Wait(clock, clock.now() + 4_000.0, adjustable=True)
            context.wait = wait
            watchdog.begin(wait)
            await anyio.sleep(0.3)
            wait.until = clock.now() + 300.0
            await anyio.sleep(2)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("it ends within 300 ms of its new time")
def check_adjusted(context):
    assert 0 <= context.wait.ended_at - context.wait.until <= 300


@when("a decider has no work for 60 s, then some, and then none for 60 s")
def run_idle_decider(context):
    context.active = []

    async def run():
        clock = EventLoopClock()
        deployment = deployment_with_stage()
        decider = Decider(
            clock=clock,
            deployment=deployment,
            dialect=None,
            connections=NoConnections(),
            tracing=Tracing(daemon="d1"),
            request_limits=request_limits(clock, deployment),
        )

        async def look():
            while True:
                await decider.wait_until_active()
                context.active.append(clock.now())
                await anyio.sleep(0.2)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(look)
            await anyio.sleep(60)
            context.work_at = clock.now()
            decider.record_use("stage")
            await anyio.sleep(60)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("it counts as active from the work on until 5 s after it")
def check_activity(context):
    since_work = [at - context.work_at for at in context.active]
    assert since_work[0] == 0, since_work[0]
    assert 4_500 <= since_work[-1] <= 5_500, since_work[-1]


@given("a deployment in which two replicas are listed at one address")
def given_shared_address(context):
    context.deployment = Deployment(clock=ManualClock())
    context.deployment.put_replica(replica("old", address="a:1"))
    context.deployment.put_replica(replica("new", address="a:1"))


@then("the address belongs to the older entry")
def check_older(context):
    assert context.deployment.replica_at("a:1").name == "old"


@then("to the other one once the older one is removed")
def check_other(context):
    context.deployment.remove_replica("old")
    assert context.deployment.replica_at("a:1").name == "new"
    context.deployment.remove_replica("new")
    assert context.deployment.replica_at("a:1") is None


def _entry(number):
    return replica_entry(f"10.0.{number // 250}.{number % 250}:1")


@when("3000 replicas arrive as one batch of changes")
def many_replicas(context):
    clock = ManualClock()
    deployment = context.deployment = Deployment(clock=clock)
    context.indexed = []
    deployment.on_change(lambda: context.indexed.append(clock.now()))
    context.state = ReplicaState(store=None, clock=clock, deployment=deployment)
    changes = [[f"r{n}", 2, _entry(n), False] for n in range(3_000)]
    body = {"revision": 2, "age_ms": 0, "changes": changes}
    context.state.merge(body, source="d2")


@then("they are indexed once, and all are usable")
def check_indexed_once(context):
    assert len(context.indexed) == 1, len(context.indexed)
    assert len(context.deployment.usable_replicas("plain")) == 3_000


@then("a batch that removes one and adds another leaves both changes in force")
def check_mixed_batch(context):
    changes = [["r7", 3, _entry(7), True], ["new", 3, _entry(7), False]]
    body = {"revision": 3, "age_ms": 0, "changes": changes}
    context.state.merge(body, source="d2")
    names = {r.name for r in context.deployment.usable_replicas("plain")}
    assert "new" in names and "r7" not in names
    assert context.deployment.replica_at(_entry(7)["address"]).name == "new"


class CountingNetwork:
    """Counts the requests to other daemons; none is answered."""

    def __init__(self):
        self.fetched = 0

    async def fetch(self, address, request, options):
        self.fetched += 1
        await anyio.sleep_forever()


@when("calls of 250 ms to another daemon follow one another for 20 s")
def run_short_calls(context):
    context.network = CountingNetwork()

    async def run():
        clock = EventLoopClock()
        watch = PeerWatch(clock=clock, network=context.network)
        peer = PeerDaemon(
            name="d2",
            address="d2:1",
            public_address="",
            data_centre="here",
            ready=True,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(0.01)
            for _ in range(80):
                with watch.cancel_if_silent(peer):
                    await anyio.sleep(0.25)
                watch.record_answer(peer.address)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the other daemon gets no probe")
def check_no_probe(context):
    assert context.network.fetched == 0, context.network.fetched
