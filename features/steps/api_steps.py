"""Steps of what callers may send, over in-memory connections."""

from __future__ import annotations

from typing import Any

import orjson
from behave import then, when
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from cactusdyke.client import Client
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from features.support.deployment import Deployment, answers
from standins.fleet import CUSTOMER_TOKEN, OPERATOR_TOKEN, token_hash
from standins.virtual import run_virtual

PIPELINE = "/v1/pipelines/summary"
SERVICE = "/v1/services/hire-booking"
OTHER_TOKEN = "other-token"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def _post(
    path: str = PIPELINE, token: str = CUSTOMER_TOKEN, **headers: str
) -> dict[str, Any]:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    if token:
        named["authorization"] = f"Bearer {token}"
    return {"method": "POST", "path": path, "headers": named}


def _call(**fields: Any) -> dict[str, Any]:
    body = orjson.dumps({"input": 1, **fields})
    return {**_post(), "body": body}


GOOD = b'{"input": 1}'
REQUESTS = {
    "malformed JSON": {**_post(), "body": b'{"input": '},
    "a list in place of an object": {**_post(), "body": b"[1]"},
    "a body without input": {**_post(), "body": b"{}"},
    "an unknown field": _call(dealine_ms=5),
    "a text for stream": _call(stream="yes"),
    "a text for the deadline": _call(deadline_ms="soon"),
    "a deadline of zero": _call(deadline_ms=0),
    "a negative deadline": _call(deadline_ms=-5),
    "an absurd deadline": _call(deadline_ms=1e15),
    "a deadline that is no number": _call(deadline_ms=True),
    "no token": {**_post(token=""), "body": GOOD},
    "an unknown customer's token": {**_post(token="nobody's"), "body": GOOD},
    "an unknown pipeline": {**_post("/v1/pipelines/none"), "body": GOOD},
    "an unknown path": {**_post("/v2/none"), "body": GOOD},
    "a wrong method": {**_post(), "method": "DELETE"},
    "a booking without a key": {**_post(SERVICE), "body": GOOD},
    "a booking with an endless key": {
        **_post(SERVICE, idempotency_key="k" * 10_000),
        "body": GOOD,
    },
}


def _play(context, story):
    async def run():
        async with Deployment() as deployment:
            deployment.engine("encoder-1")
            deployment.engine("engine-1")
            deployment.plain("plain-1")
            await deployment.start_daemons(1)
            value = answers(deployment)
            first = value["customers"][0]
            hashes = [token_hash(OTHER_TOKEN)]
            other = {**first, "name": "depot", "token_hashes": hashes}
            value["customers"].append(other)
            await deployment.submit(value, submission="first")
            context.deployment = deployment
            network = deployment.hub.network("caller")

            async def send(**request):
                answer = await network.fetch(
                    "entry-1:1", Request(**request), CallOptions()
                )
                return answer.unwrap()

            await story(send)

    run_virtual(run)


@when("an api caller sends {what}")
def when_sends(context, what):
    async def story(send):
        context.answer = await send(**REQUESTS[what])

    _play(context, story)


@then("the api answers {status:d} {kind}, not run, with a remedy")
def then_refused(context, status, kind):
    assert context.answer.status == status, context.answer
    error = orjson.loads(context.answer.body)["error"]
    assert error["kind"] == kind, error
    assert error["ran"] == "not_run", error
    assert error["message"], error
    assert error["remedy"], error


@then("no backend server of the api deployment ran anything")
def then_nothing_ran(context):
    for server in context.deployment.servers.values():
        assert server.executions == {}
        assert server.counts["calls"] == 0


@when("two customers of the api book with the same key")
def when_two_book(context):
    async def story(send):
        context.booked = []
        context.found = []
        tokens = (CUSTOMER_TOKEN, OTHER_TOKEN)
        for number, token in enumerate(tokens):
            request = _post(SERVICE, token, idempotency_key="same")
            body = orjson.dumps({"input": {"trailer": number}})
            answer = await send(**request, body=body)
            context.booked.append(orjson.loads(answer.body)["output"])
        for token in tokens:
            request = {**_post("/v1/requests/same", token), "method": "GET"}
            context.found.append(orjson.loads((await send(**request)).body))

    _play(context, story)


@then("each api customer got its own booking")
def then_own(context):
    expected = [{"booked": {"trailer": number}} for number in range(2)]
    assert context.booked == expected, context.booked


@then("each api customer finds only its own under the key")
def then_finds_own(context):
    outputs = [found["output"] for found in context.found]
    assert outputs == context.booked, context.found


@when("an api caller with a trace runs the pipeline and books")
def when_traced(context):
    async def story(send):
        context.told = {}
        for name, server in context.deployment.servers.items():
            context.deployment.hub.listen(
                f"{name}:1", _noting(context, name, server), owner=name
            )
        for body in (GOOD, b'{"input": 1, "stream": true}'):
            answer = await send(**_post(traceparent=TRACEPARENT), body=body)
            assert answer.status == 200, answer
        request = _post(SERVICE, idempotency_key="k", traceparent=TRACEPARENT)
        assert (await send(**request, body=GOOD)).status == 200
        shown = _post(f"/v1/traces/{TRACE_ID}", OPERATOR_TOKEN)
        answer = await send(**{**shown, "method": "GET"})
        context.spans = orjson.loads(answer.body)["spans"]

    _play(context, story)


def _noting(context, name, server):
    async def handle(request):
        if request.path == "/v1/run":
            told = request.headers.get("traceparent", "")
            context.told.setdefault(name, []).append(told)
        return await server.routes.handle(request)

    return handle


@then("every backend server of the api deployment was told the caller's trace")
def then_told(context):
    assert set(context.told) == {"encoder-1", "engine-1", "plain-1"}
    for headers in context.told.values():
        assert all(header.split("-")[1] == TRACE_ID for header in headers)


@then("the span it was told is an attempt that the daemon shows")
def then_shown(context):
    names = {span["span_id"]: span["name"] for span in context.spans}
    for headers in context.told.values():
        for header in headers:
            assert names[header.split("-")[2]].startswith("attempt"), names


@when("a client with a tracer calls and streams through the api")
def when_client_traces(context):
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))

    async def story(send):
        client = Client(
            seeds=["entry-1:1"],
            token=CUSTOMER_TOKEN,
            network=context.deployment.hub.network("caller"),
            clock=context.deployment.hub.clock,
            tracer=provider.get_tracer("caller"),
        )
        async with client:
            (await client.call(PIPELINE, 1)).unwrap()
            events = [event async for event in client.stream("summary", 1)]
        assert events[-1].name == "end"
        context.pairs = []
        for span in exporter.get_finished_spans():
            trace_id = format(span.context.trace_id, "032x")
            shown = _post(f"/v1/traces/{trace_id}", OPERATOR_TOKEN)
            answer = await send(**{**shown, "method": "GET"})
            spans = orjson.loads(answer.body)["spans"]
            context.pairs.append((span, spans))

    _play(context, story)


@then("the api's daemon shows its request spans below the client's")
def then_below(context):
    names = [span.name for span, _ in context.pairs]
    assert names == ["call /v1/pipelines/summary", "stream summary"], names
    for span, spans in context.pairs:
        request = next(s for s in spans if s["name"] == "request summary")
        assert request["parent_id"] == format(span.context.span_id, "016x")
