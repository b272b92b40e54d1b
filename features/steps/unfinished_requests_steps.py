"""Steps for requests that are not whole, and for listeners' limits."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
import time

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from cactusdyke.clock import EventLoopClock
from cactusdyke.transport.connection_limit import (
    ConnectionLimit,
    LimitedConnection,
)
from cactusdyke.transport.listener_shares import Listener, most_connections
from cactusdyke.transport.memory_budget import (
    DISCONNECT_MARK,
    Held,
    Kind,
    MemoryBudget,
    NoMemoryError,
)
from cactusdyke.transport.received_bytes import CountedUpload
from cactusdyke.transport.tcp_stream import listen
from cactusdyke.transport.uploads import STALL_MS
from features.steps.serving_steps import ManualClock
from standins.virtual import run_virtual

KB = 1_024
BUDGET_MB = 10
HOST_MB = 70 + BUDGET_MB / 0.6
MEGABYTE = 1 << 20
EXAMPLES = 200
SENDS = 20
SEND_EVERY_S = 0.01


class FakeUpload(CountedUpload):
    """A request that has come in part."""

    def __init__(self, budget, clock, *, name=""):
        super().__init__(budget=budget, clock=clock)
        self.name = name
        self.size = 0
        self.evicted = False

    def receive(self, size):
        self.size += size
        self._count_received(self.size)

    def stall(self, for_ms):
        self._progressed_at -= for_ms

    def end(self):
        self.size = 0
        self._count_received(0)

    def evict(self):
        self.evicted = True
        self.end()


@given("these requests of a host with 10 MB for them")
def given_requests(context):
    context.rows = [row.as_dict() for row in context.table]


def receive_rows(context, clock):
    """Receives the requests of the scenario's table."""
    budget = MemoryBudget(clock=clock, memory_mb=lambda: HOST_MB)
    context.uploads = []
    for row in context.rows:
        upload = FakeUpload(budget, clock, name=row["request"])
        upload.receive(int(row["held kB"]) * KB)
        upload.stall(float(row["stalled for ms"]))
        context.uploads.append(upload)
    return budget


@when("the budget is exceeded by another {kilobytes:d} kB")
def exceeded(context, kilobytes):
    async def run():
        budget = receive_rows(context, EventLoopClock())
        Held(budget, Kind.BODIES).set(kilobytes * KB)

    run_virtual(run)


@when("a body of 100 kB waits for memory")
def waiting_body(context):
    async def run():
        budget = receive_rows(context, EventLoopClock())
        context.read = True
        try:
            await Held(budget, Kind.BODIES).add(100 * KB)
        except NoMemoryError:
            context.read = False

    run_virtual(run)


@then("the body is read")
def check_body_read(context):
    assert context.read


@then("nothing gives way")
def check_none_evicted(context):
    assert not [u.name for u in context.uploads if u.evicted]


@then("{names} give way")
def check_evicted(context, names):
    evicted = [upload.name for upload in context.uploads if upload.evicted]
    assert evicted == names.split(" and "), evicted


STEPS = st.lists(
    st.tuples(
        st.integers(0, 15),
        st.sampled_from(["receive", "whole", "leave", "wait"]),
        st.integers(1, 16 * KB),
    ),
    max_size=400,
)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@generated(STEPS)
def play_steps(steps):
    clock = ManualClock()
    # The smallest budget there is.
    budget = MemoryBudget(clock=clock, memory_mb=lambda: 1.0)
    mark = DISCONNECT_MARK * budget.size
    uploads = {}
    whole = []
    for number, step, size in steps:
        upload = uploads.setdefault(number, FakeUpload(budget, clock))
        if step == "receive":
            upload.receive(64 * size)
        elif step == "wait":
            clock.ms += size / 10
        else:
            received = upload.size
            upload.end()
            if step == "whole" and received:
                body = Held(budget, Kind.BODIES)
                body.set(received)
                whole.append(body)
        if upload.evicted:
            del uploads[number]
        whole_bytes = sum(body.size for body in whole)
        assert budget.held_bytes <= max(mark, whole_bytes)
    for upload in uploads.values():
        upload.end()
    for body in whole:
        body.release()
    assert budget.held_bytes == 0
    assert not budget.uploads


@then("no generated sequence of requests exceeds the budget or leaks")
def check_sequences(context):
    del context
    play_steps()


class FakeConnection(LimitedConnection):
    """A connection whose request is being received, answered or awaited."""

    def __init__(self, limit):
        self._limit = limit
        self.receiving = False
        self.open = limit.admit(self)

    @property
    def idle(self):
        return not self.receiving

    @property
    def grace_ms(self):
        return STALL_MS if self.receiving else 0.0

    def free_slot(self):
        self.open = False
        self._limit.remove(self)

    def receive(self):
        self.receiving = True
        self._limit.wait_for_caller(self)

    def answer(self):
        self._limit.stop_waiting(self)


@given("a listener for {most:d} connections")
def given_listener(context, most):
    context.clock = ManualClock()
    context.closed = []
    context.limit = ConnectionLimit(
        listener="front", most=lambda: most, clock=context.clock
    )
    context.limit.on_closed = lambda listener, cause: context.closed.append(
        cause
    )


@when("{count:d} connections are opened, of which {busy:d} are being answered")
def open_connections(context, count, busy):
    context.connections = []
    for number in range(count):
        connection = FakeConnection(context.limit)
        if number < busy:
            connection.answer()
        context.connections.append(connection)
    context.busy = context.connections[:busy]


@then("{kept:d} are kept, and every one that is being answered")
def check_kept(context, kept):
    still_open = [c for c in context.connections if c.open]
    assert len(still_open) == kept == context.limit.count
    assert all(connection.open for connection in context.busy)
    assert len(context.closed) == len(context.connections) - kept


@when("8 connections send requests for 900 ms and for 1000 ms")
def slow_requests(context):
    connections = [FakeConnection(context.limit) for _ in range(8)]
    for connection in connections:
        connection.receive()
    context.clock.ms += 900.0
    context.first = FakeConnection(context.limit)
    context.clock.ms += 100.0
    context.second = FakeConnection(context.limit)
    context.left = sum(c.open for c in connections)


@then("a new connection is closed first, and takes a place then")
def check_slow_requests(context):
    assert not context.first.open
    assert context.second.open
    assert context.left == 7
    assert context.closed == ["refused", "stalled"]


@then(
    "a host with {memory:d} MB and {fds:d} descriptors has {front:d}"
    " connections of callers"
)
def check_front_share(context, memory, fds, front):
    context.all = sum(
        most_connections(listener, max_fds=fds, memory_mb=memory)
        for listener in Listener
    )
    most = most_connections(Listener.FRONT, max_fds=fds, memory_mb=memory)
    assert most == front, most


@then("all its listeners together have at most {most:d}")
def check_all_shares(context, most):
    assert context.all <= most, context.all


@when("a client sends all it can to a listener that keeps {size:d}")
def send_unread(context, size):
    listener = listen("127.0.0.1", 0, receive_buffer_bytes=size)
    with listener, socket.create_connection(listener.getsockname()) as client:
        accepted, _ = listener.accept()
        client.setblocking(False)
        with accepted:
            for _ in range(SENDS):
                with contextlib.suppress(BlockingIOError):
                    client.send(bytes(MEGABYTE))
                time.sleep(SEND_EVERY_S)
            waiting = fcntl.ioctl(accepted.fileno(), termios.FIONREAD, bytes(4))
    context.unread = struct.unpack("i", waiting)[0]


@then("no more than {most:d} bytes wait to be read")
def check_unread(context, most):
    assert 0 < context.unread <= most, context.unread
