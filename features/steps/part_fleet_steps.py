"""Steps for fleets of daemons and requests with a part that crashes."""

from __future__ import annotations

import anyio
from behave import given, then, when

from features.support.part_fleet import PartFleet
from standins.virtual import run_virtual

SEEDS = (1, 2)
MAX_SENT_AFTER_THIRD = 3
MIN_SOUND_SERVED = 20
BAD_EVERY_S = 0.4
SOUND_EVERY_S = 0.05
PLAY_S = 10.0
CONTACT_S = 3.0


def _play(context, scenario):
    async def run(seed):
        async with PartFleet(count=context.count, seed=seed) as fleet:
            fleet.hub.start(_send_sound, fleet)
            await anyio.sleep(1.0)
            await scenario(fleet)
            await anyio.sleep(1.0)
            context.fleets.append(fleet)

    context.fleets = []
    for seed in SEEDS:
        run_virtual(run, seed, seed=seed)


async def _send_sound(fleet):
    await fleet.send_sound(every_s=SOUND_EVERY_S, for_s=PLAY_S + 2.0)


async def _send_bad(fleet):
    await fleet.send_bad(every_s=BAD_EVERY_S, for_s=PLAY_S)


async def _until_crashes(fleet, count):
    while len(fleet.crashed_at) < count:
        await anyio.sleep(0.01)


async def _cut_off(fleet):
    await _until_crashes(fleet, 1)
    affected = fleet.others[: max(2, len(fleet.others) // 10)]
    _set_cut(fleet, affected, cut=True)
    await anyio.sleep(2.0)
    _set_cut(fleet, affected, cut=False)
    await anyio.sleep(CONTACT_S)
    fleet.out_of_touch.clear()


def _set_cut(fleet, affected, *, cut):
    fleet.out_of_touch.update(affected)
    fleet.cut_off = set(affected) if cut else set()
    for one in affected:
        for other in fleet.quarantines:
            fleet.hub.link(one, other).silent = cut
            fleet.hub.link(other, one).silent = cut


async def _restart(fleet, names, *, after_s):
    for name in names:
        fleet.end(name)
    await anyio.sleep(after_s)
    for name in names:
        fleet.start(int(name[1:]))


async def _disturb(fleet, fault):
    match fault:
        case "some are cut off":
            await _cut_off(fleet)
        case "some start again":
            for crashes in (1, 2, 3):
                await _until_crashes(fleet, crashes)
                some = fleet.others[: max(2, len(fleet.others) // 3)]
                await _restart(fleet, some, after_s=0.3)
        case "all lose power":
            for crashes in (2, 3):
                await _until_crashes(fleet, crashes)
                # The crash of that moment dies with the daemon that saw it.
                await anyio.sleep(0.2)
                await _restart(fleet, list(fleet.quarantines), after_s=0.5)
        case "the collectors end":
            for crashes in (1, 2, 3):
                await _until_crashes(fleet, crashes)
                await _restart(fleet, fleet.collectors, after_s=1.0)


@given("{count:d} daemons and requests that share parts, one of which is bad")
def fleet(context, count):
    context.count = count


@when("requests with it come at all daemons, of which {fault}")
def bad_requests(context, fault):
    async def scenario(fleet):
        fleet.hub.start(_disturb, fleet, fault)
        await _send_bad(fleet)

    _play(context, scenario)


@when("replicas crash in waves and no request has the bad part")
def waves(context):
    async def scenario(fleet):
        for _ in range(4):
            for _ in range(3):
                fleet.crash_some(4)
                await anyio.sleep(0.1)
            await anyio.sleep(2.5)

    _play(context, scenario)


@then("at most three of them reach replicas after the third crash")
def check_sent(context):
    sent = [fleet.sent_after_third for fleet in context.fleets]
    assert max(sent) <= MAX_SENT_AFTER_THIRD, sent


@then("no sound request is refused")
def check_sound(context):
    refused = [fleet.sound_refused for fleet in context.fleets]
    served = [fleet.sound_served for fleet in context.fleets]
    assert min(served) >= MIN_SOUND_SERVED, served
    assert not any(refused), refused
