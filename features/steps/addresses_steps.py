"""Steps of the address question and of lists that are corrected lazily."""

from __future__ import annotations

import collections
from typing import Any

import anyio
import orjson
from behave import given, then, when

from bench.serving import case_i_customer_subsets
from cactusdyke.limits import subsets
from cactusdyke.limits.account import Account, QuotaRequest
from cactusdyke.limits.fleet import Daemon
from cactusdyke.limits.subsets import SMALLEST_SUBSET
from cactusdyke.transport import address_list
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from features.support.deployment import Deployment, answers
from standins.fleet import CUSTOMER_TOKEN, token_hash
from standins.virtual import run_virtual

LIMIT = 10


def _play(context: Any, story: Any) -> None:
    async def run() -> None:
        async with Deployment() as deployment:
            for number in range(4):
                deployment.engine(f"engine-{number}", slots=32)
            await deployment.start_daemons(context.daemon_count)
            # Twelve daemons hear of each other within a few rounds.
            await deployment.hub.clock.sleep(8_000)
            value = answers(deployment)
            if context.limit:
                value["customers"] = [
                    {
                        "name": "road-crews",
                        "token_hashes": [token_hash(CUSTOMER_TOKEN)],
                        "requests_per_second": context.limit,
                        "burst": context.limit,
                    }
                ]
            await deployment.submit(value, submission="first")
            await story(deployment)

    run_virtual(run)


def _request() -> Request:
    return Request(
        method="POST",
        path="/v1/pipelines/summary",
        headers={"authorization": f"Bearer {CUSTOMER_TOKEN}"},
        body=orjson.dumps({"input": {"plan": 1}}),
    )


def _count_calls(deployment: Deployment) -> collections.Counter[str]:
    calls: collections.Counter[str] = collections.Counter()
    for name, daemon in deployment.daemons.items():

        async def handle(request, name=name, daemon=daemon):
            # Gossip arrives here too and must leave no entry behind.
            if request.path.startswith("/v1/pipelines"):
                calls[name] += 1
            return await daemon.routes.handle(request)

        deployment.hub.listen(f"{name}:1", handle, owner=name)
    return calls


async def _listed(deployment: Deployment) -> list[str]:
    async with deployment.client() as client:
        return [a.split(":")[0] for a in await client.addresses()]


@given("an addresses deployment of {count:d} daemons")
def given_deployment(context, count):
    context.daemon_count = count
    context.limit = 0


@when("a caller holds only the address of a daemon outside its list")
def when_wrong(context):
    async def story(deployment):
        context.listed = await _listed(deployment)
        wrong = next(n for n in deployment.daemons if n not in context.listed)
        context.calls = _count_calls(deployment)
        async with deployment.client() as client:
            client._addresses = (f"{wrong}:1",)
            client._valid_until = deployment.hub.clock.now() + 1_000_000.0
            context.first = await client.call("/v1/pipelines/summary", 1)
            context.calls.clear()
            for _ in range(10):
                (await client.call("/v1/pipelines/summary", 1)).unwrap()

    _play(context, story)


@then("its request is answered")
def then_answered(context):
    assert context.first.is_ok(), context.first


@then("from then on it calls only daemons of its list")
def then_only_listed(context):
    assert len(context.listed) == SMALLEST_SUBSET
    assert context.calls
    assert set(context.calls) <= set(context.listed), context.calls


@when("a caller that has asked for addresses sends {count:d} requests")
def when_right(context, count):
    async def story(deployment):
        network = deployment.hub.network("caller")
        listed = await _listed(deployment)
        context.told = []
        for name in listed[:count]:
            answer = await network.fetch(f"{name}:1", _request(), CallOptions())
            told = address_list.from_headers(answer.unwrap().headers)
            context.told.append(told)
        wrong = next(n for n in deployment.daemons if n not in listed)
        answer = await network.fetch(f"{wrong}:1", _request(), CallOptions())
        context.told_by_wrong = address_list.from_headers(
            answer.unwrap().headers
        )

    _play(context, story)


@then("no answer names addresses again")
def then_untold(context):
    assert context.told == [None] * 5, context.told
    assert context.told_by_wrong is not None


@when("a caller sends {rate:d} requests a second for {seconds:d} seconds")
def when_grows(context, rate, seconds):
    async def story(deployment):
        context.calls = _count_calls(deployment)
        context.answers = []
        async with (
            deployment.client() as client,
            anyio.create_task_group() as tasks,
        ):

            async def call():
                answer = await client.call("/v1/pipelines/summary", 1)
                context.answers.append(answer.is_ok())

            for _ in range(rate * seconds):
                tasks.start_soon(call)
                await deployment.hub.clock.sleep(1_000 / rate)

    _play(context, story)


@then("its requests reach more than {count:d} daemons")
def then_reach(context, count):
    assert sum(n > 0 for n in context.calls.values()) > count, context.calls


@then("none of its requests failed")
def then_none_failed(context):
    assert context.answers
    assert all(context.answers)


@given("an addresses account of a customer with {rate:d} requests a second")
def given_account(context, rate):
    context.account = Account(rate=rate, burst=rate, now=0.0)


def _ask_until(context: Any, demand: float, since: float, until: float) -> None:
    for second in range(int(since), int(until) + 1):
        ask = QuotaRequest(customer="customer", waiting=1, demand=demand)
        context.account.grant("entry-1", ask, second * 1_000.0, daemons=100)


@when(
    "its demand is {high:d} a second, and then {low:d} for {seconds:d} seconds"
)
def when_swings(context, high, low, seconds):
    _ask_until(context, high, 1, 9)
    context.grown = context.account.size
    _ask_until(context, low, 10, 10 + seconds)
    context.kept = context.account.size


@then("its list is as large as before")
def then_kept(context):
    assert context.grown > 30, context.grown
    assert context.kept == context.grown


@then("after {seconds:d} more seconds it is the smallest")
def then_smallest(context, seconds):
    _ask_until(context, 2, 70, 69 + seconds)
    assert context.account.size == SMALLEST_SUBSET, context.account.size


@when("the addresses bench compares the ways to place customers")
def when_bench(context):
    rows = case_i_customer_subsets.run_case(tiny=True)
    context.rows = {row["column"]: row for row in rows}


@then("loans refuse fewer below the limit than equal shares do")
def then_fewer(context):
    refused = {n: r["below limit, refused"] for n, r in context.rows.items()}
    assert refused["loans, growing 6"] < refused["equal shares, 6"], refused
    assert refused["loans, all"] < refused["equal shares, all"], refused


@then("the bench says messages, warm prefixes and load for each way")
def then_columns(context):
    for row in context.rows.values():
        assert 0 <= row["warm prefix"] <= 1
        assert row["busiest daemon/mean"] >= 1
        assert row["messages/s/daemon"] >= 0


@given(
    "an addresses fleet of {count:d} daemons, {places:d} data centres,"
    " {regions:d} regions"
)
def given_fleet(context, count, places, regions):
    context.fleet = [
        Daemon(
            name=f"entry-{i}",
            address=f"entry-{i}:1",
            data_centre=f"data-centre-{i % places}",
            region=f"region-{i % places % regions}",
        )
        for i in range(count)
    ]


@when("the lists of {count:d} customers are computed")
def when_lists(context, count):
    names = [f"customer-{i}" for i in range(count)]
    context.orders = {n: subsets.rank_daemons(n, context.fleet) for n in names}


@then(
    "no data centre holds more than {in_one:d} and no region more than"
    " {in_region:d} of a list"
)
def then_spread(context, in_one, in_region):
    for order in context.orders.values():
        first = order[:SMALLEST_SUBSET]
        places = collections.Counter(d.data_centre for d in first)
        regions = collections.Counter(d.region for d in first)
        assert max(places.values()) <= in_one
        assert max(regions.values()) <= in_region


@then("a larger list begins with the smaller one")
def then_prefix(context):
    for order in context.orders.values():
        assert len(set(order)) == len(context.fleet)


@then("without a daemon only the lists that held it change, by one address")
def then_stable(context):
    gone = context.fleet[17]
    left = [daemon for daemon in context.fleet if daemon is not gone]
    held = 0
    for name, order in context.orders.items():
        before = set(order[:SMALLEST_SUBSET])
        after = set(subsets.rank_daemons(name, left)[:SMALLEST_SUBSET])
        if gone in before:
            held += 1
            assert len(before - after) <= 2, (before, after)
        else:
            assert before == after
    assert held > 0


@when(
    "the store goes down and a caller sends 3 times its limit for"
    " {seconds:d} seconds"
)
def when_store_down(context, seconds):
    context.limit = LIMIT
    context.seconds = seconds

    async def story(deployment):
        deployment.store.faults["down"] = True
        await deployment.hub.clock.sleep(60_000)
        network = deployment.hub.network("caller")
        context.statuses = collections.Counter()

        async def send(name):
            answer = await network.fetch(f"{name}:1", _request(), CallOptions())
            context.statuses[answer.unwrap().status] += 1

        names = list(deployment.daemons)
        async with anyio.create_task_group() as tasks:
            for number in range(3 * LIMIT * seconds):
                tasks.start_soon(send, names[number % len(names)])
                await deployment.hub.clock.sleep(1_000 / (3 * LIMIT))

    _play(context, story)


@then("it gets its limit and burst and no more")
def then_limit(context):
    expected = LIMIT * context.seconds
    assert set(context.statuses) == {200, 429}, context.statuses
    assert 0.9 * expected <= context.statuses[200] <= expected + 3 * LIMIT


@when("its limit's owner dies while callers send half of their limit")
def when_owner_dies(context):
    context.limit = LIMIT
    context.outcomes = []

    async def story(deployment):
        owner, *others = await _listed(deployment)
        network = deployment.hub.network("caller")
        rate = LIMIT / 2

        async def send(name):
            answer = await network.fetch(f"{name}:1", _request(), CallOptions())
            status = answer.unwrap().status
            context.outcomes.append((deployment.hub.clock.now(), status))

        async with anyio.create_task_group() as tasks:
            for number in range(int(60 * rate)):
                if number == 20 * rate:
                    deployment.kill_daemon(owner)
                tasks.start_soon(send, others[number % len(others)])
                await deployment.hub.clock.sleep(1_000 / rate)

    _play(context, story)


@then(
    "at most {percent:d} percent were refused, and never for longer than"
    " {most:d} ms"
)
def then_rarely(context, percent, most):
    statuses = collections.Counter(status for _, status in context.outcomes)
    assert set(statuses) <= {200, 429}, statuses
    assert statuses[429] <= len(context.outcomes) * percent / 100, statuses
    since = None
    for at, status in sorted(context.outcomes):
        since = None if status == 200 else since or at
        assert since is None or at - since <= most, (since, at)
