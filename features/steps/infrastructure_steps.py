"""Steps about the adapter of the platform's object service."""

from __future__ import annotations

import collections
import random
from typing import Any

import anyio
from behave import given, then, when
from result import Err

from cactusdyke.configuration.in_force import InForce
from cactusdyke.errors import FailureKind
from cactusdyke.infrastructure.guarded_object_store import (
    CALLS_PER_SECOND,
    READ_TIMEOUT_MS,
    CallKind,
    GuardedObjectStore,
)
from cactusdyke.infrastructure.http_object_store import HttpObjectStore
from features.support.deployment import STORE, Deployment, answers
from standins.hub import Hub
from standins.object_service import ObjectService
from standins.virtual import run_virtual


def with_guard(story: Any) -> Any:
    """Runs a story on one guarded store over a hub."""

    async def run() -> Any:
        async with Hub() as hub:
            service = ObjectService(clock=hub.clock)
            hub.listen(STORE, service.routes.handle, owner="store")
            guard = GuardedObjectStore(
                store=HttpObjectStore(
                    address=STORE, network=hub.network("daemon")
                ),
                clock=hub.clock,
                rng=random.Random(1),
            )
            return await story(hub, service, guard)

    return run_virtual(run)


@given("a store watched by {count:d} daemons")
def given_watched(context, count):
    context.daemons = count


@given("a guarded store")
def given_guarded(context):
    del context


@when("the watched store is down for {minutes:d} minutes")
def when_hour(context, minutes):
    async def story() -> None:
        async with Deployment() as deployment:
            clock = deployment.hub.clock
            calls: collections.Counter[int] = collections.Counter()

            async def count(request: Any) -> Any:
                calls[int(clock.now() // 1_000)] += 1
                return await deployment.store.routes.handle(request)

            await deployment.start_daemons(context.daemons)
            await deployment.submit(answers(deployment), submission="first")
            await clock.sleep(20_000)
            deployment.hub.listen(STORE, count, owner="store")
            deployment.store.faults["down"] = True
            await clock.sleep(minutes * 60_000)
            context.during = dict(calls)
            calls.clear()
            deployment.store.faults["down"] = False
            began = clock.now()
            services = [
                app.service("configuration", InForce)
                for app in deployment.daemons.values()
            ]
            while any(s.confirmation() != "by_store" for s in services):
                await clock.sleep(50)
            context.confirmed_ms = clock.now() - began
            await clock.sleep(30_000)
            context.after = dict(calls)

    run_virtual(story)


@then("no daemon called it more than {limit:d} time a second on average")
def then_average(context, limit):
    total = sum(context.during.values())
    mean = total / len(context.during) / context.daemons
    assert 0 < mean <= limit, mean


@then("in no second after its end came more than {limit:d} calls")
def then_peak(context, limit):
    assert 0 < max(context.after.values()) <= limit, context.after


@then("every daemon is confirmed by the store again within {seconds:d} seconds")
def then_confirmed(context, seconds):
    assert context.confirmed_ms <= seconds * 1_000, context.confirmed_ms


@when("its answers to {reads:d} reads and {writes:d} write are lost")
def when_lost(context, reads, writes):
    async def story(hub, service, guard):
        await guard.write("key", b"value")
        service.faults["lose_answers"] = reads
        context.read = await guard.read("key")
        before = service.counts["writes"]
        service.faults["lose_answers"] = writes
        context.written = await guard.write("key", b"other")
        context.writes = service.counts["writes"] - before
        context.reads = service.counts["reads"]

    with_guard(story)


@then("the read is answered at the third try")
def then_third(context):
    assert context.read.unwrap().value == b"value"
    assert context.reads == 3


@then("the write was made once and its outcome is unknown")
def then_unknown(context):
    assert context.writes == 1
    assert context.written.unwrap_err().kind is FailureKind.STORE_UNKNOWN
    assert str(context.written.unwrap_err().ran) == "unknown"


@when("a daemon reads {count:d} times at once")
def when_loop(context, count):
    async def story(hub, service, guard):
        outcomes = []

        async def read():
            outcomes.append(await guard.read("key"))

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(read)
        context.outcomes = outcomes
        context.took_ms = hub.clock.now()
        context.reads = service.counts["reads"]

    with_guard(story)


@then("no more reads go out than the budget allows")
def then_budget(context):
    rate, burst = CALLS_PER_SECOND[CallKind.READ]
    allowed = burst + rate * context.took_ms / 1_000 + 1
    assert burst <= context.reads <= allowed, (context.reads, allowed)


@then("the others fail as not sent, with a time to come back")
def then_not_sent(context):
    failures = [o.err_value for o in context.outcomes if isinstance(o, Err)]
    assert len(failures) == len(context.outcomes) - context.reads
    assert {str(failure.ran) for failure in failures} == {"not_run"}
    assert all(failure.retry_after_ms for failure in failures)


@when("the store fails and the probe that finds it back is cancelled")
def when_probe(context):
    async def story(hub, service, guard):
        service.faults["down"] = True
        for _ in range(6):
            await guard.read("key")
        context.held_back = await guard.read("key")
        service.faults.update(down=False, delay_ms=READ_TIMEOUT_MS / 2)
        await hub.clock.sleep(5_000)
        with hub.clock.timeout(100):
            await guard.read("key")
        service.faults.clear()
        await hub.clock.sleep(5_000)
        context.later = await guard.read("key")

    with_guard(story)


@then("a later call is let through")
def then_through(context):
    assert "held back" in context.held_back.unwrap_err().detail
    assert context.later.is_ok(), context.later
