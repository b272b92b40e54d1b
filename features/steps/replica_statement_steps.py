"""Steps for what a daemon keeps of what replicas say of themselves."""

from __future__ import annotations

import attrs
from behave import given, then, when

from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import ReplicaStatement
from cactusdyke.serving.replica_statements import (
    ABSENT_KEPT_MS,
    MAX_ABSENT,
    MAX_REST_MS,
)
from cactusdyke.transport.answer_parser import AnswerHead
from features.steps.serving_steps import replica
from features.support.decider_machine import HandClock

LEAVES = ReplicaStatement(leaves=True)


def _rest(seconds):
    return ReplicaStatement(rest_ms=seconds * 1_000.0)


@given("a daemon with two replicas of a service")
def two_replicas(context):
    context.clock = HandClock()
    context.deployment = Deployment(clock=context.clock)
    context.one = replica("r1", born=5)
    context.other = replica("r2", born=6)
    context.deployment.replace_replicas([context.one, context.other])
    context.statements = context.deployment.statements


def _usable(context):
    return {r.name for r in context.deployment.usable_replicas("plain")}


@when("one says that it leaves")
def says_leaving(context):
    context.statements.record(context.one, LEAVES)


@when("its entry lapses and returns with a higher sequence number")
def lapses(context):
    context.deployment.remove_replica("r1")
    context.clock.ms += ABSENT_KEPT_MS / 2
    context.deployment.put_replica(context.one)


@when("a list without it comes, and then one with it")
def lapses_from_list(context):
    context.deployment.replace_replicas([context.other])
    context.deployment.replace_replicas([context.one, context.other])


@then("it gets no work, and the other one does")
def check_leaving(context):
    assert _usable(context) == {"r2"}, _usable(context)
    assert not context.deployment.is_usable(context.one)
    assert not context.statements.accepts(context.one)
    assert context.statements.accepts(context.other)


@then("it gets work at once as its id has started again")
def check_started_again(context):
    context.deployment.put_replica(attrs.evolve(context.one, born=9))
    assert _usable(context) == {"r1", "r2"}


@then("another id at its address gets work at once")
def check_other_id(context):
    new = attrs.evolve(context.one, name="r3", born=9)
    context.deployment.put_replica(new)
    assert _usable(context) == {"r2", "r3"}


@then("it is forgotten once it has had no entry for two minutes")
def check_forgotten(context):
    context.deployment.remove_replica("r1")
    context.clock.ms += ABSENT_KEPT_MS + 1.0
    context.deployment.remove_replica("r2")
    assert not context.statements.leaving


@then("thousands that have no entry leave room for new ones")
def check_bounded(context):
    for number in range(MAX_ABSENT + 10):
        context.statements.record_leaving(f"x{number}", 1, reason="test")
    context.deployment.put_replica(replica("r9", born=1))
    leaving = context.statements.leaving
    assert len(leaving) <= MAX_ABSENT + 1, len(leaving)
    assert ("r1", 5) in leaving
    assert (f"x{MAX_ABSENT + 9}", 1) in leaving


@when("one asks for rests of {text} seconds in turn")
def asks_for_rest(context, text):
    for seconds in text.split(","):
        context.statements.record(context.one, _rest(float(seconds)))


@then("it gets nothing for {seconds:g} seconds, and then something")
def check_rest(context, seconds):
    context.clock.ms += seconds * 1_000.0 - 1.0
    assert not context.statements.accepts(context.one)
    assert context.statements.accepts(context.other)
    context.clock.ms += 2.0
    assert context.statements.accepts(context.one)


@then("a process that starts under its id has asked for no rest")
def check_rest_of_start(context):
    started = attrs.evolve(context.one, born=9)
    assert context.statements.accepts(started)


@then("an answer 200 within the rest does not end it")
def check_success(context):
    context.statements.record(context.one, ReplicaStatement())
    assert not context.statements.accepts(context.one)


@then("the longest rest kept to is a minute")
def check_longest(context):
    left_ms = context.statements.rest_left_ms(context.one)
    assert left_ms == MAX_REST_MS == 60_000.0, left_ms


@when("an answer of a replica is {status:d} with {headers}")
def answers(context, status, headers):
    pairs = [
        tuple(part.strip().encode() for part in header.split(":", 1))
        for header in headers.split(";")
        if ":" in header
    ]
    context.statement = PlatformDialect().decode_statement(
        AnswerHead(status=status, headers=pairs)
    )


@then("it has said {said}")
def check_said(context, said):
    rest_ms = context.statement.rest_ms
    leaves = context.statement.leaves
    match said.split():
        case ["nothing"]:
            assert (leaves, rest_ms) == (False, None), context.statement
        case ["that", "it", "leaves"]:
            assert (leaves, rest_ms) == (True, None), context.statement
        case ["rest", "for", wanted, "ms"]:
            assert (leaves, rest_ms) == (False, float(wanted))
        case _:
            raise ValueError(said)
