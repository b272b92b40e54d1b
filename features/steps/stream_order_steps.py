"""Steps for the order of streams over all attempts."""

from __future__ import annotations

import contextlib
import re

import anyio
import attrs
from behave import given as behave_given
from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from cactusdyke.clock import EventLoopClock
from cactusdyke.platform import decode
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.dialect import StreamEvent
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stream_state import FirstEventNumbers, StreamState
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections
from cactusdyke.transport.front_interface import Reply
from features.steps.serving_steps import replica
from features.support.platform_rig import configuration, route
from features.support.serving_values import serving_context
from features.support.watched_attempts import end_check, watched
from standins.virtual import run_virtual

EXAMPLES = 400
MAX_EVENTS = 9
FORMS = (
    "gap",
    "repeat",
    "step back",
    "unreadable",
    "no number",
    "merged",
    "cut in an event",
)
ROUTE = (
    decode.configuration(
        configuration([route("talk", "plain", kind="streaming")])
    )
    .unwrap()
    .routes[0]
)
REPLICA = replica("r1")
HEAD = AnswerHead(
    status=200,
    headers=[
        (b"x-attempt-id", b"request"),
        (b"x-response-stamp", b"s"),
        (b"content-type", b"text/event-stream"),
    ],
)
GENERATED = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TIMEOUT_MS = 1_000.0
MAX_DELAY_MS = 5


@attrs.frozen(kw_only=True)
class Spoiled:
    """How one attempt's stream is spoiled: which event, and in which form."""

    event: int
    form: str


def _event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def _spoil(number, form):
    """Returns the bytes of an event whose number is not what it should be."""
    match form:
        case "gap":
            return _event(number).replace(b"id: %d" % number, b"id: 99")
        case "repeat":
            return _event(number).replace(b"id: %d" % number, b"id: 1")
        case "step back":
            return _event(number).replace(b"id: %d" % number, b"id: 0")
        case "unreadable":
            return _event(number).replace(b"id: ", b"id: \xff")
        case "no number":
            return _event(number).replace(b"id: ", b"ix: ")
        case "merged":
            return _event(number)[:-1]
        case _:
            return _event(number)[:9]


def _bytes(first, count, spoiled):
    """Returns a stream's bytes from one event on, perhaps spoiled."""
    sent = b""
    for number in range(first, count + 1):
        if spoiled is None or spoiled.event != number:
            sent += _event(number)
            continue
        sent += _spoil(number, spoiled.form)
        if spoiled.form == "cut in an event":
            return sent
    return sent


class _Exchange:
    """One attempt at the replica: its stream in the reads that are drawn."""

    sent = True
    ends_with_connection = False

    def __init__(self, *, count, spoiled, sizes):
        self._count = count
        self._spoiled = spoiled
        self._sizes = sizes
        self.resumed_after = 0

    async def send(self, method, target, headers, body):
        named = dict(headers)
        self.resumed_after = int(named.get(b"Last-Event-Id", 0))

    async def head(self):
        return HEAD

    async def body(self):
        data = _bytes(self.resumed_after + 1, self._count, self._spoiled)
        for size in self._sizes:
            if data:
                yield data[:size]
                await anyio.lowlevel.checkpoint()
            data = data[size:]
        if data:
            yield data


class _Connections(BackendConnections):
    def __init__(self, exchanges):
        self._exchanges = iter(exchanges)

    @contextlib.asynccontextmanager
    async def connect(self, address):
        yield next(self._exchanges)


class _Reply(Reply):
    """What the caller has."""

    def __init__(self):
        self.data = b""
        self.heads = 0
        self.ended = False

    @property
    def numbers(self):
        return [int(n) for n in re.findall(rb"data: piece-(\d+)\n", self.data)]

    async def begin(self, status, headers):
        self.heads += 1

    async def part(self, data):
        await anyio.lowlevel.checkpoint()
        self.data += data

    async def end(self):
        self.ended = True

    async def whole(self, status, headers, body):
        raise NotImplementedError


def _attempt_runner(clock, exchanges):
    return AttemptRunner(
        clock=clock,
        dialect=PlatformDialect(),
        connections=_Connections(exchanges),
        stated_limits=StatedLimits(clock=clock),
        statements=ReplicaStatements(clock=clock),
        end_check=end_check(clock, _Connections(exchanges)),
        loads=ReplicaLoads(clock=clock),
    )


async def _attempt(clock, attempts, reply, state):
    async with watched(clock, TIMEOUT_MS) as watch:
        return await attempts.stream(
            serving_context(ROUTE),
            REPLICA,
            reply,
            state,
            handles=(),
            watch=watch,
            gap_limit_ms=TIMEOUT_MS,
            on_first_event=lambda: None,
        )


async def _play(exchanges, start_known):
    """Makes attempts until the stream is whole; returns what the caller has."""
    clock = EventLoopClock()
    attempts = _attempt_runner(clock, exchanges)
    if start_known:
        attempts._first_numbers.confirm("plain", 1)
    reply, state = _Reply(), StreamState()
    for _ in exchanges:
        result = await _attempt(clock, attempts, reply, state)
        if result.delivered or not state.may_resume:
            break
    return reply


@st.composite
def _attempts(draw, most):
    count = draw(st.integers(1, MAX_EVENTS))
    spoiled = st.builds(
        Spoiled, event=st.integers(1, count), form=st.sampled_from(FORMS)
    )
    sizes = st.lists(st.integers(1, 60), max_size=12)
    return count, [
        _Exchange(
            count=count,
            spoiled=draw(st.one_of(st.none(), spoiled)),
            sizes=draw(sizes),
        )
        for _ in range(draw(st.integers(1, most)))
    ]


@when(
    "streams that {may} be resumed, whose first number is {known}, are spoiled"
)
def generated(context, may, known):
    context.got = []
    context.start_known = known == "known"

    @GENERATED
    @given(_attempts(3 if may == "may" else 1))
    def play(drawn):
        count, exchanges = drawn
        reply = run_virtual(_play, exchanges, context.start_known)
        context.got.append((count, reply))

    play()


@then("what callers get has no hole and no event twice")
def check_order(context):
    for _, reply in context.got:
        assert reply.numbers == list(range(1, len(reply.numbers) + 1)), (
            reply.data
        )
        assert reply.heads <= 1


@then("a stream ends as complete only with its last event")
def check_ends(context):
    for count, reply in context.got:
        assert not reply.ended or len(reply.numbers) == count, reply.data
    assert any(reply.ended for _, reply in context.got)
    assert any(not reply.ended for _, reply in context.got)


class _SlowReply(_Reply):
    """A caller that takes its time with every part."""

    def __init__(self, write_ms):
        super().__init__()
        self._write_ms = write_ms

    async def part(self, data):
        await anyio.sleep(self._write_ms / 1_000)
        self.data += data


@attrs.frozen(kw_only=True)
class _Stream:
    """One of several streams: when it begins, and what it meets."""

    begins_ms: int
    write_ms: int
    exchange: _Exchange


async def _play_together(streams):
    """Plays streams through one daemon; returns how each one ended."""
    clock = EventLoopClock()
    ordered = sorted(streams, key=lambda stream: stream.begins_ms)
    attempts = _attempt_runner(clock, [s.exchange for s in ordered])
    ends = []

    async def play(stream):
        await anyio.sleep(stream.begins_ms / 1_000)
        reply = _SlowReply(stream.write_ms)
        state = StreamState()
        result = await _attempt(clock, attempts, reply, state)
        ends.append((result, state))

    async with anyio.create_task_group() as tasks:
        for stream in ordered:
            tasks.start_soon(play, stream)
    return ends


@st.composite
def _streams(draw):
    delay = st.integers(0, MAX_DELAY_MS)
    spoiled = Spoiled(event=1, form="gap")
    return [
        _Stream(
            begins_ms=draw(delay),
            write_ms=draw(delay),
            exchange=_Exchange(
                count=draw(st.integers(1, 4)),
                spoiled=draw(st.sampled_from((None, None, spoiled))),
                sizes=draw(st.lists(st.integers(1, 60), max_size=4)),
            ),
        )
        for _ in range(draw(st.integers(2, 6)))
    ]


@when("sound streams come together with some whose first event is spoiled")
def generated_together(context):
    context.ends = []

    @GENERATED
    @given(_streams())
    def play(streams):
        context.ends.append(run_virtual(_play_together, streams))

    play()


@then("no sound stream is taken for a spoiled one")
def check_sound(context):
    ends = [end for ends in context.ends for end in ends]
    taken = [r.detail for r, _ in ends if "event 1 came" in r.detail]
    assert not taken, (len(taken), taken[:3])


@then("none goes on behind a spoiled first event")
def check_no_hole(context):
    states = [state for ends in context.ends for _, state in ends]
    wrong = [s for s in states if s.last_event_number == 99 and s.may_resume]
    assert not wrong, (len(wrong), wrong[:1])


@when("the third of three events that come together is spoiled")
def together(context):
    context.exchanges = [
        _Exchange(count=5, spoiled=Spoiled(event=3, form="gap"), sizes=[]),
        _Exchange(count=5, spoiled=None, sizes=[]),
    ]
    context.reply = run_virtual(_play, context.exchanges, True)


@then("the caller has the two before it, and the next attempt resumes there")
def check_together(context):
    assert context.exchanges[1].resumed_after == 2
    assert context.reply.numbers == [1, 2, 3, 4, 5]
    assert context.reply.ended


@behave_given("a service whose streams began with 1")
def began_with_one(context):
    context.numbers = FirstEventNumbers()
    context.numbers.confirm("plain", 1)


@when("streams of it begin with 0")
def begin_with_zero(context):
    context.whole = []
    for _ in range(5):
        events = [StreamEvent(number=n, data=b"") for n in range(3)]
        known = context.numbers.known("plain")
        _, fault = StreamState().split(events, known)
        context.whole.append(not fault)
        if fault:
            context.numbers.contradict("plain", 0)
        else:
            context.numbers.confirm("plain", 0)


@when("streams of its new version begin with 0, beside those of the old one")
def new_version_begins_with_zero(context):
    clock = EventLoopClock()
    attempts = _attempt_runner(clock, [])
    attempts._first_numbers = context.numbers
    old = attrs.evolve(REPLICA, version="v1")
    new = attrs.evolve(REPLICA, version="v2")
    ends = {"v1": [], "v2": []}

    def play(a_replica, first):
        state = StreamState()
        events = [StreamEvent(number=first + n, data=b"") for n in range(3)]
        sound, fault = attempts._split(events, state, a_replica)
        ends[a_replica.version].append(not fault)
        if sound:
            attempts._record(sound, state, a_replica, 0.0)

    for _ in range(5):
        play(old, 1)
        play(new, 0)
    context.whole, context.old_whole = ends["v2"], ends["v1"]


@then("those of the new version are whole from the fourth on")
def check_new_version(context):
    check_another_start(context)


@then("those of the old one are all whole")
def check_old_version(context):
    assert all(context.old_whole), context.old_whole


@when("a stream of it begins with 0 three times, with sound ones between")
def begins_with_zero_between(context):
    for _ in range(3):
        context.numbers.contradict("plain", 0)
        state = StreamState()
        confirmed = state.record_events(
            [StreamEvent(number=1, data=b"")], 0.0, first_number=1
        )
        context.numbers.confirm("plain", confirmed)


@then("its streams begin with 1 as before")
def check_same_start(context):
    assert context.numbers.known("plain") == 1


@then("they are whole from the fourth on")
def check_another_start(context):
    assert context.whole == [False, False, False, True, True], context.whole
