"""Steps for single cases of parts that are blamed for crashes."""

from __future__ import annotations

import types

import anyio
import orjson
from behave import then, when

from cactusdyke import events
from cactusdyke.serving.crash_suspects import CrashSuspects
from cactusdyke.serving.request import (
    Generation,
    PromptPart,
    ServingContext,
)
from cactusdyke.transport.messages import Request
from features.steps.platform_state_steps import captured_events
from features.support.blame_mixes import ManualClock
from features.support.quarantine_fleet import QuarantineFleet, replica, request
from standins.virtual import run_virtual

PART = "bad"
APART_S = 0.4
QUICKLY_S = 0.04
"""Within the time for which a new blame waits."""


def _play(context, scenario):
    async def run():
        async with QuarantineFleet(count=context.count, probes=True) as fleet:
            await scenario(fleet)

    run_virtual(run, seed=1)


async def _crash_with_part(fleet, number):
    crashed = replica(number)
    fleet.replicas.down.add(crashed.address)
    name = fleet.others[number % len(fleet.others)]
    sent = request(f"digest-{number}", "system", PART)
    fleet.quarantines[name].on_attempt_broken(sent, crashed)
    await anyio.sleep(APART_S)


def _refusing(fleet):
    sent = request("new", PART, "system", "other")
    return [n for n, q in fleet.quarantines.items() if q.refusal(sent)]


@when("three replicas crash while running requests with one part")
def crash_three(context):
    async def scenario(fleet):
        for number in range(3):
            await _crash_with_part(fleet, number)
        context.refusing = _refusing(fleet)
        some = fleet.quarantines["d0"]
        shown = await some.show(Request(method="GET", path="/"))
        context.shown = orjson.loads(shown.body)
        lift = {"crashes": [], "harmless": [[f"part {PART}", 0]], "blamed": []}
        lift["harmless"].append(["part system", 0])
        await some.handle(
            Request(method="POST", path="/", body=orjson.dumps(lift))
        )
        await anyio.sleep(6.0)
        context.refusing_after = _refusing(fleet)

    with captured_events() as context.lines:
        _play(context, scenario)


@then("log and state page name the part and the crashes")
def check_told(context):
    code = events.Event.REQUESTS_QUARANTINED.code
    *_, line = [e for e in context.lines if e["message_type"].startswith(code)]
    for told in (line, *context.shown["blamed"]):
        assert f"part {PART}" in told["properties"], told
        assert told["replicas"] == ["r0/0", "r1/0", "r2/0"], told
        assert told["ends_in_ms"] > 0
    assert len(context.shown["blamed"]) == 1, context.shown


@then("all daemons send such requests once an operator lifts it at one")
def check_lifted(context):
    assert len(context.refusing) == context.count, context.refusing
    assert not context.refusing_after, context.refusing_after
    code = events.Event.QUARANTINE_ENDED.code
    ended = [e for e in context.lines if e["message_type"].startswith(code)]
    assert len(ended) >= context.count, len(ended)


@when("a prompt has the parts a, b and c")
def prompt(context):
    generation = Generation(
        model="m",
        prompt_tokens=30,
        output_tokens=5,
        parts=tuple(PromptPart(name=n, tokens=10) for n in "abc"),
    )
    sent = types.SimpleNamespace(
        request=types.SimpleNamespace(generation=generation)
    )
    context.shared_parts = ServingContext.shared_parts.fget(sent)


@then("a crash may be blamed on a and b, and c shares nothing")
def check_shared(context):
    assert context.shared_parts == ["a", "b"], context.shared_parts


def _known():
    clock = ManualClock()
    return clock, CrashSuspects(clock=clock)


def _record(known, number, *parts):
    names = [f"part {part}" for part in parts]
    known.record_crash([f"request {number}", *names], f"r{number}")


@when("four replicas crash at once while running requests with one part")
def crash_at_once(context):
    clock, known = _known()
    context.blamed = []
    for number in range(4):
        _record(known, number, PART)
    context.blamed.append(bool(known.blames()))
    for number in (4, 5):
        clock.at += 1_000.0
        _record(known, number, PART)
        context.blamed.append(bool(known.blames()))


@then("the part is blamed only after crashes at two other moments")
def check_moments(context):
    assert context.blamed == [False, False, True], context.blamed


@when("answers with a part begin at a daemon that sees none of its crashes")
def begins_elsewhere(context):
    async def scenario(fleet):
        witness = fleet.quarantines[fleet.collectors[0]]
        for number in range(3):
            sent = request(f"sound-{number}", "system", PART)
            witness.on_first_event(sent)
            await anyio.sleep(0.3)
            await _crash_with_part(fleet, number)
            witness.on_attempt_ended(sent)
        context.refusing = _refusing(fleet)

    _play(context, scenario)


@then("no daemon refuses requests with it")
def check_spared(context):
    assert not context.refusing, context.refusing


@when("three replicas crash while running requests with the same two parts")
def crash_together(context):
    context.clock, context.known = _known()
    for number in range(3):
        context.clock.at += 1_000.0
        _record(context.known, number, "x", "y")


def _blamed(context, *parts):
    names = frozenset(f"part {part}" for part in parts)
    return context.known.blame_for(names) is not None


@then("requests with both are blamed, and requests with one of them are not")
def check_both(context):
    assert _blamed(context, "x", "y", "other")
    assert not _blamed(context, "x", "other")
    assert not _blamed(context, "y", "other")


@then("two further crashes with one of them alone narrow the blame to it")
def check_narrowed(context):
    context.clock.at += 1_000.0
    _record(context.known, 3, "x")
    context.clock.at += 1_000.0
    _record(context.known, 4, "x")
    assert _blamed(context, "x", "other")
    assert not _blamed(context, "y", "other")


@when("replicas crash while running requests with a part that is common")
def crash_common(context):
    clock, known = _known()
    context.blamed_after = None
    for number in range(8):
        clock.at += 1_000.0
        known.record_crash(
            [f"request {number}", f"part {PART}"],
            f"r{number}",
            common=[f"part {PART}"],
        )
        if known.blames() and context.blamed_after is None:
            context.blamed_after = number + 1


@then("the part is blamed after six crashes")
def check_common(context):
    assert context.blamed_after == 6, context.blamed_after


@when("two requests crash replicas, and others share a part with one of them")
def two_requests(context):
    clock, context.known = _known()
    for number in range(8):
        clock.at += 1_000.0
        replica_name = f"r{number}"
        if number < 3:
            context.known.record_crash(
                ["request one", f"part {PART}"], replica_name
            )
            continue
        context.known.record_crash(["request two"], replica_name)
        if number < 7:
            _record(context.known, number, PART)


@then("both requests are blamed, and the part by itself is not")
def check_requests(context):
    blamed = [blame.properties for blame in context.known.blames()]
    assert frozenset({"request one", f"part {PART}"}) in blamed, blamed
    assert frozenset({"request two"}) in blamed, blamed
    assert frozenset({f"part {PART}"}) not in blamed, blamed


@when("a part is blamed while replicas crash for other reasons too")
def blamed_beside_others(context):
    async def scenario(fleet):
        other = replica(9)
        fleet.replicas.down.add(other.address)
        name = fleet.others[0]
        fleet.quarantines[name].on_attempt_broken(request("other"), other)
        await anyio.sleep(APART_S)
        for number in range(3):
            await _crash_with_part(fleet, number)
        context.sent = {0.0: [], 2.5: []}
        for wait_s, sent in context.sent.items():
            await anyio.sleep(wait_s)
            for name, quarantine in fleet.quarantines.items():
                for number in range(2):
                    tried = request(f"{wait_s}-{number}", PART, "system")
                    if await quarantine.check(tried) is None:
                        sent.append(name)
        context.first = fleet.collectors[0]

    _play(context, scenario)


@then(
    "one daemon sends one such request after two seconds, and all others none"
)
def check_tried(context):
    assert context.sent == {0.0: [], 2.5: [context.first]}, context.sent


@when("a daemon hears that a part is blamed, and then of an answer with it")
def blamed_then_answered(context):
    async def scenario(fleet):
        quarantine = fleet.quarantines["d0"]
        suspects = [[f"part {PART}"]]
        crashes = [[f"r{n}", 200 * n, suspects, []] for n in range(3)]
        quarantine.merge({"crashes": crashes, "harmless": [], "blamed": []})

        async def ask():
            context.answer = await quarantine.check(request("new", PART))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(QUICKLY_S)
            harmless = [[f"part {PART}", 0]]
            quarantine.merge(
                {"crashes": [], "harmless": harmless, "blamed": []}
            )

    _play(context, scenario)


@then("a request that came in between is sent")
def check_waited(context):
    assert context.answer is None, context.answer


def _begin_stream(fleet, number):
    sent = request(f"stream-{number}", "system", PART)
    fleet.quarantines[fleet.others[number]].on_first_event(sent)
    sent.answer_began_at = anyio.current_time() * 1_000
    return sent


async def _crash_stream(fleet, number, sent):
    crashed = replica(number)
    fleet.replicas.down.add(crashed.address)
    fleet.quarantines[fleet.others[number]].on_attempt_broken(sent, crashed)
    await anyio.sleep(APART_S)


@when(
    "three replicas crash while streams with a part have gone on for two"
    " seconds"
)
def crash_long_streams(context):
    async def scenario(fleet):
        streams = [_begin_stream(fleet, number) for number in range(3)]
        await anyio.sleep(2.0)
        for number, sent in enumerate(streams):
            await _crash_stream(fleet, number, sent)
        context.refusing = _refusing(fleet)

    _play(context, scenario)


@when(
    "three replicas crash 100 ms after the first event of requests with a part"
)
def crash_after_first_event(context):
    async def scenario(fleet):
        for number in range(3):
            sent = _begin_stream(fleet, number)
            await anyio.sleep(0.1)
            await _crash_stream(fleet, number, sent)
        context.refusing = _refusing(fleet)

    _play(context, scenario)


@then("every daemon refuses requests with it")
def check_all_refuse(context):
    assert len(context.refusing) == context.count, context.refusing


@when(
    "replicas crash one after the other just after an answer with a part ended"
)
def crash_after_answer(context):
    async def scenario(fleet):
        witness = fleet.quarantines[fleet.others[0]]
        answered = request("sound", "system", PART)
        witness.on_first_event(answered)
        await anyio.sleep(0.3)
        witness.on_attempt_ended(answered)
        for number in range(3):
            crashed = replica(number)
            fleet.replicas.down.add(crashed.address)
            fleet.quarantines[fleet.others[1]].on_attempt_broken(
                request(f"digest-{number}", "system", PART), crashed
            )
            await anyio.sleep(QUICKLY_S)
        await anyio.sleep(APART_S)
        context.refusing = _refusing(fleet)

    _play(context, scenario)


@when("a request with a part that is blamed begins to be answered after all")
def answered_after_all(context):
    async def scenario(fleet):
        for number in range(3):
            await _crash_with_part(fleet, number)
        assert len(_refusing(fleet)) == context.count
        sent = request("sent-before", "system", PART)
        fleet.quarantines[fleet.others[0]].on_first_event(sent)
        await anyio.sleep(APART_S)
        context.refusing = _refusing(fleet)

    _play(context, scenario)


@when("three replicas crash under one part, and then under two")
def crash_under_two(context):
    clock, context.known = _known()
    for number in range(3):
        clock.at += 1_000.0
        _record(context.known, number, "first")
    assert context.known.blames()
    clock.at += 1_000.0
    for number in range(3):
        context.known.record_crash(
            [f"request other-{number}", "part second"], f"r{number}"
        )
    context.received = CrashSuspects(clock=clock)
    context.received.merge(context.known.encode())


@then("the first part stays blamed, also where the evidence is received later")
def check_stays(context):
    for known in (context.known, context.received):
        blamed = [blame.properties for blame in known.blames()]
        assert blamed == [frozenset({"part first"})], blamed
