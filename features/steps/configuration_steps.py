"""Steps about submissions and about what is in force."""

from __future__ import annotations

from typing import Any

import anyio
from behave import given, then, when

from cactusdyke.configuration import loader, objects
from cactusdyke.configuration.history import History
from cactusdyke.configuration.sweeper import Sweeper
from features.support import configuration_machine
from features.support.configuration_world import World
from features.support.deployment import Deployment, answers
from features.support.virtual import run_virtual
from standins.fleet import token_hash

HEAD = objects.HEAD_KEY


def play(context: Any, story: Any) -> None:
    """Runs a story on a fresh world in virtual time."""

    async def run() -> None:
        async with Deployment() as deployment:
            deployment.engine("encoder-1")
            deployment.engine("engine-1")
            deployment.plain("plain-1")
            world = World(deployment)
            context.world = world
            await world.start(context.daemons)
            context.outcome = await story(world)
            await world.settle()

    run_virtual(run)


def changed_parts(world: World) -> list[str]:
    """Returns the store keys of parts that the newest revision wrote."""
    prefix = objects.part_key(f"{world.head().revision - 1}-")
    keys = world.deployment.store.objects
    return [key for key in keys if key.startswith(prefix)]


@given("a configuration world of {count:d} daemons")
def given_world(context, count):
    context.daemons = count


@when("two operators submit at two daemons against the same revision")
def when_race(context):
    async def story(world):
        async with anyio.create_task_group() as tasks:
            for number in (1, 2):
                tasks.start_soon(race, world, number)
        return world.sent[1:]

    async def race(world, number):
        await world.submit(
            f"entry-{number}", marker=float(number + 1), base_revision=1
        )

    play(context, story)


@then("one submission is accepted and the other is in conflict")
def then_one(context):
    assert sorted(s.told[0][0] for s in context.outcome) == [
        "accepted",
        "refused",
    ]
    lost = next(s for s in context.outcome if s.told[0][0] == "refused")
    assert lost.bodies[-1]["error"]["kind"] == "conflict"
    context.message = lost.bodies[-1]["error"]["message"]


@then("the conflict names the customers, the revision and the operator")
def then_names(context):
    for text in ("customers/customer-0", "revision 2", "by operator"):
        assert text in context.message, context.message


@when("a submission is sent again after two later revisions")
def when_again(context):
    async def story(world):
        for marker in (2.0, 3.0, 4.0):
            await world.submit("entry-1", marker=marker)
        await world.send(world.sent[1], "entry-2")
        return world.sent[1]

    play(context, story)


@then("it is told its first revision and nothing changes")
def then_first(context):
    assert context.outcome.told == [("accepted", 2), ("accepted", 2)]
    assert context.outcome.bodies[-1]["repeated"] is True
    assert context.world.head().revision == 4


@when("another submission is sent under an accepted id")
def when_id_taken(context):
    async def story(world):
        body = world.body("submission-0", 9.0)
        return await world.post("entry-2", "/v1/submissions", body)

    play(context, story)


@then("it is refused and names the revision that the id became")
def then_id_taken(context):
    status, body = context.outcome
    assert status == 409
    assert "revision 1" in body["error"]["message"], body


@when("the answer to the head's write is lost")
def when_lost(context):
    async def story(world):
        world.deployment.store.faults["lost_write"] = HEAD
        return await world.submit("entry-1", marker=2.0)

    play(context, story)


@then("the submitter is told the revision that is in force everywhere")
def then_told(context):
    assert context.outcome.told == [("accepted", 2)]
    assert set(context.world.revisions().values()) == {2}


@when("the head's write lands after the next submission was accepted")
def when_late(context):
    async def story(world):
        world.deployment.store.faults.update(late_write=HEAD, late_ms=20_000)
        await world.submit("entry-1", marker=2.0)
        await world.until_equal(2)
        await world.hub.clock.sleep(100)
        await world.submit("entry-2", marker=3.0)
        await world.hub.clock.sleep(20_000)
        return world.sent[1:]

    play(context, story)


@then("both revisions are in force as they were told")
def then_both(context):
    told = [sent.told for sent in context.outcome]
    assert told == [[("accepted", 2)], [("accepted", 3)]], told
    assert context.world.markers == {1: 1.0, 2: 2.0, 3: 3.0}


@when("the store goes down with the answer to the head's write")
def when_unknown(context):
    async def story(world):
        store = world.deployment.store
        store.faults["lost_write"] = HEAD

        async def go_down():
            while "lost_write" in store.faults:
                await world.hub.clock.sleep(5)
            store.faults["down"] = True

        world.hub.start(go_down)
        sent = await world.submit("entry-1", marker=2.0)
        store.faults["down"] = False
        await world.hub.clock.sleep(5_000)
        await world.send(sent, "entry-2")
        return sent

    play(context, story)


@then("the submitter is told that the outcome is unknown")
def then_unknown(context):
    assert context.outcome.told[0] == ("unknown", None)
    assert context.outcome.bodies[1]["error"]["kind"] == "outcome_unknown"


@then("the same id is told its one revision when the store is back")
def then_once(context):
    assert context.outcome.told[1] == ("accepted", 2)
    assert context.world.head().revision == 2


@when("the store goes down while parts are written")
def when_down_among_parts(context):
    async def story(world):
        store = world.deployment.store
        before = store.counts["writes"]

        async def go_down():
            while store.counts["writes"] < before + 3:
                await world.hub.clock.sleep(1)
            store.faults["down"] = True

        world.hub.link("entry-1", "store").delay_ms = 5
        world.hub.start(go_down)
        sent = await world.submit("entry-1", marker=2.0)
        context.head_after = world.head().revision
        store.faults["down"] = False
        await world.hub.clock.sleep(5_000)
        await world.send(sent, "entry-1")
        return sent

    play(context, story)


@then("the submission is refused as not accepted and nothing changes")
def then_refused(context):
    assert context.outcome.told[0] == ("refused", None)
    assert "not accepted" in context.outcome.bodies[1]["error"]["message"]
    assert context.head_after == 1


@then("the same id is accepted when the store is back")
def then_accepted(context):
    assert context.outcome.told[1] == ("accepted", 2)


@when("an operator goes back to the first revision after two others")
def when_back(context):
    async def story(world):
        await world.submit("entry-1", marker=2.0)
        await world.submit("entry-2", marker=3.0)
        sent = await world.submit("entry-3", marker=None, from_revision=1)
        await world.until_equal(4)
        context.history = await world.get("entry-1", "/v1/history")
        context.found = await world.get("entry-2", f"/v1/submissions/{sent.id}")
        return sent

    play(context, story)


@then("a higher revision with the first one's content is in force")
def then_back(context):
    assert context.outcome.told == [("accepted", 4)]
    assert context.world.markers[4] == context.world.markers[1]
    assert context.found[1]["revision"] == 4


@then("the history lists four revisions, the newest first")
def then_history(context):
    listed = context.history[1]["revisions"]
    assert [item["revision"] for item in listed] == [4, 3, 2, 1]
    assert listed[0]["from_revision"] == 1


@when("an operator asks what a submission would change")
def when_dry_run(context):
    async def story(world):
        body = world.body("trial", 7.0, dry_run=True)
        return await world.post("entry-1", "/v1/submissions", body)

    play(context, story)


@then("the changes are listed and the revision stays")
def then_dry_run(context):
    status, body = context.outcome
    assert status == 200
    changed = "~ customers/customer-0/requests_per_second: 1.0 -> 7.0"
    assert changed in body["changes"], body
    assert context.world.head().revision == 1


@when("an operator asks what is in force")
def when_shown(context):
    async def story(world):
        return await world.get("entry-1", "/v1/configuration")

    play(context, story)


@then("the answers are shown and no token hash is")
def then_shown(context):
    status, body = context.outcome
    assert status == 200
    assert body["revision"] == 1
    assert body["answers"]["customers"][0]["requests_per_second"] == 1.0
    assert token_hash("token-0") not in str(body)


@when("revisions are swept down to the last {kept:d} after lost races")
def when_swept(context, kept):
    async def story(world):
        for marker in range(2, 9):
            async with anyio.create_task_group() as tasks:
                for number in (1, 2):
                    tasks.start_soon(race, world, number, float(marker))
        store = world.in_force("entry-1")._object_store
        history = History(object_store=store)
        sweeper = Sweeper(
            clock=world.hub.clock,
            object_store=store,
            history=history,
            kept_revisions=kept,
        )
        while (await sweeper.sweep_oldest()).unwrap():
            pass
        context.kept = kept
        context.loaded = []
        for head in (await history.latest(50)).unwrap():
            loaded = await loader.load(
                head,
                source=loader.StoreSource(object_store=store),
                known=loader.NOTHING,
            )
            context.loaded.append((head.revision, loaded.is_ok()))
            context.named |= {objects.part_key(r) for r in loaded.unwrap().data}

    async def race(world, number, marker):
        await world.submit(f"entry-{number}", marker=marker + number / 10)

    context.named = set()
    play(context, story)


@then("every kept revision can be loaded whole")
def then_kept(context):
    newest = context.world.head().revision
    assert newest == 8
    assert context.loaded == [
        (revision, True)
        for revision in range(newest, newest - context.kept, -1)
    ], context.loaded


@then("no object of a swept revision or lost race is left")
def then_swept(context):
    oldest = context.world.head().revision - context.kept
    left = [
        key
        for key in context.world.deployment.store.objects
        if key.startswith(objects.PART_PREFIX)
        and key not in context.named
        and int(key.removeprefix(objects.PART_PREFIX).split("-")[0]) < oldest
    ]
    assert left == [], left


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
