"""Steps for changes of the store that reach daemons whose sources are lost."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke.serving.state_readers import (
    FOLLOWERS_PER_READER,
    choose_readers,
)
from features.support.state_fleet import KIND, StateFleet, peer
from standins import virtual

CHANGE_AFTER_S = (0.05, 0.45, 0.8)
"""From the begin of the trouble to a change."""
SLOW_MS = 150.0
LATE_ANSWER_MS = 900.0
SETTLE_S = 6.0
AWAY_S = 10.0
MOST_S = 9.0
REFUSED_SHARE = 0.9


@given("{count:d} daemons whose changes must be in force within {bound:d} ms")
def fleet(context, count, bound):
    context.count = count
    context.bound_ms = bound


class _Trouble:
    """What goes wrong, and who can still know of changes."""

    def __init__(self, fleet, count):
        self.fleet = fleet
        self.readers = [
            reader.name
            for reader in choose_readers([peer(n) for n in range(count)])
        ]
        self.aware = set(fleet.states)

    def begin(self, trouble):
        match trouble:
            case "readers that die":
                for name in self.readers:
                    self.fleet.hub.kill(name)
                self.aware -= set(self.readers)
            case "readers that the store refuses":
                self.fleet.rejected |= set(self.readers)
            case "readers that are cut from the store":
                for name in self.readers:
                    self._silence(name, "store")
            case "readers that are unreachable for all":
                for name in self.readers:
                    for other in (*self.fleet.states, "store"):
                        self._silence(name, other)
                self.aware -= set(self.readers)
            case "readers that are slow":
                for name in self.readers:
                    for other in (*self.fleet.states, "store"):
                        self.fleet.hub.link(name, other).delay_ms = SLOW_MS
            case "answers of the store that take long":
                for name in self.readers:
                    link = self.fleet.hub.link("store", name)
                    link.delay_ms = LATE_ANSWER_MS
            case "most daemons being refused by the store":
                count = round(REFUSED_SHARE * len(self.fleet.states))
                names = sorted(self.fleet.states, key=self._rank)
                self.fleet.rejected |= set(names[:count])
            case "the store being away for ten seconds":
                self.fleet.store.faults["down"] = True
            case _:
                raise ValueError(trouble)

    def _rank(self, name):
        return name not in self.readers, name

    def _silence(self, one, other):
        for pair in ((one, other), (other, one)):
            self.fleet.hub.link(*pair).silent = True
            self.fleet.hub.silence_open(*pair)


@when("things change beside {trouble}")
def change(context, trouble):
    context.took_ms = []

    async def story(after_s):
        fleet = StateFleet(count=context.count, apply_ms=context.bound_ms)
        async with fleet:
            struck = _Trouble(fleet, context.count)
            struck.begin(trouble)
            await anyio.sleep(after_s)
            if trouble.startswith("the store being away"):
                fleet.asked.clear()
                await anyio.sleep(AWAY_S)
                context.asked = dict(fleet.asked)
                fleet.store.faults.clear()
            fleet.store.put(KIND, "new", {})
            took_s = await fleet.until_all_have(
                "new", struck.aware, within_s=MOST_S
            )
            context.took_ms.append(took_s * 1_000)
            # Once all have settled on other sources, a change is no slower.
            await anyio.sleep(SETTLE_S)
            fleet.store.put(KIND, "later", {})
            took_s = await fleet.until_all_have(
                "later", struck.aware, within_s=MOST_S
            )
            context.took_ms.append(took_s * 1_000)

    for after_s in CHANGE_AFTER_S:
        virtual.run_virtual(story, after_s, seed=1)


@then("every daemon that can know a change has it within half of that time")
def check_in_time(context):
    assert max(context.took_ms) <= context.bound_ms / 2, context.took_ms


@then("daemons ask each other {most:d} times a second at most, each")
def check_asked(context, most):
    asked = sum(context.asked.values())
    assert asked <= most * AWAY_S * context.count, asked


@then("none is asked more often than a reader with all its followers")
def check_most_asked(context):
    asked = max(context.asked.values(), default=0)
    assert asked <= FOLLOWERS_PER_READER * AWAY_S, asked


@given("links of {rate:g} Mbit/s, of which a tenth are wide")
def narrow_links(context, rate):
    context.rate = rate
    context.packs = True


@given("daemons that send all values as they are")
def unpacked(context):
    context.packs = False


def _fleet_of(context):
    return StateFleet(
        count=context.count,
        apply_ms=context.bound_ms,
        mbit_per_s=context.rate,
        packs=context.packs,
    )


def _large(version):
    """Returns 2,849 routes of the usual shape, 790 kB as JSON."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{version}-{number}",
                "host": f"host-{number % 7}.example",
                "path_prefix": f"/added/{number}/",
                "service": "cactusdyke-pool",
                "kind": "streaming",
                "max_attempts": 2,
                "timeout_ms": 8_000,
                "target_latency_ms": 1_063,
                "target_gap_ms": 400,
                "priority": 1,
                "public": False,
                "sticky": True,
                "resumable": True,
                "stages": [],
                "traffic_split": [],
            }
            for number in range(2_849)
        ],
    }


@when("an object of 790 kB changes twice, and a small one behind it")
def large_changes(context):
    async def story():
        context.took_ms = []
        async with _fleet_of(context) as fleet:
            before = _received(fleet)
            context.readers = [set(fleet.readers)]
            for version in (1, 2):
                fleet.store.put(KIND, "large", _large(version))
                await _until_version(context, fleet, version)
            fleet.store.put(KIND, "small", {})
            took_s = await fleet.until_all_have(
                "small", list(fleet.states), within_s=MOST_S
            )
            context.small_ms = took_s * 1_000
            readers = fleet.readers
            context.received = [
                (total - before[name]) / 2
                for name, total in _received(fleet).items()
                if name not in readers
            ]

    virtual.run_virtual(story, seed=1)


def _received(fleet):
    return {n: link.received_bytes for n, link in fleet.host_links.items()}


async def _until_version(context, fleet, version):
    """Waits until all daemons have a version, and notes how long it took."""
    began = anyio.current_time()
    while True:
        known = [s.version_of("large") for s in fleet.states.values()]
        took_s = anyio.current_time() - began
        if min(known) >= version:
            context.took_ms.append(took_s * 1_000)
            return
        context.readers.append(set(fleet.readers))
        assert took_s < MOST_S, (version, known.count(version), len(known))
        await anyio.sleep(0.01)


@then("every daemon has each change in time, and the small one in half of it")
def check_large_in_time(context):
    assert max(context.took_ms) <= context.bound_ms, context.took_ms
    assert context.small_ms <= context.bound_ms / 2, context.small_ms


@then("a change costs each follower {most:d} kB at most")
def check_received(context, most):
    assert max(context.received) <= most * 1_000, max(context.received)


@then("the same daemons read the store all the while")
def check_same_readers(context):
    others = [r for r in context.readers if r != context.readers[0]]
    assert not others, (context.readers[0], others[0], len(others))


@when("all of them are killed and start again behind an object of 790 kB")
def start_behind_large(context):
    async def story():
        context.took_ms, context.readers = [], []
        async with _fleet_of(context) as fleet:
            for name in list(fleet.states):
                fleet.stop(name)
            fleet.store.put(KIND, "large", _large(1))
            for number in range(context.count):
                fleet.restart(number)
            await _until_version(context, fleet, 1)

    virtual.run_virtual(story, seed=1)


@then("each knows all of it within {most:d} seconds")
def check_started_again(context, most):
    assert max(context.took_ms) <= most * 1_000, context.took_ms
