"""Steps about the client's tries."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from typing import Any

from behave import then, when

from cactusdyke.client import Client
from cactusdyke.client_tries import Tries
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import (
    Response,
    failure_response,
    json_response,
)
from features.support.booking_world import BookingWorld
from standins.hub import Hub
from standins.virtual import run_virtual

LOST = Failure(kind=FailureKind.CONNECTION_LOST, detail="Lost", ran=Ran.UNKNOWN)
REFUSED = Failure(kind=FailureKind.STORE_UNAVAILABLE, detail="Refused")
STOPPING = Failure(kind=FailureKind.STOPPING, detail="Stopping")


def _tries(hub: Hub, *, has_key: bool) -> Tries:
    return Tries(
        clock=hub.clock,
        rng=random.Random(0),
        deadline_ms=5_000.0,
        has_key=has_key,
    )


@when("a client's try is lost and its next one is refused as not_run")
def when_lost_refused(context):
    async def play():
        tries = _tries(Hub(), has_key=True)
        tries.failed(LOST)
        assert tries.may_move_on
        tries.failed(REFUSED)
        context.client_failure = tries.failure

    run_virtual(play)


@then("the client's call ends as unknown")
def then_unknown(context):
    assert context.client_failure.ran is Ran.UNKNOWN


@when("a client without a key loses the answer of a try")
def when_no_key(context):
    async def play():
        tries = _tries(Hub(), has_key=False)
        tries.failed(LOST)
        context.client_again = (
            tries.may_move_on or await tries.wait_until_next()
        )

    run_virtual(play)


@then("the client's call may not be tried again")
def then_not_again(context):
    assert context.client_again is False


@when("a client books at one daemon while another makes the same booking")
def when_two(context):
    async def play():
        async with BookingWorld() as world:
            for server in world.deployment.servers.values():
                server.work_ms = 2_500.0
            world.book("entry-1", "both", 7)
            await world.hub.clock.sleep(100.0)
            async with world.deployment.client() as client:
                client.pin("entry-2:1")
                answer = await client.call(
                    "/v1/services/hire-booking", 7, idempotency_key="both"
                )
            context.client_answer = answer.unwrap()["output"]
            await world.heal()
            context.client_other = world.said[0].output
            assert world.executions("both") == 1

    run_virtual(play)


@then("the client's booking answer is the other's")
def then_other(context):
    assert context.client_answer == context.client_other


async def _with_daemons(handlers: dict[str, Any], action: Any) -> Any:
    async with Hub() as hub:
        for name, handler in handlers.items():
            hub.listen(f"{name}:1", handler, owner=name)
        async with Client(
            seeds=[f"{name}:1" for name in handlers],
            token="token",
            network=hub.network("caller"),
            clock=hub.clock,
            rng=random.Random(0),
        ) as client:
            return await action(client)


async def _half_a_stream() -> AsyncIterator[bytes]:
    yield b'event: token\ndata: {"position":0,"text":"A"}\n\n'


@when("a client's stream stops between two events")
def when_stream(context):
    async def handler(request):
        return Response(body=_half_a_stream())

    async def stream(client):
        seen = []
        try:
            async for event in client.stream("summary", 1):
                seen.append(event.name)
        except CactusdykeError as error:
            return seen, error.failure
        return seen, None

    context.client_stream = run_virtual(
        _with_daemons, {"entry-1": handler}, stream
    )


@then("the client's stream is reported as broken")
def then_stream(context):
    seen, failure = context.client_stream
    assert seen == ["token"]
    assert failure is not None
    assert failure.ran is Ran.UNKNOWN


@when("a client meets a daemon that is stopping and one that serves")
def when_stopping(context):
    async def stopping(request):
        return failure_response(STOPPING)

    async def serves(request):
        if request.method == "GET":
            return failure_response(STOPPING)
        return json_response({"output": "served"})

    async def call(client):
        return [
            (await client.call("/v1/pipelines/summary", n)).unwrap()
            for n in range(5)
        ]

    context.client_answers = run_virtual(
        _with_daemons, {"entry-1": stopping, "entry-2": serves}, call
    )


@then("the client's call was answered by the one that serves")
def then_served(context):
    assert context.client_answers == [{"output": "served"}] * 5


@when("a client books while the first daemon that it calls is frozen")
def when_frozen(context):
    async def play():
        async with BookingWorld() as world:
            async with world.deployment.client() as client:
                addresses = await client.addresses()
                first = addresses[0].partition(":")[0]
                world.hub.freeze(first)
                answers = [
                    await client.call(
                        "/v1/services/hire-booking", n, idempotency_key=f"f{n}"
                    )
                    for n in range(4)
                ]
                world.hub.wake(first)
            await world.heal()
            context.client_answers = answers
            context.client_runs = [world.executions(f"f{n}") for n in range(4)]

    run_virtual(play)


@then("the client's booking answer came before the deadline, and once")
def then_before(context):
    outputs = [answer.unwrap()["output"] for answer in context.client_answers]
    assert [output["booked"] for output in outputs] == [0, 1, 2, 3]
    assert context.client_runs == [1, 1, 1, 1]
