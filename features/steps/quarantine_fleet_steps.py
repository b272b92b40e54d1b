"""Steps of daemons that tell one another of crashed replicas."""

from __future__ import annotations

import anyio
from behave import given, then, when

from features.support.quarantine_fleet import QuarantineFleet, replica, request
from standins import virtual

BAD = "bad"
FOUND_S = 9.0


@given("{count:d} daemons that watch for crashes")
def fleet(context, count):
    context.count = count


def _play(context, story, **options):
    async def run():
        async with QuarantineFleet(count=context.count, **options) as fleet:
            await story(fleet)

    virtual.run_virtual(run, seed=1)


async def _three_crashes(fleet, names):
    """Crashes three replicas under one request, each seen by one daemon."""
    for number in range(3):
        seen = names[number % len(names)]
        fleet.crash(number, {seen: [BAD, f"beside-{number}"]})
        await anyio.sleep(0.2)


@when("three of them see a replica crash under one request")
def three_see(context):
    async def story(fleet):
        names = fleet.others or list(fleet.quarantines)
        for number in range(2):
            fleet.crash(number, {names[number % len(names)]: [BAD]})
            await anyio.sleep(1.0)
        fleet.crash(2, {names[2 % len(names)]: [BAD]})
        context.took = await fleet.until_all_refuse(
            BAD, list(fleet.quarantines), within_s=FOUND_S
        )

    _play(context, story)


@then("all daemons refuse it within {within:d} ms")
@then("all other daemons refuse it within {within:d} ms")
def check_took(context, within):
    assert context.took * 1_000 <= within, context.took


@when("a collector {fault} and three daemons see a replica crash")
def collector_fault(context, fault):
    async def story(fleet):
        lost = fleet.collectors[0]
        names = fleet.others
        match fault:
            case "is frozen":
                fleet.hub.freeze(lost)
            case "has died":
                fleet.hub.kill(lost)
            case "hears of nobody":
                for name in fleet.quarantines:
                    fleet.hub.link(name, lost).silent = True
        await _three_crashes(fleet, names)
        rest = [name for name in fleet.quarantines if name != lost]
        context.took = await fleet.until_all_refuse(BAD, rest, within_s=FOUND_S)

    _play(context, story)


@when("both collectors die after the {number} crash under one request")
def collectors_die(context, number):
    async def story(fleet):
        names = fleet.others[:3]
        before = {"first": 1, "second": 2}[number]
        for crashed, name in enumerate(names):
            if crashed == before:
                for lost in fleet.collectors:
                    fleet.hub.kill(lost)
                    fleet.lose(lost)
                await anyio.sleep(1.0)
            fleet.crash(crashed, {name: [BAD]})
            await anyio.sleep(0.2)
        context.took = await fleet.until_all_refuse(
            BAD, list(fleet.quarantines), within_s=FOUND_S
        )

    _play(context, story)


@when("one is cut off as three daemons see a replica crash")
def cut_off(context):
    async def story(fleet):
        lost = fleet.others[-1]
        fleet.cut_off.add(lost)
        for name in fleet.quarantines:
            fleet.hub.link(name, lost).silent = True
        await _three_crashes(fleet, fleet.others[:3])
        await anyio.sleep(3.0)
        context.before = fleet.refuses(lost, BAD)
        fleet.cut_off.clear()
        await anyio.sleep(1.5)
        context.after = fleet.refuses(lost, BAD)

    _play(context, story, probes=True)


@then("it refuses the request once it has probed another daemon")
def check_heals(context):
    assert (context.before, context.after) == (False, True)


@when("a minute passes with requests and connections that are reset")
def calm(context):
    async def story(fleet):
        for number in range(60):
            for quarantine in fleet.quarantines.values():
                ask = request(f"sound-{number}")
                quarantine.on_attempt_broken(ask, replica(number % 5))
                assert quarantine.refusal(ask) is None
                quarantine.on_served(ask)
            await anyio.sleep(1.0)
        context.messages = fleet.messages.total()
        riders = [q.attachment for q in fleet.quarantines.values()]
        context.carried = [r.write(None) for r in riders]

    _play(context, story, probes=True)


@then("no daemon has sent another one anything about it")
def check_calm(context):
    assert context.messages == 0, context.messages
    assert not any(context.carried)


@when("a replica crashes under 40 requests of 20 daemons")
def one_crash(context):
    async def story(fleet):
        seen = {name: [f"{name}-1", f"{name}-2"] for name in fleet.others[:20]}
        fleet.crash(1, seen)
        await anyio.sleep(20.0)
        context.messages = fleet.messages
        context.collectors = fleet.collectors

    _play(context, story)


@then("there are as many messages as daemons that saw it, to each collector")
def check_messages(context):
    expected = dict.fromkeys(context.collectors, 20)
    assert dict(context.messages) == expected, context.messages


@when("three replicas crash, each under 300 requests of a daemon")
def crowded_crashes(context):
    async def story(fleet):
        names = fleet.others[:3]
        for number, name in enumerate(names):
            beside = [f"{name}-{n}" for n in range(300)]
            fleet.crash(number, {name: [*beside, BAD]})
            await anyio.sleep(0.5)
        context.refusing = [
            name for name in fleet.quarantines if fleet.refuses(name, BAD)
        ]

    _play(context, story)


@then("all daemons refuse the one that was at each crash")
def check_crowded(context):
    assert len(context.refusing) == context.count, context.refusing


@when("a request is served at {where} that saw none of its two crashes")
def served_elsewhere(context, where):
    async def story(fleet):
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

    _play(context, story)


@then("a third crash under it has no daemon refuse it")
def check_cleared(context):
    assert not context.refused, context.refused
