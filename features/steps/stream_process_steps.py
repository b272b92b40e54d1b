"""Steps for streams that callers take up at other daemons, as processes."""

from __future__ import annotations

import signal
import time

import anyio
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.transport.exchange import ExchangeError, connect
from features.support.platform_rig import HOST, KEY, PlatformWorld, route, until

DAEMONS = ("d1", "d2", "d3")
VERSIONS = {"e1": "v1", "e2": "v1", "e3": "v2", "e4": "v2", "e5": "v2"}
STREAMS = 12
EVENTS = 60
EVENT_MS = 20.0
HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "100,60",
    "X-Prompt-Prefix": "a1:80,b2:20",
}
NEARLY = 0.9
AT_ONCE_S = 1.0
LIST_LAG_S = 1.0


class _Rig:
    """Daemons as processes, engines, and callers that read their streams."""

    def __init__(self, world):
        self.world = world
        self.processes = {}
        self.last_events = {}
        self.callers_name_streams = True

    async def start(self):
        for name, version in VERSIONS.items():
            replica = await self.world.add_replica(name, "engine")
            replica.events, replica.event_ms = EVENTS, EVENT_MS
            self.world.list_replica(name, "engine", version=version)
        self.world.configure(
            [
                route(
                    "talk",
                    "engine",
                    kind="streaming",
                    sticky=True,
                    resumable=True,
                    max_attempts=3,
                    timeout_ms=8_000,
                )
            ]
        )
        started = await self.world.start_processes(*DAEMONS)
        self.processes = dict(zip(DAEMONS, started, strict=True))
        await anyio.sleep(LIST_LAG_S)

    async def begin(self, name):
        """Reads a stream from the first daemon until it breaks."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": "8000",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
            **self._prompt(name),
        }
        address = self.world.settings["d1"].front.address
        async with connect(address, clock=SystemClock()) as exchange:
            pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
            await exchange.send("POST", "/talk/stream", pairs, b"")
            await exchange.head()
            try:
                async for chunk in exchange.body():
                    for line in chunk.split(b"\n"):
                        if line.startswith(b"id: "):
                            self.last_events[name] = int(line[4:])
            except ExchangeError:
                return

    async def take_up(self, name, number):
        """Takes a stream up at another daemon."""
        began = time.monotonic()
        named = {"Resumes": name} if self.callers_name_streams else {}
        answer = await self.world.request(
            "/talk/stream",
            daemon=DAEMONS[1 + number % 2],
            request_id=f"{name}-again",
            headers={
                **self._prompt(name),
                **named,
                "X-Deadline-Ms": "8000",
                "Last-Event-Id": str(self.last_events.get(name, 3)),
            },
        )
        return answer, time.monotonic() - began

    def _prompt(self, name):
        if self.callers_name_streams:
            return HEADERS
        return {**HEADERS, "X-Prompt-Prefix": f"a1:80,{name.encode().hex()}:20"}

    def version_of(self, request_id):
        """Returns the versions of the engines that ran a request."""
        return {
            VERSIONS[name]
            for name, replica in self.world.replicas.items()
            if request_id in replica.runs
        }


def _play(context, story):
    async def go():
        async with PlatformWorld() as world:
            context.rig = _Rig(world)
            await context.rig.start()
            await story(context.rig)

    anyio.run(go)


async def _begin_and_kill(rig):
    async with anyio.create_task_group() as tasks:
        for number in range(STREAMS):
            tasks.start_soon(rig.begin, f"s{number}")
        await until(lambda: len(rig.last_events) == STREAMS)
        await anyio.sleep(EVENT_MS / 1_000)
        rig.processes["d1"].signal(signal.SIGKILL)
        await rig.processes["d1"].end()


@given("three daemons, two engines of v1 and three of v2 as processes")
def rig(context):
    context.answers = {}


@when("streams begin at one daemon, which is killed, and go on at the others")
def killed(context):
    async def story(rig):
        await _begin_and_kill(rig)
        for number, name in enumerate(rig.last_events):
            context.answers[name] = await rig.take_up(name, number)
        context.versions = {
            name: (rig.version_of(name), rig.version_of(f"{name}-again"))
            for name in rig.last_events
        }

    _play(context, story)


@then("nearly all go on, each at the software version that began it")
def went_on(context):
    served = [a for a, _ in context.answers.values() if a[0] == 200]
    assert len(served) >= NEARLY * STREAMS, context.answers
    for name, ((status, _, body), _) in context.answers.items():
        began, resumed = context.versions[name]
        if status != 200:
            assert not resumed, context.versions
            continue
        assert began == resumed, (name, context.versions)
        last = context.rig.last_events[name]
        assert body.startswith(f"id: {last + 1}\n".encode()), body[:40]
        assert f"id: {EVENTS - 1}\n".encode() in body, body[-80:]


@when("all engines of v1 leave and callers take their streams up elsewhere")
def version_gone(context):
    async def story(rig):
        await _begin_and_kill(rig)
        for name, version in VERSIONS.items():
            if version == "v1":
                rig.world.store.remove("servers", name)
        await anyio.sleep(LIST_LAG_S)
        of_v1 = [n for n in rig.last_events if rig.version_of(n) == {"v1"}]
        assert of_v1, "no stream began at v1"
        for number, name in enumerate(of_v1):
            context.answers[name] = await rig.take_up(name, number)
        context.runs = [rig.version_of(f"{name}-again") for name in of_v1]
        context.why = "software version v1"

    _play(context, story)


@when("callers take up streams that no daemon began")
def nobody_began(context):
    async def story(rig):
        for number in range(2):
            name = f"stranger{number}"
            context.answers[name] = await rig.take_up(name, number)
        context.runs = [rig.version_of(f"{n}-again") for n in context.answers]
        context.why = "knows which software began"

    _play(context, story)


@then("they are told at once that these did not run, and why")
def told(context):
    for (status, headers, body), took_s in context.answers.values():
        assert status == 503, context.answers
        assert float(headers["retry-after"]) > 0
        assert context.why.encode() in body, body
        assert took_s < AT_ONCE_S, took_s
    assert not any(context.runs), context.runs


@when("one stands still as v2 joins, wakes up, and takes up streams at once")
def stood_still(context):
    async def story(rig):
        of_v2 = [name for name, version in VERSIONS.items() if version == "v2"]
        for name in of_v2:
            rig.world.store.remove("servers", name)
        await anyio.sleep(LIST_LAG_S)
        sleeper = rig.processes["d3"]
        sleeper.signal(signal.SIGSTOP)
        for name in of_v2:
            rig.world.list_replica(name, "engine", version="v2")
        await anyio.sleep(LIST_LAG_S)
        await _begin_and_kill(rig)
        sleeper.signal(signal.SIGCONT)

        async def take_up(name):
            context.answers[name] = await rig.take_up(name, 1)

        async with anyio.create_task_group() as tasks:
            for name in rig.last_events:
                tasks.start_soon(take_up, name)
        context.versions = {
            name: (rig.version_of(name), rig.version_of(f"{name}-again"))
            for name in rig.last_events
        }

    _play(context, story)


@then("each of them goes on at the version that began it, or did not run")
def kept_version(context):
    assert {"v2"} in [began for began, _ in context.versions.values()]
    for name, ((status, _, _), _) in context.answers.items():
        began, resumed = context.versions[name]
        assert status in {200, 503}, (name, status)
        assert resumed == (began if status == 200 else set()), context.versions


async def _begin_unnamed(rig):
    rig.callers_name_streams = False
    for name, version in VERSIONS.items():
        if version == "v2":
            rig.world.store.remove("servers", name)
    await anyio.sleep(LIST_LAG_S)
    await _begin_and_kill(rig)


async def _take_up_all(context, rig):
    for number, name in enumerate(rig.last_events):
        context.answers[name] = await rig.take_up(name, number)
    context.versions = {
        name: (rig.version_of(name), rig.version_of(f"{name}-again"))
        for name in rig.last_events
    }


@when("callers take streams of v1, the only version, up and do not name them")
def unnamed(context):
    async def story(rig):
        await _begin_unnamed(rig)
        await _take_up_all(context, rig)

    _play(context, story)


@when("v2 joins, and callers take streams of v1 up and do not name them")
def unnamed_of_two(context):
    async def story(rig):
        await _begin_unnamed(rig)
        for name, version in VERSIONS.items():
            if version == "v2":
                rig.world.list_replica(name, "engine", version=version)
        await anyio.sleep(LIST_LAG_S)
        await _take_up_all(context, rig)
        context.runs = [resumed for _, resumed in context.versions.values()]
        context.why = "does not name the attempt that began its stream"

    _play(context, story)
