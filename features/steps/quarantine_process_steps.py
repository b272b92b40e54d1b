"""Steps for requests that crash replicas, with daemons as processes."""

from __future__ import annotations

import itertools
import random
import signal

import anyio
from behave import given, then, when

from cactusdyke.transport.exchange import ExchangeError
from features.steps.platform_forwarding_steps import (
    STAGE_HEADERS,
    STREAM_HEADERS,
    play,
)
from features.support.platform_rig import route, until

DAEMONS = ("d1", "d2", "d3")
MARKER = b"crash-me"
PROPAGATION_S = 1.0
"""Time in which every daemon learns what has crashed three replicas."""
INTERVAL_S = 0.1
UNFRAMED_S = 6.0
OBSERVED_S = 2.0
MAX_LATE_ARRIVALS = 3
LONG_BODY = 60_000
PROMPT_WITH_PART = "aa:60,crash-me:20,bb:20"
"""No two requests with this part are alike otherwise."""

KINDS = {
    "lookup without a body": {"path": "/look/crash-me", "method": "GET"},
    "lookup with a long body": {"path": "/look/a", "body": LONG_BODY},
    "booking": {"path": "/book/a"},
    "stream": {"path": "/talk/stream", "headers": STREAM_HEADERS},
    "resumable stream": {"path": "/resume/stream", "headers": STREAM_HEADERS},
    "stream with stages": {"path": "/stage/stream", "headers": STAGE_HEADERS},
    "stream with a part": {
        "path": "/talk/stream",
        "headers": {**STREAM_HEADERS, "X-Prompt-Prefix": PROMPT_WITH_PART},
    },
}


def platform_routes():
    stages = [
        {"service": "stage", "after": [], "bytes": 1_000},
        {"service": "stage", "after": [0], "bytes": 100},
    ]
    return [
        route("look", "plain"),
        route("book", "plain", kind="non_idempotent"),
        route("talk", "engine", kind="streaming"),
        route("resume", "engine", kind="streaming", resumable=True),
        route("stage", "engine", kind="streaming", stages=stages),
    ]


class Callers:
    """Sends the request that crashes replicas, and harmless ones beside it."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.kind = KINDS[name]
        self.daemons = list(DAEMONS)
        self.refused = []
        self.harmless_answers = []
        self._rng = random.Random(7)
        self._numbers = itertools.count()

    @property
    def replicas(self):
        return list(self.world.replicas.values())

    @property
    def crashes(self):
        return sorted(at for r in self.replicas for at, _ in r.crashes)

    @property
    def arrivals(self):
        return sorted(at for r in self.replicas for at in r.crashing_arrivals)

    async def send_crashing(self, daemon=None):
        """Sends the request once; returns the answer, None for none."""
        request = dict(self.kind)
        if "part" in self.name:
            request["body"] = b"%d" % next(self._numbers)
        elif request.get("method") != "GET":
            length = request.pop("body", 0)
            request["body"] = MARKER + b"." * length
        began = anyio.current_time()
        answer = await self._send(daemon, **request)
        if answer is not None and answer[0] == 503:
            self.refused.append((anyio.current_time() - began, answer))
        return answer

    async def send_harmless(self):
        """Sends a harmless request twice, as a caller that retries."""
        request = dict(self.kind)
        number = next(self._numbers)
        request["path"] = request["path"].replace("crash-me", f"a{number}")
        request["body"] = b"" if "method" in request else b"%d" % number
        if "headers" in request:
            prompt = request["headers"]["X-Prompt-Prefix"]
            request["headers"] = {
                **request["headers"],
                "X-Prompt-Prefix": prompt.replace("crash-me", "cc"),
            }
        answers = [await self._send(None, **request) for _ in range(2)]
        self.harmless_answers += answers

    async def _send(self, daemon, path, **changes):
        try:
            return await self.world.request(
                path,
                daemon=daemon or self._rng.choice(self.daemons),
                request_id=f"r-{next(self._numbers)}",
                **changes,
            )
        except ExchangeError:
            return None

    async def until_crashed(self, times):
        """Sends the request until `times` replicas have crashed."""
        with anyio.fail_after(10):
            while len(self.crashes) < times:
                await self.send_crashing()
                await anyio.sleep(INTERVAL_S)


def _play(context, scenario):
    async def whole(world):
        for number in range(4):
            for service in ("plain", "engine"):
                replica = await world.add_replica(f"{service}{number}", service)
                replica.crashes_on = MARKER
                replica.work_ms = 60.0
        await world.add_replica("s1", "stage")
        world.configure(platform_routes())
        context.processes = dict(
            zip(DAEMONS, await world.start_processes(*DAEMONS), strict=True)
        )
        await anyio.sleep(0.5)
        callers = Callers(world, context.kind)
        await scenario(world, callers)
        context.callers = callers
        context.crashes = callers.crashes
        context.arrivals = callers.arrivals

    play(whole)


@given("three daemons and four replicas that a {kind} crashes")
def crashing_kind(context, kind):
    context.kind = kind


@when("it is sent repeatedly to all daemons, together with harmless requests")
def sent_repeatedly(context):
    async def scenario(world, callers):
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(15):
                while len(callers.crashes) < 3:
                    tasks.start_soon(callers.send_crashing)
                    tasks.start_soon(callers.send_harmless)
                    await anyio.sleep(INTERVAL_S)
            ends_at = callers.crashes[2] + PROPAGATION_S + OBSERVED_S
            while anyio.current_time() < ends_at:
                tasks.start_soon(callers.send_crashing)
                tasks.start_soon(callers.send_harmless)
                await anyio.sleep(INTERVAL_S)

    _play(context, scenario)


@then("it reaches replicas at most three times after it has crashed three")
def check_arrivals(context):
    propagated_at = context.crashes[2] + PROPAGATION_S
    late = [at for at in context.arrivals if at > propagated_at]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(late), len(context.crashes))


@then("it is refused within 500 ms, as not run, with a time to retry after")
def check_refused(context):
    refused = context.callers.refused
    assert len(refused) > OBSERVED_S / INTERVAL_S / 2, len(refused)
    for took_s, (_, headers, _) in refused[-10:]:
        assert took_s < 0.5, took_s
        assert float(headers["retry-after"]) > 0


@then("no harmless request is refused because of it")
def check_harmless(context):
    answers = context.callers.harmless_answers
    answered = [answer for answer in answers if answer is not None]
    assert len(answered) > 20, len(answers)
    refusals = [a[2] for a in answered if a[0] == 503]
    assert not any(b"crashed" in line for line in refusals), refusals
    last = answers[-10:]
    assert all(a is not None and a[0] == 200 for a in last), last


@when("replicas begin unframed answers before they crash")
def begin_unframed(context):
    _crash_in_unframed(context, closes_ms=0.0)


@when("replicas begin unframed answers and listen for 100 ms after they crash")
def listen_after_unframed(context):
    _crash_in_unframed(context, closes_ms=100.0)


def _crash_in_unframed(context, *, closes_ms):
    async def scenario(world, callers):
        for crashing in callers.replicas:
            crashing.closes_ms = closes_ms
            crashing.faults.add("unframed")
            crashing.work_ms = 1.0
            crashing.event_ms = 60.0
        ends_at = anyio.current_time() + UNFRAMED_S
        context.answers = []
        while anyio.current_time() < ends_at:
            context.answers.append(await callers.send_crashing())
            await anyio.sleep(INTERVAL_S)

    _play(context, scenario)


@then("no caller gets such an answer as a whole one")
def check_not_whole(context):
    whole = [a for a in context.answers if a is not None and a[0] == 200]
    assert len(context.answers) > len(context.crashes) >= 3, context.crashes
    assert not whole, whole


@when("it has crashed three replicas and is sent to a daemon that then starts")
def sent_to_started(context):
    async def scenario(world, callers):
        await callers.until_crashed(3)
        await anyio.sleep(PROPAGATION_S)
        context.before = len(callers.arrivals)
        await world.start_process("d4")
        context.answers = [await callers.send_crashing("d4") for _ in range(4)]

    _play(context, scenario)


@when("it has crashed three replicas and is sent to a daemon that was frozen")
def sent_to_frozen(context):
    async def scenario(world, callers):
        callers.daemons.remove("d3")
        context.processes["d3"].signal(signal.SIGSTOP)
        await callers.until_crashed(3)
        await anyio.sleep(PROPAGATION_S)
        context.before = len(callers.arrivals)
        context.processes["d3"].signal(signal.SIGCONT)
        await anyio.sleep(2 * PROPAGATION_S)
        context.answers = [await callers.send_crashing("d3") for _ in range(4)]

    _play(context, scenario)


@when("it has crashed three replicas that each listen for 100 ms more")
def listen_on(context):
    _crash_while_listening(context, down_ms=1_000.0)


@when("it has crashed three replicas that are down from 100 to 250 ms after it")
def back_soon(context):
    _crash_while_listening(context, down_ms=150.0)


def _crash_while_listening(context, *, down_ms):
    async def scenario(world, callers):
        for crashing in callers.replicas:
            crashing.closes_ms = 100.0
            crashing.down_ms = down_ms
        with anyio.fail_after(10):
            while len(callers.crashes) < 3:
                await callers.send_crashing()
                await anyio.sleep(2 * PROPAGATION_S / 3)
        await anyio.sleep(PROPAGATION_S)
        context.before = len(callers.arrivals)
        context.answers = [
            await callers.send_crashing(name) for name in DAEMONS
        ]

    _play(context, scenario)


@when("a daemon learns of its third crash while it waits for its stages")
def learns_while_waiting(context):
    async def scenario(world, callers):
        daemon = await world.start_daemon("d4")
        await callers.send_crashing("d4")
        quarantine = daemon._core.quarantine
        await until(lambda: not quarantine.suspects.empty)
        name = quarantine.suspects.encode()["crashes"][0][2][0][0]
        context.before = len(callers.arrivals)
        stage = next(r for r in callers.replicas if r.name == "s1")
        stage.work_ms = 500.0
        context.answers = []

        async def ask():
            context.answers.append(await callers.send_crashing("d4"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.2)
            crashes = [
                [f"elsewhere-{n}", 100 * n, [[name]], []] for n in range(2)
            ]
            quarantine.merge({"crashes": crashes, "harmless": [], "blamed": []})

    _play(context, scenario)


@when("it has crashed three replicas and is sent to daemons that all died")
def sent_to_restarted(context):
    async def scenario(world, callers):
        await callers.until_crashed(3)
        await anyio.sleep(PROPAGATION_S)
        context.before = len(callers.arrivals)
        for process in context.processes.values():
            process.signal(signal.SIGKILL)
            await process.end()
        await world.start_processes(*DAEMONS)
        context.answers = [
            await callers.send_crashing(name)
            for name in DAEMONS
            for _ in range(2)
        ]

    _play(context, scenario)


@then("it reaches no replica again")
def check_no_more(context):
    assert len(context.arrivals) == context.before, (
        context.before,
        len(context.arrivals),
    )
    for status, headers, _ in context.answers:
        assert status == 503
        assert float(headers["retry-after"]) > 0


@when("five replicas crash while running a lookup that is answered in between")
def crashes_with_lookup(context):
    async def scenario(world, callers):
        async def ask():
            return await world.request(
                "/look/hot", daemon="d1", method="GET", request_id="hot"
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                for daemon in DAEMONS:
                    for _ in range(4):
                        tasks.start_soon(_ask_hot, world, daemon)
                await until(lambda: _busiest(callers).under_way)
                _busiest(callers).crash()
                await anyio.sleep(0.6)
        context.answers = [await ask() for _ in range(3)]

    _play(context, scenario)


def _busiest(callers):
    plain = [r for r in callers.replicas if r.name[0] == "p"]
    return max(plain, key=lambda r: r.under_way)


async def _ask_hot(world, daemon):
    await world.request(
        "/look/hot", daemon=daemon, method="GET", request_id="hot"
    )


@then("the lookup is served afterwards")
@then("the booking is served afterwards")
def check_served(context):
    assert [status for status, _, _ in context.answers] == [200] * 3


@when("replicas cut the answers to one booking eight times")
def answers_cut(context):
    async def scenario(world, callers):
        plain = [r for r in callers.replicas if r.name[0] == "p"]
        for replica in plain:
            replica.faults.add("cut")

        async def book(daemon):
            return await world.request("/book/b", daemon=daemon, body=b"b")

        for number in range(8):
            await book(DAEMONS[number % 3])
        for replica in plain:
            replica.faults.clear()
        await until(lambda: not any(r.faults for r in plain))
        context.answers = [await book(daemon) for daemon in DAEMONS]

    _play(context, scenario)
