"""Steps for membership, in virtual time."""

from __future__ import annotations

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from bench.control import case_membership
from bench.naive.members import FullMeshMembers
from cactusdyke.membership.member import MemberState
from features.support.member_fleet import MemberFleet
from features.support.membership_machine import (
    SETTINGS,
    InvariantViolation,
    MembershipMachine,
)
from standins.virtual import run_virtual

JOIN_MS = 30_000.0


class _NaiveMachine(MembershipMachine):
    kind = FullMeshMembers


def _run_machine(context, machine):
    context.violation = None
    try:
        run_state_machine_as_test(machine, settings=SETTINGS)
    except InvariantViolation as violation:
        context.violation = violation


@when("membership runs through any faults")
def when_machine(context):
    _run_machine(context, MembershipMachine)


@when("naive membership runs through any faults")
def when_naive(context):
    _run_machine(context, _NaiveMachine)


@then("membership kept its invariants")
def then_kept(context):
    assert context.violation is None, context.violation


@then("membership violated an invariant")
def then_broke(context):
    assert context.violation is not None


class _Plan:
    """Collects the actions and checks of steps, for one run in order."""

    def __init__(self, count, prepare=None):
        self.count = count
        self.prepare = prepare
        self.parts = []

    def run(self):
        run_virtual(self._run)

    async def _run(self):
        async with MemberFleet() as fleet:
            fleet.start_all(self.count)
            if self.prepare:
                self.prepare(fleet)
            await fleet.until(lambda: _all_listed(fleet), limit_ms=JOIN_MS)
            for part in self.parts:
                await part(fleet)


def _all_listed(fleet):
    all_names = set(fleet.daemons)
    return fleet.agree() and all(
        fleet.listed(name) == all_names for name in fleet.daemons
    )


def _add_part(context, last=False):
    def add(function):
        context.plan.parts.append(function)
        return function

    return add


@given("a membership of {count:d} daemons")
def given_fleet(context, count):
    context.plan = _Plan(count)


@given("a membership of {count:d} daemons that attach their demand")
def given_attached(context, count):
    context.read = {}

    def prepare(fleet):
        for name, daemon in fleet.daemons.items():
            seen = context.read.setdefault(name, {})
            daemon.members.attach_provider(
                "demand", lambda n=name: {"of": n}, seen.__setitem__
            )

    context.plan = _Plan(count, prepare)


ANNOUNCED = {"a": "10.1.0.41:8625", "w": -1}
"""What each daemon of the platform announces from its start on."""
READY_MS = 2_500.0
LEAD_MS = 16_000.0
"""On the largest deployment traffic starts so long after the daemons."""


@given(
    "a membership of {count:d} daemons that announce themselves like serving"
)
def given_announcing(context, count):
    context.count = count


@when("one of them announces that it decides for a service")
def when_decides(context):
    context.decider = "d-7"


@then("in membership all others have read that within {seconds:d} seconds")
def then_read_decider(context, seconds):
    decider = context.decider

    async def play():
        async with MemberFleet(seed=1) as fleet:
            deciders: set[str] = set()
            read: dict[str, dict[str, object]] = {}

            def announcement(name, started):
                ready = fleet.hub.clock.now() - started > READY_MS
                claims = {"d": [7]} if name in deciders else {}
                return ANNOUNCED | ({"r": 1, "s": 1} if ready else {}) | claims

            fleet.start_all(context.count)
            started = fleet.hub.clock.now()
            for name, daemon in fleet.daemons.items():
                daemon.members.attach_provider(
                    "front",
                    lambda n=name: announcement(n, started),
                    read.setdefault(name, {}).__setitem__,
                )
            await fleet.hub.clock.sleep(LEAD_MS)
            deciders.add(decider)
            await fleet.hub.clock.sleep(seconds * 1_000)
            return [n for n in read if "d" not in read[n].get(decider, {})]

    missing = run_virtual(play, seed=1)
    assert missing == [decider], (len(missing), missing[:10])


@when("membership freezes {name} for {seconds:d} seconds")
def when_freeze(context, name, seconds):
    @_add_part(context)
    async def freeze(fleet):
        fleet.hub.freeze(name)
        await fleet.hub.clock.sleep(seconds * 1000)
        fleet.hub.wake(name)

    context.faulty = name


@when(
    "membership freezes {name} for {seconds:d} seconds while it suspects"
    " {other}"
)
def when_freeze_suspecting(context, name, seconds, other):
    @_add_part(context)
    async def freeze(fleet):
        def suspected():
            return any(
                m.name == other and m.state is MemberState.SUSPECTED
                for m in fleet.daemons[name].members.all()
            )

        fleet.hub.freeze(other)
        await fleet.until(suspected, limit_ms=20_000)
        # A suspended host accepts no connections either.
        fleet.hub.freeze(name)
        for peer in fleet.names:
            fleet.cut(peer, name)
            fleet.hub.link(name, peer).delay_ms = 200
        fleet.hub.wake(other)
        await fleet.hub.clock.sleep(seconds * 1000)
        fleet.heal()
        fleet.hub.wake(name)

    context.faulty = name


@when(
    "membership freezes {name} for {seconds:d} seconds in the middle of a probe"
)
def when_freeze_probing(context, name, seconds):
    @_add_part(context)
    async def freeze(fleet):
        other = next(n for n in fleet.names if n != name)
        fleet.hub.link(name, other).delay_ms = 200
        fleet.hub.link(other, name).delay_ms = 200
        daemon = fleet.daemons[name]
        before = daemon.traffic.messages_sent
        await fleet.until(
            lambda: daemon.traffic.messages_sent > before, limit_ms=5_000
        )
        fleet.hub.freeze(name)
        fleet.hub.link(other, name).silent = True
        await fleet.hub.clock.sleep(seconds * 1000)
        fleet.hub.link(other, name).silent = False
        fleet.hub.wake(name)


@then(
    "in membership {name} keeps {other} in the {seconds:d} seconds after it"
    " resumes"
)
def then_keeps(context, name, other, seconds):
    @_add_part(context)
    async def check(fleet):
        for _ in range(seconds * 10):
            await fleet.hub.clock.sleep(100)
            assert other in fleet.known(name)


@then(
    "in membership {name} suspects no other in the {seconds:d} seconds after it"
    " resumes"
)
def then_suspects_none(context, name, seconds):
    @_add_part(context)
    async def check(fleet):
        for _ in range(seconds * 10):
            await fleet.hub.clock.sleep(100)
            for member in fleet.daemons[name].members.all():
                assert member.state is MemberState.LIVE, member

    context.plan.run()


@when("membership cuts {name} off from {other} alone")
def when_pair(context, name, other):
    @_add_part(context)
    async def cut(fleet):
        fleet.cut(name, other)


@when("membership cuts {name} off from all others for {seconds:d} seconds")
def when_isolate(context, name, seconds):
    @_add_part(context)
    async def isolate(fleet):
        for other in fleet.names:
            fleet.cut(name, other)
        await fleet.hub.clock.sleep(seconds * 1000)
        fleet.heal()

    context.faulty = name


@when("membership cuts the regions for {seconds:d} seconds")
def when_regions(context, seconds):
    @_add_part(context)
    async def cut(fleet):
        fleet.cut_region()
        await fleet.hub.clock.sleep(seconds * 1000)
        fleet.heal()
        context.sent_before = {
            n: d.traffic.messages_sent for n, d in fleet.daemons.items()
        }
        context.max_messages = 0
        context.min_share = 1.0
        fleet.hub.start(count, fleet)

    async def count(fleet):
        for _ in range(30):
            await fleet.hub.clock.sleep(1000)
            for name, daemon in list(fleet.daemons.items()):
                sent = daemon.traffic.messages_sent
                context.max_messages = max(
                    context.max_messages, sent - context.sent_before[name]
                )
                context.sent_before[name] = sent
                region = fleet.place(name)[1]
                in_region = [
                    n for n in fleet.names if fleet.place(n)[1] == region
                ]
                share = len(fleet.listed(name)) / len(in_region)
                context.min_share = min(context.min_share, share)


@then(
    "in membership each daemon lists at least half of its region all the time"
)
def then_half(context):
    assert context.min_share >= 0.5, context.min_share


@when("membership restarts {name} with its clock an hour behind")
def when_clock(context, name):
    @_add_part(context)
    async def restart(fleet):
        fleet.kill(name)
        fleet.skew_ms = -3_600_000
        fleet.start(name)


@when("membership puts {name} at the address of {other}")
def when_replace(context, name, other):
    @_add_part(context)
    async def replace(fleet):
        fleet.kill(other)
        fleet.names.append(name)
        fleet.start(name, host=other)


@when("membership lets {name} leave")
def when_leave(context, name):
    @_add_part(context)
    async def leave(fleet):
        await fleet.leave(name)


@when("membership has revision {revision:d} in force at all but {name}")
def when_revision(context, revision, name):
    @_add_part(context)
    async def apply(fleet):
        for other, daemon in fleet.daemons.items():
            daemon.revision = revision if other != name else revision - 1

    context.expected = lambda n: revision if n != name else revision - 1


@then(
    "in membership no other daemon is suspected in the {seconds:d}"
    " seconds after it resumes"
)
def then_unsuspected(context, seconds):
    @_add_part(context)
    async def check(fleet):
        for _ in range(seconds * 10):
            await fleet.hub.clock.sleep(100)
            for name, daemon in fleet.daemons.items():
                if name == context.faulty:
                    continue
                for member in daemon.members.all():
                    suspected = member.state is MemberState.SUSPECTED
                    assert not suspected or member.name == context.faulty, (
                        name,
                        member,
                    )


@then("in membership every daemon knows all within {seconds:d} seconds")
def then_known(context, seconds):
    @_add_part(context)
    async def check(fleet):
        await fleet.until(fleet.agree, limit_ms=seconds * 1000)
        await fleet.hub.clock.sleep(seconds * 1000)

    context.plan.run()


@then("in membership every daemon lists all within {seconds:d} seconds")
def then_listed(context, seconds):
    @_add_part(context)
    async def check(fleet):
        await fleet.until(lambda: _all_listed(fleet), limit_ms=seconds * 1000)

    context.plan.run()


@then(
    "in membership every daemon knows all but {gone} and also {new}"
    " within {seconds:d} seconds"
)
def then_replaced(context, gone, new, seconds):
    @_add_part(context)
    async def check(fleet):
        assert gone not in fleet.daemons and new in fleet.daemons
        await fleet.until(fleet.agree, limit_ms=seconds * 1000)

    context.plan.run()


@then(
    "in membership every daemon lists {name} and {other}"
    " for {seconds:d} seconds"
)
def then_stay(context, name, other, seconds):
    @_add_part(context)
    async def check(fleet):
        for _ in range(seconds):
            await fleet.hub.clock.sleep(1000)
            for daemon in fleet.daemons:
                assert {name, other} <= fleet.listed(daemon)

    context.plan.run()


@then(
    "in membership no daemon sends more than {max_messages:d} messages"
    " in any second of the merge"
)
def then_no_burst(context, max_messages):
    assert 0 < context.max_messages <= max_messages, context.max_messages


@then("in membership no daemon lists {name} after 1 second")
def then_unlisted(context, name):
    @_add_part(context)
    async def check(fleet):
        await fleet.hub.clock.sleep(1000)
        for daemon in fleet.daemons:
            assert name not in fleet.listed(daemon)

    context.plan.run()


def _all_report(fleet, expected, exclude=()):
    return all(
        member.revision == expected(member.name)
        for name, daemon in fleet.daemons.items()
        for member in daemon.members.all()
        if member.name not in exclude
    )


@then(
    "in membership every daemon reports these revisions within"
    " {seconds:d} seconds"
)
def then_all_report(context, seconds):
    @_add_part(context)
    async def check(fleet):
        await fleet.until(
            lambda: _all_report(fleet, context.expected),
            limit_ms=seconds * 1000,
        )


@then(
    "in membership of {name} restarted with nothing in force"
    " no daemon reports revision 7"
)
def then_none_reports(context, name):
    @_add_part(context)
    async def check(fleet):
        fleet.kill(name)
        fleet.start(name)
        fleet.daemons[name].revision = 0
        own = fleet.daemons[name].members.own
        for _ in range(20):
            await fleet.hub.clock.sleep(1000)
            for daemon in fleet.daemons.values():
                for member in daemon.members.all():
                    if member.incarnation >= own.incarnation:
                        assert member.name != name or member.revision == 0

    context.plan.run()


@then(
    "in membership every daemon has read the demand of all others"
    " within 15 seconds"
)
def then_read(context):
    @_add_part(context)
    async def check(fleet):
        def done():
            return all(
                seen == {n: {"of": n} for n in fleet.names if n != name}
                for name, seen in context.read.items()
            )

        await fleet.until(done, limit_ms=15_000)

    context.plan.run()


@when("the membership case of the bench runs tiny")
def when_bench(context):
    context.rows = case_membership.run_case(tiny=True)


@then("its rows compare the project with the naive version")
def then_rows(context):
    project = [r for r in context.rows if r["version"] == "project"]
    naive = [r for r in context.rows if r["version"] == "naive"]
    assert project and naive
    # Only the naive version's message rate grows with the fleet.
    counts = [row["messages_per_s"] for row in project]
    assert max(counts) <= 1.5
    assert naive[-1]["messages_per_s"] > naive[0]["messages_per_s"] * 1.5


@when("six daemons start in two groups that are connected a second later")
def two_groups_start(context):
    async def run():
        async with MemberFleet() as fleet:
            fleet.names = [f"d-{n}" for n in range(6)]
            smaller_group = {"d-2", "d-4"}
            for one in fleet.names:
                for other in fleet.names:
                    if (one in smaller_group) != (other in smaller_group):
                        fleet.cut(one, other)
            for name in fleet.names:
                fleet.start(name)
            await fleet.hub.clock.sleep(1_000)
            context.were_split = not _all_listed(fleet)
            fleet.heal()
            context.joined_ms = await fleet.until(
                lambda: _all_listed(fleet), limit_ms=JOIN_MS
            )

    run_virtual(run)


@then("after that, every daemon lists all within {limit_ms:d} ms")
def joined_within(context, limit_ms):
    assert context.were_split
    assert context.joined_ms <= limit_ms, context.joined_ms
