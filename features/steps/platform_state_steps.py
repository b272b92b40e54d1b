"""Steps of configuration, discovery, addresses and stops on the platform."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import tempfile

import anyio
import eliot
from behave import given, then, when

from cactusdyke.infrastructure.watched_store import StoreObject
from cactusdyke.membership.members import Members
from cactusdyke.platform import decode
from cactusdyke.platform import settings as platform_settings
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from features.steps.platform_forwarding_steps import (
    STREAM_HEADERS,
    plain_world,
    play,
)
from features.support.platform_rig import (
    DaemonProcess,
    configuration,
    replica_entry,
    route,
    until,
)
from standins.fleet import free_port

HUP_DAEMONS = 2
HUP_INTERVAL_S = 0.02


@when("a route is added and then its service changes")
def route_changes(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        first = await world.request("/new/a")
        world.configure(
            [route("look", "plain"), route("new", "plain")], version=5
        )
        began = anyio.current_time()
        while (await world.request("/new/a"))[0] != 200:
            assert anyio.current_time() - began < 2
        context.took = anyio.current_time() - began
        context.first = first[0]
        world.configure([route("look", "plain")], version=3)
        await anyio.sleep(0.3)
        context.after_older = (await world.request("/new/a"))[0]

    play(story)


@then("it is served within a second, and an older version changes nothing")
def check_route_changes(context):
    assert context.first == 404
    assert context.took < 1.0, context.took
    assert context.after_older == 200


@when("the store forgets its history while a replica comes")
def history_gone(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        deployment = world.daemons["d1"]._deployment
        world.store.faults["down"] = True
        await anyio.sleep(0.3)
        await world.add_replica("p9")
        world.store.remove("servers", "p1")
        world.store.forget_history()
        context.during = (await world.request("/look/a"))[0]
        world.store.faults.clear()
        await until(
            lambda: (
                [r.name for r in deployment.usable_replicas("plain")] == ["p9"]
            )
        )
        context.after = (await world.request("/look/a"))[0]

    play(story)


@then("it serves on meanwhile and knows the replica soon after")
def check_history_gone(context):
    assert (context.during, context.after) == (200, 200)


@when("the list holds entries that can't be read")
def bad_entries(context):
    async def story(world):
        await world.add_replica("p1")
        for number, spec in enumerate(
            (
                None,
                "text",
                {"service": "plain"},
                replica_entry("a:1", service=5),
                replica_entry("nowhere"),
                replica_entry("h:1", state="odd"),
                [1, 2],
            )
        ):
            world.store.put("servers", f"bad{number}", spec)
        world.configure([route("look", "plain")])
        await world.start_daemon("d1")
        deployment = world.daemons["d1"]._deployment
        context.usable = [r.name for r in deployment.usable_replicas("plain")]
        context.status = (await world.request("/look/a"))[0]

    play(story)


@then("they name no replica and the others hold")
def check_bad_entries(context):
    assert context.usable == ["p1"]
    assert context.status == 200


@contextlib.contextmanager
def captured_events():
    """Collects the events that are logged within the block."""
    events = []
    eliot.add_destinations(events.append)
    try:
        yield events
    finally:
        eliot.remove_destination(events.append)


EVACUATION_ENTRIES = {
    "empty": {},
    "a text": "text",
    "a list": [1, 2],
    "without value": None,
}


async def _evacuable_world(world):
    world.further_bounds = {"evacuate_ms": 5_000}
    await plain_world(world, replicas=("p1",))


@when("a data centre is evacuated and taken back, its entry {entry}")
def evacuated(context, entry):
    async def story(world):
        await _evacuable_world(world)
        deployment = world.daemons["d1"]._deployment
        context.before = (await world.request("/look/a"))[0]
        world.store.put("evacuations", "here", EVACUATION_ENTRIES[entry])
        began = anyio.current_time()
        await until(lambda: deployment.evacuated == {"here"}, seconds=1.0)
        context.took_s = anyio.current_time() - began
        context.runs = len(world.replicas["p1"].runs)
        context.during = await world.request("/look/a", request_id="r-2")
        context.runs_during = len(world.replicas["p1"].runs) - context.runs
        world.store.remove("evacuations", "here")
        await until(lambda: not deployment.evacuated, seconds=1.0)
        context.after = (await world.request("/look/a", request_id="r-3"))[0]

    with captured_events() as context.events:
        play(story)


@then("its replicas get nothing within a second, and requests after it")
def check_evacuated(context):
    assert context.took_s < 1.0, context.took_s
    assert (context.before, context.after) == (200, 200)
    status, headers, _ = context.during
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert context.runs_during == 0


@then("the log says since when it is evacuated, and from whom that is known")
def check_evacuation_logged(context):
    logged = [e for e in context.events if "data_centre" in e]
    assert [e["message_type"].split(":")[0] for e in logged][-2:] == [
        "CD2209",
        "CD2210",
    ], logged
    assert {e["source"] for e in logged} == {"store"}
    assert logged[0]["backend_servers"] == 1


@when("replicas change ten times beside a daemon that is ready")
def replicas_change(context):
    announced = []

    async def story(world):
        original = Members.announce

        def count(members):
            announced.append(1)
            original(members)

        Members.announce = count
        try:
            await plain_world(world, replicas=("p1",))
            deployment = world.daemons["d1"]._deployment
            for capacity in range(10, 20):
                world.list_replica("p1", capacity=capacity)
                await until(
                    lambda slots=capacity: (
                        deployment.replica("p1").slots == slots
                    )
                )
        finally:
            Members.announce = original

    play(story)
    context.announced = len(announced)


@then("it has announced itself once")
def check_announced_once(context):
    assert context.announced == 1, context.announced


@when("a daemon starts while its data centre is evacuated")
def starts_evacuated(context):
    async def story(world):
        world.further_bounds = {"evacuate_ms": 5_000}
        world.store.put("evacuations", "here", {})
        await plain_world(world, replicas=("p1",))
        context.statuses = [
            (await world.request("/look/a", request_id=f"r-{n}"))[0]
            for n in range(3)
        ]
        context.runs = len(world.replicas["p1"].runs)

    play(story)


@then("it sends nothing there")
def check_sends_nothing(context):
    assert context.statuses == [503] * 3
    assert context.runs == 0


@when("a data centre is evacuated while the store turns a daemon away")
def evacuated_turned_away(context):
    async def story(world):
        await _evacuable_world(world)
        seeds = [world.settings["d1"].peer.address]
        second = await world.start_daemon("d2", seeds)
        second._exchange._states[
            "evacuations"
        ]._store._address = f"127.0.0.1:{free_port()}"
        world.store.put("evacuations", "here", {})
        await anyio.sleep(2)
        context.status = (await world.request("/look/a", daemon="d2"))[0]
        context.runs = len(world.replicas["p1"].runs)

    play(story)


@then("that daemon sends nothing there two seconds later")
def check_turned_away(context):
    assert context.status == 503
    assert context.runs == 0


@when("the store goes down during an evacuation and forgets nothing")
def store_down_evacuated(context):
    async def story(world):
        await _evacuable_world(world)
        deployment = world.daemons["d1"]._deployment
        world.store.put("evacuations", "here", {})
        await until(lambda: deployment.evacuated == {"here"}, seconds=1.0)
        world.store.faults["down"] = True
        await anyio.sleep(2)
        context.evacuated = deployment.evacuated

    play(story)


@then("the data centre stays evacuated")
def check_stays_evacuated(context):
    assert context.evacuated == {"here"}


@when("a daemon starts while the store is down and nobody else is there")
def start_alone(context):
    async def story(world):
        world.store.faults["down"] = True
        await world.add_replica("p1")
        world.configure([route("look", "plain")])
        daemon = await world.start_daemon("d1", ready=False)
        ready = daemon._settings.ready.address
        context.ready = (await world.ask(ready, "/-/ready"))[0]
        context.answer = await world.request("/look/a")
        world.store.faults.clear()
        await until(lambda: daemon.ready)
        context.later = (await world.request("/look/a"))[0]

    play(story)


@then("it is not ready and answers 503 with a time, until the store is back")
def check_start_alone(context):
    assert context.ready == 503
    status, headers, _ = context.answer
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert context.later == 200


@when("a daemon starts while the store is down beside one that knows")
def start_beside(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        world.store.faults["down"] = True
        seed = world.daemons["d1"]._settings.peer.address
        began = anyio.current_time()
        await world.start_daemon("d2", seeds=[seed])
        context.took = anyio.current_time() - began
        context.status = (await world.request("/look/a", daemon="d2"))[0]

    play(story)


@then("it learns configuration and replicas from it within three seconds")
def check_start_beside(context):
    assert context.took < 3.0, context.took
    assert context.status == 200


@when("one of two daemons is asked to stop")
def stops(context):
    async def story(world):
        await plain_world(world, replicas=("p1",))
        seed = world.daemons["d1"]._settings.peer.address
        second = await world.start_daemon("d2", seeds=[seed])
        first = world.daemons["d1"]
        directory = first._settings.directory.address

        async def told():
            _, body = await world.ask(directory, "/-/resolve", {"zone": "here"})
            return sorted(body["addresses"])

        both = sorted(d._settings.front.address for d in world.daemons.values())
        for _ in range(100):
            context.before = await told() == both
            if context.before:
                break
            await anyio.sleep(0.05)
        world.tasks.start_soon(second.stop)
        began = anyio.current_time()
        for _ in range(100):
            if second._settings.front.address not in await told():
                break
            await anyio.sleep(0.02)
        context.took = anyio.current_time() - began
        ready = second._settings.ready.address
        context.ready = (await world.ask(ready, "/-/ready"))[0]
        context.answer = await world.request("/look/a", daemon="d2")

    play(story)


@then("callers are told of the other one within a second")
def check_stops(context):
    assert context.before
    assert context.took < 1.0, context.took
    assert context.ready == 503


@when("daemons with and without a request are asked to stop")
def stop_idle(context):
    async def story(world):
        world.grace_s = 8
        await world.add_replica("p1")
        world.configure([route("look", "plain", timeout_ms=9_000)])
        await world.start_daemon("d1")
        await world.start_daemon("d2")
        world.replicas["p1"].work_ms = 4_500.0
        context.took = {}
        context.answers = []

        async def ask():
            context.answers.append(
                await world.request(
                    "/look/a", headers={"X-Deadline-Ms": "9000"}
                )
            )

        async def stop(name):
            began = anyio.current_time()
            await world.daemons[name].stop()
            context.took[name] = anyio.current_time() - began

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await until(lambda: world.daemons["d1"]._front.in_flight == 1)
            tasks.start_soon(stop, "d1")
            tasks.start_soon(stop, "d2")

    play(story)


@then("the idle one ends after three seconds, the other one with its answer")
def check_stop_idle(context):
    assert 2.9 < context.took["d2"] < 3.5, context.took
    assert 4.0 < context.took["d1"] < 6.0, context.took
    assert context.answers[0][0] == 200


@when("a stream comes to a daemon that has two seconds left")
def late_stream(context):
    async def story(world):
        await world.add_replica("e1", "engine")
        world.configure(
            [route("talk", "engine", kind="streaming", sticky=True)]
        )
        daemon = await world.start_daemon("d1")
        world.tasks.start_soon(daemon.stop)
        await until(lambda: daemon._stopping.started)
        context.answer = await world.request(
            "/talk/stream", headers=STREAM_HEADERS
        )
        context.runs = world.replicas["e1"].runs

    play(story)


@given("a route whose streams were seen to take four seconds")
def long_streams(context):
    context.event_ms = 800.0


@when("a stream comes to a daemon that has under four seconds left")
def late_long_stream(context):
    async def story(world):
        world.grace_s = 4
        engine = await world.add_replica("e1", "engine")
        engine.event_ms = context.event_ms
        world.configure(
            [
                route(
                    "talk",
                    "engine",
                    kind="streaming",
                    sticky=True,
                    timeout_ms=8_000,
                )
            ]
        )
        headers = {**STREAM_HEADERS, "X-Deadline-Ms": "8000"}
        daemon = await world.start_daemon("d1")
        context.seen = await world.request("/talk/stream", headers=headers)
        world.tasks.start_soon(daemon.stop)
        await until(lambda: daemon._stopping.started)
        context.answer = await world.request(
            "/talk/stream", request_id="r-2", headers=headers
        )
        assert context.seen[0] == 200
        context.runs = [run for run in engine.runs if run == "r-2"]

    play(story)


@then("the caller is told at once that it did not run")
def check_late_stream(context):
    status, headers, _ = context.answer
    assert status == 503, context.answer
    assert float(headers["retry-after"]) < 0.2
    assert context.runs == []


@then("it serves those that still come, and asks them to leave")
def check_still_serves(context):
    status, headers, _ = context.answer
    assert status == 200
    assert headers["connection"] == "close"


@when("a daemon runs as a process and its settings break and mend")
def process(context):
    async def story(world):
        await world.add_replica("p1")
        world.configure([route("look", "plain")])
        process = await world.start_process("d1")
        text = process.settings_path.read_text(encoding="utf-8")
        for content in ("node: [", text):
            process.settings_path.write_text(content, encoding="utf-8")
            process.signal(signal.SIGHUP)
            await anyio.sleep(0.3)
        await process.stop()
        context.log = process.log
        context.code = process.code

    play(story)


@then("it keeps the settings it had, logs both, and stops in good order")
def check_process(context):
    assert context.code == 0, context.log
    assert "CD2207" in context.log, context.log
    assert "CD2206" in context.log
    for number in ("CD1001", "CD1002", "CD1003", "CD2201"):
        assert number in context.log, number


@given("settings that lack the store's address")
def bad_settings(context):
    context.settings_text = "node: n\nzone: z\nlisten: {front: '1.2.3.4:5'}\n"


@when("they are loaded")
def load_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(context.settings_text, encoding="utf-8")
        context.loaded = platform_settings.load(str(path))


@then("the error names the file and what is missing")
def check_settings(context):
    failure = context.loaded.unwrap_err()
    assert "settings.yaml" in failure.detail
    assert "ready" in failure.detail, failure.detail


@when("configurations of other shapes are decoded")
def other_shapes(context):
    bare = {"version": 4, "routes": [], "services": []}
    split = configuration(
        [
            {
                **route("a", "x"),
                "traffic_split": [
                    {"service": "plain", "weight": 90},
                    {"service": "engine", "weight": 10},
                ],
            }
        ]
    )
    broken = configuration([{"name": "no host"}])
    unordered = [
        configuration([route("a", "x", stages=stages)])
        for stages in (
            [{"service": "s", "after": [1]}, {"service": "s", "after": [0]}],
            [{"service": "s", "after": [7]}],
        )
    ]
    context.decoded = [
        decode.configuration(spec)
        for spec in (bare, split, broken, *unordered, None, 5)
    ]


@then("what is whole is taken and what is not is refused with a reason")
def check_other_shapes(context):
    bare, split, *rest = context.decoded
    assert bare.unwrap().customers == ()
    assert [t.weight for t in split.unwrap().routes[0].targets] == [90, 10]
    assert all(one.is_err() for one in rest)
    assert "kind" in rest[0].unwrap_err().detail


@when("a whole entry of a replica is decoded, and one without {field}")
def sparse_entry(context, field):
    whole = replica_entry("1.2.3.4:80", state="draining", born=5)
    partial = {name: value for name, value in whole.items() if name != field}
    context.whole, context.partial = (
        decode.replica(StoreObject(name="r", revision=1, spec=spec))
        for spec in (whole, partial)
    )


@then("the whole one is a replica, and the other one is {outcome}")
def check_sparse(context, outcome):
    replica = context.whole.unwrap()
    assert (replica.slots, replica.born) == (6, 5), replica
    assert replica.state.value == "draining"
    assert context.partial.is_ok() == (outcome == "one"), context.partial


@when("two daemons on one address are given the same port for metrics")
def same_metrics_port(context):
    async def story(world):
        await world.add_replica("p1")
        world.configure([route("look", "plain")])
        port = free_port()
        await world.start_daemon("d1", metrics_port=port)
        await world.start_daemon("d2", metrics_port=port)
        request = Request(method="GET", path="/metrics")
        answer = await world.network.fetch(
            f"127.0.0.1:{port}", request, CallOptions()
        )
        context.metrics = (answer.unwrap().status, answer.unwrap().body)
        context.answer = await world.request("/look/x", daemon="d2")

    seen = []
    eliot.add_destinations(seen.append)
    try:
        play(story)
    finally:
        eliot.remove_destination(seen.append)
    context.log = str(seen)


@then("the first tells its metrics there")
def check_metrics(context):
    status, body = context.metrics
    assert status == 200
    assert b"cactusdyke_" in body, body[:200]


@then("the second says that it can't, and serves all the same")
def check_metrics_taken(context):
    assert "CD1007" in context.log, context.log
    assert context.answer[0] == 200, context.answer


@when("the metrics port is given as {text}")
def metrics_given(context, text):
    os.environ[platform_settings.METRICS_VARIABLE] = text
    try:
        context.port = platform_settings.metrics_port()
    finally:
        del os.environ[platform_settings.METRICS_VARIABLE]


@then("it is taken")
def check_port_taken(context):
    assert context.port.unwrap() == 9464


@then("it is refused")
def check_port_refused(context):
    failure = context.port.unwrap_err()
    assert platform_settings.METRICS_VARIABLE in failure.message, failure


@when("daemons get SIGHUP again and again from their first line on")
def hup_during_start(context):
    async def start(world, name):
        path = world._write_settings(name, ())
        address = world.settings[name].front.address
        with DaemonProcess(settings_path=path) as process:
            # The start of the interpreter itself is not the daemon's.
            await until(lambda: process.ignores(signal.SIGHUP))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hang_up, process)
                await world.listens(address)
                tasks.cancel_scope.cancel()
            await process.stop()
        context.codes.append(process.code)

    async def hang_up(process):
        while True:
            process.signal(signal.SIGHUP)
            await anyio.sleep(HUP_INTERVAL_S)

    async def story(world):
        world.configure([route("look", "plain")])
        async with anyio.create_task_group() as tasks:
            for number in range(HUP_DAEMONS):
                tasks.start_soon(start, world, f"h{number}")
        path = world._write_settings("d1", ())
        settings = world.settings["d1"]
        daemon = await world.start_daemon("d1")
        path = pathlib.Path(world.folder) / "d1.yaml"
        text = path.read_text(encoding="utf-8")
        daemon._settings = settings
        path.write_text(text.replace("grace_s: 3", "grace_s: 5"), "utf-8")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemon._look_at_settings)
            await anyio.sleep(0.1)
            context.grace_ms = daemon._settings.grace_ms
            tasks.cancel_scope.cancel()

    context.codes = []
    play(story)


@then("they become ready")
def check_hup(context):
    assert context.codes == [0] * HUP_DAEMONS, context.codes


@then("settings that changed during the start are in force")
def check_changed_during_start(context):
    assert context.grace_ms == 5_000.0
