"""Steps on replicas that say how slow they are."""

from __future__ import annotations

import math
import random

import attrs
import eliot
from behave import given, then, when

from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.dialect import AnswerKind, ReplicaLoad
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.stage_queue import StageQueue
from cactusdyke.transport.answer_parser import AnswerHead
from features.steps.serving_steps import ENGINE, engines, prompt, route
from features.steps.stage_queue_steps import batch_spec, computed, group
from features.support.serving_values import serving_context
from features.support.slow_replicas import (
    SLOW,
    Daemon,
    HandClock,
    LeastOfAll,
    SlowdownIgnored,
    chosen_together,
    latencies,
    machines,
    percentile,
)

SEEDS = (1, 2, 3)
MALFORMED = (
    None,
    "x",
    {},
    [1],
    ["r0", 1, 250],
    ["r0", 1, "fast", 10],
    ["r0", 1, math.nan, 10],
    ["r0", 1, -250, 10],
    ["r0", 1, 0, 10],
    ["r0", 1, 10**400, 10],
    ["r0", 1, 250, -10],
    ["r0", 1, 250, None],
    [["r0"], 1, 250, 10],
)


@when("a daemon sends requests to replicas that are slow in turn")
def slow_in_turn(context):
    context.ratios = [_ratio(Daemon, seed) for seed in SEEDS]
    context.naive = [_ratio(SlowdownIgnored, seed) for seed in SEEDS]


def _ratio(kind, seed):
    options = {"count": 14, "lasts_ms": 4_000.0, "seed": seed}
    usual, _ = latencies(Daemon, slow=False, **options)
    slowed, _ = latencies(kind, slow=True, **options)
    return percentile(slowed, 0.99) / percentile(usual, 0.99)


@then("the 99th percentile is within 1.5 times that without slow ones")
def check_percentile(context):
    assert max(context.ratios) <= 1.5, context.ratios


@then("a daemon that ignores how slow they are exceeds it")
def check_naive_percentile(context):
    assert min(context.naive) > 1.5, context.naive


@when(
    "{daemons:d} daemons with the same report send {each:d} requests each in"
    " 100 ms"
)
def together(context, daemons, each):
    def excess(kind, seed):
        chosen, part_of = chosen_together(
            kind, daemons=daemons, each=each, seed=seed
        )
        return max(count / part_of[name] for name, count in chosen.items())

    context.ours = [excess(Daemon, seed) for seed in SEEDS]
    context.naive = [
        excess(kind, seed)
        for kind in (SlowdownIgnored, LeastOfAll)
        for seed in SEEDS
    ]


@then("no replica gets more than 1.5 times its part of them")
def check_part(context):
    assert max(context.ours) <= 1.5, context.ours


@then("it does if daemons ignore how slow they are or take the least loaded")
def check_naive_part(context):
    assert min(context.naive) > 1.5, context.naive


def _daemon(context):
    """Returns a daemon that has measured the same of all replicas."""
    daemon = Daemon(context.clock, 5)
    for each in context.replicas:
        daemon.health.record_success(each.name, 20.0)
    return daemon


@given("a daemon and a replica that is slow")
def slow_replica(context):
    context.clock = HandClock()
    context.clock.ms = 10_000.0
    context.replicas = machines(3, born=5)
    context.daemon = _daemon(context)
    context.other = ReplicaLoads(clock=context.clock)
    context.other.record(context.replicas[0], SLOW)
    context.encoded = context.other.take_unsent("s")


@when("a report is lost")
def lost(context):
    assert context.encoded
    context.daemon.loads.merge("s", None, find=None)


@when("a report arrives late")
def late(context):
    _merge(context, context.encoded)
    context.clock.ms += context.daemon.loads.decay_ms("s")


@when("a report is older than the decay time")
def too_old(context):
    context.clock.ms += context.daemon.loads.decay_ms("s") + 1.0
    assert context.other.encode_known("s") == []
    name, born, percent, _ = context.encoded[0]
    _merge(context, [[name, born, percent, 501]])


@when("a report is of another incarnation")
def other_incarnation(context):
    context.daemon.loads.record(context.replicas[0], SLOW)
    context.replicas[0] = attrs.evolve(context.replicas[0], born=6)
    known = {replica.name: replica for replica in context.replicas}
    context.daemon.loads.keep(known)
    _merge(context, context.encoded)


@when("a report is of an unknown replica")
def unknown_replica(context):
    _merge(context, [["r9", *context.encoded[0][1:]]])


@when("a report is of another service")
def other_service(context):
    _merge(context, context.encoded, service="t")


@when("a report is malformed")
def malformed(context):
    for value in MALFORMED:
        _merge(context, value)
        _merge(context, [value])
    assert context.daemon.loads.discarded_count >= len(MALFORMED)


def _merge(context, values, service="s"):
    known = {replica.name: replica for replica in context.replicas}
    context.daemon.loads.merge(service, values, find=known.get)


@then("the daemon chooses as without reports")
def chooses_as_without(context):
    uninformed = _daemon(context)
    for _ in range(50):
        context.clock.ms += 1.0
        chosen = context.daemon.choose(context.replicas)
        assert chosen == uninformed.choose(context.replicas)
        for daemon in (context.daemon, uninformed):
            daemon.health.record_start(chosen.name)


@when("a late answer of its last incarnation says that it was fast")
def late_answer(context):
    context.daemon.loads.record(context.replicas[0], SLOW)
    former = attrs.evolve(context.replicas[0], born=4)
    context.daemon.loads.record(former, 1.0)


@then("the daemon knows the replica as slow")
def known_slow(context):
    assert context.daemon.loads.slowdown(context.replicas[0]) == SLOW


@when("a replica that is slow for {stay:d} ms answers every 20 ms")
def answers_often(context, stay):
    clock = HandClock()
    loads = ReplicaLoads(clock=clock)
    only = machines(1)[0]
    for at in range(0, 60_000, 20):
        clock.ms = float(at)
        loads.record(only, SLOW if at // stay % 2 == 0 else 1.0)
    context.decay_ms = loads.decay_ms("s")


@then("its reports lose their weight in {least:d} to {most:d} ms")
def check_decay(context, least, most):
    assert least <= context.decay_ms <= most, context.decay_ms


def _verdict(dialect, values):
    return dialect.decode_answer(
        serving_context(route()),
        AnswerHead(
            status=200,
            headers=[
                (b"x-attempt-id", b"request"),
                (b"x-response-stamp", b"stamp"),
                *((b"x-replica-load", value) for value in values),
            ],
        ),
    )


@when("an answer states the load {value}")
def states_load(context, value):
    values = [part.encode() for part in value.split(";")]
    context.load = _verdict(PlatformDialect(), values).load


@then("it is read as {load}")
def check_load(context, load):
    expected = None
    if load != "absent":
        running, queued, slots, slowdown = load.split()
        expected = ReplicaLoad(
            running=int(running),
            queued=int(queued),
            slots=int(slots),
            slowdown=None if slowdown == "None" else float(slowdown),
        )
    assert context.load == expected, context.load


@when("100 answers state their load by random bytes")
def random_loads(context):
    rng = random.Random(4)
    dialect = PlatformDialect()
    context.lines = []
    eliot.add_destinations(context.lines.append)
    # The first destination gets the lines from before as well.
    context.lines.clear()
    try:
        context.verdicts = [
            _verdict(dialect, [_malformed_value(rng)]) for _ in range(100)
        ]
    finally:
        eliot.remove_destination(context.lines.append)


def _malformed_value(rng):
    """Returns random bytes, or a valid header with a random flaw."""
    if rng.random() < 0.5:
        return rng.randbytes(rng.randrange(100))
    value = bytearray(b"3,0,8,250")
    place = rng.randrange(len(value))
    value[place : place + 1] = rng.choice(
        [b"", b",,", b"-1", b"x", b"\xff", b"0" * 60, b"1e1", b"."]
    )
    # Without its place, or with a point in it, the last figure may be valid.
    return bytes(value) + b","


@then("each of them is an answer without a load")
def check_random(context):
    for verdict in context.verdicts:
        assert verdict.kind is AnswerKind.ANSWER
        assert verdict.load is None, verdict.load


@then("at most {most:d} lines are logged about them")
def check_lines(context, most):
    kinds = [line["message_type"] for line in context.lines]
    lines = [kind for kind in kinds if "replica_load_malformed" in kind]
    assert 1 <= len(lines) <= most, lines


@given("a stage queue of two replicas, of which the better one says it is slow")
def slow_stage_replica(context):
    context.clock = HandClock()
    context.slow = {"r1": SLOW}
    context.queue = StageQueue(
        clock=context.clock,
        spec=batch_spec(),
        reported_slowdown=lambda name: context.slow.get(name, 1.0),
    )
    # The order prefers the replica that holds less.
    context.queue.record_held_result("r2", "r2/9", 1.0, 0.0)


@when("pieces for two calls are queued")
def queue_two_calls(context):
    context.queue.add(group("a", 10))
    context.batches = [context.queue.next_batch(["r1", "r2"]) for _ in range(2)]


@then("the first call goes to the other one and the second to the slow one")
def check_stage_calls(context):
    names = [batch.replica_name for batch in context.batches]
    assert names == ["r2", "r1"], names


@then("a call that took as long as the replica said leaves no mark")
def check_stage_mark(context):
    queue, (_, batch) = context.queue, context.batches
    context.clock.ms += batch.expected_ms
    queue.call_ended(batch, computed(batch))
    context.slow.clear()
    usual = batch.expected_ms / SLOW
    queue.add(group("b", 5, now=context.clock.ms))
    assert math.isclose(queue.next_batch(["r1"]).expected_ms, usual)


def _place(context, placer, number):
    return placer.place(
        str(number), prompt(7, request=number), context.engines, ENGINE
    )


@given("five engines of which the preferred one says that it is slow")
def slow_engine(context):
    context.clock = HandClock()
    context.engines = engines(5)
    context.loads = ReplicaLoads(clock=context.clock)
    context.placer = EnginePlacer(clock=context.clock, loads=context.loads)
    context.preferred = _place(
        context, EnginePlacer(clock=context.clock), number=0
    )
    context.loads.record(context.preferred, SLOW)


@when("a long prompt is placed")
def place_long_prompt(context):
    context.chosen = _place(context, context.placer, number=0)


@then("another engine gets it")
def check_other_engine(context):
    assert context.chosen != context.preferred


@then("a first token that came as late as the engine said leaves no mark")
def check_engine_mark(context):
    only = context.engines = [context.preferred]
    _place(context, context.placer, number=1)
    context.clock.ms += 14_000 * 0.02 * SLOW
    context.loads.record(only[0], SLOW)
    context.placer.record_first_token("1")
    assert context.placer._engines[only[0].name].slowdown == 1.0
