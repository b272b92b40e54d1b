"""Steps for replicas that leave or rest, with daemons as processes."""

from __future__ import annotations

import itertools

import anyio
from behave import then, when

from features.steps.limit_process_steps import DAEMONS, WORK_MS, send_for
from features.steps.platform_forwarding_steps import plain_world, play
from features.steps.quarantine_process_steps import platform_routes

WARM_UP_S = 1.5
LEAVING_S = 3.0
KNOWN_S = 1.0
"""Half of the time after which a leaving replica may get nothing."""
LAPSE_S = 0.4
LISTED_S = 1.0
"""Within this time daemons know a new entry."""
AFTER_S = 2.0
REST_S = 3.0
RESTS = 2
AT_ONCE_S = 0.3


async def _start(world, context):
    for service in ("plain", "engine", "stage"):
        for number in range(3):
            replica = await world.add_replica(f"{service}{number}", service)
            replica.work_ms = WORK_MS[service]
            world.list_replica(f"{service}{number}", service, born=1)
    world.configure(platform_routes())
    await world.start_processes(*DAEMONS)
    context.statuses = []
    context.numbers = itertools.count()
    context.replica = world.replicas[f"{context.service}0"]


async def _send(world, context, seconds):
    await send_for(
        world, context.request, seconds, context.numbers, context.statuses
    )


@when("one says that it leaves while callers send 25 requests a second")
def leaves(context):
    async def story(world):
        await _start(world, context)
        await _send(world, context, WARM_UP_S)
        replica = context.replica
        context.begun_at = anyio.current_time()
        replica.leaves = True
        await _send(world, context, LEAVING_S)
        context.lapsed_at = anyio.current_time()
        world.store.remove("servers", replica.name)
        await _send(world, context, LAPSE_S)
        world.list_replica(replica.name, context.service, born=1, seq=9)
        await _send(world, context, LEAVING_S)
        context.ended_at = anyio.current_time()
        replica.leaves = False
        world.list_replica(replica.name, context.service, born=2)
        await _send(world, context, LISTED_S + AFTER_S)

    play(story)


def _arrivals(context, since, until):
    return [at for at in context.replica.arrivals if since <= at < until]


@then("it gets nothing from a second after its first answer on")
def check_leaving(context):
    first = min(_arrivals(context, context.begun_at, context.ended_at))
    told_at = first + WORK_MS[context.service] / 1_000
    late = _arrivals(context, told_at + KNOWN_S, context.lapsed_at)
    assert not late, (told_at, late)


@then("it still gets nothing as its entry lapses and returns unchanged")
def check_lapse(context):
    late = _arrivals(context, context.lapsed_at, context.ended_at)
    assert not late, late
    assert set(context.statuses) == {200}, set(context.statuses)


@then("it gets requests once its id has started again")
def check_started_again(context):
    assert _arrivals(context, context.ended_at + LISTED_S, 1e12)


@when("one refuses requests and asks for 3 s of rest")
def rests(context):
    async def story(world):
        await _start(world, context)
        await _send(world, context, WARM_UP_S)
        context.begun_at = anyio.current_time()
        context.replica.rest = str(REST_S)
        await _send(world, context, RESTS * REST_S)
        context.ended_at = anyio.current_time()

    play(story)


@then("it gets no more than two requests a daemon in each rest")
def check_rests(context):
    count = len(_arrivals(context, context.begun_at, context.ended_at))
    assert 0 < count <= 2 * RESTS * len(DAEMONS), count


@then("every caller is served by the others")
def check_served(context):
    assert set(context.statuses) == {200}, set(context.statuses)


@when("all replicas ask for 3 s of rest and a caller sends two requests")
def all_rest(context):
    async def story(world):
        await plain_world(world, replicas=("p1", "p2"))
        for replica in world.replicas.values():
            replica.rest = str(REST_S)
        context.answers = []
        for number in range(2):
            began = anyio.current_time()
            status, headers, _ = await world.request(
                "/look/a", request_id=f"r-{number}"
            )
            took_s = anyio.current_time() - began
            context.answers.append((status, headers, took_s))
        context.counts = [len(r.arrivals) for r in world.replicas.values()]

    play(story)


@then("each replica got one request")
def check_counts(context):
    assert context.counts == [1, 1], context.counts


@then("the caller is told at once that neither ran, and when the rest ends")
def check_told(context):
    for status, headers, took_s in context.answers:
        assert status == 503, context.answers
        assert took_s < AT_ONCE_S, context.answers
        assert 2.0 < float(headers["retry-after"]) <= REST_S, headers
