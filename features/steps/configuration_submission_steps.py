"""Steps about submissions of configurations."""

from __future__ import annotations

from json import loads

import anyio
from behave import given, then, when

from cactusdyke.configuration import loader, objects
from cactusdyke.configuration.history import History
from cactusdyke.configuration.sweeper import Sweeper
from features.support.configuration_story import play
from standins.fleet import token_hash

HEAD = objects.HEAD_KEY


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


@when("an operator submits the body {body}")
def when_body(context, body):
    async def story(world):
        answer = await world.post("entry-1", "/v1/submissions", loads(body))
        assert world.head().revision == 1
        return answer

    play(context, story)


@then('the submission ends with {status:d} and "{text}"')
def then_status(context, status, text):
    found, body = context.outcome
    assert found == status, context.outcome
    assert text in body["error"]["message"], body
    assert body["error"]["ran"] == "not_run"
