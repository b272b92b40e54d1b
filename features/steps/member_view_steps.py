"""Steps for the daemons of a deployment as one of them sees them."""

from __future__ import annotations

import attrs
from behave import given, then, when

from cactusdyke.clock import Clock
from cactusdyke.membership.member import Member
from cactusdyke.serving.member_view import CACHE_MS, MemberView


class _Clock(Clock):
    at = 0.0

    def now(self):
        return self.at

    def wall(self):
        return int(self.at)


class _Members:
    """Membership that the test changes directly."""

    def __init__(self, count):
        self.members = {
            f"d{number}": Member(
                name=f"d{number}",
                address=f"d{number}:1",
                data_centre="here",
                region="",
                incarnation=1,
            )
            for number in range(count)
        }

    @property
    def own(self):
        return self.members["d0"]

    @property
    def known_count(self):
        return len(self.members)

    def serving(self):
        return tuple(self.members.values())

    def attach_provider(self, key, provider, reader):
        self.announce = reader


def _announcement(number, **values):
    return {"a": f"d{number}:80", "r": 1, "s": 1, "w": 0, "d": [], **values}


@given("a daemon that knows {count:d} members")
def members(context, count):
    context.clock = _Clock()
    context.members = _Members(count)
    context.view = MemberView(
        clock=context.clock,
        members=context.members,
        public_address="d0:80",
        size_class=0,
        ready=lambda: True,
        decided_hashes=frozenset,
        min_count=lambda: 1,
    )
    for number in range(1, count):
        context.members.announce(f"d{number}", _announcement(number))
    context.before = {d.name: d for d in context.view.all()}
    assert len(context.before) == count


@when("one member {change}")
def one_changes(context, change):
    if change == "becomes busy":
        context.members.announce("d7", _announcement(7, b=1))
    else:
        context.members.members["d7"] = attrs.evolve(
            context.members.members["d7"], address="d7:2", incarnation=2
        )
    # A new configuration revision does not change the description.
    context.members.members["d9"] = attrs.evolve(
        context.members.members["d9"], revision=5
    )
    context.clock.at += CACHE_MS
    context.change = change
    context.after = {d.name: d for d in context.view.all()}


@then("only its description is rebuilt, with the new values")
def check_described(context):
    others = set(context.after) - {"d0", "d7"}
    assert all(context.after[n] is context.before[n] for n in others)
    changed = context.after["d7"]
    if context.change == "becomes busy":
        assert changed.busy
    else:
        assert changed.address == "d7:2"
