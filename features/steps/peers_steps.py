"""Steps for the internal paths between daemons."""

from __future__ import annotations

import orjson
from behave import given, then, when

from cactusdyke.configuration.peers import HEAD_PATH
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from cactusdyke.transport.peer_guard import PEER_HEADER
from features.support.deployment import Deployment
from standins.virtual import run_virtual

UNAUTHORIZED = "stranger:1"


def _fetch(context, request):
    async def run():
        async with Deployment() as deployment:
            await deployment.start_daemons(context.daemon_count)
            await deployment.hub.clock.sleep(5_000)
            context.linger_ms = deployment.linger_ms
            network = deployment.hub.network("stranger")
            answer = await network.fetch("entry-1:1", request, CallOptions())
            context.answer = answer.unwrap()
            listed_answer = await network.fetch(
                "entry-1:1",
                Request(method="GET", path="/v1/addresses"),
                CallOptions(),
            )
            context.addresses = orjson.loads(listed_answer.unwrap().body)
            own = deployment.daemons["entry-2"].network
            real = await own.fetch("entry-1:1", request, CallOptions())
            context.with_token = real.unwrap().status

    run_virtual(run)


@given("a peers deployment of {count:d} daemons")
def given_deployment(context, count):
    context.daemon_count = count


@when("an unauthorized host posts gossip with itself as a daemon")
def when_gossip(context):
    async def capture():
        async with Deployment() as deployment:
            await deployment.start_daemons(2)
            seen = []
            app = deployment.daemons["entry-1"]

            async def handle(request):
                if request.path == GOSSIP_PATH:
                    seen.append(request)
                return await app.routes.handle(request)

            deployment.hub.listen("entry-1:1", handle, owner="entry-1")
            await deployment.hub.clock.sleep(5_000)
            return seen[0]

    # A real daemon's message with the unauthorized host's address.
    genuine = run_virtual(capture)
    body = genuine.body.replace(b"entry-2:1", UNAUTHORIZED.encode())
    body = body.replace(b"entry-2", b"entry-9")
    assert UNAUTHORIZED.encode() in body
    _fetch(context, Request(method="POST", path=GOSSIP_PATH, body=body))


@when(
    "an unauthorized host requests the configuration's head with a wrong token"
)
def when_head(context):
    _fetch(
        context,
        Request(method="GET", path=HEAD_PATH, headers={PEER_HEADER: "wrong"}),
    )


@then("the unauthorized host is refused as forbidden")
def then_forbidden(context):
    assert context.answer.status == 403, context.answer
    error = orjson.loads(context.answer.body)["error"]
    assert error["kind"] == "forbidden"
    assert context.with_token != 403


@then("no caller is given the address of the unauthorized host")
def then_not_given(context):
    listed = [a["address"] for a in context.addresses["addresses"]]
    assert sorted(listed) == ["entry-1:1", "entry-2:1", "entry-3:1"]


@then("its addresses are valid for less than the linger of a stop")
def then_short(context):
    _fetch(context, Request(method="GET", path="/health"))
    assert 0 < context.addresses["lifetime_ms"] < context.linger_ms
