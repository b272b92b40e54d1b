"""Steps for daemons that exchange evidence of crashed replicas."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke import events
from features.steps.platform_state_steps import captured_events
from features.support.quarantine_fleet import QuarantineFleet, replica, request
from standins import virtual

BAD = "bad"
TIMEOUT_S = 9.0


@given("{count:d} daemons that watch for crashes")
def fleet(context, count):
    context.count = count


def _play(context, scenario, **options):
    async def run():
        async with QuarantineFleet(count=context.count, **options) as fleet:
            await scenario(fleet)

    virtual.run_virtual(run, seed=1)


async def _three_crashes(fleet, names):
    """Crashes three replicas by one request, each seen by one daemon."""
    for number in range(3):
        seen = names[number % len(names)]
        fleet.crash(number, {seen: [BAD, f"beside-{number}"]})
        await anyio.sleep(0.2)


@when("three of them see a replica crash while running one request")
def three_see(context):
    async def scenario(fleet):
        names = fleet.others or list(fleet.quarantines)
        for number in range(2):
            fleet.crash(number, {names[number % len(names)]: [BAD]})
            await anyio.sleep(1.0)
        fleet.crash(2, {names[2 % len(names)]: [BAD]})
        context.took_s = await fleet.until_all_refuse(
            BAD, list(fleet.quarantines), within_s=TIMEOUT_S
        )

    _play(context, scenario)


@then("all daemons refuse it within {within:d} ms")
@then("all other daemons refuse it within {within:d} ms")
def check_took(context, within):
    assert context.took_s * 1_000 <= within, context.took_s


@when("a collector {fault} and three daemons see a replica crash")
def collector_fault(context, fault):
    async def scenario(fleet):
        affected = fleet.collectors[0]
        names = fleet.others
        match fault:
            case "is frozen":
                fleet.hub.freeze(affected)
            case "has died":
                fleet.hub.kill(affected)
            case "receives no messages":
                for name in fleet.quarantines:
                    fleet.hub.link(name, affected).silent = True
        await _three_crashes(fleet, names)
        rest = [name for name in fleet.quarantines if name != affected]
        context.took_s = await fleet.until_all_refuse(
            BAD, rest, within_s=TIMEOUT_S
        )

    _play(context, scenario)


@when("both collectors die after the {number} crash caused by a request")
def collectors_die(context, number):
    async def scenario(fleet):
        names = fleet.others[:3]
        before = {"first": 1, "second": 2}[number]
        for crashed, name in enumerate(names):
            if crashed == before:
                for affected in fleet.collectors:
                    fleet.hub.kill(affected)
                    fleet.remove(affected)
                await anyio.sleep(1.0)
            fleet.crash(crashed, {name: [BAD]})
            await anyio.sleep(0.2)
        context.took_s = await fleet.until_all_refuse(
            BAD, list(fleet.quarantines), within_s=TIMEOUT_S
        )

    _play(context, scenario)


@when("one is unreachable while three daemons see a replica crash")
def cut_off(context):
    async def scenario(fleet):
        affected = fleet.others[-1]
        fleet.cut_off.add(affected)
        for name in fleet.quarantines:
            fleet.hub.link(name, affected).silent = True
        await _three_crashes(fleet, fleet.others[:3])
        await anyio.sleep(3.0)
        context.before = fleet.refuses(affected, BAD)
        fleet.cut_off.clear()
        await anyio.sleep(1.5)
        context.after = fleet.refuses(affected, BAD)

    _play(context, scenario, probes=True)


@then("it refuses the request once it has probed another daemon")
def check_refused_after_probe(context):
    assert (context.before, context.after) == (False, True)


@when("a minute passes with requests and connections that are reset")
def no_crashes(context):
    async def scenario(fleet):
        for number in range(60):
            for quarantine in fleet.quarantines.values():
                sound = request(f"sound-{number}")
                quarantine.on_attempt_broken(sound, replica(number % 5))
                assert quarantine.refusal(sound) is None
                quarantine.on_served(sound)
            await anyio.sleep(1.0)
        context.messages = fleet.messages.total()
        attachments = [q.attachment for q in fleet.quarantines.values()]
        context.attached = [r.write(None) for r in attachments]

    _play(context, scenario, probes=True)


@then("no daemon has sent any evidence to another one")
def check_no_messages(context):
    assert context.messages == 0, context.messages
    assert not any(context.attached)


@when("a replica crashes while running 40 requests of 20 daemons")
def one_crash(context):
    async def scenario(fleet):
        seen = {name: [f"{name}-1", f"{name}-2"] for name in fleet.others[:20]}
        fleet.crash(1, seen)
        await anyio.sleep(20.0)
        context.messages = fleet.messages
        context.collectors = fleet.collectors

    _play(context, scenario)


@then("each collector gets one message from each daemon that saw it")
def check_messages(context):
    expected = dict.fromkeys(context.collectors, 20)
    assert dict(context.messages) == expected, context.messages


@when("three replicas crash, each while running 300 requests of a daemon")
def many_requests(context):
    async def scenario(fleet):
        names = fleet.others[:3]
        for number, name in enumerate(names):
            beside = [f"{name}-{n}" for n in range(300)]
            fleet.crash(number, {name: [*beside, BAD]})
            await anyio.sleep(0.5)
        context.refusing = [
            name for name in fleet.quarantines if fleet.refuses(name, BAD)
        ]

    _play(context, scenario)


@then("all daemons refuse the request that was in progress at each crash")
def check_all_refuse(context):
    assert len(context.refusing) == context.count, context.refusing


@when("a request is served at {where} that saw none of its two crashes")
def served_elsewhere(context, where):
    async def scenario(fleet):
        names = fleet.others
        collectors = fleet.collectors
        if where == "the last collector":
            fleet.hub.kill(collectors[1])
        places = {"a daemon": names[9], "the last collector": collectors[0]}
        for number in range(2):
            fleet.crash(number, {names[number]: [BAD]})
            await anyio.sleep(0.5)
        fleet.quarantines[places[where]].on_served(request(BAD))
        await anyio.sleep(0.5)
        fleet.crash(2, {names[2]: [BAD]})
        await anyio.sleep(2.0)
        context.refused = [name for name in names if fleet.refuses(name, BAD)]

    _play(context, scenario)


@then("no daemon refuses it after a third crash")
def check_cleared(context):
    assert not context.refused, context.refused


@when("a replica crashes while running two requests with parts")
def crash_with_parts(context):
    async def scenario(fleet):
        name = fleet.others[0]
        fleet.replicas.down.add(replica(1).address)
        for digest, parts in (("one", ["a", "b"]), ("other", ["a"])):
            fleet.quarantines[name].on_attempt_broken(
                request(digest, *parts), replica(1)
            )
        await anyio.sleep(0.5)

    with captured_events() as context.lines:
        _play(context, scenario)


@then("the line of the crash names both, each with its parts")
def check_line(context):
    code = events.Event.REPLICA_CRASHED.code
    # Lines of earlier scenarios come first: eliot keeps them until it has a
    # destination.
    *_, line = [e for e in context.lines if e["message_type"].startswith(code)]
    assert line["suspects"] == {
        "one": ["part a", "part b", "request one"],
        "other": ["part a", "request other"],
    }, line
