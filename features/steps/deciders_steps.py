"""Steps of who decides for a service, and what daemons tell a new decider."""

from __future__ import annotations

import anyio
import attrs
import orjson
from behave import given, then, when
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.membership.member import Member
from cactusdyke.serving import peers
from cactusdyke.serving.deciders import Deciders
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch import NOTES_PATH, Dispatch
from cactusdyke.serving.dispatch_messages import StageWork
from cactusdyke.serving.holdings import (
    Holdings,
    briefing_from,
    briefing_to,
)
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.model import (
    EngineSpec,
    Replica,
    ReplicaState,
)
from cactusdyke.serving.peer_watch import ALIVE_PATH, PeerWatch
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons, mark_of
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.stage_queue import StageQueue
from cactusdyke.transport.messages import json_response
from features.steps.serving_steps import ManualClock
from features.steps.stage_queue_steps import (
    MB,
    batch_spec,
    group,
    machine_fails,
)
from features.support.decider_machine import (
    ByHashMachine,
    DeciderMachine,
    Node,
    OwnFirstMachine,
)
from standins.virtual import run_virtual

SERVICE = "stage"
ENGINE = EngineSpec(slots=64, kv_tokens=600_000)


def _daemon(name, **changes):
    fields = {
        "name": name,
        "address": f"{name}:1",
        "front_address": "",
        "data_centre": "here",
        "ready": True,
    }
    return PeerDaemon(**{**fields, **changes})


def _first(daemons):
    return peers.ranked(SERVICE, daemons, {})[0].name


def _says(daemon):
    return attrs.evolve(daemon, decides=frozenset({mark_of(SERVICE)}))


@given("three daemons, one of which decides for a service")
def three(context):
    context.daemons = {n: _daemon(n) for n in ("d1", "d2", "d3")}
    context.usual = _first(context.daemons.values())
    context.daemons[context.usual] = _says(context.daemons[context.usual])


@when("it leaves, another one decides, and the first comes back")
def leaves(context):
    left = context.daemons.pop(context.usual)
    context.next = _first(context.daemons.values())
    assert context.next != context.usual
    context.daemons[context.next] = _says(context.daemons[context.next])
    context.daemons[left.name] = attrs.evolve(left, decides=frozenset())


@then("the other one still decides")
def still(context):
    assert _first(context.daemons.values()) == context.next


@when("two of them say that they decide for it")
def two_say(context):
    context.both = [n for n in context.daemons if n != context.usual]
    context.daemons[context.usual] = _daemon(context.usual)
    for name in context.both:
        context.daemons[name] = _says(context.daemons[name])


@then("all three choose the same one of the two")
def same(context):
    chosen = {
        _first([attrs.evolve(d, own=d.name == own) for d in order])
        for own in context.daemons
        for order in (
            list(context.daemons.values()),
            list(context.daemons.values())[::-1],
        )
    }
    assert len(chosen) == 1
    assert chosen <= set(context.both), chosen


@when("a small host decides and a large one comes")
def large_comes(context):
    context.daemons = {
        "small": _says(_daemon("small", size=-2)),
        "large": _daemon("large", settled=False),
    }


@then("the large one decides")
def large(context):
    assert _first(context.daemons.values()) == "large"


@given("a daemon whose request holds 4 of a maker's 4 results")
def holds(context):
    context.clock = ManualClock()
    context.holdings = Holdings(clock=context.clock)
    names = [f"m1/{n}" for n in range(5)]
    context.holdings.made(SERVICE, names, MB)
    context.holdings.freed(SERVICE, names[4:])
    context.clock.ms += 500.0


@when("another daemon decides for the stage and is told")
def told_results(context):
    context.queue = StageQueue(
        clock=context.clock, spec=batch_spec(result_room_bytes=4 * MB)
    )
    for held in context.holdings.briefing(SERVICE).results:
        context.queue.learn_held("m1", held.handle, held.size, held.age_ms)
        context.queue.learn_held("m1", held.handle, held.size, held.age_ms)
    context.queue.add(group("a", 3, context.clock.ms, ends_at=60_000.0))


@then("it sends the maker nothing until they are freed")
def sends_nothing(context):
    assert context.queue.next_batch(["m1"]) is None
    context.queue.freed("m1", ["m1/0", "m1/1"])
    assert len(context.queue.next_batch(["m1"]).tasks) == 2
    assert context.queue.next_batch(["m1"]) is None


def _prompt(own):
    return Generation(
        model="m",
        prompt_tokens=14_000,
        output_tokens=100,
        parts=(
            PromptPart(name="subject", tokens=13_000),
            PromptPart(name=own, tokens=1_000),
        ),
    )


def _engines():
    return [
        Replica(
            name=f"e{n}",
            service="pool",
            address=f"e{n}:1",
            data_centre="here",
            state=ReplicaState.READY,
            slots=64,
        )
        for n in range(4)
    ]


@given("a daemon whose requests of a subject were read away from its home")
def read_away(context):
    context.clock = ManualClock()
    usual = EnginePlacer(clock=context.clock).place(
        "p", _prompt("x"), _engines(), ENGINE
    )
    context.away = next(e for e in _engines() if e.name != usual.name).name
    context.holdings = Holdings(clock=context.clock)
    for number in range(2):
        context.holdings.placed(
            "pool", f"p{number}", context.away, _prompt(f"own{number}")
        )
        context.holdings.started("pool", f"p{number}")
    context.holdings.ended("pool", "p0")


@when("another daemon decides for the engines and is told")
def told_prompts(context):
    context.placer = EnginePlacer(clock=context.clock)
    for prompt in context.holdings.briefing("pool").prompts:
        context.placer.learn_held(prompt.replica, prompt.generation, ENGINE)
        if prompt.placement_id:
            context.placer.learn_running(
                prompt.placement_id,
                prompt.replica,
                prompt.generation,
                reading=prompt.reading,
            )


@then("it places the subject where it was read")
def placed_there(context):
    chosen = context.placer.locate(_prompt("new"), _engines(), ENGINE)
    assert chosen.name == context.away, chosen


@then("it counts the request that still runs there")
def counts_running(context):
    assert context.placer.running(context.away) == 1
    context.placer.ended("p1", failed=False)
    assert context.placer.running(context.away) == 0


@when("its briefing is sent as JSON")
def as_json(context):
    context.holdings.placed("stage", "p1", "e1", _prompt("own"))
    context.briefing = context.holdings.briefing(SERVICE)
    context.read = briefing_from(
        orjson.loads(orjson.dumps(briefing_to(context.briefing)))
    )


@then("what is read is what was written, and nonsense is refused")
def read_back(context):
    assert context.read == context.briefing
    for nonsense in ({}, {"results": [["a"]], "prompts": []}):
        try:
            briefing_from(nonsense)
        except (KeyError, TypeError, ValueError):
            continue
        raise AssertionError(nonsense)


class TwoDeciders(PeerDaemons):
    """Two other daemons, and a word on who decides."""

    def __init__(self):
        self.decider = "d2"

    def all(self):
        return tuple(
            _says(daemon) if daemon.name == self.decider else daemon
            for daemon in (
                _daemon("d1", own=True),
                _daemon("d2"),
                _daemon("d3"),
            )
        )

    def believed_count(self):
        return 3


class NotingNetwork:
    """Makes every piece and keeps the notes."""

    def __init__(self):
        self.notes = []

    async def fetch(self, address, request, options):
        del options
        body = orjson.loads(request.body) if request.body else {}
        if request.path == NOTES_PATH:
            self.notes += [(address, *note) for note in body["notes"]]
            return Ok(json_response({}))
        handles = [f"m1/{piece[2]}" for piece in body.get("pieces", ())]
        return Ok(json_response({"handles": handles, "backlog": [0, 0]}))


@given("a daemon that asked one decider before")
def asked_before(context):
    context.daemons = TwoDeciders()
    context.network = NotingNetwork()


@when("another one decides from now on")
def another_now(context):
    async def run():
        clock = EventLoopClock()
        watch = PeerWatch(clock=clock, network=context.network)
        dispatch = Dispatch(
            clock=clock,
            network=context.network,
            deciders=Deciders(
                clock=clock, daemons=context.daemons, watch=watch
            ),
            watch=watch,
            decider=NeverDecides(),
            deployment=Deployment(clock=clock),
            announce=lambda: None,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dispatch.run)
            await dispatch.make(_work("a"))
            context.daemons.decider = "d3"
            await dispatch.make(_work("b"))
            await dispatch.make(_work("c"))
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()

    run_virtual(run)


class NeverDecides:
    """Stands for a decider that is not asked."""

    decided = ()

    def hand_over(self, decides_here):
        del decides_here

    def free_inputs_by(self, free):
        del free


def _work(name):
    return StageWork(
        service=SERVICE,
        name=name,
        pieces=(Piece(request_id=name, stage=0, number=0),),
        needed_in_ms=1_000.0,
        ends_in_ms=4_000.0,
        priority=0,
        result_bytes=MB,
        may_refuse=False,
    )


@then("the new one gets one briefing, and then none")
def one_briefing(context):
    told = [note for note in context.network.notes if note[1] == "briefing"]
    assert [note[0] for note in told] == ["d3:1"], told
    assert [r[0] for r in told[0][3]["results"]] == ["m1/0"]


class ManyMembers:
    """Membership of 75 daemons, which counts how often it is listed."""

    def __init__(self):
        self.names = [f"d{n}" for n in range(75)]
        self.listed = 0
        self.readers = []

    @property
    def own(self):
        return self._member("d0")

    def attach(self, key, provider, reader):
        del key, provider
        for name in self.names:
            reader(name, {"a": f"{name}:2", "r": 1, "s": 1})

    def serving(self):
        self.listed += 1
        return [self._member(name) for name in self.names]

    def _member(self, name):
        return Member(
            name=name,
            address=f"{name}:1",
            data_centre="here",
            region="r",
            incarnation=1,
        )


@given("a daemon among 75 members")
def many_members(context):
    context.clock = ManualClock()
    context.members = ManyMembers()
    context.view = MemberView(
        clock=context.clock,
        members=context.members,
        front_address="d0:2",
        size=0,
        ready=lambda: True,
        decides=frozenset,
        least_count=lambda: 1,
    )
    context.deciders = Deciders(
        clock=context.clock,
        daemons=context.view,
        watch=PeerWatch(clock=context.clock, network=None),
    )


@when("it is asked a thousand times who decides, within 40 ms")
def asked_often(context):
    for number in range(1_000):
        context.clock.ms += 0.04
        context.first = context.deciders.by_members(f"s{number % 5}")


@then("the members were listed once")
def listed_once(context):
    assert context.members.listed == 1, context.members.listed


@then("a member that leaves is left out 60 ms later")
def left_out(context):
    left = context.deciders.by_members("s0").name
    context.members.names.remove(left)
    context.clock.ms += 60.0
    assert context.deciders.by_members("s0").name != left


class CountingNetwork:
    """Answers every question, and counts them."""

    def __init__(self):
        self.asked = 0

    async def fetch(self, address, request, options):
        del address, options
        assert request.path == ALIVE_PATH
        self.asked += 1
        return Ok(json_response({}))


@given("a daemon that waits for another one, which keeps on answering")
def keeps_answering(context):
    context.network = CountingNetwork()


@when("two seconds pass")
def two_seconds(context):
    async def run():
        watch = PeerWatch(clock=EventLoopClock(), network=context.network)
        peer = _daemon("d2")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(0.01)
            with watch.waiting_for(peer):
                for _ in range(40):
                    watch.heard(peer.address)
                    await anyio.sleep(0.05)
                context.asked = context.network.asked
                await anyio.sleep(0.5)
            context.asked_later = context.network.asked
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("it asked nothing, and asks once the answers stop")
def asked_nothing(context):
    assert context.asked == 0, context.asked
    assert 1 <= context.asked_later <= 3, context.asked_later


@when("the decider machine runs 40 examples")
def run_machine(context):
    context.broken = machine_fails(DeciderMachine, 40)


@then("no example breaks what must hold")
def nothing_broken(context):
    assert not context.broken, context.broken


@then(
    "it is broken where the hash alone decides, and where each prefers itself"
)
def naive_broken(context):
    assert "lost it to" in machine_fails(ByHashMachine, 40)
    assert "they ask" in machine_fails(OwnFirstMachine, 40)


@given("a daemon that is asked to decide for a service")
def asked_to_decide(context):
    context.clock = ManualClock()
    context.node = Node("d1", context.clock, None)


@when("it looks again every 200 ms")
def looks_again(context):
    context.told_at = {}
    for _ in range(8):
        context.node.decided.update([SERVICE])
        context.told_at[context.clock.ms] = context.node.decided.marks
        context.clock.ms += 200.0


@then("it says nothing for the first second, and that it decides after it")
def says_after_a_second(context):
    for at, marks in context.told_at.items():
        said = marks == frozenset({mark_of(SERVICE)})
        assert said == (at >= 1_000.0), (at, marks)
