"""Steps for crowds of clients that misbehave, before one daemon process."""

from __future__ import annotations

import contextlib
import json
import pathlib
import sys
import time
import urllib.request

import anyio
from behave import given, then, when

from cactusdyke.transport.exchange import ExchangeError
from features.steps.platform_forwarding_steps import play
from features.support.platform_rig import configuration, route
from features.support.process_watch import ProcessWatch
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    free_port,
    request_json,
    small_fleet,
)

BUILD = pathlib.Path("build/features/misbehaving_clients")
MEGABYTE = 1 << 20
MEMORY_MB = 100
MAX_FDS = 600
FILES = 200
"""Of the descriptors; sockets share the others."""
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
CROWD_S = 4.0
TRIES = 5
TRY_S = 10.0
BETWEEN_TRIES_S = 0.5


async def small_host(world):
    """Starts a daemon of a host with little memory, and a replica."""
    replica = await world.add_replica("p1")
    limits = configuration([])["limits"]
    world.configure(
        [route("look", "plain", timeout_ms=60_000)],
        limits={
            **limits,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000,
        },
    )
    world.host_limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    metrics_port = free_port()
    process = await world.start_process("d1", metrics_port=metrics_port)
    settings = world.settings["d1"]
    addresses = {
        "front": settings.front.address,
        "directory": settings.directory.address,
        "readiness": settings.ready.address,
        "daemons": settings.peer.address,
        "metrics": f"127.0.0.1:{metrics_port}",
    }
    return process, addresses, replica


async def run_crowd(address, sends, count, seconds=CROWD_S):
    """Runs a crowd; returns what it tells of itself."""
    command = [sys.executable, "-m", "features.support.crowd"]
    done = await anyio.run_process(
        [*command, address, sends, str(count), str(seconds)]
    )
    return json.loads(done.stdout)


async def ask_until_answered(world, **changes):
    """Asks as an ordinary caller does, who comes back when it is refused."""
    answer = None
    for _ in range(TRIES):
        with anyio.move_on_after(TRY_S):
            try:
                answer = await world.request("/look/a", **changes)
            except ExchangeError:
                answer = None
        if answer is not None and answer[0] == 200:
            break
        await anyio.sleep(BETWEEN_TRIES_S)
    return answer


@given("a daemon of a host with 100 MB and 600 descriptors")
def given_small_host(context):
    context.answer_bytes = 0


@given("a replica whose answers have a megabyte")
def given_large_answers(context):
    context.answer_bytes = MEGABYTE


@when("{count:d} clients send {sends} to every port")
def crowds(context, count, sends):
    play_crowd(context, count, sends)


@when("{count:d} clients send {sends} to its {port} port")
def crowd(context, count, sends, port):
    play_crowd(context, count, sends, port)


def play_crowd(context, count, sends, port=None):
    """Plays a crowd at one port, or one at each of them."""

    async def story(world):
        process, addresses, replica = await small_host(world)
        replica.padding = b"x" * context.answer_bytes
        ports = [
            int(address.rpartition(":")[2]) for address in addresses.values()
        ]
        context.watch = ProcessWatch(pid=process.pid, ports=ports)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.watch.run)
            context.crowd = []

            async def run_one(address):
                context.crowd.append(await run_crowd(address, sends, count))

            async with anyio.create_task_group() as crowds:
                for name, address in addresses.items():
                    if port in {None, name}:
                        crowds.start_soon(run_one, address)
            replica.padding = b""
            context.answer = await ask_until_answered(world, body=b"payload")
            tasks.cancel_scope.cancel()
        context.lives = context.watch.sample()

    play(story)


@given("a daemon of the own interface, with 100 MB and 600 descriptors")
def given_own_interface(context):
    limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    fleet = small_fleet(BUILD, daemons=1, further=limits)
    context.own_fleet, answers = fleet.__enter__()
    context.add_cleanup(fleet.__exit__, None, None, None)
    request_json(
        "POST",
        context.own_fleet["entry-1"].address,
        "/v1/submissions",
        {"id": "crowd", "answers": answers},
        token=OPERATOR_TOKEN,
    )
    context.own_fleet.wait_ready(["entry-1"])


def call_until_answered(address):
    """Calls the plain service as an ordinary caller; returns the status."""
    request = urllib.request.Request(
        f"http://{address}/v1/services/hire-booking",
        data=json.dumps({"input": {"a": 7}, "deadline_ms": 3_000}).encode(),
        headers={
            "authorization": f"Bearer {CUSTOMER_TOKEN}",
            "idempotency-key": "afterwards",
        },
        method="POST",
    )
    for _ in range(TRIES):
        with (
            contextlib.suppress(OSError),
            urllib.request.urlopen(request, timeout=TRY_S) as answer,
        ):
            return answer.status
        time.sleep(BETWEEN_TRIES_S)
    return None


@when("{count:d} clients send {sends} to its address")
def own_crowd(context, count, sends):
    daemon = context.own_fleet["entry-1"]
    port = int(daemon.address.rpartition(":")[2])
    context.watch = ProcessWatch(pid=daemon.popen.pid, ports=[port])

    async def story():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.watch.run)
            context.crowd = await run_crowd(daemon.address, sends, count)
            tasks.cancel_scope.cancel()

    anyio.run(story)
    context.answer = (call_until_answered(daemon.address),)
    context.lives = context.watch.sample()


@then("the process lives, within its memory and its descriptors")
def check_lives(context):
    watch = context.watch
    print(
        f"{context.crowd}, {watch.memory_bytes / MEGABYTE:.0f} MB at most,"
        f" {watch.unread_bytes / MEGABYTE:.0f} MB unread,"
        f" {watch.descriptors} descriptors, {watch.sockets} sockets"
    )
    assert context.lives
    assert watch.memory_bytes <= MEMORY_MB * MEGABYTE, watch.memory_bytes
    assert watch.descriptors <= MAX_FDS, watch.descriptors
    assert watch.sockets <= MAX_FDS - FILES, watch.sockets


@then("an ordinary request is answered")
def check_answered(context):
    assert context.answer is not None, "no answer"
    assert context.answer[0] == 200, context.answer


NUMBERS = {
    "of 3,000 digits": "9" * 3_000,
    "two thousand of one": ",".join(["1"] * 2_000),
}
NAMED_DEADLINE_S = 1.0
ORDINARY_S = 0.5
ORDINARY_REQUESTS = 40


@when("a client names {numbers} in {header}, and others ask beside it")
def named_numbers(context, numbers, header):
    async def ask(world, number):
        began = anyio.current_time()
        status, _, _ = await world.request("/look/a", request_id=f"o-{number}")
        context.ordinary.append((status, anyio.current_time() - began))

    async def story(world):
        process, addresses, _ = await small_host(world)
        del addresses
        await world.add_replica("e1", service="engine")
        await world.add_replica("s1", service="stage")
        stages = [
            {"service": "stage", "bytes": 100},
            {"service": "stage", "after": [0], "bytes": 100},
        ]
        world.configure(
            [
                route("look", "plain"),
                route("draft", "engine", kind="streaming", stages=stages),
            ],
            version=9,
            limits={
                **configuration([])["limits"],
                "max_header_bytes": MAX_HEADER_BYTES,
            },
        )
        await anyio.sleep(1)
        context.watch = ProcessWatch(pid=process.pid, ports=[])
        context.ordinary = []
        headers = {
            "X-Model": "m",
            "X-Token-Counts": "20,10",
            "X-Prompt-Prefix": "ab:10,cd:10",
            "X-Piece-Key": "5c",
            "X-Pieces": "1,1",
            "X-Deadline-Ms": f"{1_000 * NAMED_DEADLINE_S:.0f}",
            header: NUMBERS.get(numbers, numbers),
        }
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.watch.run)
            async with anyio.create_task_group() as requests:

                async def ask_named():
                    with anyio.move_on_after(TRY_S):
                        began = anyio.current_time()
                        context.named = (
                            (await world.request("/draft/a", headers=headers))[
                                0
                            ],
                            anyio.current_time() - began,
                        )

                requests.start_soon(ask_named)
                for number in range(ORDINARY_REQUESTS):
                    requests.start_soon(ask, world, number)
                    await anyio.sleep(NAMED_DEADLINE_S / ORDINARY_REQUESTS)
            tasks.cancel_scope.cancel()
        context.lives = context.watch.sample()
        context.crowd = context.named

    context.named = None
    play(story)


@then("it is answered before its deadline, and the others are answered in time")
def check_named_numbers(context):
    assert context.named is not None, "no answer"
    status, took_s = context.named
    assert took_s <= NAMED_DEADLINE_S, context.named
    assert status in {200, 400, 503}, status
    late = [a for a in context.ordinary if a[0] != 200 or a[1] > ORDINARY_S]
    assert not late, late


BODIES = {
    "with a length": (
        f"Content-Length: {MAX_BODY_BYTES}",
        b"x" * MAX_BODY_BYTES,
    ),
    "in large chunks": (
        "Transfer-Encoding: chunked",
        b"".join([b"186a0\r\n" + b"x" * 100_000 + b"\r\n"] * 10) + b"0\r\n\r\n",
    ),
    "in chunks of a byte": (
        "Transfer-Encoding: chunked",
        b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n",
    ),
}


@when("one client sends a body of the largest size {how}")
def largest_body(context, how):
    header, body = BODIES[how]

    async def story(world):
        process, addresses, replica = await small_host(world)
        del process
        host, _, port = addresses["front"].rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            start = (
                "POST /look/a HTTP/1.1\r\nHost: signals.example\r\n"
                "X-Attempt-Id: r-1\r\nX-Deadline-Ms: 60000\r\n"
                f"Authorization: Bearer key-of-council\r\n{header}\r\n\r\n"
            )
            await stream.send(start.encode() + body)
            context.answer = await stream.receive()
        context.bodies = [len(body) for body in replica.bodies]

    play(story)


@then("it is answered, and its replica had the whole body")
def check_whole_body(context):
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer
    assert context.bodies == [MAX_BODY_BYTES], context.bodies
