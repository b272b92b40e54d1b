"""Steps on pieces whose call has failed, and on their next calls."""

from __future__ import annotations

import contextlib

import anyio
import attrs
import orjson
from behave import given, then, when
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import FailureKind
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.stage_queue import REFUSED_PAUSE_MS
from cactusdyke.serving.stage_replicas import MIN_BACKOFF_MS, NO_MEMORY_PAUSE_MS
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import (
    BackendConnections,
    Exchange,
    ExchangeError,
)
from features.steps.serving_steps import replica
from features.steps.stage_queue_steps import batch_spec, group
from features.support.serving_values import request_limits
from standins.virtual import run_virtual

PIECES = 2
CALL_MS = 150.0
DEADLINE_MS = 3_000.0
JOINS_AFTER_MS = 300.0
SOON_MS = 100.0
IDLE_MS = 5_000.0
PAUSES_MS = {
    "is refused": REFUSED_PAUSE_MS,
    "breaks off": MIN_BACKOFF_MS,
    "meets an error of the code": MIN_BACKOFF_MS,
    "finds no memory": NO_MEMORY_PAUSE_MS,
    "meets a replica that is replaced": JOINS_AFTER_MS,
}
BROKEN_CALLS = 6
"""More than the attempts that a piece has."""
LEAVES = "meets a replica that leaves"


class WatchedClock(EventLoopClock):
    """Counts the sleeps that begin while no piece is queued."""

    def __init__(self):
        self.queue = None
        self.idle_sleeps = 0

    async def sleep(self, duration_ms):
        self.idle_sleeps += self.queue.queued_count == 0
        await super().sleep(duration_ms)


class FailingOnce(BackendConnections):
    """Fails the first call for pieces in one way, and answers the others.

    Requests for memory reports are answered with status 404.
    """

    def __init__(self, *, way):
        self.way = way
        self.began_at = []
        self.failed_at = None

    @contextlib.asynccontextmanager
    async def connect(self, address):
        yield _Exchange(connections=self, address=address)

    async def call(self, address, items):
        """Returns status and items of an answer."""
        self.began_at.append(anyio.current_time() * 1_000)
        first = len(self.began_at) == 1
        await anyio.sleep(CALL_MS / 1_000)
        if not first:
            number = len(self.began_at)
            return 200, [
                {"handle": f"{address}/{number}.{n}"} for n in range(len(items))
            ]
        self.failed_at = anyio.current_time() * 1_000
        if self.way == "is refused":
            return 503, []
        if self.way == "breaks off":
            raise ExchangeError(f"{address}: connection closed", sent=True)
        if self.way == "meets an error of the code":
            raise UnicodeError("can't be encoded")
        if self.way == "finds no memory":
            return 200, [{"reason": "room"}] * len(items)
        return 421, []


class LostPath(FailingOnce):
    """Breaks off calls as the path to the replica may be the cause."""

    def __init__(self, *, in_doubt):
        super().__init__(way="breaks off")
        self._in_doubt = in_doubt

    def is_path_in_doubt(self, address):
        return self._in_doubt

    async def call(self, address, items):
        self.began_at.append(anyio.current_time() * 1_000)
        if len(self.began_at) > BROKEN_CALLS:
            return 200, [
                {"handle": f"{address}/{n}"} for n in range(len(items))
            ]
        self.failed_at = anyio.current_time() * 1_000
        raise ExchangeError(f"{address}: connection closed", sent=True)


class _Exchange(Exchange):
    def __init__(self, *, connections, address):
        self._connections = connections
        self._address = address
        self._items = None
        self._answer = b""

    @property
    def sent(self):
        return True

    @property
    def ends_with_connection(self):
        return False

    async def send(self, method, target, headers, body):
        if target == "/-/stage-run":
            self._items = orjson.loads(body)["items"]

    async def head(self):
        if self._items is None:
            return AnswerHead(status=404, headers=[])
        status, items = await self._connections.call(self._address, self._items)
        self._answer = orjson.dumps({"items": items})
        return AnswerHead(status=status, headers=[])

    async def body(self):
        yield self._answer


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a request whose first call failed.

    Attributes:
        answer: Answer to the request, None if there was none by its deadline.
        again_after_ms: How long after the failure its next call began, None
            if there was none.
        took_ms: Time from the arrival of the request to its answer or deadline.
        idle_sleeps: Sleeps of the service that began with an empty queue.
    """

    answer: object
    again_after_ms: float | None
    took_ms: float
    idle_sleeps: int


async def _run_request(way, connections=None):
    clock = WatchedClock()
    connections = connections or FailingOnce(way=way)
    deployment = Deployment(clock=clock)
    deployment.replace_replicas([replica("m1")])
    answer = None

    async def join():
        await anyio.sleep((CALL_MS + JOINS_AFTER_MS) / 1_000)
        deployment.put_replica(replica("m2"))

    async with anyio.create_task_group() as tasks:
        batcher = StageBatcher(
            service="plain",
            spec=batch_spec(call_ms=CALL_MS),
            clock=clock,
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=connections,
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=request_limits(clock, deployment),
        )
        clock.queue = batcher.queue
        if way == "meets a replica that is replaced":
            tasks.start_soon(join)
        began = clock.now()
        pieces = group("a", PIECES, began, deadline_at=began + DEADLINE_MS)
        with clock.timeout(DEADLINE_MS):
            answer = await batcher.run(pieces, may_refuse=True)
        took_ms = clock.now() - began
        await anyio.sleep(IDLE_MS / 1_000)
        tasks.cancel_scope.cancel()
    again_after_ms = None
    if len(connections.began_at) > 1:
        # Rounding hides the floating-point error of virtual time.
        again_after_ms = round(
            connections.began_at[1] - connections.failed_at, 3
        )
    return Outcome(
        answer=answer,
        again_after_ms=again_after_ms,
        took_ms=took_ms,
        idle_sleeps=clock.idle_sleeps,
    )


@given("a stage service with one replica and requests that wait 3 seconds")
def one_replica(context):
    context.ways = [*PAUSES_MS, LEAVES]


@when("a request's first call fails, in each way that a call can fail")
def first_call_fails(context):
    context.outcomes = {
        way: run_virtual(_run_request, way) for way in context.ways
    }


@then("its pieces are in a call within 100 ms of when one can be made")
def check_again(context):
    late = {}
    for way, pause_ms in PAUSES_MS.items():
        outcome = context.outcomes[way]
        again = outcome.again_after_ms
        soon = again is not None and pause_ms <= again <= pause_ms + SOON_MS
        made = isinstance(outcome.answer, Ok) and all(
            outcome.answer.ok_value.handles
        )
        if not (soon and made):
            late[way] = outcome
    assert not late, late


@then("it is refused before its deadline if no replica comes back")
def check_refused(context):
    outcome = context.outcomes[LEAVES]
    assert outcome.answer is not None, outcome
    failure = outcome.answer.unwrap_err()
    assert failure.kind is FailureKind.OVERLOADED, failure
    assert failure.retry_after_ms > 0, failure
    assert outcome.took_ms < DEADLINE_MS, outcome


@then("the service does not wake while no piece is queued")
def check_idle(context):
    sleeps = {way: s.idle_sleeps for way, s in context.outcomes.items()}
    assert set(sleeps.values()) == {0}, sleeps


@given("a stage service whose calls break off six times")
def six_broken_calls(context):
    context.outcomes = {}


@when("the path to its replica is in doubt, and when it is not")
def path_in_doubt(context):
    for in_doubt in (True, False):
        context.outcomes[in_doubt] = run_virtual(
            _run_request, "breaks off", LostPath(in_doubt=in_doubt)
        )


@then("a request's pieces are computed in the first case alone")
def computed_in_doubt(context):
    assert isinstance(context.outcomes[True].answer, Ok), context.outcomes
    assert not isinstance(context.outcomes[False].answer, Ok), context.outcomes
