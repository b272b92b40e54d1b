"""Steps for sends to replicas that have just said something of themselves."""

from __future__ import annotations

import contextlib
import random
from types import SimpleNamespace

import anyio
import attrs
import orjson
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import FailureKind, Ran
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import ReplicaStatement
from cactusdyke.serving.memory_reports import MemoryReports
from cactusdyke.serving.replica_choice import ReplicaChoice
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.retry_policy import RetryPolicy
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stream_continuation import StreamContinuation
from cactusdyke.serving.stream_origins import StreamOrigin, StreamOrigins
from cactusdyke.serving.stream_state import StreamState
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections, Exchange
from features.steps.serving_steps import ManualClock, replica, route
from features.steps.stage_queue_steps import batch_spec, group
from features.support.serving_values import request_limits, serving_context
from features.support.watched_attempts import end_check, watched
from standins.virtual import run_virtual

REST_MS = 1_000.0
SOON_MS = 150.0
CALL_MS = 100.0
STORY_S = 4.0
LIMIT_MS = 500.0
STARTED = 7
STATEMENTS = {
    "asks for rest": ReplicaStatement(rest_ms=REST_MS),
    "says it leaves": ReplicaStatement(leaves=True),
}


class Replicas(BackendConnections):
    """Replicas that speak as connections are made, or in answers.

    Attributes:
        sent_at: When requests were sent, in milliseconds.
        paths: Their paths.
        on_connect: Called while a connection is made.
        connections: How many connections were made.
        refusals: How many requests are refused with a rest.
        headers: Headers of each answer.
        status: Status of answers to requests.
        born: The start that reports tell.
    """

    def __init__(self):
        self.sent_at = []
        self.paths = []
        self.on_connect = lambda: None
        self.connections = 0
        self.refusals = 0
        self.status = 200
        self.headers = []
        self.born = STARTED

    @contextlib.asynccontextmanager
    async def connect(self, address):
        self.connections += 1
        self.on_connect()
        yield _Exchange(replicas=self, address=address)

    def answer(self, path, body):
        """Returns status, headers and body of an answer."""
        self.paths.append(path)
        self.sent_at.append(anyio.current_time() * 1_000)
        if self.refusals:
            self.refusals -= 1
            rest = str(REST_MS / 1_000).encode()
            return 503, [(b"retry-after", rest)], b""
        told = {"born": self.born, "free_mb": 5}
        if path.startswith("/a/"):
            return self.status, self.headers, b"answer"
        if path == "/-/stage-run":
            items = orjson.loads(body)["items"]
            told["items"] = [{"handle": f"r1:1/{n}"} for n in range(len(items))]
        return 200, self.headers, orjson.dumps(told)


class _Exchange(Exchange):
    def __init__(self, *, replicas, address):
        self._replicas = replicas
        self._address = address
        self._answer = None

    @property
    def sent(self):
        return self._answer is not None

    @property
    def ends_with_connection(self):
        return False

    async def send(self, method, target, headers, body):
        self._answer = self._replicas.answer(target, body)

    async def head(self):
        await anyio.sleep(CALL_MS / 1_000)
        status, headers, _ = self._answer
        return AnswerHead(status=status, headers=headers)

    async def body(self):
        yield self._answer[2]


class _Rig:
    """A deployment with one replica, and what sends to it."""

    def __init__(self):
        self.clock = EventLoopClock()
        self.deployment = Deployment(clock=self.clock)
        self.replica = replica("r1", born=STARTED)
        self.deployment.replace_replicas([self.replica])
        self.statements = self.deployment.statements
        self.replicas = Replicas()

    def speak_on_connect(self, statement):
        def speak():
            self.statements.record(self.replica, statement)
            self.replicas.on_connect = lambda: None

        self.replicas.on_connect = speak

    def batcher(self, tasks):
        return StageBatcher(
            service="plain",
            spec=batch_spec(call_ms=CALL_MS),
            clock=self.clock,
            deployment=self.deployment,
            dialect=PlatformDialect(),
            connections=self.replicas,
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=request_limits(self.clock, self.deployment),
        )


def _run(context, story):
    async def run():
        rig = context.rig = _Rig()
        context.prepare(rig)
        context.began_at = anyio.current_time() * 1_000
        await story(rig)

    run_virtual(run, seed=1)


@given("one replica, which {speaks} while a connection to it is made")
def speaks_on_connect(context, speaks):
    statement = STATEMENTS[speaks]
    context.prepare = lambda rig: rig.speak_on_connect(statement)


@given("a stage's replica that {wants}")
def stage_replica(context, wants):
    def prepare(rig):
        match wants.split():
            case ["rests", "for", seconds, "s"]:
                rest_ms = float(seconds) * 1_000.0
                rig.statements.record(
                    rig.replica, ReplicaStatement(rest_ms=rest_ms)
                )
            case ["refuses", *_]:
                rig.replicas.refusals = 1
            case ["asks", *_]:
                rig.speak_on_connect(STATEMENTS["asks for rest"])
            case ["says", "that", "it", *_]:
                rig.replicas.headers = [(b"server-leaving", b"1")]
            case ["says", "that", "another", *_]:
                rig.replicas.headers = [(b"server-leaving", b"1")]
                rig.replicas.born = STARTED + 1
            case _:
                raise ValueError(wants)

    context.prepare = prepare


@given("a replica whose answers are those of {whom}, and say that it leaves")
def answers_of(context, whom):
    def prepare(rig):
        request_id = b"other" if whom == "another request" else b"request"
        rig.replicas.headers = [
            (b"x-attempt-id", request_id),
            (b"x-response-stamp", b"stamp"),
            (b"server-leaving", b"1"),
        ]
        if whom == "another replica":
            rig.replicas.status = 421

    context.prepare = prepare


@then("{what} is known of it")
def check_known(context, what):
    leaves = context.rig.statements.leaves(context.rig.replica)
    assert leaves == (what == "that it leaves"), leaves


@when("a {kind} is sent to it")
def sent(context, kind):
    async def story(rig):
        attempts = AttemptRunner(
            clock=rig.clock,
            dialect=PlatformDialect(),
            connections=rig.replicas,
            stated_limits=StatedLimits(clock=rig.clock),
            statements=rig.statements,
            end_check=end_check(rig.clock, rig.replicas),
            loads=ReplicaLoads(clock=rig.clock),
        )
        request = serving_context(route(streaming=kind == "stream"))
        async with watched(rig.clock, LIMIT_MS) as watch:
            if kind == "call":
                context.result = await attempts.fetch(
                    request, rig.replica, handles=(), watch=watch
                )
            else:
                context.result = await attempts.stream(
                    request,
                    rig.replica,
                    None,
                    StreamState(),
                    handles=(),
                    watch=watch,
                    gap_limit_ms=LIMIT_MS,
                    on_first_event=lambda: None,
                )
        context.to_blame = attempts.is_replica_to_blame(
            rig.replica, context.result
        )

    _run(context, story)


@then("nothing was sent, and the replica is not to blame")
def check_withheld(context):
    assert not context.rig.replicas.paths
    assert (context.result.sent, context.result.ran) == (False, Ran.NOT_RUN)
    assert not context.to_blame


@when("a stage's pieces are computed")
@when("a request with 4 s left asks for pieces")
def computed(context):
    async def story(rig):
        async with anyio.create_task_group() as tasks:
            batcher = rig.batcher(tasks)
            now = rig.clock.now()
            pieces = group("a", 2, now, deadline_at=now + STORY_S * 1_000)
            with anyio.move_on_after(STORY_S + 1.0):
                context.answer = await batcher.run(pieces, may_refuse=True)
            context.took_ms = rig.clock.now() - now
            tasks.cancel_scope.cancel()

    _run(context, story)


def _after_ms(context, path):
    replicas = context.rig.replicas
    return [
        at - context.began_at
        for at, sent_to in zip(replicas.sent_at, replicas.paths, strict=True)
        if sent_to == path
    ]


def _is_at(after_ms, expected_ms):
    return expected_ms <= round(after_ms, 3) <= expected_ms + SOON_MS


def _check_connections(context, after):
    """Checks that no connection was made in vain, but for the first one."""
    assert context.rig.replicas.connections <= len(after) + 1


@then("its calls begin {begin}")
def check_calls(context, begin):
    after = _after_ms(context, "/-/stage-run")
    _check_connections(context, after)
    match begin:
        case "never":
            assert not after, after
        case "as the rest ends":
            assert len(after) == 1, after
            assert _is_at(after[0], REST_MS), after
        case "at once and as the rest ends":
            assert len(after) == 2, after
            assert _is_at(after[0], 0.0), after
            assert _is_at(after[1], REST_MS + CALL_MS), after
        case _:
            raise ValueError(begin)


@then("it is served")
def check_served(context):
    assert all(context.answer.unwrap().handles)


@then("it is refused at once, to come back after {seconds:g} s")
def check_refused(context, seconds):
    failure = context.answer.unwrap_err()
    assert failure.kind is FailureKind.OVERLOADED, failure
    assert failure.retry_after_ms == seconds * 1_000, failure
    assert context.took_ms < SOON_MS, context.took_ms


@when("results at it are freed")
def freed(context):
    async def story(rig):
        async with anyio.create_task_group() as tasks:
            rig.batcher(tasks).free(["r1:1/1", "r1:1/2"])
            await anyio.sleep(STORY_S)
            tasks.cancel_scope.cancel()

    _run(context, story)


@then("it is called for them {called}")
def check_freed(context, called):
    after = _after_ms(context, "/-/stage-free")
    _check_connections(context, after)
    match called:
        case "once, as the rest ends":
            assert len(after) == 1, after
            assert _is_at(after[0], REST_MS), after
        case "twice, again as the rest ends":
            assert len(after) == 2, after
            assert _is_at(after[0], 0.0), after
            assert _is_at(after[1], REST_MS + CALL_MS), after
        case _:
            raise ValueError(called)


@when("its memory is asked for")
def memory_asked(context):
    async def story(rig):
        async with anyio.create_task_group() as tasks:
            batcher = rig.batcher(tasks)
            reports = MemoryReports(
                clock=rig.clock,
                deployment=rig.deployment,
                dialect=PlatformDialect(),
                connections=rig.replicas,
                queue=batcher.queue,
                tasks=tasks,
                on_report=lambda: None,
            )
            reports.poll(["r1"])
            await anyio.sleep(0.4)
            context.accepts = rig.statements.accepts(rig.replica)
            tasks.cancel_scope.cancel()

    _run(context, story)


@then("it is asked {times:d} times, and accepts {amount} more")
def check_asked(context, times, amount):
    asked = _after_ms(context, "/-/report")
    assert len(asked) == times, asked
    assert context.accepts == (amount == "some"), context.accepts


class _AnyShare:
    """Has connections left to every replica."""

    def has_capacity(self, replica):
        del replica
        return True


@given("a service with two replicas of which one {speaks}")
def two_replicas(context, speaks):
    statement = STATEMENTS[speaks.replace("that it", "it")]
    context.clock = ManualClock()
    context.deployment = Deployment(clock=context.clock)
    context.replicas = [
        replica(name, born=STARTED, version="v1") for name in ("r1", "r2")
    ]
    context.deployment.replace_replicas(context.replicas)
    context.deployment.statements.record(context.replicas[0], statement)
    context.connections = Replicas()
    context.continuation = StreamContinuation(
        clock=context.clock,
        deployment=context.deployment,
        dialect=PlatformDialect(),
        connections=context.connections,
        origins=StreamOrigins(clock=context.clock),
        exchange=None,
    )
    context.policy = RetryPolicy(
        rng=random.Random(1),
        data_centre="here",
        deployment=context.deployment,
        health=None,
        budget=None,
        connection_share=_AnyShare(),
        request_limits=None,
        continuation=context.continuation,
    )
    context.request = serving_context(route())


@then("a request to the other one has nowhere else to go")
def check_nowhere(context):
    other = context.replicas[1]
    assert not context.policy.can_fail_over(context.request, other)
    assert not context.policy.can_resume_elsewhere(context.request, other)
    context.clock.ms += REST_MS + 1.0
    assert context.policy.can_fail_over(context.request, other)
    assert context.policy.can_resume_elsewhere(context.request, other)
    context.clock.ms -= REST_MS + 1.0
    context.deployment.statements.record(
        context.replicas[0], STATEMENTS["asks for rest"]
    )


@then("only the other one is a candidate, and the decider is told so")
def check_candidates(context):
    candidates = context.policy.candidates(context.request)
    assert [r.name for r in candidates] == ["r2"], candidates
    assert context.policy.excluded(context.request) == {"r1"}


@then("a request is held for neither, and told nothing of a rest")
def check_no_rest(context):
    assert context.policy.rest_left_ms(context.request) == 0.0
    context.deployment.statements.record(
        context.replicas[1], ReplicaStatement(rest_ms=3 * REST_MS)
    )
    assert context.policy.rest_left_ms(context.request) == REST_MS


@then(
    "a stream cannot go on elsewhere, though a third replica has other software"
)
def check_third(context):
    context.deployment.put_replica(replica("r3", born=STARTED, version="v2"))
    other = context.replicas[1]
    assert context.policy.can_fail_over(context.request, other)
    assert not context.policy.can_resume_elsewhere(context.request, other)


@given("a decider that chooses a replica which then {speaks}")
def decider_chooses(context, speaks):
    statement = STATEMENTS[speaks]
    two_replicas(context, "asks for rest")
    context.clock.ms += REST_MS + 1.0
    one, other = context.replicas
    asked = []

    async def choose(request, inputs):
        del request, inputs
        asked.append(True)
        if len(asked) > 1:
            return SimpleNamespace(replica=other, placed=None)
        context.deployment.statements.record(one, statement)
        return SimpleNamespace(replica=one, placed=None)

    context.choice = ReplicaChoice(
        dispatch=None,
        retry_policy=context.policy,
        continuation=context.continuation,
        statements=context.deployment.statements,
    )
    context.choice._choose = choose


@when("one of them is chosen for a request")
def choose(context):
    async def run():
        context.chosen = await context.choice.choose(context.request, {})

    run_virtual(run, seed=1)


@then("the other replica is chosen")
def check_chosen(context):
    assert context.chosen.replica.name == "r2", context.chosen


@when("a stream that has begun may go on at the one that rests")
def may_go_on(context):
    request = attrs.evolve(
        context.request,
        origin=StreamOrigin(service="plain", version="v1"),
    )

    async def run():
        context.admitted = await context.continuation.admits(
            request, context.replicas[0]
        )

    run_virtual(run, seed=1)


@then("the replica is not asked, and not admitted")
def check_not_admitted(context):
    assert not context.admitted
    assert not context.connections.paths, context.connections.paths
