"""Steps for the evidence against requests that crash replicas."""

from __future__ import annotations

import json
import random
import tracemalloc
import types

import anyio
import prometheus_client
from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.infrastructure.watched_store import Listing, StoreObject
from cactusdyke.platform.registry import DaemonRegistry
from cactusdyke.serving.crash_suspects import (
    MAX_CRASHES,
    MAX_HARMLESS,
    MAX_SHARED_PROPERTIES,
    MAX_SUSPECTS,
    MIN_BLAMED_CRASHES,
    MIN_SHARED_CRASHES,
    QUARANTINE_MS,
    SUSPECT_MS,
    CrashSuspects,
)
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.quarantine import Quarantine
from cactusdyke.transport.messages import Request
from features.support.quarantine_fleet import AcceptingStore, Replicas, request
from features.support.state_fleet import FixedDaemons, peer
from standins.hub import Hub
from standins.virtual import run_virtual

EXAMPLES = 300


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at


APART_MS = 1_000.0
"""Between crashes; replicas that crash together count once."""


def _suspects():
    clock = ManualClock()
    return clock, CrashSuspects(clock=clock)


def quarantined(known):
    """Returns every property that is blamed by itself or with others."""
    return set().union(*(blame.properties for blame in known.blames()))


def left_ms(known, name):
    """Returns how long requests with only this property are refused."""
    blame = known.blame_for(frozenset({name}))
    return blame.ends_at - known._clock.now() if blame else 0


@when("three replicas crash while running one request and others beside it")
def three_crashes(context):
    context.clock, known = _suspects()
    for number in range(3):
        context.clock.at += APART_MS
        known.record_crash(["bad"], f"r{number}")
        known.record_crash(["often"], f"r{number}") if number < 2 else None
        for other in range(20):
            known.record_crash([f"once-{number}-{other}"], f"r{number}")
    context.known = known


@then("it is quarantined for half an hour and the others are not")
def check_one(context):
    assert quarantined(context.known) == {"bad"}
    last_at = context.clock.at
    context.clock.at = last_at + 29 * 60_000.0
    assert left_ms(context.known, "bad") == 60_000.0
    context.clock.at = last_at + 31 * 60_000.0
    assert left_ms(context.known, "bad") == 0
    assert context.known.empty


@when("three replicas crash while running the same two requests")
def same_crashes(context):
    context.clock, context.known = _suspects()
    for number in range(3):
        context.clock.at += APART_MS
        for digest in ("bad", "sound"):
            context.known.record_crash([digest], f"r{number}")


@then("neither is quarantined until a replica crashes while running only one")
def check_apart(context):
    assert quarantined(context.known) == set()
    context.clock.at += APART_MS
    context.known.record_crash(["bad"], "r9")
    assert quarantined(context.known) == {"bad"}


@when("replicas crash while running one request that is served in between")
def served_between(context):
    context.clock, context.known = _suspects()
    for number in range(9):
        context.clock.at += 1_000.0
        context.known.record_crash(["sound"], f"r{number}")
        if number % 2:
            context.clock.at += 1_000.0
            context.known.record_harmless("sound")


@then("it is not quarantined, even if older evidence arrives late")
def check_cleared(context):
    for number in range(9):
        context.known.record_crash(["sound"], f"r{number}", 500.0 + number)
    assert quarantined(context.known) == set()
    assert context.known.crashed_replicas("sound") == ["r8"]


@when("evidence {bound}")
def bounded_evidence(context, bound):
    context.clock, context.known = _suspects()
    known, clock = context.known, context.clock
    for number in range(3):
        clock.at += APART_MS
        known.record_crash(["bad"], f"r{number}")
    clock.at += APART_MS
    tracemalloc.start()
    match bound:
        case "is of ten thousand requests":
            for number in range(10_000):
                known.record_crash([f"once-{number}"], f"r{number // 50}")
        case "names ten thousand crashes":
            for number in range(10_000):
                known.record_crash(["bad"], f"r{number}")
        case "is of requests that are served":
            for number in range(10_000):
                known.record_crash([f"once-{number}"], "r0")
                known.record_harmless(f"once-{number}")
        case "grows old":
            known.record_crash(["once"], "r0")
            clock.at += SUSPECT_MS + 1
            assert known.encode(min_crashes=1)["crashes"]
            assert "once" not in known
            assert quarantined(known) == {"bad"}
            clock.at += QUARANTINE_MS
            assert known.encode(min_crashes=1) is None
    context.traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@then("the evidence stays bounded")
def check_bounded(context):
    known = context.known
    assert known._suspect_count <= MAX_SUSPECTS
    assert len(known._harmless) <= MAX_HARMLESS
    assert len(known.crashed_replicas("bad")) <= MAX_CRASHES
    assert context.traced_bytes < 2_000_000, context.traced_bytes
    if not known.empty:
        assert quarantined(known) == {"bad"}
        shared = known.encode(
            min_crashes=MIN_SHARED_CRASHES, max_properties=MAX_SHARED_PROPERTIES
        )
        assert len(json.dumps(shared)) < 16_000


@when("daemons receive evidence of crashes in any order, some of it twice")
def any_order(context):
    pairs = st.tuples(st.integers(0, 5), st.integers(0, 7), st.booleans())

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given_values(st.lists(pairs, max_size=30), st.randoms())
    def check(evidence, shuffled):
        def quarantined_after(lines):
            clock, known = _suspects()
            clock.at = 20 * APART_MS
            for digest, crashed, served in lines:
                if served and digest == 0:
                    known.record_harmless("0", 4.2 * APART_MS)
                at = APART_MS * (1 + crashed)
                known.record_crash([str(digest)], str(crashed), at)
            return quarantined(known)

        again = [*evidence, *evidence[:5]]
        shuffled.shuffle(again)
        assert quarantined_after(again) == quarantined_after(evidence)

    context.check = check


@then("they quarantine the same requests")
def check_alike(context):
    context.check()


class CrashCountRule(CrashSuspects):
    """Quarantines every request that was in progress at three crashes."""

    def _has_caused(self, name, together, replica):
        return True


class SharedCrashRule(CrashSuspects):
    """Counts a crash against all requests that share the most crashes."""

    def _has_caused(self, name, together, replica):
        count = len(self._replicas[name])
        return all(
            len(self._replicas[other]) <= count
            for suspect in self._suspects[replica]
            for other in self._live(suspect, replica)
        )


def _play_crashes(rng, kind):
    """Plays crashes by a bad request beside harmless ones that are retried.

    Returns the harmless requests that were quarantined at any time, and at how
    many crashes the bad one was not accompanied by a retried one.
    """
    clock = ManualClock()
    known = kind(clock=clock)
    refused_harmless = set()
    retrying = []
    unaccompanied = 0
    for number in range(12):
        clock.at += APART_MS
        if left_ms(known, "bad"):
            break
        beside = [f"new-{number}-{n}" for n in range(rng.randrange(3))]
        retried = [s for s in retrying if rng.random() < 0.7]
        unaccompanied += not retried
        for digest in rng.sample(
            ["bad", *beside, *retried], 1 + len(beside + retried)
        ):
            known.record_crash([digest], f"r{number}")
        refused_harmless |= quarantined(known) - {"bad"}
        for harmless in set(retrying) - set(retried):
            known.record_harmless(harmless)
        retrying = retried + beside
    return refused_harmless, unaccompanied


@when("random mixes of requests are in progress when replicas crash")
def mixes(context):
    context.plays = {}
    for kind in (CrashSuspects, CrashCountRule, SharedCrashRule):
        context.plays[kind] = [
            _play_crashes(random.Random(seed), kind) for seed in range(2_000)
        ]


@then("only the cause is quarantined, at its third crash without other retries")
def check_mixes(context):
    for refused_harmless, unaccompanied in context.plays[CrashSuspects]:
        assert not refused_harmless, refused_harmless
        assert unaccompanied <= MIN_BLAMED_CRASHES


@then("a rule that only counts crashes fails this check")
def check_naive(context):
    assert any(
        refused_harmless
        for refused_harmless, _ in context.plays[CrashCountRule]
    )


@then("a rule that counts a crash for all tied requests fails this check")
def check_shares(context):
    assert any(
        refused_harmless
        for refused_harmless, _ in context.plays[SharedCrashRule]
    )


THREE_CRASHES = {
    "crashes": [[f"r{n}", 100 * n, [["request bad"]], []] for n in range(3)],
    "harmless": [],
    "blamed": [],
}


def _quarantine(hub):
    return Quarantine(
        clock=hub.clock,
        network=hub.network("d0"),
        connections=Replicas(),
        daemons=FixedDaemons((peer(0, is_local=True),)),
        store=AcceptingStore(),
        metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
    )


class RecoveringStore:
    """A store that is down for its first two listings."""

    def __init__(self, objects):
        self.objects = objects
        self.failures_left = 2
        self.written = []

    async def list(self, kind):
        self.failures_left -= 1
        if self.failures_left >= 0:
            detail = "the store is down"
            return Err(Failure(kind=FailureKind.STORE_UNKNOWN, detail=detail))
        return Ok(Listing(objects=self.objects, revision=1))

    async def put(self, kind, name, spec):
        self.written.append(spec)
        return Ok(None)

    async def delete(self, kind, name):
        self.written.clear()
        return Ok(None)


def _registry(hub, store, quarantine):
    settings = types.SimpleNamespace(
        node="d0", zone="here", peer=types.SimpleNamespace(address="d0:1")
    )
    registry = DaemonRegistry(settings=settings, store=store, clock=hub.clock)
    registry.keep(quarantine)
    return registry


@when("a daemon that has announced its stop has evidence to save")
def stops_with_evidence(context):
    async def scenario():
        async with Hub() as hub:
            context.store = RecoveringStore(())
            quarantine = _quarantine(hub)
            registry = _registry(hub, context.store, quarantine)
            await registry.save_quarantine()
            await registry.announce_stop()
            quarantine.merge(THREE_CRASHES)
            await registry.save_quarantine()

    run_virtual(scenario)


@then("the store has no object of this daemon")
def check_gone(context):
    assert context.store.written == []


@when("a daemon starts while the store is down, and the store comes back")
def starts_without_store(context):
    async def scenario():
        async with Hub() as hub:
            quarantine = _quarantine(hub)
            saved = {"at": hub.clock.wall(), "evidence": THREE_CRASHES}
            context.store = RecoveringStore(
                (
                    StoreObject(
                        name="d0", revision=1, spec={"crash_evidence": saved}
                    ),
                )
            )
            registry = _registry(hub, context.store, quarantine)
            hub.start(registry.run)
            await registry.read()
            await anyio.sleep(5.0)
            context.refused = quarantine.refusal(request("bad"))

    run_virtual(scenario)


@then("it registers only with the evidence that it had saved before")
def check_kept_saved(context):
    assert len(context.store.written) == 1, context.store.written
    evidence = context.store.written[0]["crash_evidence"]["evidence"]
    assert len(evidence["crashes"]) == MIN_BLAMED_CRASHES
    assert context.refused is not None


@when("a daemon is sent {value} as evidence")
def sent_malformed(context, value):
    async def scenario():
        async with Hub() as hub:
            quarantine = _quarantine(hub)
            hub.start(quarantine.run)
            await anyio.sleep(0.1)
            quarantine.merge(THREE_CRASHES)
            answer = await quarantine.handle(
                Request(method="POST", path="/", body=value.encode())
            )
            context.status = answer.status
            context.kept = quarantine.refusal(request("bad"))

    run_virtual(scenario)


@then("it answers with status 400 and keeps its own evidence")
def check_malformed(context):
    assert context.status == 400, context.status
    assert context.kept is not None
