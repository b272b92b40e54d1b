"""Steps of the whole path, in memory and in virtual time."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support.deployment import Deployment, answers
from standins.engine import generate
from standins.virtual import run_virtual

REQUESTS = 20


async def _with_deployment(context: Any, action: Any) -> None:
    async with Deployment() as deployment:
        for kind in ("encoder", "retriever", "reranker", "engine"):
            deployment.engine(f"{kind}-1")
            deployment.engine(f"{kind}-2")
        deployment.plain("plain-1")
        await deployment.start_daemons(context.daemon_count)
        await deployment.submit(answers(deployment), submission="first")
        context.deployment = deployment
        context.outcome = await action(deployment)


def _expected(deployment: Deployment, value: Any) -> Any:
    for kind in ("encoder", "retriever", "reranker", "engine"):
        value = deployment.servers[f"{kind}-1"].output(value)
    return value


@given("a deployment of {count:d} daemons with four pools and a plain service")
def given_deployment(context, count):
    context.daemon_count = count


@when("a caller runs the pipeline {count:d} times")
def when_run(context, count):
    async def action(deployment):
        async with deployment.client() as client:
            return [
                (
                    number,
                    await client.call(
                        "/v1/pipelines/summary", {"plan": number}
                    ),
                )
                for number in range(count)
            ]

    run_virtual(_with_deployment, context, action)


@then("every answer is whole and its own")
def then_whole(context):
    assert len(context.outcome) == REQUESTS
    for number, answer in context.outcome:
        expected = _expected(context.deployment, {"plan": number})
        assert answer.unwrap()["output"] == expected


@then("every stage ran once for each request")
def then_once(context):
    for kind in ("encoder", "retriever", "reranker", "engine"):
        runs = {}
        for number in (1, 2):
            server = context.deployment.servers[f"{kind}-{number}"]
            for key, count in server.executions.items():
                runs[key] = runs.get(key, 0) + count
        assert len(runs) == REQUESTS
        assert set(runs.values()) == {1}


@when("a caller streams the pipeline")
def when_stream(context):
    async def action(deployment):
        async with deployment.client() as client:
            return [
                event
                async for event in client.stream("summary", {"plan": "A10"})
            ]

    run_virtual(_with_deployment, context, action)


@then("the tokens are those that the engine generated, in order")
def then_tokens(context):
    value = {"plan": "A10"}
    for kind in ("encoder", "retriever", "reranker"):
        value = context.deployment.servers[f"{kind}-1"].output(value)
    expected = generate(value, 16)
    *tokens, end = context.outcome
    assert [event.data["text"] for event in tokens] == expected
    assert [event.data["position"] for event in tokens] == list(range(16))
    assert end.name == "end"
    assert end.data["tokens"] == len(expected)


@when("a caller books with one key at every daemon")
def when_book(context):
    async def action(deployment):
        outputs = []
        for name in deployment.daemons:
            async with deployment.client() as client:
                client.pin(f"{name}:1")
                answer = await client.call(
                    "/v1/services/hire-booking",
                    {"trailer": 7},
                    idempotency_key="key-1",
                )
                outputs.append(answer.unwrap()["output"])
        return outputs

    run_virtual(_with_deployment, context, action)


@then("every daemon gives the same answer")
def then_same(context):
    assert context.outcome == [{"booked": {"trailer": 7}}] * 3


@then("the booking ran once")
def then_ran_once(context):
    executions = context.deployment.servers["plain-1"].executions
    assert list(executions.values()) == [1]
