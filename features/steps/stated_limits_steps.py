"""Steps for the limits that replicas state in their answers."""

from __future__ import annotations

import collections
import contextlib

import anyio
import attrs
import orjson
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.model import Replica, ReplicaState
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stated_request_limit import StatedRequestLimit
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections, Exchange
from features.steps.stage_queue_steps import batch_spec
from features.support import cold_machine
from features.support.decider_machine import SERVICE, HandClock
from features.support.serving_values import client_request, request_limits
from features.support.watched_attempts import end_check
from standins.virtual import run_virtual

REPLICA = Replica(
    name="r1",
    service=SERVICE,
    address="r1:1",
    data_centre="here",
    state=ReplicaState.READY,
    slots=8,
    born=1,
)


class Caller:
    """A request's context, as far as answers are decoded with it."""

    request = client_request()
    current_replica = "r1"


class Answers:
    """Answers of one replica, as a daemon decodes them."""

    def __init__(self):
        self.clock = HandClock()
        self.limits = StatedLimits(clock=self.clock)
        self._attempts = AttemptRunner(
            clock=self.clock,
            dialect=PlatformDialect(),
            connections=None,
            stated_limits=self.limits,
            statements=ReplicaStatements(clock=self.clock),
            end_check=end_check(self.clock, None),
            loads=ReplicaLoads(clock=self.clock),
        )

    def answer(self, limit=None, *, sent_ms_ago=10.0, status=200):
        self.clock.ms += 100.0
        headers = [
            (b"x-attempt-id", b"request"),
            (b"x-response-stamp", b"stamp"),
        ]
        if limit is not None:
            headers.append((b"server-limit", limit.encode()))
        if status != 200:
            headers.append((b"x-not-executed", b"1"))
        self._attempts._decode_head(
            Caller(),
            REPLICA,
            AnswerHead(status=status, headers=headers),
            self.clock.ms - sent_ms_ago,
        )


@when("a replica {answers}")
def replica_answers(context, answers):
    replica = Answers()
    context.limits, context.replica = replica.limits, REPLICA
    match answers:
        case "states no limit":
            replica.answer()
        case "states 1 a second":
            replica.answer("1")
        case "states 2.5, then 1 a second":
            replica.answer("2.5")
            replica.answer("1")
        case "states 1, then answers a later request without":
            replica.answer("1")
            replica.answer()
        case "states 1, then answers an earlier request without":
            replica.answer("1")
            replica.answer(sent_ms_ago=150.0)
        case "states 1, ends it, then states 2":
            replica.answer("1")
            replica.answer()
            replica.answer("2")
        case "states 1, and starts again":
            replica.answer("1")
            context.replica = attrs.evolve(REPLICA, born=2)
        case "states a limit that cannot be read":
            replica.answer("many")
        case "states 1, and refuses a later request without":
            replica.answer("1")
            replica.answer(status=503)
        case _:
            raise ValueError(answers)


@then("its known limit is {limit}")
def check_limit(context, limit):
    known = context.limits.limit_of(context.replica)
    assert known == (None if limit == "none" else float(limit)), known


LIMIT_PER_S = 0.25
TOLERATED = 1.5 * LIMIT_PER_S * 4 + 5
LONG_MS = 60_000.0
TURN_MS = 1_000.0
ASK_INTERVAL_MS = 100.0


class Successor:
    """A daemon that is the announced decider from some moment on."""

    def __init__(self, clock):
        self._clock = clock
        self._since = None
        self._limits = StatedLimits(clock=clock)
        self._gate = StatedRequestLimit(
            clock=clock,
            limits=self._limits,
            announced_since=lambda service: self._since,
            sees_most_daemons=lambda: True,
        )

    def hear(self):
        self._limits.record_answer(REPLICA, LIMIT_PER_S, sent_at=0.0)
        self._gate.exhausted([REPLICA])

    def begin(self):
        self._since = self._clock.now()

    def end(self):
        self._since = None

    def send(self):
        """Sends a request if it may; returns how many it sent."""
        if self._gate.exhausted([REPLICA]):
            return 0
        self._gate.record(REPLICA)
        return 1


@given("four daemons that {know} a limit of 0.25 a second")
def successors(context, know):
    context.clock = HandClock()
    context.successors = [Successor(context.clock) for _ in range(4)]
    context.hears_late = know == "have to hear"
    if not context.hears_late:
        for successor in context.successors:
            successor.begin()
            successor.hear()
        context.clock.ms += LONG_MS
        for successor in context.successors:
            successor.end()


@when("each is the decider for a second and sends what it may")
def in_turn(context):
    context.sent = 0
    for successor in context.successors:
        successor.begin()
        if context.hears_late:
            successor.hear()
        for _ in range(int(TURN_MS / ASK_INTERVAL_MS)):
            context.sent += successor.send()
            context.clock.ms += ASK_INTERVAL_MS
        successor.end()


@then("together they send no more than is tolerated in four seconds")
def check_successors(context):
    assert context.sent <= TOLERATED, context.sent


FREE_INTERVAL_S = 0.02
FREED = 400
LIMITED_STAGE = attrs.evolve(REPLICA, name="limited", address="limited:1")
OTHER_STAGE = attrs.evolve(REPLICA, name="other", address="other:1")


class CountedFrees(BackendConnections):
    """Accepts handles to free, and records when and which."""

    def __init__(self):
        self.called_at = collections.defaultdict(list)
        self.handles = collections.defaultdict(list)

    @contextlib.asynccontextmanager
    async def connect(self, address):
        yield _FreeExchange(connections=self, address=address)


class _FreeExchange(Exchange):
    def __init__(self, *, connections, address):
        self._connections = connections
        self._address = address

    @property
    def sent(self):
        return True

    @property
    def ends_with_connection(self):
        return False

    async def send(self, method, target, headers, body):
        now_ms = anyio.current_time() * 1_000
        self._connections.called_at[self._address].append(now_ms)
        handles = orjson.loads(body)["handles"]
        self._connections.handles[self._address] += handles

    async def head(self):
        return AnswerHead(status=200, headers=[])

    async def body(self):
        yield b""


@given("a decider of a stage service with one limited and one other replica")
def stage_with_limited(context):
    context.frees = CountedFrees()


async def _free_often(connections):
    clock = EventLoopClock()
    deployment = cold_machine.deployment_with_cold_replica(
        clock, (LIMITED_STAGE, OTHER_STAGE)
    )
    limits = request_limits(clock, deployment)
    limits.record_answer(LIMITED_STAGE, 1.0, sent_at=clock.now())
    async with anyio.create_task_group() as tasks:
        batcher = StageBatcher(
            service=SERVICE,
            spec=batch_spec(),
            clock=clock,
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=connections,
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=limits,
        )
        for number in range(FREED):
            batcher.free([f"limited:1/{number}", f"other:1/{number}"])
            await anyio.sleep(FREE_INTERVAL_S)
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()


@when("a handle of each is freed every 20 ms for eight seconds")
def freed_often(context):
    run_virtual(_free_often, context.frees)


@then("the limited one is called for it at most three times in four seconds")
def check_free_calls(context):
    called_at = context.frees.called_at["limited:1"]
    for first in called_at:
        count = sum(first <= at < first + 4_000.0 for at in called_at)
        assert count <= 3, called_at


@then("no handle is left out at either")
def check_freed(context):
    for address in ("limited:1", "other:1"):
        freed = context.frees.handles[address]
        assert freed == [f"{address}/{n}" for n in range(FREED)], len(freed)
