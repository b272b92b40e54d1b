"""Steps for admission: order, shedding and fairness."""

from __future__ import annotations

import random
from typing import Any

import anyio
import attrs
import orjson
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as with_values
from hypothesis import strategies as st

from bench.naive.sorted_queue import SortedQueue
from bench.serving import case_b_burst, case_f_greedy_customer
from cactusdyke.clock import EventLoopClock
from cactusdyke.configuration import model
from cactusdyke.limits.admission import Admission
from cactusdyke.limits.fair_admission import FairAdmission
from cactusdyke.limits.fair_queue import FairQueue
from cactusdyke.limits.pool_limits import PoolLimits
from cactusdyke.pipeline.request import RequestContext
from cactusdyke.pipeline.timings import Timings
from cactusdyke.routing.router import Router
from cactusdyke.transport.messages import Request
from features.support.deployment import Deployment, answers
from standins.fleet import CUSTOMER_TOKEN
from standins.virtual import run_virtual

SERVICE_MS = 100.0
DEADLINE_MS = 3_000.0


def _pool(name: str) -> model.Pool:
    server = model.BackendServer(
        name=f"{name}-1", address=f"{name}-1:1", data_centre="here", slots=1
    )
    return model.Pool(
        name=name, kind=model.PoolKind.ENGINE, backend_servers=(server,)
    )


def _pipeline(name: str, pool: str, priority: int = 0) -> model.Pipeline:
    stage = model.Stage(name="stage", pool=pool, expected_ms=SERVICE_MS)
    return model.Pipeline(
        name=name, stages=(stage,), deadline_ms=DEADLINE_MS, priority=priority
    )


CONFIGURATION = model.Configuration(
    revision=1,
    pools={name: _pool(name) for name in ("engine", "retriever")},
)


@attrs.define
class AdmissionRun:
    """An admission, and the outcome of each request in order."""

    clock: Any
    pools: PoolLimits
    admission: FairAdmission
    ended: list[tuple[str, str, float]] = attrs.field(factory=list)

    async def request(
        self,
        customer: str,
        pipeline: model.Pipeline,
        hold: bool = True,
        hold_ms: float = SERVICE_MS,
    ) -> None:
        context = RequestContext(
            request_id=customer,
            customer=model.Customer(
                name=customer,
                token_hashes=(),
                requests_per_second=1.0,
                burst=1.0,
            ),
            configuration=CONFIGURATION,
            arrived=self.clock.now(),
            deadline=self.clock.now() + pipeline.deadline_ms,
            span=None,  # type: ignore[arg-type]
            idempotency_key=None,
            input=None,
        )
        async with self.admission.enter(context, pipeline) as permit:
            kind = "served" if permit.is_ok() else "refused"
            self.ended.append((customer, kind, self.clock.now()))
            if permit.is_ok() and hold:
                await self.clock.sleep(hold_ms)

    def customers_of(self, kind: str) -> list[str]:
        return [name for name, outcome, _ in self.ended if outcome == kind]


def _run(context: Any, script: Any) -> AdmissionRun:
    async def run() -> AdmissionRun:
        clock = EventLoopClock()
        rng = random.Random(0)
        pools = PoolLimits(
            clock=clock,
            rng=rng,
            timings=Timings(clock=clock),
            router=Router(clock=clock, rng=rng),
            daemons=lambda: 1,
        )
        admission = FairAdmission(clock=clock, rng=rng, pool_limits=pools)
        bench = AdmissionRun(clock, pools, admission)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(admission.run)
            await script(bench)
            tasks.cancel_scope.cancel()
        return bench

    return run_virtual(run)


@when("the admission bench runs its burst in its tiny size")
def when_burst(context):
    context.rows = {
        row["column"]: row for row in case_b_burst.run_case(tiny=True)
    }


@then("no request was late and every refusal was correct with a retry time")
def then_correct(context):
    row = context.rows["project"]
    assert row["late"] == 0
    assert row["refused overloaded"] > 0
    assert row["false not_run"] == 0
    assert row["refused without retry_after"] == 0


@then("half of the refusals were sent within {most:d} ms")
def then_soon(context, most):
    row = context.rows["project"]
    assert row["refused after ms, median"] <= most, row


@then("the naive admission answered late or not at all")
def then_naive_late(context):
    naive, project = context.rows["naive"], context.rows["project"]
    assert naive["attainment"] < project["attainment"]


@when("the admission bench runs its greedy customer in its tiny size")
def when_greedy(context):
    context.rows = {
        row["column"]: row for row in case_f_greedy_customer.run_case(tiny=True)
    }


@then("the others keep full attainment with the project's admission")
def then_nothing_lost(context):
    row = context.rows["project"]
    assert row["others attainment"] == 1.0, row


@then("the others lose attainment with the naive admission")
def then_naive_below(context):
    assert context.rows["naive"]["others attainment"] < 0.9


@given("an admission for one request at a time")
def given_admission(context):
    context.run_script = lambda script: _run(context, script)


@when('"large" has {count:d} requests waiting and "small" sends one')
def when_small(context, count):
    async def script(bench):
        pipeline = _pipeline("summary", "engine")
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(bench.request, "large", pipeline)
            await bench.clock.sleep(10.0)
            tasks.start_soon(bench.request, "small", pipeline)

    context.bench = context.run_script(script)


@then('"small" is served after at most {most:d} requests of "large"')
def then_served_soon(context, most):
    served = context.bench.customers_of("served")
    assert served.index("small") <= most, served


@when(
    "{low_count:d} requests of priority 0 wait and then {high_count:d} of"
    " priority 5"
)
def when_priorities(context, low_count, high_count):
    async def script(bench):
        low = _pipeline("report", "engine")
        high = _pipeline("summary", "engine", priority=5)
        async with anyio.create_task_group() as tasks:
            for _ in range(low_count):
                tasks.start_soon(bench.request, "low", low)
            await bench.clock.sleep(10.0)
            for _ in range(high_count):
                tasks.start_soon(bench.request, "high", high)

    context.bench = context.run_script(script)


@then("every request of priority 5 that could end in time was served first")
def then_high_first(context):
    served = context.bench.customers_of("served")
    first_low = served[1:].index("low") if "low" in served[1:] else len(served)
    assert served.count("high") >= 10
    assert all(name == "low" for name in served[1 + first_low :]), served


@then("only requests of priority 0 were refused before the others began")
def then_low_refused(context):
    refused = context.bench.customers_of("refused")
    assert refused.count("low") > refused.count("high"), refused


@when("{count:d} callers wait and all of them disconnect")
def when_leave(context, count):
    async def script(bench):
        pipeline = _pipeline("summary", "engine")
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(bench.request, "large", pipeline)
            await bench.clock.sleep(150.0)
            tasks.cancel_scope.cancel()
        context.in_use = (bench.admission.waiting, bench.pools.used("engine"))
        began = bench.clock.now()
        await bench.request("small", pipeline, hold=False)
        context.next_waited = bench.clock.now() - began

    context.bench = context.run_script(script)


@then("the admission has no queue entry and no permit in use")
def then_all_released(context):
    assert context.in_use == (0, 0.0), context.in_use


@then("the next request is admitted at once")
def then_next(context):
    assert context.bench.ended[-1][:2] == ("small", "served")
    assert context.next_waited == 0.0


@when('"large" has {count:d} requests waiting and a lookup needs another pool')
def when_lookup(context, count):
    async def script(bench):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(
                    bench.request, "large", _pipeline("summary", "engine")
                )
            await bench.clock.sleep(10.0)
            began = bench.clock.now()
            await bench.request(
                "large", _pipeline("lookup", "retriever"), hold=False
            )
            context.next_waited = bench.clock.now() - began
            tasks.cancel_scope.cancel()

    context.bench = context.run_script(script)


@then("the lookup is admitted at once")
def then_lookup(context):
    assert context.bench.customers_of("served") == ["large", "large"]
    assert context.next_waited == 0.0


@given("an admission deployment of one daemon")
def given_deployment(context):
    context.daemon_count = 1


@when("a caller disconnects before it reads its stream")
def when_unread(context):
    async def run():
        async with Deployment() as deployment:
            deployment.engine("engine-1")
            await deployment.start_daemons(context.daemon_count)
            await deployment.submit(answers(deployment), submission="first")
            daemon = deployment.daemons["entry-1"]
            admission = daemon.service("admission", Admission)
            used = []
            async with deployment.client() as client:
                stream = client.stream("summary", {"plan": 1})
                await anext(stream)
                used.append(admission.used("engine"))
                await stream.aclose()
            await deployment.hub.clock.sleep(1_000.0)
            for _ in range(3):
                response = await daemon.routes.handle(_stream_request())
                used.append(admission.used("engine"))
                await response.body.aclose()
            used.append(admission.used("engine"))
            return used

    context.used = run_virtual(run)


def _stream_request() -> Any:
    return Request(
        method="POST",
        path="/v1/pipelines/summary",
        headers={"authorization": f"Bearer {CUSTOMER_TOKEN}"},
        body=orjson.dumps({"input": {"plan": 1}, "stream": True}),
    )


@then("the daemon of the admission has no permit in use")
def then_no_permit(context):
    *while_open, after = context.used
    assert min(while_open) > 0.0, context.used
    assert after == 0.0, context.used


_actions = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"),
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from([0.5, 1.0, 4.0]),
            st.sampled_from([1.0, 3.0]),
            st.integers(0, 1),
        ),
        st.tuples(st.just("serve"), st.integers(0, 3)),
        st.tuples(st.just("drop"), st.integers(0, 9)),
    ),
    max_size=60,
)


@when("the fair queue and a sorted one are compared over {count:d} sequences")
def when_compared(context, count):
    context.compared = 0

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(HealthCheck),
    )
    @with_values(_actions)
    def compare(actions):
        _compare(actions)
        context.compared += 1

    compare()


def _compare(actions: list[Any]) -> None:
    fair: FairQueue[int] = FairQueue()
    plain = SortedQueue()
    for number, action in enumerate(actions):
        if action[0] == "add":
            _, customer, share, cost, priority = action
            options = {
                "customer": customer,
                "share": share,
                "cost": cost,
                "priority": priority,
            }
            fair.add(number, **options)
            plain.add(number, **options)
        else:
            tickets = list(fair)
            if not tickets:
                continue
            ticket = tickets[min(action[1], len(tickets) - 1)]
            served = action[0] == "serve"
            (fair.serve if served else fair.drop)(ticket)
            plain.take(ticket.item, served=served)
        assert [ticket.item for ticket in fair] == plain.order()


@then("the two queue orders never differ")
def then_never_differ(context):
    assert context.compared >= 100


@when("the only permit is held indefinitely and {count:d} requests wait")
def when_held(context, count):
    pipeline = _pipeline("held", "engine")

    async def script(bench):
        async with anyio.create_task_group() as tasks:
            holder = bench.request("holder", pipeline, hold_ms=60_000.0)
            tasks.start_soon(lambda: holder)
            await bench.clock.sleep(1)
            for number in range(count):
                tasks.start_soon(bench.request, f"waiter-{number}", pipeline)
            await bench.clock.sleep(DEADLINE_MS)
            tasks.cancel_scope.cancel()

    context.bench = _run(context, script)


@then("the one at the end is refused {least:d} ms before the first of them")
def then_refused_before(context, least):
    refused = {
        n: at for n, outcome, at in context.bench.ended if outcome == "refused"
    }
    assert len(refused) > 1, context.bench.ended
    ends = list(refused.values())
    assert max(ends) - min(ends) >= least, refused
