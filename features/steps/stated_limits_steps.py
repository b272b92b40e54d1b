"""Steps for the limits that replicas state in their answers."""

from __future__ import annotations

import attrs
from behave import then, when

from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.model import Replica, ReplicaState
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.transport.answer_parser import AnswerHead
from features.support.decider_machine import SERVICE, HandClock
from features.support.serving_values import client_request

REPLICA = Replica(
    name="r1",
    service=SERVICE,
    address="r1:1",
    data_centre="here",
    state=ReplicaState.READY,
    slots=8,
    born=1,
)


class Caller:
    """A request's context, as far as answers are decoded with it."""

    request = client_request()


class Answers:
    """Answers of one replica, as a daemon decodes them."""

    def __init__(self):
        self.clock = HandClock()
        self.limits = StatedLimits(clock=self.clock)
        self._attempts = AttemptRunner(
            clock=self.clock,
            dialect=PlatformDialect(),
            connections=None,
            stated_limits=self.limits,
        )

    def answer(self, limit=None, *, sent_ms_ago=10.0, status=200):
        self.clock.ms += 100.0
        headers = [
            (b"x-attempt-id", b"request"),
            (b"x-response-stamp", b"stamp"),
        ]
        if limit is not None:
            headers.append((b"server-limit", limit.encode()))
        if status != 200:
            headers.append((b"x-not-executed", b"1"))
        self._attempts._decode_head(
            Caller(),
            REPLICA,
            AnswerHead(status=status, headers=headers),
            self.clock.ms - sent_ms_ago,
        )


@when("a replica {answers}")
def replica_answers(context, answers):
    replica = Answers()
    context.limits, context.replica = replica.limits, REPLICA
    match answers:
        case "states no limit":
            replica.answer()
        case "states 1 a second":
            replica.answer("1")
        case "states 2.5, then 1 a second":
            replica.answer("2.5")
            replica.answer("1")
        case "states 1, then answers a later request without":
            replica.answer("1")
            replica.answer()
        case "states 1, then answers an earlier request without":
            replica.answer("1")
            replica.answer(sent_ms_ago=150.0)
        case "states 1, ends it, then states 2":
            replica.answer("1")
            replica.answer()
            replica.answer("2")
        case "states 1, and starts again":
            replica.answer("1")
            context.replica = attrs.evolve(REPLICA, born=2)
        case "states a limit that cannot be read":
            replica.answer("many")
        case "states 1, and refuses a later request without":
            replica.answer("1")
            replica.answer(status=503)
        case _:
            raise ValueError(answers)


@then("its known limit is {limit}")
def check_limit(context, limit):
    known = context.limits.limit_of(context.replica)
    assert known == (None if limit == "none" else float(limit)), known
