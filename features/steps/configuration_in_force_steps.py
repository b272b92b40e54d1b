"""Steps about the configuration in force."""

from __future__ import annotations

from typing import Any

from behave import then, when

from bench.control import case_in_force, case_store_calls
from cactusdyke.configuration import objects
from features.support import configuration_machine
from features.support.configuration_story import play
from features.support.configuration_world import World
from features.support.deployment import answers

HEAD = objects.HEAD_KEY


@when("all open connections to the store go silent and a change is accepted")
def when_silent(context):
    async def story(world):
        for name in world.deployment.daemons:
            world.hub.silence_open(name, "store")
        # Peers would bring the change; here each daemon is on its own.
        for a in world.deployment.daemons:
            for b in world.deployment.daemons:
                world.hub.link(a, b).cut = a != b
        return await accept_change(world)

    play(context, story)


async def accept_change(world: World, daemon: str = "entry-1") -> float:
    """Submits a change and returns the ms until all have it in force."""
    number = world.head().revision + 1
    sent = await world.submit(daemon, marker=float(number))
    assert sent.told == [("accepted", number)], sent.told
    return await world.until_equal(number)


@when("a configuration change is accepted")
def when_change(context):
    async def story(world):
        await world.hub.clock.sleep(10_000)
        context.watchers = sum(
            world.in_force(name).watches_store
            for name in world.deployment.daemons
        )
        return await accept_change(world)

    play(context, story)


@then("the change is in force everywhere within {limit_ms:d} ms")
@then("the change is in force at all others within {limit_ms:d} ms")
def then_within(context, limit_ms):
    assert context.outcome <= limit_ms, context.outcome


@then("{count:d} daemons watch the store")
def then_watchers(context, count):
    assert context.watchers == count, context.watchers


def watchers_of(world: World, data_centre: str) -> tuple[set[str], set[str]]:
    """Returns the watchers and the followers of a data centre."""
    names = {
        name
        for name, app in world.deployment.daemons.items()
        if app.settings.data_centre == data_centre
    }
    watchers = {n for n in names if world.in_force(n).watches_store}
    return watchers, names - watchers


@when("followers are cut from all other daemons and a change is accepted")
def when_followers_cut(context):
    async def story(world):
        await world.hub.clock.sleep(10_000)
        _, followers = watchers_of(world, "glenorchy")
        assert len(followers) == 2
        for name in followers:
            others = set(world.deployment.daemons) - {name}
            await set_cut(world, {name}, others, cut=True)
        return await accept_change(world)

    play(context, story)


@when("the watchers of a data centre freeze and a change is accepted")
def when_watchers_freeze(context):
    async def story(world):
        await world.hub.clock.sleep(10_000)
        names, _ = watchers_of(world, "glenorchy")
        assert len(names) == 2
        for name in names:
            world.hub.freeze(name)
        began = world.hub.clock.now()
        await world.submit("entry-1", marker=2.0)
        others = [n for n in world.deployment.daemons if n not in names]
        while any(world.revisions()[name] < 2 for name in others):
            await world.hub.clock.sleep(5)
        return world.hub.clock.now() - began

    play(context, story)


@when("a daemon is replaced while the store is down")
def when_replaced(context):
    async def story(world):
        await world.submit("entry-1", marker=2.0)
        await world.until_equal(2)
        deployment = world.deployment
        deployment.store.faults["down"] = True
        deployment.kill_daemon("entry-4")
        await world.hub.clock.sleep(60_000)
        began = world.hub.clock.now()
        await deployment.start_daemon("entry-4", tuple(deployment.daemons))
        while world.revisions()["entry-4"] < 2:
            await world.hub.clock.sleep(5)
        context.replaced_markers = world.markers[2]
        return world.hub.clock.now() - began

    play(context, story)


@then("it has the revision of its peers in force within {limit_ms:d} ms")
def then_replaced(context, limit_ms):
    assert context.outcome <= limit_ms, context.outcome
    assert context.replaced_markers == 2.0


@when("a part of an accepted change is damaged until it is mended")
def when_damaged(context):
    async def story(world):
        store = world.deployment.store
        whole: dict[str, tuple[int, bytes]] = {}

        async def damage():
            while not whole:
                for key, (version, data) in list(store.objects.items()):
                    is_new = key.startswith(objects.part_key("1-"))
                    if is_new and b":2.0" in data and not whole:
                        whole[key] = (version, data)
                        wrong = data.replace(b":2.0", b":9.0")
                        store.objects[key] = (version, wrong)
                await world.hub.clock.sleep(1)

        # The daemon that wrote the parts has them whole; it is lost.
        others = {"entry-2", "entry-3"}
        await set_cut(world, {"entry-1"}, others, cut=True)
        world.hub.link("entry-1", "store").delay_ms = 5
        world.hub.start(damage)
        await world.submit("entry-1", marker=2.0)
        world.deployment.kill_daemon("entry-1")
        await set_cut(world, {"entry-1"}, others, cut=False)
        await world.deployment.start_daemon("entry-1", tuple(others))
        await world.hub.clock.sleep(20_000)
        assert whole
        context.before = set(world.revisions().values())
        store.objects.update(whole)
        return await world.until_equal(2)

    play(context, story)


@then("no daemon had any of the change before it was mended")
def then_none(context):
    assert context.before == {1}, context.before


@then("all have the change once it is mended")
def then_all(context):
    assert set(context.world.revisions().values()) == {2}


@when("a daemon takes the third revision while it still loads the second")
def when_slow_load(context):
    async def story(world):
        await world.hub.clock.sleep(5_000)
        others = ("entry-2", "entry-3")
        await set_cut(world, {"entry-1"}, others, cut=True)
        world.hub.link("store", "entry-1").delay_ms = 1_900
        await world.submit("entry-2", marker=2.0)
        await world.hub.clock.sleep(2_000)
        context.seen = [world.revisions()["entry-1"]]
        await set_cut(world, {"entry-1"}, others, cut=False)
        await world.submit("entry-2", marker=3.0)
        for _ in range(1_000):
            await world.hub.clock.sleep(10)
            if world.revisions()["entry-1"] != context.seen[-1]:
                context.seen.append(world.revisions()["entry-1"])

    play(context, story)


@then("its revisions were 1 and 3, in this order")
def then_no_revert(context):
    assert context.seen == [1, 3], context.seen


@when("a daemon is cut off from the store and from the other data centres")
def when_cut_off(context):
    async def story(world):
        near = {"entry-1", "entry-4"}
        far = {*world.deployment.daemons, "store"} - near
        await set_cut(world, near, far, cut=True)
        await world.hub.clock.sleep(40_000)
        context.cut_off = await call_both(world)
        await set_cut(world, near, far, cut=False)
        await world.hub.clock.sleep(12_000)
        context.healed = await call_both(world)

    play(context, story)


async def set_cut(world: World, near: Any, far: Any, *, cut: bool) -> None:
    for a in near:
        for b in far:
            world.hub.link(a, b).cut = cut
            world.hub.link(b, a).cut = cut


async def call_both(world: World) -> tuple[Any, Any]:
    """Returns the outcomes of a pipeline and a booking at entry-1."""
    async with world.deployment.client(token="token-0") as client:
        client.pin("entry-1:1")
        pipeline = await client.call("/v1/pipelines/summary", {"plan": 1})
        booking = await client.call(
            "/v1/services/hire-booking",
            {"trailer": 1},
            idempotency_key=f"key-{world.hub.clock.now()}",
        )
        return pipeline, booking


@then("it refuses bookings as unconfirmed and still runs pipelines")
def then_cut_off(context):
    pipeline, booking = context.cut_off
    assert pipeline.is_ok(), pipeline
    assert booking.err_value.kind.code == "unconfirmed", booking
    assert str(booking.err_value.ran) == "not_run"
    assert booking.err_value.retry_after_ms
    executions = context.world.deployment.servers["plain-1"].executions
    assert sum(executions.values()) == 1


@then("it takes bookings again after the cut heals")
def then_healed(context):
    pipeline, booking = context.healed
    assert pipeline.is_ok(), pipeline
    assert booking.is_ok(), booking


@when("the configuration's store is down for {minutes:d} minutes")
def when_down(context, minutes):
    async def story(world):
        store = world.deployment.store
        store.faults["down"] = True
        await world.hub.clock.sleep(minutes * 60_000)
        context.confirmations = {
            str(world.in_force(name).confirmation())
            for name in world.deployment.daemons
        }
        store.faults["down"] = False
        began = world.hub.clock.now()
        sent = world.sent[0]
        while sent.told[-1][0] != "accepted" or len(sent.told) < 2:
            sent = await world.submit("entry-1", marker=2.0)
            if sent.told[-1][0] == "accepted":
                break
            await world.hub.clock.sleep(100)
        await world.until_equal(2)
        return world.hub.clock.now() - began

    play(context, story)


@then("every daemon is confirmed by its peers")
def then_by_peers(context):
    assert context.confirmations == {"by_peers"}, context.confirmations


@then("after the outage a change is in force everywhere within {limit_ms:d} ms")
def then_after_outage(context, limit_ms):
    assert context.outcome <= limit_ms, context.outcome


@when("a change removes a pool while a request is before that stage")
def when_removed(context):
    async def story(world):
        world.hub.link("entry-1", "encoder-1").delay_ms = 900
        outcomes = []

        async def call():
            async with world.deployment.client(token="token-0") as client:
                client.pin("entry-1:1")
                outcomes.append(
                    await client.call("/v1/pipelines/summary", {"plan": 1})
                )

        world.hub.start(call)
        await world.hub.clock.sleep(100)
        body = world.body("submission-x", 2.0)
        plain = answers(world.deployment)
        body["answers"]["pools"] = [
            pool for pool in plain["pools"] if pool["name"] == "plain"
        ]
        body["answers"]["jobs"] = []
        status, _ = await world.post("entry-1", "/v1/submissions", body)
        assert status == 200
        await world.until_equal(2)
        assert outcomes == []
        while not outcomes:
            await world.hub.clock.sleep(100)
        await call()
        return outcomes

    play(context, story)


@then("the request is answered whole and later ones are not found")
def then_kept_revision(context):
    first, second = context.outcome
    assert first.is_ok(), first
    assert second.err_value.kind.code == "not_found", second


@when("{count:d} programs of submissions and faults run")
def when_programs(context, count):
    context.violation = configuration_machine.find_violation(examples=count)


@then("no promise about the configuration is broken")
def then_no_violation(context):
    assert context.violation is None, context.violation


@when("the programs run on the naive configuration")
def when_naive(context):
    context.violation = configuration_machine.find_violation(
        examples=20,
        replacements={"cactusdyke.configuration": "bench.naive.configuration"},
    )


@then("a partial, reverted or crossed configuration is found")
def then_naive(context):
    assert context.violation is not None
    assert context.violation.kind in {"partial", "reverted", "crossed"}


@when("the configuration's cases are measured in their smallest size")
def when_measured(context):
    context.force = case_in_force.run_case(tiny=True)
    context.calls = case_store_calls.run_case(tiny=True)


@then("in force and store calls have a row for each column, fault and layout")
def then_rows(context):
    faults = [(row["column"], row["fault"]) for row in context.force]
    assert faults == [
        ("naive", "plain"),
        ("project", "plain"),
        ("project", "peer_cut"),
        ("project", "store_cut"),
        ("project", "silent_watches"),
    ]
    assert {row["changes"] for row in context.force} == {2}
    counted = [row for row in context.calls if "daemons" in row]
    assert [row["column"] for row in counted] == [
        "naive",
        "all daemons watch",
        "project",
        "project, unguarded store",
        "project",
        "all start",
    ]
    assert counted[5]["reads_at_start"] > 0
    in_it = "calls_per_s_per_daemon_in_it"
    assert counted[3][in_it] > counted[4][in_it] > 0
    assert counted[2]["watches_per_s"] > 0
    assert counted[0]["lists_per_s"] > counted[2]["lists_per_s"]


@then("a small change costs a small part of the whole in every layout's row")
def then_bytes(context):
    rows = [row for row in context.calls if "change" in row]
    assert len(rows) == 6
    size = {(r["column"], r["change"]): r["bytes_per_change"] for r in rows}
    for change in ("limit", "replica"):
        split = size["manifests, split pools", change]
        flat = size["flat head, a part a pool", change]
        assert 3 * split < flat < size["one object", change], size
