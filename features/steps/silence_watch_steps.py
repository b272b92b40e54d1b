"""Steps for attempts that are silent, in virtual time and without a network."""

from __future__ import annotations

import itertools
import random

import anyio
import attrs
from behave import given, then, when
from result import Err, Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.serving.attempt import AttemptResult
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dispatch_messages import StageOutcome
from cactusdyke.serving.model import RepeatPolicy, StageSpec
from cactusdyke.serving.next_attempt import NextAttempt
from cactusdyke.serving.retry_budget import RetryAllowance, RetryBudget
from cactusdyke.serving.retry_policy import RetryPolicy
from cactusdyke.serving.silence_watch import SilenceWatch
from cactusdyke.serving.stages import StageResults, StageRunner
from cactusdyke.serving.stream_state import StreamState
from features.steps.serving_steps import FakeDispatch, replica, route
from features.support import serving_values as values
from standins.virtual import run_virtual

STAGES = (StageSpec(service="left"), StageSpec(service="right"))
PIECES = (1, 1)
STAGE_MS = 200.0
LONG_MS = 60_000.0
LONG_AGO_MS = 1e9
OLD_HANDLE = "old"
SLACK_FOR = {1: 3.0, 2: 5.0}
"""Slack from which one daemon may send so many retries at once."""
MOST_PREPARED = 1_000
"""Asking without a pause ends there."""


class _Watched:
    """An attempt under watch, and when its next one was prepared."""

    def __init__(self):
        self.prepared_at = []
        self.silent_at = []
        self.cancelled = 0
        self.given_up_at = None
        self.ready_from = 1
        self.takes_ms = 0.0
        self.shielded = False

    def record_silence(self):
        self.silent_at.append(self.clock.now() - self.began)

    async def prepare(self):
        self.prepared_at.append(self.clock.now() - self.began)
        assert len(self.prepared_at) < MOST_PREPARED
        try:
            with anyio.CancelScope(shield=self.shielded):
                await self.clock.sleep(self.takes_ms)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        return len(self.prepared_at) >= self.ready_from

    def play(self, limit_ms, story):
        async def run():
            self.clock = EventLoopClock()
            self.began = self.clock.now()
            self.watch = SilenceWatch(
                clock=self.clock,
                limit_ms=limit_ms,
                on_silent=self.record_silence,
                prepare_next=self.prepare,
            )
            async with self.watch.running():
                with self.watch.attempt_scope:
                    await story(self)
                    return
                self.given_up_at = self.clock.now() - self.began

        run_virtual(run, seed=1)


@given("an attempt whose replica may be silent for {limit_ms:d} ms")
def watched_attempt(context, limit_ms):
    context.watched = _Watched()
    context.limit_ms = limit_ms


@given("a next attempt that can be prepared at the fourth time")
def fourth_time(context):
    context.watched.ready_from = 4


@given("a next attempt that takes {takes_ms:d} ms to prepare")
def slow_preparation(context, takes_ms):
    context.watched.takes_ms = takes_ms


@given("a next attempt that takes 500 ms to prepare, whatever is cancelled")
def shielded_preparation(context):
    context.watched.takes_ms = 500
    context.watched.shielded = True


@when("what arrived meanwhile is read {late_ms:d} ms after that")
def read_late(context, late_ms):
    async def story(watched):
        await watched.clock.sleep(context.limit_ms + late_ms)
        watched.watch.restart(context.limit_ms)
        await watched.clock.sleep(context.limit_ms + late_ms)

    context.watched.play(context.limit_ms, story)


@when("nothing comes for {waited_ms:d} ms")
def nothing_comes(context, waited_ms):
    async def story(watched):
        await watched.clock.sleep(waited_ms)

    context.watched.play(context.limit_ms, story)


@when("something comes after {first_ms:d} ms and after {second_ms:d} ms")
def something_comes(context, first_ms, second_ms):
    async def story(watched):
        await watched.clock.sleep(first_ms)
        watched.watch.restart(context.limit_ms)
        await watched.clock.sleep(second_ms - first_ms)
        watched.watch.restart(context.limit_ms)
        await watched.clock.sleep(context.limit_ms / 2)

    context.watched.play(context.limit_ms, story)


@when("nothing is read from it between {first_ms:d} and {last_ms:d} ms")
def not_read(context, first_ms, last_ms):
    async def story(watched):
        await watched.clock.sleep(first_ms)
        watched.watch.suspend()
        await watched.clock.sleep(last_ms - first_ms)
        watched.watch.restart(context.limit_ms)
        await watched.clock.sleep(2 * context.limit_ms)

    context.watched.play(context.limit_ms, story)


@then("its silence was reported once, between {least:d} and {most:d} ms")
def check_reported(context, least, most):
    (silent_at,) = context.watched.silent_at
    assert least <= silent_at <= most, silent_at


@then("no next attempt was prepared before {at_ms:d} ms")
def none_prepared(context, at_ms):
    found = [at for at in context.watched.prepared_at if at < at_ms]
    assert not found, found


@then("the next attempt was prepared {count:d} times, at least 250 ms apart")
def prepared_apart(context, count):
    found = context.watched.prepared_at
    assert len(found) == count, found
    gaps = [b - a for a, b in itertools.pairwise(found)]
    assert min(gaps) >= 250, gaps


@then("the attempt was given up between {first_ms:d} and {last_ms:d} ms")
def given_up_between(context, first_ms, last_ms):
    given_up_at = context.watched.given_up_at
    assert given_up_at is not None
    assert first_ms <= given_up_at <= last_ms, given_up_at


@then("its preparation was cancelled, and the attempt goes on")
def cancelled_and_on(context):
    assert context.watched.cancelled == 1, context.watched.prepared_at
    goes_on(context)


@then("the attempt goes on")
def goes_on(context):
    assert context.watched.prepared_at
    assert context.watched.given_up_at is None, context.watched.given_up_at


class _AnyContinuation:
    def allows(self, request, replica):
        del request, replica
        return True

    def can_follow(self, replica, before):
        del replica, before
        return True


class _Shares:
    """Replicas that have a connection left."""

    def __init__(self):
        self.full = set()

    def has_capacity(self, replica):
        return replica.name not in self.full


class _SlowDispatch(FakeDispatch):
    """Computes stages in a while; each time under handles of its own."""

    def __init__(self):
        super().__init__()
        self.during = lambda: None
        self.refuses = False

    async def compute_stage(self, work):
        await anyio.sleep(STAGE_MS / 1_000)
        self.during()
        if self.refuses:
            return Err(Failure(kind=FailureKind.OVERLOADED, detail="full"))
        self.made.append(work.service)
        turn = self.made.count(work.service)
        return Ok(StageOutcome(handles=(f"{work.service}/{turn}",)))

    def data_centre_of(self, handle):
        del handle
        return "here"


class _StreamRig:
    """A begun stream at the first of some replicas, and what may follow."""

    def __init__(self, *, replica_count, retries):
        self.clock = EventLoopClock()
        deployment = Deployment(clock=self.clock)
        self.deployment = deployment
        self.replicas = [replica(f"r{n + 1}") for n in range(replica_count)]
        deployment.replace_replicas(self.replicas)
        self.shares = _Shares()
        daemons = values.CountedDaemons(1)
        daemons.count_known_at = -LONG_AGO_MS
        slack = SLACK_FOR[retries]
        self.budget = RetryBudget(
            clock=self.clock,
            allowance=lambda: RetryAllowance(slack=slack),
            daemon_count=values.daemon_count_of(daemons, self.clock),
        )
        self.policy = RetryPolicy(
            rng=random.Random(1),
            data_centre="here",
            deployment=deployment,
            health=None,
            budget=self.budget,
            connection_share=self.shares,
            request_limits=None,
            continuation=_AnyContinuation(),
        )
        self.dispatch = _SlowDispatch()
        self.stages = StageRunner(
            clock=self.clock,
            rng=random.Random(1),
            dispatch=self.dispatch,
            deployment=deployment,
            returns=values.NoReturnTimes(),
        )
        stream = route(
            streaming=True,
            repeat_policy=RepeatPolicy.RESUMABLE,
            max_attempts=3,
            stages=STAGES,
        )
        self.request = request = values.serving_context(stream, pieces=PIECES)
        now = self.clock.now()
        request.start_deadline_at = request.objective_at = now + LONG_MS
        request.deadline_at = now + LONG_MS
        request.attempts = request.sends = 1
        request.answer_began_at = now
        self.results = StageResults(request)
        self.state = StreamState()
        self.current = self.replicas[0]
        self.own_retry = None
        self.ready = None

    async def prepare(self):
        next_attempt = NextAttempt(
            context=self.request,
            replica=self.current,
            state=self.state,
            results=self.results,
            retry_policy=self.policy,
            stages=self.stages,
            run_stages=self.stages.run,
        )
        self.ready = await next_attempt.prepare()

    def begin_retry(self):
        """Fails the first attempt; the second one waits for a connection."""
        assert self.give_up()
        self.request.sent_to.append(self.current.name)
        self.request.failed_replicas.append(self.current.name)
        self.current = self.replicas[1]
        self.request.attempts = 2
        self.request.answer_began_at = None
        self.own_retry = self.request.retry

    def send_retry(self):
        self.request.sends = 2
        self.own_retry.mark_sent()

    def give_up(self):
        result = AttemptResult(ran=Ran.UNKNOWN, detail="silent")
        return self.policy.may_retry(self.request, result)


def _set_up(context, *, replicas=2, retries=2):
    context.rig = None
    context.replica_count = replicas
    context.retries = retries
    context.changes = []


@given("a stream at one of two replicas, whose inputs are freed")
def begun_stream(context):
    _set_up(context)


@given("a stream at one of two replicas, of whose inputs a part is left")
def partly_freed(context):
    _set_up(context)

    def keep_part(rig):
        rig.results.handles_by_stage[0] = [OLD_HANDLE]

    context.changes.append(keep_part)


@given("a stream whose retry waits for a connection, and three replicas")
def waiting_retry(context):
    _set_up(context, replicas=3)
    context.changes.append(_StreamRig.begin_retry)


@given("a stream whose retry was sent, and three replicas")
def sent_retry(context):
    waiting_retry(context)
    context.changes.append(_StreamRig.send_retry)


@given("a budget of one retry")
def one_retry(context):
    context.retries = 1


@given("the number of its only event is in doubt")
def in_doubt(context):
    def doubt(rig):
        rig.state.may_resume = False

    context.changes.append(doubt)


@given("the other replica has no connection left")
def no_connection(context):
    context.changes.append(lambda rig: rig.shares.full.add("r2"))


@given("its route allows two attempts")
def two_attempts(context):
    def allow_two(rig):
        rig.request.route = attrs.evolve(rig.request.route, max_attempts=2)

    context.changes.append(allow_two)


def _prepare(context, change=lambda rig: None, *, after=lambda rig: None):
    async def run():
        rig = context.rig = _StreamRig(
            replica_count=context.replica_count, retries=context.retries
        )
        for given_change in [*context.changes, change]:
            given_change(rig)
        context.pending_before = rig.budget.pending_count
        with anyio.move_on_after(context.cancelled_after_s):
            await rig.prepare()
        after(rig)
        account = rig.budget.account(rig.request.service)
        context.charged = account.charged

    run_virtual(run, seed=1)


@when("a next attempt is prepared")
def prepared(context):
    context.cancelled_after_s = LONG_MS
    _prepare(context)


@when("a next attempt is prepared, and {ends}")
def prepared_until(context, ends):
    context.cancelled_after_s = LONG_MS

    def change(rig):
        match ends:
            case "its stages are refused":
                rig.dispatch.refuses = True
            case "is cancelled while its stages run":
                context.cancelled_after_s = 0.5 * STAGE_MS / 1_000
            case "the other replica leaves meanwhile":
                rig.dispatch.during = lambda: rig.deployment.mark_leaving(
                    rig.replicas[1], reason="test"
                )
            case "the retry is sent meanwhile":
                rig.dispatch.during = rig.send_retry
            case _:
                raise ValueError(ends)

    _prepare(context, change)


@when("a next attempt is prepared and the current one given up")
def prepared_and_given_up(context):
    context.cancelled_after_s = LONG_MS

    def give_up(rig):
        assert rig.ready
        context.may_retry = rig.give_up()

    _prepare(context, after=give_up)


@then("it can't follow")
def not_ready(context):
    assert not context.rig.ready


@then("it can't follow, and its retry and its inputs are returned")
def all_returned(context):
    rig = context.rig
    assert not rig.ready
    assert rig.budget.pending_count == context.pending_before
    assert not rig.results.handles_by_stage
    made = {f"{service}/1" for service in rig.dispatch.made}
    assert sorted(rig.dispatch.freed) == sorted(made), rig.dispatch.freed


@then("the retry that is still to be sent stays charged")
def stays_charged(context):
    assert not context.rig.ready
    assert context.rig.budget.pending_count == 1


@then("the stream may be retried, with {count:d} charged")
def may_be_retried(context, count):
    assert context.may_retry
    assert context.charged == count, context.charged


@then("its inputs are the new ones, and just the old ones are freed")
def inputs_replaced(context):
    rig = context.rig
    assert rig.results.complete
    assert rig.results.handles_by_stage == {0: ["left/1"], 1: ["right/1"]}
    assert rig.dispatch.freed == [OLD_HANDLE], rig.dispatch.freed
    rig.stages.free(rig.request, rig.results)
    assert sorted(rig.dispatch.freed) == sorted(
        [OLD_HANDLE, "left/1", "right/1"]
    )
