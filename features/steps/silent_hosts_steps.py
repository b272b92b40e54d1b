"""Steps for hosts that fall silent for a while."""

from __future__ import annotations

import math
import socket

import attrs
from behave import given, then, when

from cactusdyke.transport import sockets
from emulator.scenario import Fault, load_scenario
from features.steps.cut_daemons_steps import SCENARIO
from features.support.emulated_plays import play_seeds

SILENCE_S = 1.2
PAUSE_S = 2.0
PAUSES_AT_S = (0.6, 0.8, 1.0, 1.3, 1.5, 1.8)
PAUSE_SEEDS = (1, 2, 3, 4)
SILENT_MS = 1_500
STEP_MS = 50
MOST_MS = 4_000
FIRST_RETRANSMISSION_MS = 200
SPAN_MS = 10_000
IDLE = "while nothing is sent"


@given(
    "daemons and replicas of which one of {service} is silent twice for 1.2 s"
)
def silent_scenario(context, service):
    scenario = load_scenario(SCENARIO).unwrap()
    faults = tuple(
        Fault(
            what="replica_silent", service=service, at_s=at_s, for_s=SILENCE_S
        )
        for at_s in (2.0, 5.0)
    )
    context.emulated = attrs.evolve(scenario, seconds=8, faults=faults)


@given("daemons that have just started, and engines that pause for 2 s")
def pausing_engines(context):
    scenario = load_scenario(SCENARIO).unwrap()
    faults = tuple(
        Fault(what="replica_silent", service="models", at_s=at, for_s=PAUSE_S)
        for at in PAUSES_AT_S
    )
    context.emulated = attrs.evolve(scenario, seconds=6, faults=faults)


@when("they are played with four seeds")
def play_four(context):
    context.plays = play_seeds(context.emulated, PAUSE_SEEDS)


@then("no daemon breaks off an answer that it has begun")
def none_broken_off(context):
    broken_off = [play.counts["answers broken off"] for play in context.plays]
    assert not any(broken_off), broken_off


@then("no request fails or is refused, and none runs twice")
def all_served(context):
    for play in context.plays:
        assert set(play.hows) <= {"on_time", "late"}, play.hows
        assert not play.counts["ran twice"], play.counts
        assert not play.counts["streams not whole"], play.counts


def _option(name):
    return next(v for _, option, v in sockets.AGAINST_SILENCE if option == name)


USER_TIMEOUT_MS = _option(socket.TCP_USER_TIMEOUT)
IDLE_MS = 1_000 * _option(socket.TCP_KEEPIDLE)
INTERVAL_MS = 1_000 * _option(socket.TCP_KEEPINTVL)


def _idle_connection_ends(silent_from, silent_until):
    """Returns when Linux ends an idle connection, as tcp_keepalive_timer does.

    What was last received came at 0. A probe that is answered starts anew.
    """
    received_at, unanswered, now = 0, 0, IDLE_MS
    while now < SPAN_MS:
        if unanswered and now - received_at >= USER_TIMEOUT_MS:
            return now
        if silent_from <= now < silent_until:
            unanswered += 1
            now += INTERVAL_MS
        else:
            received_at, unanswered, now = now, 0, now + IDLE_MS
    return math.inf


def _busy_connection_ends(silent_from, silent_until):
    """Returns when Linux ends a connection with bytes sent at `silent_from`.

    They are sent again after twice as long each time, the last time when the
    user timeout is over, which ends the connection first.
    """
    waited, delay = 0, FIRST_RETRANSMISSION_MS
    while True:
        waited = min(waited + delay, USER_TIMEOUT_MS)
        if waited >= USER_TIMEOUT_MS:
            return silent_from + waited
        if silent_from + waited >= silent_until:
            return math.inf
        delay *= 2


@when("a connection's other host is silent for 1.5 s {when_text}")
def silent(context, when_text):
    ends = _idle_connection_ends if when_text == IDLE else _busy_connection_ends
    context.after_pause = [
        ends(begin, begin + SILENT_MS) for begin in range(0, 5_000, STEP_MS)
    ]
    context.after_silence = ends(0, math.inf)


@then("Linux keeps the connection, whenever the silence begins")
def kept(context):
    assert min(context.after_pause) == math.inf, context.after_pause


@then("ends it within four seconds if the silence stays")
def ended(context):
    assert context.after_silence <= MOST_MS, context.after_silence
