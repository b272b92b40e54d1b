"""Steps on the shares of customers under overload."""

from __future__ import annotations

import contextlib
import json
import math
from functools import partial
from unittest import mock

import anyio
import attrs
import eliot
import eliot.testing
import prometheus_client
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cactusdyke import events
from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving import customer_metrics, customer_shares
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.customer_shares import (
    FLOOR,
    CustomerShares,
    Demand,
    fair_shares,
)
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch_messages import decode_work, encode_work
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.model import Customer
from cactusdyke.serving.request_log import RequestLog
from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
from cactusdyke.serving.stream_state import StreamState
from features.steps.daemon_steps import deployment_with_stage
from features.steps.deciders_steps import _work
from features.steps.serving_steps import ManualClock, route
from features.support import serving_values as values
from features.support.share_load import CAPACITY, Play, arrivals
from standins.virtual import run_virtual

END_MS = 20_000.0
LEARNT_MS = 2_000.0
SEED = 1
ONE = "c00"


@given("{count:d} customers that request {part:g} of an equal share each")
def customers(context, count, part):
    context.share = CAPACITY / count
    names = [f"c{n:02}" for n in range(1, count)]
    context.rates = dict.fromkeys(names, part * context.share)
    context.load = arrivals(context.rates, end_ms=END_MS, seed=SEED)
    context.count_from = LEARNT_MS


def add_one(context, times, **changes):
    """Adds the work of a further customer; returns all work."""
    rates = {ONE: times * context.share}
    one = arrivals(rates, end_ms=END_MS, seed=SEED + 100, **changes)
    return sorted(context.load + one, key=lambda arrival: arrival.at)


def play(context, load, **changes):
    return Play(**changes).run(load, count_from=context.count_from)


@when("one of them requests {times} times its share, from the first request on")
def overload(context, times):
    load = add_one(context, {"ten": 10, "four": 4}[times])
    context.ours = play(context, load)
    context.naive = play(context, load, named=False)


@when("one of them requests ten times its share and the decider is lost")
def lose_decider(context):
    context.count_from = END_MS / 2 + LEARNT_MS
    context.ours = play(context, add_one(context, 10), lost_at=END_MS / 2)


def kept(context, played):
    """Returns the least part that a customer keeps of what it had alone."""
    alone = play(context, context.load)
    return min(played.served[c] / alone.served[c] for c in context.rates)


@then("each of the others keeps 0.9 of what it had alone, after two seconds")
def check_kept(context):
    assert context.ours.overloaded
    assert kept(context, context.ours) >= 0.9, kept(context, context.ours)


@then("without shares one of them keeps less than 0.7")
def check_naive(context):
    assert kept(context, context.naive) < 0.7, kept(context, context.naive)


def kept_together(context, played):
    """Returns the part that the customers keep of what they had alone."""
    alone = play(context, context.load)
    served = sum(played.served[customer] for customer in context.rates)
    return served / sum(alone.served[customer] for customer in context.rates)


@then("the others together keep 0.9 of what they had alone")
def check_kept_together(context):
    part = kept_together(context, context.ours)
    assert part >= 0.9, part


@then("without shares they keep less than 0.7")
def check_naive_together(context):
    part = kept_together(context, context.naive)
    assert part < 0.7, part


@then("the calls are the same as without shares")
def check_same(context):
    assert not context.ours.overloaded
    assert context.ours.order == context.naive.order


@when("one of them has a weight of {weight:g}")
def weigh(context, weight):
    context.weights = {ONE: weight}
    times = context.rates["c01"] / context.share
    context.heavy = add_one(context, times)
    context.ours = play(context, context.heavy, weights=context.weights)


def floor_part(context, played):
    """Returns how much of an equal share a customer was served."""
    return played.pieces[ONE] / (context.share * (END_MS - LEARNT_MS))


@then("it is served a quarter of an equal share")
def check_floor(context):
    part = floor_part(context, context.ours)
    assert part >= 0.9 * FLOOR, part


@then("without the floor it is served less than half of that")
def check_without_floor(context):
    with mock.patch.object(customer_shares, "FLOOR", 0.0):
        played = play(context, context.heavy, weights=context.weights)
    part = floor_part(context, played)
    assert part < FLOOR / 2, part


@then("nothing waits longer than three seconds")
def check_wait(context):
    wait_ms = context.ours.longest_wait_ms
    assert wait_ms <= 3_000.0, wait_ms


@then("it is served 1.7 to 2.3 times as much as the others")
def check_weight(context):
    pieces = context.ours.pieces
    mean = sum(pieces[name] for name in context.rates) / len(context.rates)
    assert 1.7 <= pieces[ONE] / mean <= 2.3, pieces


@when("half of the work arrives without a customer")
def half_unknown(context):
    load = [
        attrs.evolve(arrival, customer="") if number % 2 else arrival
        for number, arrival in enumerate(context.load)
    ]
    context.ours = play(context, load)


@then("it is served 0.4 to 0.6 of all pieces")
def check_unknown(context):
    assert context.ours.overloaded
    part = context.ours.pieces[""] / context.ours.pieces.total()
    assert 0.4 <= part <= 0.6, part


@when("one of them requests ten times its share at a lower priority")
def lower_priority(context):
    context.ours = play(context, add_one(context, 10, priority=1))


@then("the urgent requests of each customer are served as without the others")
def check_urgent(context):
    assert kept(context, context.ours) >= 0.99, kept(context, context.ours)


def demands():
    rate = st.floats(0.001, 100.0)
    weight = st.floats(0.01, 50.0)
    one = st.builds(Demand, rate=rate, weight=weight)
    return st.lists(one, min_size=2, max_size=30)


@when("fair shares of random demands and weights are computed")
def compute_shares(context):
    context.results = []

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @drawn(demands(), st.floats(0.05, 0.99))
    def compute(found, part):
        capacity = part * sum(demand.rate for demand in found)
        context.results.append((found, capacity, fair_shares(found, capacity)))

    compute()


@then("the used shares add up to the capacity")
def check_sum(context):
    for found, capacity, shares in context.results:
        used = sum(min(d.rate, s) for d, s in zip(found, shares, strict=True))
        assert math.isclose(used, capacity, rel_tol=1e-6), (found, capacity)


@then("nobody with enough demand gets less than the floor")
def check_floors(context):
    for found, capacity, shares in context.results:
        floor = FLOOR * capacity / len(found)
        assert min(shares) >= floor * (1 - 1e-9), (found, shares)


@then("no share is more per weight than another unless by the floor")
def check_fair(context):
    for found, capacity, shares in context.results:
        floor = FLOOR * capacity / len(found)
        levels = [
            share / demand.weight
            for demand, share in zip(found, shares, strict=True)
            if share > floor * (1 + 1e-9)
        ]
        assert max(levels) <= min(levels) * (1 + 1e-6), (found, shares)


@when("a message of stage work has the customer {value}")
def message(context, value):
    body = encode_work(attrs.evolve(_work("a/0"), customer="a"))
    if value == "absent":
        del body["customer"]
    else:
        body["customer"] = json.loads(value)
    context.work = decode_work(body)


@then("its customer is {read}")
def check_read(context, read):
    assert context.work.customer == ("" if read == "empty" else read)


@when("5000 customers request work, with weights of 0, -1, nan and inf")
def many(context):
    clock = ManualClock()
    context.shares = CustomerShares(clock=clock)
    weights = (0.0, -1.0, math.nan, math.inf)
    for number in range(5_000):
        clock.ms += 0.1
        context.shares.record_contention()
        if context.shares.update_due:
            context.shares.update(0.1)
        context.shares.admit(
            f"c{number}", weight=weights[number % 4], priority=0, pieces=1
        )


@then("at most 1025 are held, and all shares are finite and above 0")
def check_many(context):
    assert context.shares.overloaded
    context.shares.update(0.1)
    accounts = context.shares._levels[0].accounts
    assert 1_000 < len(accounts) <= 1_025, len(accounts)
    assert all(0.0 < a.share < math.inf for a in accounts.values())


@when("a decider gets work of a customer with weight 3 and of an unknown one")
def weights_of(context):
    context.weights = {}

    async def run():
        deployment = deployment_with_stage()
        customer = Customer(name="a", api_keys=frozenset(), weight=3.0)
        changed = attrs.evolve(
            deployment.configuration, version=9, customers=(customer,)
        )
        deployment.apply(changed, source="test")
        decider = Decider(
            clock=EventLoopClock(),
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=values.NoConnections(),
            tracing=Tracing(daemon="d1"),
            request_limits=values.request_limits(EventLoopClock(), deployment),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(decider.run)
            await anyio.sleep(0.01)
            for name in ("a", "b"):
                work = attrs.evolve(_work(name), service="stage", customer=name)
                tasks.start_soon(
                    partial(decider.compute_work, work, pinned=False)
                )
            await anyio.sleep(0.01)
            for known in decider._groups.values():
                group = known.group
                context.weights[group.customer] = group.weight
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("their groups have weights 3 and 1")
def check_weights(context):
    assert context.weights == {"a": 3.0, "b": 1.0}, context.weights


@contextlib.contextmanager
def logged(context):
    """Keeps the log events of a block in `context.lines`."""
    logger = eliot.MemoryLogger()
    before = eliot.testing.swap_logger(logger)
    try:
        yield
    finally:
        eliot.testing.swap_logger(before)
    context.lines = logger.messages


def lines_of(context, event):
    kind = f"{event.code}:{event.name.lower()}"
    return [m for m in context.lines if m["message_type"] == kind]


@given("a batcher whose service is overloaded by one of two customers")
def overloaded_batcher(context):
    def batcher(tasks):
        deployment = deployment_with_stage()
        return StageBatcher(
            service="stage",
            spec=deployment.service("stage").batching,
            clock=EventLoopClock(),
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=values.NoConnections(),
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=values.request_limits(EventLoopClock(), deployment),
        )

    context.batcher = batcher


def piece_of(customer):
    """Returns one piece of a request that arrives now."""
    now = EventLoopClock().now()
    one = PieceGroup(
        objective_at=now + 400.0,
        deadline_at=now + 4_000.0,
        priority=0,
        result_bytes=1.0,
        customer=customer,
    )
    piece = Piece(request_id="r", stage=0, number=0)
    one.tasks = [PieceTask(piece=piece, group=one)]
    return one


@when("work arrives for half a second")
def half_a_second(context):
    async def run():
        async with anyio.create_task_group() as tasks:
            batcher = context.batcher(tasks)
            for number in range(100):
                one = piece_of("small" if number % 20 == 0 else "large")
                tasks.start_soon(partial(batcher.run, one, may_refuse=False))
                await anyio.sleep(0.005)
            context.further = await batcher.run(
                piece_of("large"), may_refuse=True
            )
            tasks.cancel_scope.cancel()

    with logged(context):
        run_virtual(run)


@then("one line names the customer above its share, with demand and share")
def check_one_line(context):
    (line,) = lines_of(context, events.Event.SHARES_CHANGED)
    assert line["enforced"] is True
    ((customer, demand, share),) = line["above"]
    assert customer == "large"
    assert demand > 2 * share > 0, line


@then("further work of that customer is refused at once for that reason")
def check_refused_at_once(context):
    failure = context.further.err_value
    assert failure.kind is FailureKind.OVERLOADED
    assert "exceeds its share" in failure.detail, failure
    assert failure.retry_after_ms > 0


FINAL_LINES = {
    "on time": events.Event.REQUEST_ANSWERED,
    "late": events.Event.REQUEST_ANSWERED,
    "refused": events.Event.REQUEST_FAILED,
    "broken": events.Event.REQUEST_FAILED,
    "left": events.Event.REQUEST_LEFT,
    "cut": events.Event.REQUEST_CUT,
}
FAILURES = {
    "refused": FailureKind.OVERLOADED,
    "broken": FailureKind.OUTCOME_UNKNOWN,
}


def end_request(context, customer, end):
    """Ends a request of a customer in a request log."""
    one = values.serving_context(route("a"))
    one.customer = Customer(name=customer, api_keys=frozenset())
    first_at = 1e6 if end == "late" else 100.0
    state = StreamState(first_event_at=first_at)
    if end in FAILURES:
        failure = Failure(kind=FAILURES[end], detail="d")
        context.log.failed(failure, "r", one, state)
    elif end == "left":
        context.log.caller_left(one, state)
    elif end == "cut":
        context.log.cut_by_stop(one, state)
    else:
        context.log.answered(one, state)


def make_log(context):
    context.registry = prometheus_client.CollectorRegistry()
    context.log = RequestLog(
        clock=ManualClock(),
        deployment=deployment_with_stage(),
        metrics=ServingMetrics(context.registry),
    )


def counted(context):
    """Returns the requests by customer and outcome."""
    return {
        (sample.labels["customer"], sample.labels["outcome"]): sample.value
        for metric in context.registry.collect()
        for sample in metric.samples
        if sample.name == "cactusdyke_customer_requests_total"
    }


@when('a request of customer "a" ends as {end}')
def request_ends(context, end):
    make_log(context)
    context.end = end
    with logged(context):
        end_request(context, "a", end)


@then('the final log line names "a"')
def check_final_line(context):
    (line,) = lines_of(context, FINAL_LINES[context.end])
    assert line["customer"] == "a", line


@then("the customer's counter has one request that is {outcome}")
def check_counter(context, outcome):
    assert counted(context) == {("a", outcome): 1.0}, counted(context)


@when("requests of 300 customers end")
def many_requests(context):
    make_log(context)
    with logged(context):
        for number in range(300):
            end_request(context, f"c{number}", "on time")


@then("256 have a counter, and the other 44 requests are counted together")
def check_aggregated(context):
    found = counted(context)
    assert len(found) == 257, len(found)
    assert found[customer_metrics.OTHERS, "served"] == 44.0
