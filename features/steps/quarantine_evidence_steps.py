"""Steps of the evidence against requests that crash replicas."""

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
    CRASHES,
    MOST_CRASHES,
    MOST_SERVED,
    MOST_SUSPECTS,
    MOST_TOLD,
    QUARANTINE_MS,
    SUSPECT_MS,
    TOLD_CRASHES,
    CrashSuspects,
)
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.quarantine import Quarantine
from cactusdyke.transport.messages import Request
from features.support.quarantine_fleet import Replicas, Saved, request
from features.support.state_fleet import FixedDaemons, peer
from standins.hub import Hub
from standins.virtual import run_virtual

EXAMPLES = 300


class Hand:
    """A clock that is set by hand."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at


def _suspects():
    clock = Hand()
    return clock, CrashSuspects(clock=clock)


@when("three replicas crash under one request and others beside it")
def three_crashes(context):
    context.clock, known = _suspects()
    for number in range(3):
        known.crashed("bad", f"r{number}")
        known.crashed("often", f"r{number}") if number < 2 else None
        for other in range(20):
            known.crashed(f"once-{number}-{other}", f"r{number}")
    context.known = known


@then("it is quarantined for half an hour and the others are not")
def check_one(context):
    assert context.known.quarantined() == {"bad"}
    context.clock.at = 29 * 60_000.0
    assert context.known.quarantined_ms("bad") == 60_000.0
    context.clock.at = 31 * 60_000.0
    assert context.known.quarantined_ms("bad") == 0
    assert context.known.empty


@when("three replicas crash under the same two requests")
def same_crashes(context):
    _, context.known = _suspects()
    for number in range(3):
        for digest in ("bad", "sound"):
            context.known.crashed(digest, f"r{number}")


@then("neither is quarantined until a replica crashes under one of them alone")
def check_apart(context):
    assert context.known.quarantined() == set()
    context.known.crashed("bad", "r9")
    assert context.known.quarantined() == {"bad"}


@when("replicas crash under one request that is served in between")
def served_between(context):
    context.clock, context.known = _suspects()
    for number in range(9):
        context.clock.at += 1_000.0
        context.known.crashed("sound", f"r{number}")
        if number % 2:
            context.clock.at += 1_000.0
            context.known.served("sound")


@then("it is not quarantined, whatever older evidence comes late")
def check_cleared(context):
    for number in range(9):
        context.known.crashed("sound", f"r{number}", 500.0 + number)
    assert context.known.quarantined() == set()
    assert context.known.crashes("sound") == ["r8"]


@when("evidence {bound}")
def much_evidence(context, bound):
    context.clock, context.known = _suspects()
    known, clock = context.known, context.clock
    for number in range(3):
        known.crashed("bad", f"r{number}")
    tracemalloc.start()
    match bound:
        case "is of ten thousand requests":
            for number in range(10_000):
                known.crashed(f"once-{number}", f"r{number // 50}")
        case "names ten thousand crashes":
            for number in range(10_000):
                known.crashed("bad", f"r{number}")
        case "is of requests that are served":
            for number in range(10_000):
                known.crashed(f"once-{number}", "r0")
                known.served(f"once-{number}")
        case "grows old":
            known.crashed("once", "r0")
            clock.at += SUSPECT_MS + 1
            assert known.to_wire(least=1)["crashes"]
            assert "once" not in known
            assert known.quarantined() == {"bad"}
            clock.at += QUARANTINE_MS
            assert known.to_wire(least=1) is None
    context.held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@then("what is known stays bounded")
def check_bounded(context):
    known = context.known
    assert len(known._suspects) <= MOST_SUSPECTS
    assert len(known._served) <= MOST_SERVED
    assert len(known.crashes("bad")) <= MOST_CRASHES
    assert context.held < 2_000_000, context.held
    if not known.empty:
        assert known.quarantined() == {"bad"}
        told = known.to_wire(least=TOLD_CRASHES, most=MOST_TOLD)
        assert len(json.dumps(told)) < 16_000


@when("daemons hear of crashes in any order, some of it twice")
def any_order(context):
    pairs = st.tuples(st.integers(0, 5), st.integers(0, 7), st.booleans())

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given_values(st.lists(pairs, max_size=30), st.randoms())
    def check(evidence, shuffled):
        def judge(lines):
            clock, known = _suspects()
            clock.at = 1_000.0
            for digest, crashed, served in lines:
                if served and digest == 0:
                    known.served("0", 500.0)
                known.crashed(str(digest), str(crashed), 100.0 + crashed)
            return known.quarantined()

        again = [*evidence, *evidence[:5]]
        shuffled.shuffle(again)
        assert judge(again) == judge(evidence)

    context.check = check


@then("they judge every request alike")
def check_alike(context):
    context.check()


class CountsCrashes(CrashSuspects):
    """Blames whatever was there at three crashes."""

    def _has_caused(self, digest, replica):
        return True


class SharesBlame(CrashSuspects):
    """Blames all that share most crashes."""

    def _has_caused(self, digest, replica):
        count = len(self._suspects[digest].crashes)
        return all(
            len(self._suspects[other].crashes) <= count
            for other in self._under[replica]
        )


def _storm(rng, kind):
    """Plays crashes under a bad request beside sound ones that come back.

    Returns the sound requests that were quarantined at any time, and how many
    crashes the bad one was alone at most at as it was quarantined.
    """
    known = kind(clock=Hand())
    blamed = set()
    waiting = []
    alone = 0
    for number in range(12):
        if known.quarantined_ms("bad"):
            break
        beside = [f"new-{number}-{n}" for n in range(rng.randrange(3))]
        back = [s for s in waiting if rng.random() < 0.7]
        alone += not back
        for digest in rng.sample(
            ["bad", *beside, *back], 1 + len(beside + back)
        ):
            known.crashed(digest, f"r{number}")
        blamed |= known.quarantined() - {"bad"}
        for sound in set(waiting) - set(back):
            known.served(sound)
        waiting = back + beside
    return blamed, alone


@when("any mix of requests is under way as replicas crash")
def mixes(context):
    context.storms = {}
    for kind in (CrashSuspects, CountsCrashes, SharesBlame):
        context.storms[kind] = [
            _storm(random.Random(seed), kind) for seed in range(2_000)
        ]


@then("only what crashed them is quarantined, at its third crash alone")
def check_mixes(context):
    for blamed, alone in context.storms[CrashSuspects]:
        assert not blamed, blamed
        assert alone <= CRASHES


@then("a rule that counts crashes only is caught")
def check_naive(context):
    assert any(blamed for blamed, _ in context.storms[CountsCrashes])


@then("a rule that counts shared crashes for all that share most is caught")
def check_shares(context):
    assert any(blamed for blamed, _ in context.storms[SharesBlame])


GOOD = {"crashes": [["bad", f"r{n}", 5] for n in range(3)], "served": []}


def _quarantine(hub):
    return Quarantine(
        clock=hub.clock,
        network=hub.network("d0"),
        connections=Replicas(),
        daemons=FixedDaemons((peer(0, own=True),)),
        store=Saved(),
        metrics=ServingMetrics(prometheus_client.CollectorRegistry()),
    )


class LateStore:
    """A store that is away for the first listings."""

    def __init__(self, objects):
        self.objects = objects
        self.away = 2
        self.written = []

    async def list(self, kind):
        self.away -= 1
        if self.away >= 0:
            detail = "the store is away"
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


@when("a daemon that has said that it stops has evidence to save")
def stops_with_evidence(context):
    async def story():
        async with Hub() as hub:
            context.store = LateStore(())
            quarantine = _quarantine(hub)
            registry = _registry(hub, context.store, quarantine)
            await registry.save_quarantine()
            await registry.announce_stop()
            quarantine.take(GOOD)
            await registry.save_quarantine()

    run_virtual(story)


@then("the store holds nothing of it")
def check_gone(context):
    assert context.store.written == []


@when("a daemon starts while the store is away, and it comes back")
def starts_without_store(context):
    async def story():
        async with Hub() as hub:
            quarantine = _quarantine(hub)
            saved = {"at": hub.clock.wall(), "evidence": GOOD}
            context.store = LateStore(
                (StoreObject(name="d0", revision=1, spec={"crashes": saved}),)
            )
            registry = _registry(hub, context.store, quarantine)
            hub.start(registry.run)
            await registry.read()
            await anyio.sleep(5.0)
            context.refused = quarantine.refusal(request("bad"))

    run_virtual(story)


@then("it registers only with the evidence that it had saved before")
def check_kept_saved(context):
    assert len(context.store.written) == 1, context.store.written
    evidence = context.store.written[0]["crashes"]["evidence"]
    assert len(evidence["crashes"]) == CRASHES
    assert context.refused is not None


@when("a daemon is sent {value} as evidence")
def sent_nonsense(context, value):
    async def story():
        async with Hub() as hub:
            quarantine = _quarantine(hub)
            hub.start(quarantine.run)
            await anyio.sleep(0.1)
            quarantine.take(GOOD)
            answer = await quarantine.handle(
                Request(method="POST", path="/", body=value.encode())
            )
            context.status = answer.status
            context.kept = quarantine.refusal(request("bad"))

    run_virtual(story)


@then("it answers that it can't be read, and knows what it knew")
def check_nonsense(context):
    assert context.status == 400, context.status
    assert context.kept is not None
