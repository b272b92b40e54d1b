"""Steps of stragglers, retries, leaving backend servers and streams."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke.errors import FailureKind, Ran
from cactusdyke.pipeline.runner import PipelineRunner
from features.support.request_rig import DAEMON, TOKENS, RequestRig
from standins.virtual import run_virtual

WARM_UP = 60


@given("a pool of {count:d} engines")
def given_pool(context, count):
    context.pools = {"engine": count}
    context.actions = []
    context.rig = None


@given("requests have succeeded for a while")
def given_warm(context):
    async def warm(rig, seen):
        for _ in range(WARM_UP):
            await rig.request("whole")

    context.actions.append(warm)


@given("streams have succeeded for a while")
def given_streams_warm(context):
    async def warm(rig, seen):
        for _ in range(WARM_UP):
            await rig.request("stream")

    context.actions.append(warm)


@given("the budget of retries is spent")
def given_no_retries(context):
    _set_retries(context, 0)


@given("the budget has {count:d} retries")
def given_retries(context, count):
    _set_retries(context, count)


def _set_retries(context, count):
    async def spend(rig, seen):
        runner = rig.deployment.daemons[DAEMON].service(
            "pipeline", PipelineRunner
        )
        budgets = runner._streamed_stage._retries._budgets
        budgets.retries("engine").balance = count
        budgets.hedges("engine").balance = 0

    context.actions.append(spend)


@when("{name} becomes {factor:d} times slower")
def when_slower(context, name, factor):
    async def slow(rig, seen):
        rig.deployment.servers[name].faults["slow_factor"] = factor

    context.actions.append(slow)


@when("every engine answers with errors")
def when_errors(context):
    async def break_all(rig, seen):
        for server in rig.deployment.servers.values():
            server.faults["fail_after_run"] = True

    context.actions.append(break_all)


@when("{name} refuses because it is leaving")
def when_leaving(context, name):
    async def leave(rig, seen):
        rig.deployment.servers[name].faults["leaving"] = True

    context.actions.append(leave)


@when("{name} is killed")
def when_killed(context, name):
    async def kill(rig, seen):
        rig.deployment.hub.kill(name)

    context.actions.append(kill)


@when("{name} is restarted")
def when_restarted(context, name):
    async def restart(rig, seen):
        rig.restart(name)
        seen["served_before"] = rig.deployment.servers[name].counts["calls"]

    context.actions.append(restart)


@when("{count:d} requests arrive one every {every_ms:d} ms")
def when_requests(context, count, every_ms):
    _send(context, "whole", count, every_ms)


@when("{count:d} streams arrive one every {every_ms:d} ms")
def when_streams(context, count, every_ms):
    _send(context, "stream", count, every_ms)


def _send(context, kind, count, every_ms):
    async def send(rig, seen):
        seen["calls_before"] = rig.calls("engine")
        seen["first"] = len(rig.outcomes)
        for _ in range(count):
            rig.start(kind)
            await rig.sleep(every_ms)
        await rig.finish()
        seen["attempts"] = rig.calls("engine") - seen["calls_before"]

    context.actions.append(send)


@when("a request arrives with a deadline of {deadline_ms:d} ms")
def when_short_deadline(context, deadline_ms):
    async def send(rig, seen):
        seen["first"] = len(rig.outcomes)
        rig.deadline_ms = deadline_ms
        await rig.request("whole")

    context.actions.append(send)


@when("a request streams and its engine is killed after {count:d} tokens")
def when_stream_killed(context, count):
    _break_stream(
        context, count, lambda rig, name: rig.deployment.hub.kill(name)
    )


@when("a request streams and its engine freezes after {count:d} tokens")
def when_stream_frozen(context, count):
    _break_stream(
        context, count, lambda rig, name: rig.deployment.hub.freeze(name)
    )


def _break_stream(context, count, break_server):
    async def send(rig, seen):
        seen["first"] = len(rig.outcomes)
        outcome = rig.start("stream")
        while len(outcome.tokens) < count:
            await rig.sleep(1)
        (name,) = [
            name
            for name, server in rig.deployment.servers.items()
            if server.counts["calls"]
        ]
        break_server(rig, name)
        await rig.finish()

    context.actions.append(send)


@when(
    "a request streams and its engine pauses for {pause_ms:d} ms"
    " after {count:d} tokens"
)
def when_stream_pauses(context, pause_ms, count):
    _pause(context, "stream", 1, pause_ms, count)


@when("a request is sent and its engine pauses for {pause_ms:d} ms")
def when_request_pauses(context, pause_ms):
    _pause(context, "whole", 1, pause_ms, 0)


@when("{count:d} requests stream and their engine pauses for {pause_ms:d} ms")
def when_streams_pause(context, count, pause_ms):
    _pause(context, "stream", count, pause_ms, 5)


def _pause(context, kind, count, pause_ms, tokens):
    """Sends requests whose engine is silent for a time, and then goes on."""

    async def send(rig, seen):
        seen["first"] = len(rig.outcomes)
        outcomes = [rig.start(kind) for _ in range(count)]
        hub = rig.deployment.hub
        while any(len(o.tokens) < tokens for o in outcomes) or not (
            rig.calls("engine")
        ):
            await rig.sleep(1)
        (name,) = [
            name
            for name, server in rig.deployment.servers.items()
            if server.counts["calls"]
        ]
        hub.freeze(name)
        await rig.sleep(pause_ms)
        hub.wake(name)
        await rig.finish()
        seen["calls"] = rig.calls("engine")

    context.actions.append(send)


@then("the engine was called once")
def then_engine_called_once(context):
    _run(context)
    assert context.seen["calls"] == 1, context.seen["calls"]


@then("extra calls were made for {count:d} streams")
def then_extra_calls(context, count):
    outcomes = _run(context)
    assert context.seen["calls"] - len(outcomes) == count, context.seen["calls"]


@when("a request streams at {token_ms:d} ms a token")
def when_trickle(context, token_ms):
    async def send(rig, seen):
        seen["first"] = len(rig.outcomes)
        for server in rig.deployment.servers.values():
            server.token_ms = token_ms
        rig.start("stream")
        await rig.finish()

    context.actions.append(send)


def _run(context):
    """Runs the actions, once, and returns the outcomes to be checked."""
    if context.rig is None:
        context.seen = {}
        context.rig = run_virtual(_carry_out, context)
    return context.rig.outcomes[context.seen["first"] :]


async def _carry_out(context):
    async with RequestRig(pools=context.pools) as rig:
        for action in context.actions:
            await action(rig, context.seen)
        context.metrics = {
            name: rig.metric(name, pool="engine", **labels)
            for name, labels in (
                ("cactusdyke_retries_total", {"outcome": "made"}),
                ("cactusdyke_hedges_total", {"outcome": "made"}),
            )
        }
        context.violations = rig.violations()
        await anyio.lowlevel.checkpoint()
    return rig


@then("all of them got complete answers")
def then_all_whole(context):
    failed = [o.failure for o in _run(context) if not o.whole]
    assert not failed, failed[:3]
    assert not context.violations, context.violations[:3]


@then("at least {share:d} in 100 took less than {limit_ms:d} ms")
def then_in_time(context, share, limit_ms):
    outcomes = _run(context)
    quick = [o for o in outcomes if o.ended - o.began < limit_ms]
    assert len(quick) * 100 >= share * len(outcomes), len(quick)


@then("extra attempts were at most {share:d} in 100")
def then_extra(context, share):
    outcomes = _run(context)
    extra = context.seen["attempts"] - len(outcomes)
    assert 0 < extra * 100 <= share * len(outcomes), extra


@then("the engines were called at most {factor:g} times a request")
def then_calls(context, factor):
    outcomes = _run(context)
    calls = context.seen["attempts"]
    assert len(outcomes) <= calls <= factor * len(outcomes), calls


@then("no request that may have run was reported as not run")
def then_truth(context):
    _run(context)
    assert not context.violations, context.violations[:3]


@then("it is refused at once as not run, with a time to retry")
def then_refused(context):
    (outcome,) = _run(context)
    assert outcome.failure.kind is FailureKind.DEADLINE, outcome.failure
    assert outcome.failure.ran is Ran.NOT_RUN
    assert outcome.failure.retry_after_ms
    assert outcome.ended - outcome.began <= 5


@then("it did not run")
def then_not_run(context):
    (outcome,) = _run(context)
    assert context.rig.executions(outcome, "engine") == 0


@then("{name} was called at most once")
def then_called_once(context, name):
    _run(context)
    assert context.rig.deployment.servers[name].counts["calls"] <= 1


@then("{name} was ejected")
def then_left_out(context, name):
    _run(context)
    retries = context.metrics["cactusdyke_retries_total"]
    assert 2 <= retries <= 10, retries
    context.rig = None


@then("{name} served again")
def then_served_again(context, name):
    _run(context)
    calls = context.rig.deployment.servers[name].counts["calls"]
    assert calls - context.seen["served_before"] > 30, calls


@then("the stream is complete, in order and for its own request")
def then_stream_whole(context):
    (outcome,) = _run(context)
    assert outcome.whole, outcome.failure
    assert len(outcome.tokens) == TOKENS
    assert not context.violations, context.violations


@then("the stream was resumed")
def then_resumed(context):
    _run(context)
    assert context.metrics["cactusdyke_retries_total"] == 1


@then("the stream ended at its deadline with a correct refusal")
def then_stream_late(context):
    (outcome,) = _run(context)
    assert outcome.failure.kind is FailureKind.DEADLINE, outcome.failure
    assert outcome.failure.ran is not Ran.NOT_RUN
    assert not context.violations, context.violations


@then("every first token arrived within {limit_ms:d} ms")
def then_first_tokens(context, limit_ms):
    waits = [o.first_token - o.began for o in _run(context)]
    assert max(waits) <= limit_ms, max(waits)
