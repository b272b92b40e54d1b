"""Steps of forwarding on the platform, over sockets to stand-ins."""

from __future__ import annotations

import contextlib

import anyio
import eliot
from behave import then, when

from cactusdyke.transport.exchange import ExchangeError
from features.support.platform_rig import (
    HOST,
    KEY,
    PlatformWorld,
    replica_entry,
    route,
    until,
)
from standins.replica import SIGNATURE

LARGE_BYTES = 6 << 20


def play(story, *args):
    async def run():
        async with PlatformWorld() as world:
            return await story(world, *args)

    return anyio.run(run, backend="asyncio")


async def plain_world(world, *, replicas=("p1", "p2"), **changes):
    for name in replicas:
        await world.add_replica(name)
    world.configure([route("look", "plain", **changes)])
    await world.start_daemon("d1")


def runs(world):
    return [run for r in world.replicas.values() for run in r.runs]


@when("a request is answered by a replica")
def answered(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        context.answer = await world.request(
            "/look/a?b=c",
            body=b"payload",
            headers={"X-Tenant": "forged", "X-Hold": "mine", "X-Own": "1"},
        )
        context.head = world.replicas["p1"].heads[0]
        context.body = world.replicas["p1"].bodies[0]

    play(story)


@then("status, body and signature are the replica's own")
def check_answered(context):
    status, headers, body = context.answer
    assert (status, body) == (200, b"answer to r-1")
    assert headers["x-response-stamp"] == SIGNATURE.decode()
    assert headers["x-attempt-id"] == "r-1"


@then("the replica is told its id, the customer and the time left")
def check_head(context):
    assert context.head["x-expect-replica"] == "p1"
    assert context.head["x-tenant"] == "council"
    assert 1_500 < int(context.head["x-deadline-ms"]) <= 2_000
    assert context.head["x-own"] == "1"
    assert context.body == b"payload"


@then("it is told neither the key nor what only the system may set")
def check_secrets(context):
    assert "authorization" not in context.head
    assert "x-hold" not in context.head
    assert KEY not in str(context.head)


@when("one of two replicas answers with {fault}")
def faulty(context, fault):
    async def story(world):
        await plain_world(world)
        world.replicas["p1"].faults.add(fault)
        context.answers = [
            await world.request("/look/a", request_id=f"r-{n}")
            for n in range(8)
        ]

    play(story)


@then("every caller of an idempotent request gets its own whole answer")
def check_faulty(context):
    for number, (status, headers, body) in enumerate(context.answers):
        assert status == 200, context.answers
        assert body == f"answer to r-{number}".encode()
        assert headers["x-response-stamp"] == SIGNATURE.decode()


@when("a booking's answer is lost by {fault}")
def booking(context, fault):
    async def story(world):
        await plain_world(
            world,
            replicas=("p1", "p2"),
            kind="non_idempotent",
            timeout_ms=700,
        )
        for replica in world.replicas.values():
            replica.faults.add(fault)
        context.answer = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@then("the booking ran once and the caller is told that the outcome is unknown")
def check_booking(context):
    status, headers, _ = context.answer
    assert status in (502, 504), context.answer
    assert "retry-after" not in headers
    assert context.runs == ["r-1"], context.runs


@when("every replica says that it is full")
def full(context):
    async def story(world):
        await plain_world(world, kind="non_idempotent")
        for replica in world.replicas.values():
            replica.faults.add("full")
        context.answer = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@then("the caller is told that it did not run and when to come back")
def check_full(context):
    status, headers, body = context.answer
    assert status == 503, context.answer
    assert 0 < float(headers["retry-after"]) <= 3
    assert body.count(b"\n") == 1
    assert context.runs == []


@when("every replica fails what it runs")
def all_fail(context):
    async def story(world):
        await plain_world(world, replicas=("p1", "p2", "p3"))
        for replica in world.replicas.values():
            replica.faults.add("errors")
        context.answer = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@then("the request ran twice and the caller has the replica's own failure")
def check_all_fail(context):
    status, headers, body = context.answer
    assert (status, body) == (500, b"answer to r-1"), context.answer
    assert headers["x-response-stamp"] == SIGNATURE.decode()
    assert len(context.runs) == 2, context.runs


@when("a replica's address belongs to another one by now")
def moved(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        other = world.replicas["p1"]
        world.store.put("servers", "old", replica_entry(other.address))
        await until(
            lambda: (
                len(world.daemons["d1"]._deployment.usable_replicas("plain"))
                == 2
            )
        )
        context.answers = [
            await world.request("/look/a", request_id=f"r-{n}")
            for n in range(6)
        ]
        context.wrong = sum(
            head.get("x-expect-replica") == "old" for head in other.heads
        )

    play(story)


@then("it is asked by its old name once at most")
def check_moved(context):
    assert context.wrong <= 1, context.wrong


@when("a caller leaves while its request is worked on")
def leaves(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        replica = world.replicas["p1"]
        replica.work_ms = 3_000.0
        with anyio.move_on_after(0.3):
            await world.request("/look/a")
        began = anyio.current_time()
        await until(lambda: bool(replica.left))
        context.took = anyio.current_time() - began

    play(story)


@then("the replica's connection ends within a quarter of a second")
def check_leaves(context):
    assert context.took < 0.25, context.took


@when("a replica is silent for longer than the route allows")
def timeout(context):
    async def story(world):
        await plain_world(world, replicas=("p1",), timeout_ms=500)
        world.replicas["p1"].faults.add("hang")
        began = anyio.current_time()
        context.answer = await world.request("/look/a")
        context.took = anyio.current_time() - began

    play(story)


@then("the caller has its final answer at the route's time")
def check_timeout(context):
    assert context.answer[0] in (502, 504), context.answer
    assert 0.35 < context.took < 0.65, context.took


GOOD_HEAD = (
    f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: bad\r\n"
    f"Authorization: Bearer {KEY}\r\n"
).encode()
"""A head that is refused for nothing but what is put behind it."""


@when("a caller takes a large answer in after the route's time")
def slow_reader(context):
    async def story(world):
        await plain_world(world, replicas=("p1",), timeout_ms=1_000)
        world.replicas["p1"].padding = b"x" * LARGE_BYTES
        settings = world.settings["d1"]
        context.got = bytearray()
        stream = await anyio.connect_tcp(
            settings.front.host, settings.front.port
        )
        async with stream:
            await stream.send(
                f"GET /look/a HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Attempt-Id: r-1\r\nAuthorization: Bearer {KEY}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            await anyio.sleep(1.5)
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    context.got += await stream.receive()

    play(story)


@then("it has the whole answer")
def check_slow_reader(context):
    head, _, body = bytes(context.got).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    assert len(body) == LARGE_BYTES + len(b"answer to r-1"), len(body)


@when("an error that the code does not expect ends a request")
def unexpected_error(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        choice = world.daemons["d1"]._core.forwarder._retry_policy
        usual = choice.candidates
        choice.candidates = lambda context: 1 // 0
        try:
            context.answer = await world.request("/look/a")
        except ExchangeError:
            context.answer = None
        choice.candidates = usual
        context.after = await world.request("/look/a", request_id="r-2")

    context.log = []
    eliot.add_destinations(context.log.append)
    try:
        play(story)
    finally:
        eliot.remove_destination(context.log.append)


@then("the caller is told of it, and the next request is served")
def check_unexpected(context):
    assert context.answer is not None, "closed without an answer"
    status, headers, body = context.answer
    assert status == 500
    assert "retry-after" not in headers
    assert body.count(b"\n") == 1
    assert context.after[0] == 200
    assert "CD1004" in str(context.log)


BAD = {
    "two lengths": GOOD_HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a space in a header's name": GOOD_HEAD + b"Content-Length : 3\r\n\r\nabc",
    "an odd chunk": GOOD_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "no id": (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n"
    ).encode(),
    "a key that nobody holds": (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        "X-Attempt-Id: r\r\nAuthorization: Bearer x\r\n\r\n"
    ).encode(),
    "a path without a route": (
        f"GET /none/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n"
    ).encode(),
    "a body that is too large": (
        f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r\r\n"
        "Content-Length: 200000\r\n\r\n"
    ).encode(),
    "headers that are too large": (
        b"GET /look/a HTTP/1.1\r\nHost: h\r\nX-A: " + b"a" * 9_000
    ),
    "a head that never ends": b"GET /look/a HTTP/1.1\r\nHost: h\r\n",
}


WITHOUT_BODY = {
    "an unknown key": ("/look/a", "x", 60_000),
    "an unknown path": ("/none", KEY, 60_000),
    "300 ms until its deadline": ("/look/a", KEY, 300),
}


@when("a caller sends {what} and no body")
def missing_body(context, what):
    path, key, deadline_ms = WITHOUT_BODY[what]
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r\r\n"
        f"Authorization: Bearer {key}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        "Content-Length: 1000\r\n\r\n"
    )

    async def story(world):
        await plain_world(world)
        context.got = await world.raw(head.encode())
        context.after = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@when("a caller sends {what}")
def bad_input(context, what):
    async def story(world):
        await plain_world(world)
        context.got = await world.raw(BAD[what])
        context.after = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@when("a caller reads only after it has sent a body that is too large")
def late_reader(context):
    async def story(world):
        await plain_world(world)
        settings = world.settings["d1"]
        stream = await anyio.connect_tcp(
            settings.front.host, settings.front.port
        )
        context.got = b""
        async with stream:
            await stream.send(BAD["a body that is too large"])
            with contextlib.suppress(anyio.BrokenResourceError):
                for _ in range(4):
                    await stream.send(b"x" * 50_000)
                    await anyio.sleep(0.05)
                while not context.got.endswith(b"\n"):
                    context.got += await stream.receive()
        context.after = await world.request("/look/a")
        context.runs = runs(world)

    play(story)


@then("it gets {status:d} with one line, and nobody else's request suffers")
def check_bad_input(context, status):
    head, _, body = context.got.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), context.got
    assert body.endswith(b"\n")
    assert body.count(b"\n") == 1
    assert context.after[0] == 200
    assert context.runs == ["r-1"], context.runs


@when("two requests come on one connection, the first in chunks")
def keep_alive(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        first = (
            f"POST /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: one\r\n"
            f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        second = (
            f"HEAD /look/b HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: two\r\n"
            f"Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
        )
        context.got = await world.raw((first + second).encode())
        context.bodies = world.replicas["p1"].bodies

    play(story)


@then("both are answered in order and the body is the caller's")
def check_keep_alive(context):
    assert context.got.count(b"HTTP/1.1 200") == 2, context.got
    assert context.got.index(b"one") < context.got.index(b"two")
    assert context.bodies[0] == b"abcde"
    assert context.got.count(b"answer to") == 1, "a HEAD has no body"


async def stream_world(world, **changes):
    for name in ("e1", "e2"):
        await world.add_replica(name, "engine")
    world.configure(
        [route("talk", "engine", kind="streaming", sticky=True, **changes)]
    )
    await world.start_daemon("d1")


STREAM_HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "100,20",
    "X-Prompt-Prefix": "aa:80,bb:20",
}


@when("a {kind} stream meets {fault}")
def stream(context, kind, fault):
    async def story(world):
        resumable = kind == "resumable"
        await stream_world(
            world, resumable=resumable, max_attempts=3 if resumable else 2
        )
        for replica in world.replicas.values():
            if fault != "nothing":
                replica.faults.add(fault)
        context.answer = await world.request(
            "/talk/stream", headers=STREAM_HEADERS
        )
        context.runs = runs(world)

    play(story)


@when("a stream that may be resumed breaks off at an engine that {how}")
def stream_at_late_entries(context, how):
    async def story(world):
        await stream_world(world, resumable=True, max_attempts=3)
        for name, replica in world.replicas.items():
            replica.faults.add("break")
            replica.born, replica.event_ms = 1, 50.0
            world.list_replica(name, "engine", born=1)
        deployment = world.daemons["d1"]._deployment
        await until(
            lambda: all(
                replica.born == 1
                for replica in deployment.usable_replicas("engine")
            )
        )
        async with anyio.create_task_group() as tasks:
            if how == "has started again":
                tasks.start_soon(tell_later_start, world)
            context.answer = await world.request(
                "/talk/stream", headers=STREAM_HEADERS
            )
        context.runs = runs(world)

    async def tell_later_start(world):
        replicas = world.replicas.values()
        await until(lambda: any(replica.runs for replica in replicas))
        for replica in replicas:
            replica.born = 2 if replica.runs else 1

    play(story)


@then("the caller has every event once, in order, and the end")
def check_stream(context):
    status, _, body = context.answer
    assert status == 200
    assert body is not None, "the stream was cut"
    numbers = [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
    assert numbers == [0, 1, 2, 3, 4], numbers


@then("the caller sees that its stream was cut, and it ran once")
def check_cut_stream(context):
    status, _, body = context.answer
    assert status == 200
    assert body is None, body
    assert context.runs == ["r-1"]


async def stage_world(world):
    await configure_stages(world)
    await world.start_daemon("d1")


async def configure_stages(world):
    await world.add_replica("e1", "engine")
    await world.add_replica("s1", "stage")
    world.replicas["s1"].work_ms = 60.0
    stages = [
        {"service": "stage", "after": [], "bytes": 1_000},
        {"service": "stage", "after": [0], "bytes": 1_000},
    ]
    world.configure(
        [route("talk", "engine", kind="streaming", sticky=True, stages=stages)]
    )


STAGE_HEADERS = {**STREAM_HEADERS, "X-Pieces": "2,1", "X-Piece-Key": "k"}


async def staged(world, request_id):
    return await world.request(
        "/talk/stream", request_id=request_id, headers=STAGE_HEADERS
    )


@when("four requests with stages come at once")
def four_staged(context):
    async def story(world):
        await stage_world(world)
        context.answers = []

        async def one(number):
            answer = await staged(world, f"r-{number}")
            context.answers.append(answer)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(one, number)
        context.calls = world.replicas["s1"].stage_calls
        context.reports = world.replicas["s1"].reports
        await until(lambda: len(world.replicas["s1"].freed) == 12)
        context.freed = world.replicas["s1"].freed
        context.inputs = [
            head["x-inputs"] for head in world.replicas["e1"].heads
        ]

    play(story)


@then("all are answered, their pieces share calls and all results are freed")
def check_four_staged(context):
    assert [status for status, _, _ in context.answers] == [200] * 4
    assert sum(context.calls) == 12
    assert len(context.calls) <= 7, context.calls
    assert len(set(context.freed)) == 12
    # Asked at taking over until two answers in a row say nothing new.
    assert 1 <= context.reports <= 3, context.reports


@then("each engine request names the results of its own last stage")
def check_inputs(context):
    handles = [h for inputs in context.inputs for h in inputs.split(",")]
    assert len(handles) == 4
    assert len(set(handles)) == 4


@when("callers close their connections as soon as their streams have ended")
def leave_with_answer(context):
    async def story(world):
        await configure_stages(world)
        process = await world.start_process("d1")
        for number in range(10):
            answer = await staged(world, f"r-{number}")
            assert answer[0] == 200, answer
        await process.stop()
        context.answered = process.logged("CD4301")
        context.left = process.logged("CD4303")

    play(story)


@then("each request is logged as answered")
def check_logged(context):
    assert len(context.answered) == 10, context.left
    assert context.left == []


@when("a stage's inputs are {lost} once")
def lost_inputs(context, lost):
    async def story(world):
        await stage_world(world)
        replica = {"gone": "s1", "inputs_gone": "e1"}[lost]
        world.replicas[replica].faults.add(lost)
        context.answer = await staged(world, "r-1")
        context.runs = world.replicas["e1"].runs

    play(story)


@then("they are made again and the caller has its answer")
def check_lost_inputs(context):
    assert context.answer[0] == 200, context.answer
    assert context.answer[2].count(b"id: ") == 5
    assert context.runs == ["r-1"]


@when("a request with stages has been answered")
def answered_with_stages(context):
    async def story(world):
        await stage_world(world)
        context.answer = await staged(world, "r-1")
        address = world.daemons["d1"]._settings.peer.address
        context.spans = {
            name: (
                await world.ask(
                    address, "/internal/v1/spans", {"request_id": name}
                )
            )[1]["spans"]
            for name in ("r-1", "r-2")
        }

    play(story)


@then("its spans name the request, its pieces and its attempt")
def check_spans(context):
    assert context.answer[0] == 200
    names = [span["name"] for span in context.spans["r-1"]]
    assert sorted(set(names)) == ["attempt", "pieces", "request"], names
    assert names.count("pieces") == 2, names
    whole = next(s for s in context.spans["r-1"] if s["name"] == "request")
    assert all(
        span["duration_ms"] <= whole["duration_ms"] + 1
        for span in context.spans["r-1"]
    )


@then("another request's id names none of them")
def check_no_spans(context):
    assert context.spans["r-2"] == []
