"""Steps for limits that are divided among all daemons."""

from __future__ import annotations

from behave import given, then, when

from cactusdyke.serving.connection_share import ConnectionShare
from cactusdyke.serving.health import ReplicaHealth
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.stream_exchange import StreamExchange
from cactusdyke.serving.stream_origins import StreamOrigin
from features.steps.serving_steps import (
    ManualClock,
    _deployment_with_desk,
    replica,
)
from features.support import serving_values as values


class OneOfMany(values.CountedDaemons):
    """Daemons of which one does not know at first how many there are."""

    known = False

    def all(self):
        return tuple(range(self.count))

    @property
    def count_known_at(self):
        return 0.0 if self.known else None


class UntoldStreams:
    """Records what a daemon could tell of its streams."""

    def __init__(self):
        self.results = []

    def on_regained(self, hook):
        pass

    def record_result(self, *, accepted, sent_at):
        self.results.append((accepted, sent_at))

    def record_begin(self):
        pass


class FoundMembers:
    """Membership that has found some other daemons."""

    def __init__(self, others):
        self.known_count = 1 + others

    def attach_provider(self, key, provider, reader):
        pass


@given("a daemon among {count:d} that knows only its settings")
def knows_settings(context, count):
    context.clock = ManualClock()
    context.count = count
    context.daemons = OneOfMany(1)
    context.share = ConnectionShare(
        deployment=_deployment_with_desk(100),
        health=(health := ReplicaHealth(clock=context.clock)),
        daemon_count=values.daemon_count_of(context.daemons, context.clock),
    )
    context.health = health
    context.replica = replica("r1", "desk")


@then("it opens one connection to a replica and decides for nobody")
def check_smallest(context):
    assert context.share.has_capacity(context.replica)
    context.health.record_start("r1")
    assert not context.share.has_capacity(context.replica)
    assert not context.daemons.sees_most()


@then("a stream that it can tell nobody of counts as not told")
def check_untold(context):
    class Alone(OneOfMany):
        def all(self):
            return ()

    untold = UntoldStreams()
    exchange = StreamExchange(
        clock=context.clock,
        network=None,
        daemons=Alone(1),
        origins=None,
        untold=untold,
    )
    exchange.tell("stream", StreamOrigin(service="s", version="v"))
    assert untold.results == [(False, context.clock.now())], untold.results


@when("it learns of the others")
def learns(context):
    context.daemons.count = context.count
    context.daemons.known = True


@then("it opens its part of the connections and sees most daemons")
def check_part(context):
    opened = 1
    while context.share.has_capacity(context.replica):
        context.health.record_start("r1")
        opened += 1
    assert opened == 4, opened
    assert context.daemons.sees_most()


@given("a daemon that has {listed} the list, and knows {others:d} others")
def knows_others(context, listed, others):
    context.clock = ManualClock()
    context.view = MemberView(
        clock=context.clock,
        members=FoundMembers(others),
        public_address="a:1",
        size_class=0,
        ready=lambda: True,
        decided_hashes=frozenset,
        min_count=lambda: 4,
        listed_at=lambda: 0.0 if listed == "read" else None,
    )


@when("it has run for {ran:d} ms")
def has_run(context, ran):
    context.clock.ms += ran


@then("the number of daemons is {known}")
def check_known(context, known):
    assert context.view.count_known == (known == "known")


@given("a daemon that counts {count:d} daemons")
def counts(context, count):
    context.clock = ManualClock()
    context.daemons = values.CountedDaemons(count)
    context.divisor = values.daemon_count_of(context.daemons, context.clock)
    assert context.divisor.highest() == count


@when("it counts {count:d} a second later")
def counts_fewer(context, count):
    context.clock.ms += 1_000.0
    context.daemons.count = count


@then("limits are divided by {before:d} until ten seconds later, and then by 4")
def check_divisor(context, before):
    assert context.divisor.highest() == before
    context.clock.ms += 9_900.0
    assert context.divisor.highest() == before
    context.clock.ms += 200.0
    assert context.divisor.highest() == 4
