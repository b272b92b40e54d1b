"""Steps for log limits, retry budgets, silent deciders and time-outs."""

from __future__ import annotations

import contextlib
import json
import os
import time

import anyio
import anyio.lowlevel
from behave import given, then, when
from result import Err, Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.observe.log_sink import LogSink
from cactusdyke.observe.tracing import Tracing
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import AnswerKind, AnswerVerdict, Piece
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.model import (
    BatchSpec,
    CallerLimits,
    ServiceSpec,
    ServingConfiguration,
)
from cactusdyke.serving.peer_watch import ALIVE_PATH, PeerWatch
from cactusdyke.serving.peers import PeerDaemon
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stream_state import StreamState
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.front_interface import Reply
from cactusdyke.transport.messages import json_response
from features.steps.serving_steps import ManualClock
from features.support.quarantine_fleet import Replicas, replica
from features.support.serving_values import NoConnections, request_limits
from features.support.watched_attempts import end_check, watched
from standins.virtual import run_virtual


def _create_sink(context):
    context.clock = ManualClock()
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.sink = LogSink(
        clock=context.clock, daemon="d1", descriptor=write_end
    )


def _read_lines(context):
    data = b""
    while True:
        context.sink.flush()
        try:
            part = os.read(context.read_end, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += part


@given("a log sink on a pipe that is read")
@given("a log sink on a pipe that is not read")
def given_log_sink(context):
    _create_sink(context)


@when("3000 lines of one kind come at once, and one more a second later")
def log_burst(context):
    for number in range(3_000):
        context.sink(
            {
                "message_type": "CD4001:attempt_failed",
                "n": number,
                "daemon": "another",
            }
        )
    context.clock.ms += 1_000.0
    context.sink({"message_type": "CD4001:attempt_failed", "n": 3_000})
    context.lines = _read_lines(context)


@then("about 1000 of them are written and the rest is counted")
def check_log_burst(context):
    written = [x for x in context.lines if x["event"].startswith("CD4001")]
    dropped = [x for x in context.lines if x["event"].startswith("CD1006")]
    assert 1_000 <= len(written) <= 1_002, len(written)
    assert {x["daemon"] for x in context.lines} == {"d1"}
    assert sum(x["lines"] for x in dropped) == 3_001 - len(written)


@when("4 MB of lines come")
def log_flood(context):
    began = time.monotonic()
    for number in range(4_000):
        context.clock.ms += 10.0
        context.sink({"message_type": f"CD{number % 50}:x", "t": "x" * 1_000})
        if number % 10 == 0:
            context.sink.flush()
    context.took = time.monotonic() - began


@then("the sink returns at once and buffers a megabyte at most")
def check_log_flood(context):
    assert context.took < 2.0, context.took
    assert context.sink.waiting_bytes <= 1 << 20


@then("once the pipe is read it reports how many lines were lost")
def check_lost_lines(context):
    lines = _read_lines(context)
    lost = sum(x["lines"] for x in lines if x["event"].startswith("CD1006"))
    kept = sum(not x["event"].startswith("CD1006") for x in lines)
    assert lost > 2_000, lost
    assert lost + kept == 4_000


class PartitionedMembers:
    """Membership of a daemon that considers five others dead."""

    known_count = 6

    def attach_provider(self, key, provider, reader):
        pass


@given("a daemon that considers five others dead")
def partitioned_daemon(context):
    context.view = MemberView(
        clock=ManualClock(),
        members=PartitionedMembers(),
        public_address="a:1",
        size_class=0,
        ready=lambda: True,
        decided_hashes=frozenset,
        min_count=lambda: 4,
    )


@then("it still divides the retry budget among all of them")
def check_believed_count(context):
    assert context.view.estimated_count() == 6


class SilentNetwork:
    """Answers probes until `silent` is set."""

    def __init__(self):
        self.silent = False

    async def fetch(self, address, request, options):
        assert request.path == ALIVE_PATH
        if not self.silent:
            return Ok(json_response({}))
        await anyio.sleep(options.progress_timeout_ms / 1_000)
        return Err(
            Failure(
                kind=FailureKind.CONNECTION_LOST,
                detail="silent",
                ran=Ran.UNKNOWN,
            )
        )


TIMEOUT_MS = 1_000.0
PEER = PeerDaemon(
    name="d2",
    address="d2:1",
    public_address="",
    data_centre="here",
    ready=True,
)


@given("a daemon that waits for pieces from another daemon")
def waiting_daemon(context):
    context.network = SilentNetwork()


@when("the other daemon stops answering probes")
def silence_decider(context):
    async def run():
        watch = PeerWatch(clock=EventLoopClock(), network=context.network)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(0.01)
            context.ended = False
            with watch.cancel_if_silent(PEER) as scope:
                await anyio.sleep(2.0)
                context.waited_while_alive = not scope.cancel_called
                context.network.silent = True
                began = anyio.current_time()
                await anyio.sleep(10.0)
            context.took_ms = (anyio.current_time() - began) * 1_000
            context.silent = dict(watch.silent)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the wait ends within 1200 ms and the next decider is used")
def check_silent(context):
    assert context.waited_while_alive
    assert context.took_ms < 1_200, context.took_ms
    assert "d2" in context.silent


def deployment_with_stage():
    deployment = Deployment(clock=EventLoopClock())
    spec = ServiceSpec(
        name="stage",
        max_connections=10,
        batching=BatchSpec(
            concurrent_calls=1,
            queued_calls=0,
            batch=4,
            call_ms=100.0,
            piece_ms=1.0,
            result_capacity_bytes=1e9,
            result_lifetime_ms=4_000.0,
        ),
    )
    deployment.apply(
        ServingConfiguration(
            version=1,
            routes=(),
            services={"stage": spec},
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    return deployment


def _group(name):
    group = PieceGroup(
        objective_at=5_000.0, deadline_at=9_000.0, priority=0, result_bytes=1.0
    )
    piece = Piece(request_id=name, stage=0, number=0, key="k")
    group.tasks = [PieceTask(piece=piece, group=group)]
    return group


@given("a decider with one group started and one queued")
def given_two_groups(context):
    context.started, context.queued = _group("started"), _group("queued")


@when("another daemon decides for the service")
def other_daemon_decides(context):
    async def run():
        deployment = deployment_with_stage()
        decider = Decider(
            clock=EventLoopClock(),
            deployment=deployment,
            dialect=None,
            connections=NoConnections(),
            tracing=Tracing(daemon="d1"),
            request_limits=request_limits(EventLoopClock(), deployment),
        )
        context.returned = []

        async def make(group):
            name = group.tasks[0].piece.request_id
            answer = await decider.compute_group(
                "stage", name, group, may_refuse=False, pinned=False
            )
            if answer is None:
                context.returned.append(name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(decider.run)
            await anyio.sleep(0.01)
            tasks.start_soon(make, context.started)
            tasks.start_soon(make, context.queued)
            await anyio.sleep(0.01)
            context.started.started = True
            decider.handover(lambda service: True)
            await anyio.sleep(0.01)
            context.returned_while_deciding = list(context.returned)
            decider.handover(lambda service: False)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the queued group is returned and the started one continues")
def check_handed_over(context):
    assert context.returned_while_deciding == []
    assert context.returned == ["queued"], context.returned


class EventAtTimeout:
    """An answer whose second event arrives while the daemon is frozen."""

    sent = True

    def __init__(self, timeout_scope):
        self._timeout_scope = timeout_scope

    @property
    def ends_with_connection(self):
        return False

    async def body(self):
        yield b"id: 1\ndata: a\n\n"
        # When it resumes, the timer fires before the bytes are read.
        self._timeout_scope.cancel()
        yield b"id: 2\ndata: b\n\n"


class EndAtTimeout(EventAtTimeout):
    """An answer that ends while the daemon is frozen."""

    async def body(self):
        yield b"id: 1\ndata: a\n\n"
        self._timeout_scope.cancel()


class UnframedEndAtTimeout(EndAtTimeout):
    """An answer that ends with its connection while the daemon is frozen."""

    @property
    def ends_with_connection(self):
        return True


class RecordedReply(Reply):
    """Stores what a caller receives; each write may be cancelled."""

    def __init__(self):
        self.data = b""
        self.ended = False

    async def begin(self, status, headers):
        del status, headers
        await anyio.lowlevel.checkpoint()

    async def part(self, data):
        await anyio.lowlevel.checkpoint()
        self.data += data

    async def end(self):
        await anyio.lowlevel.checkpoint()
        self.ended = True

    async def whole(self, status, headers, body):
        raise NotImplementedError


class HealthyReplicas(Replicas):
    """Connections to a replica that says that it is still there."""

    @contextlib.asynccontextmanager
    async def connect(self, address):
        await anyio.lowlevel.checkpoint()
        yield self

    async def send(self, method, target, headers, body):
        del method, target, headers, body

    async def head(self):
        named = (b"x-replica-id", replica(1).name.encode())
        return AnswerHead(status=200, headers=[named])

    async def whole_body(self, *, most):
        del most
        return b"{}"


@given("a stream that has ended at its time-out")
def end_at_timeout(context):
    event_at_timeout(context)
    context.body = EndAtTimeout


@given("a stream without a length that has ended at its time-out")
def unframed_end_at_timeout(context):
    event_at_timeout(context)
    context.body = UnframedEndAtTimeout


@given("a stream of which an event is read after its time-out")
def event_at_timeout(context):
    context.body = EventAtTimeout
    context.reply = RecordedReply()
    context.state = StreamState()


@when("the attempt is ended by the time-out")
def ended_by_timeout(context):
    async def run():
        clock = EventLoopClock()
        attempts = AttemptRunner(
            clock=clock,
            dialect=PlatformDialect(),
            connections=Replicas(),
            stated_limits=StatedLimits(clock=clock),
            statements=ReplicaStatements(clock=clock),
            end_check=end_check(clock, HealthyReplicas()),
            loads=ReplicaLoads(clock=clock),
        )
        verdict = AnswerVerdict(
            kind=AnswerKind.ANSWER,
            status=200,
            headers=[],
            is_event_stream=True,
            load=None,
        )
        async with watched(clock, TIMEOUT_MS) as watch:
            with watch.attempt_scope as timeout_scope:
                await attempts._forward_events(
                    context.body(timeout_scope),
                    replica(1),
                    verdict,
                    context.reply,
                    context.state,
                    watch=watch,
                    gap_limit_ms=TIMEOUT_MS,
                    on_first_event=lambda: None,
                )

    run_virtual(run)


@then("all events that count as forwarded were written")
def check_all_written(context):
    written = context.reply.data.count(b"id: ")
    assert (
        context.state.last_event_number == written == context.state.event_count
    ), (
        context.state,
        context.reply.data,
    )


@then("the caller's stream is terminated")
def check_terminated(context):
    assert context.reply.ended
