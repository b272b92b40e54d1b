"""Steps for the choice of deciders and the state sent to a new decider."""

from __future__ import annotations

import anyio
import attrs
import orjson
from behave import given, then, when
from hypothesis import seed
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.membership.member import Member
from cactusdyke.serving import peers
from cactusdyke.serving.decided_services import DecidedServices
from cactusdyke.serving.decider_directory import DeciderDirectory
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch import NOTIFICATIONS_PATH, Dispatch
from cactusdyke.serving.dispatch_messages import StageWork
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.model import (
    EngineSpec,
    Replica,
    ReplicaState,
)
from cactusdyke.serving.peer_watch import ALIVE_PATH, PeerWatch
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons, service_hash
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.resource_tracker import (
    ResourceTracker,
    decode_snapshot,
    encode_snapshot,
)
from cactusdyke.serving.stage_queue import StageQueue
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.transport.messages import json_response
from features.steps.serving_steps import ManualClock
from features.steps.stage_queue_steps import (
    MB,
    batch_spec,
    group,
    machine_fails,
)
from features.support.decider_machine import (
    NAMES,
    DeciderMachine,
    HashOnlyMachine,
    Node,
    SelfPreferringMachine,
)
from standins.virtual import run_virtual

SERVICE = "stage"
ENGINE = EngineSpec(slots=64, kv_tokens=600_000)
NAIVE_SEED = 2
"""Seed of the naive machines' examples.

The examples must not depend on the class's source text, from which derandomize
takes its seed. The correct machine must be clean on this seed.
"""


def _daemon(name, **changes):
    fields = {
        "name": name,
        "address": f"{name}:1",
        "public_address": "",
        "data_centre": "here",
        "ready": True,
    }
    return PeerDaemon(**{**fields, **changes})


def _decider_name(daemons):
    return peers.rank_deciders(SERVICE, daemons, {})[0].name


def _announcing(daemon):
    return attrs.evolve(
        daemon, decided_hashes=frozenset({service_hash(SERVICE)})
    )


@given("three daemons, one of which is the decider of a service")
def three_daemons(context):
    context.daemons = {n: _daemon(n) for n in ("d1", "d2", "d3")}
    context.preferred = _decider_name(context.daemons.values())
    context.daemons[context.preferred] = _announcing(
        context.daemons[context.preferred]
    )


@when("it leaves, another one becomes the decider, and the first comes back")
def decider_leaves(context):
    left = context.daemons.pop(context.preferred)
    context.next = _decider_name(context.daemons.values())
    assert context.next != context.preferred
    context.daemons[context.next] = _announcing(context.daemons[context.next])
    context.daemons[left.name] = attrs.evolve(left, decided_hashes=frozenset())


@then("the other one is still the decider")
def still_decider(context):
    assert _decider_name(context.daemons.values()) == context.next


@when("two of them announce that they are its decider")
def two_announce(context):
    context.announcing = [n for n in context.daemons if n != context.preferred]
    context.daemons[context.preferred] = _daemon(context.preferred)
    for name in context.announcing:
        context.daemons[name] = _announcing(context.daemons[name])


@then("all three choose the same one of the two")
def same_decider(context):
    chosen = {
        _decider_name([attrs.evolve(d, is_local=d.name == own) for d in order])
        for own in context.daemons
        for order in (
            list(context.daemons.values()),
            list(context.daemons.values())[::-1],
        )
    }
    assert len(chosen) == 1
    assert chosen <= set(context.announcing), chosen


@when("a small host is the decider and a large one joins")
def large_joins(context):
    context.daemons = {
        "small": _announcing(_daemon("small", size_class=-2)),
        "large": _daemon("large", warmed_up=False),
    }


@then("the large one becomes the decider")
def large_decides(context):
    assert _decider_name(context.daemons.values()) == "large"


@given("a daemon whose requests store 4 results in a replica with memory for 4")
def results_stored(context):
    context.clock = ManualClock()
    context.tracker = ResourceTracker(clock=context.clock)
    names = [f"m1/{n}" for n in range(5)]
    context.tracker.record_results(SERVICE, names, MB)
    context.tracker.record_freed(SERVICE, names[4:])
    context.clock.ms += 500.0


@when("another daemon becomes the decider of the stage and gets its snapshot")
def results_snapshot(context):
    context.queue = StageQueue(
        clock=context.clock, spec=batch_spec(result_capacity_bytes=4 * MB)
    )
    for held in context.tracker.snapshot(SERVICE).results:
        context.queue.record_held_result(
            "m1", held.handle, held.size, held.age_ms
        )
        context.queue.record_held_result(
            "m1", held.handle, held.size, held.age_ms
        )
    context.queue.add(group("a", 3, context.clock.ms, deadline_at=60_000.0))


@then("it sends nothing to the replica until results are freed")
def sends_nothing(context):
    assert context.queue.next_batch(["m1"]) is None
    context.queue.results_freed("m1", ["m1/0", "m1/1"])
    assert len(context.queue.next_batch(["m1"]).tasks) == 2
    assert context.queue.next_batch(["m1"]) is None


def _prompt(own_part):
    return Generation(
        model="m",
        prompt_tokens=14_000,
        output_tokens=100,
        parts=(
            PromptPart(name="subject", tokens=13_000),
            PromptPart(name=own_part, tokens=1_000),
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


@given("a daemon whose requests of a subject ran on a non-preferred engine")
def cached_elsewhere(context):
    context.clock = ManualClock()
    preferred = EnginePlacer(clock=context.clock).place(
        "p", _prompt("x"), _engines(), ENGINE
    )
    context.cached_at = next(
        e for e in _engines() if e.name != preferred.name
    ).name
    context.tracker = ResourceTracker(clock=context.clock)
    for number in range(2):
        context.tracker.record_placement(
            "pool", f"p{number}", context.cached_at, _prompt(f"own{number}")
        )
        context.tracker.record_first_token("pool", f"p{number}")
    context.tracker.record_end("pool", "p0")


@when("another daemon becomes the decider of the engines and gets its snapshot")
def prompts_snapshot(context):
    context.placer = EnginePlacer(clock=context.clock)
    for prompt in context.tracker.snapshot("pool").prompts:
        context.placer.record_cached_prompt(
            prompt.replica, prompt.generation, ENGINE
        )
        if prompt.placement_id:
            context.placer.record_running(
                prompt.placement_id,
                prompt.replica,
                prompt.generation,
                prefilling=prompt.prefilling,
            )


@then("it places the subject on the engine that has cached it")
def placed_on_cached(context):
    chosen = context.placer.locate(_prompt("new"), _engines(), ENGINE)
    assert chosen.name == context.cached_at, chosen


@then("it counts the request that is still running there")
def counts_running(context):
    assert context.placer.running(context.cached_at) == 1
    context.placer.record_end("p1", failed=False)
    assert context.placer.running(context.cached_at) == 0


@when("its snapshot is sent as JSON")
def snapshot_as_json(context):
    context.tracker.record_placement("stage", "p1", "e1", _prompt("own"))
    context.snapshot = context.tracker.snapshot(SERVICE)
    context.decoded = decode_snapshot(
        orjson.loads(orjson.dumps(encode_snapshot(context.snapshot)))
    )


@then(
    "the decoded snapshot equals the original, and malformed ones are refused"
)
def decoded_equals(context):
    assert context.decoded == context.snapshot
    for malformed in ({}, {"results": [["a"]], "prompts": []}):
        try:
            decode_snapshot(malformed)
        except (KeyError, TypeError, ValueError):
            continue
        raise AssertionError(malformed)


class TwoDeciders(PeerDaemons):
    """Three daemons, one of the other two announced as the decider."""

    def __init__(self):
        self.decider = "d2"

    def all(self):
        return tuple(
            _announcing(daemon) if daemon.name == self.decider else daemon
            for daemon in (
                _daemon("d1", is_local=True),
                _daemon("d2"),
                _daemon("d3"),
            )
        )

    def estimated_count(self):
        return 3


class RecordingNetwork:
    """Computes every piece and records the notifications."""

    def __init__(self):
        self.notifications = []

    async def fetch(self, address, request, options):
        del options
        body = orjson.loads(request.body) if request.body else {}
        if request.path == NOTIFICATIONS_PATH:
            self.notifications += [(address, *entry) for entry in body["notes"]]
            return Ok(json_response({}))
        handles = [f"m1/{piece[2]}" for piece in body.get("pieces", ())]
        return Ok(json_response({"handles": handles, "backlog": [0, 0]}))


@given("a daemon that sent work to one decider before")
def one_decider_before(context):
    context.daemons = TwoDeciders()
    context.network = RecordingNetwork()


@when("another one is the decider from now on")
def another_decider_now(context):
    async def run():
        clock = EventLoopClock()
        watch = PeerWatch(clock=clock, network=context.network)
        deciders = DeciderDirectory(
            clock=clock, daemons=context.daemons, watch=watch
        )
        dispatch = Dispatch(
            clock=clock,
            network=context.network,
            deciders=deciders,
            watch=watch,
            decider=UnusedDecider(),
            decided=DecidedServices(clock=clock, deciders=deciders),
            deployment=Deployment(clock=clock),
            stated_limits=StatedLimits(clock=clock),
            announce=lambda: None,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dispatch.run)
            await dispatch.compute_stage(_work("a"))
            context.daemons.decider = "d3"
            await dispatch.compute_stage(_work("b"))
            await dispatch.compute_stage(_work("c"))
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()

    run_virtual(run)


class UnusedDecider:
    """Stub of a decider that gets no work."""

    active_services = ()

    async def wait_until_active(self):
        await anyio.sleep_forever()

    def handover(self, decides_here):
        del decides_here

    def set_free_inputs(self, free):
        del free


def _work(name):
    return StageWork(
        service=SERVICE,
        name=name,
        pieces=(Piece(request_id=name, stage=0, number=0),),
        objective_in_ms=1_000.0,
        deadline_in_ms=4_000.0,
        priority=0,
        result_bytes=MB,
        may_refuse=False,
    )


@then("the new one gets one snapshot, and no more")
def one_snapshot(context):
    sent = [
        entry
        for entry in context.network.notifications
        if entry[1] == "briefing"
    ]
    assert [entry[0] for entry in sent] == ["d3:1"], sent
    assert [r[0] for r in sent[0][3]["results"]] == ["m1/0"]


class ManyMembers:
    """Membership of 75 daemons that counts how often it is listed."""

    def __init__(self):
        self.names = [f"d{n}" for n in range(75)]
        self.listed = 0
        self.readers = []

    @property
    def own(self):
        return self._member("d0")

    def attach_provider(self, key, provider, reader):
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
        public_address="d0:2",
        size_class=0,
        ready=lambda: True,
        decided_hashes=frozenset,
        min_count=lambda: 1,
    )
    context.deciders = DeciderDirectory(
        clock=context.clock,
        daemons=context.view,
        watch=PeerWatch(clock=context.clock, network=None),
    )


@when("the decider is looked up a thousand times within 40 ms")
def many_lookups(context):
    for number in range(1_000):
        context.clock.ms += 0.04
        context.first = context.deciders.decider_by_membership(f"s{number % 5}")


@then("the members were listed once")
def listed_once(context):
    assert context.members.listed == 1, context.members.listed


@then("a member that leaves is left out 60 ms later")
def left_out(context):
    left = context.deciders.decider_by_membership("s0").name
    context.members.names.remove(left)
    context.clock.ms += 60.0
    assert context.deciders.decider_by_membership("s0").name != left


class CountingNetwork:
    """Answers every probe and counts the probes."""

    def __init__(self):
        self.probes = 0

    async def fetch(self, address, request, options):
        del address, options
        assert request.path == ALIVE_PATH
        self.probes += 1
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
            with watch.cancel_if_silent(peer):
                for _ in range(40):
                    watch.record_answer(peer.address)
                    await anyio.sleep(0.05)
                context.probes = context.network.probes
                await anyio.sleep(0.5)
            context.probes_later = context.network.probes
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("it sent no probes, and sends them once the answers stop")
def no_probes(context):
    assert context.probes == 0, context.probes
    assert 1 <= context.probes_later <= 3, context.probes_later


@when("the decider machine runs 40 examples")
def run_machine(context):
    context.violation = machine_fails(DeciderMachine, 40)


@when("the decider machine runs 40 examples on seed {number:d}")
def run_machine_on_seed(context, number):
    context.violation = _seeded_violation(DeciderMachine, number)


@then("no example violates an invariant")
def no_violation(context):
    assert not context.violation, context.violation


def _seeded_violation(machine, number=NAIVE_SEED):
    """Returns what a machine finds broken with a seed, empty if nothing.

    The seed is set on a subclass, as it would stay on the class.
    """
    seeded = seed(number)(type(machine.__name__, (machine,), {}))
    return machine_fails(seeded, 40)


@then(
    "the invariants fail with the hash alone, and with self-preferring daemons"
)
def naive_versions_fail(context):
    hash_only = _seeded_violation(HashOnlyMachine)
    assert "was replaced by" in hash_only, hash_only
    self_preferring = _seeded_violation(SelfPreferringMachine)
    assert "daemons choose" in self_preferring, self_preferring
    correct = _seeded_violation(DeciderMachine)
    assert not correct, correct


@given("four daemons that agree on a decider which the hash does not prefer")
def agreed_on_second(context):
    context.machine = DeciderMachine()
    context.machine.heal(NAMES)
    context.preferred = context.machine.agreed
    context.machine.stop(context.preferred)
    context.machine.all_restart(NAMES)
    context.agreed = context.machine.agreed
    assert context.agreed != context.preferred


@when("the preferred one finds it silent until gossip has spread again")
def preferred_finds_silent(context):
    context.machine.silence(context.preferred, context.agreed)
    context.machine.heal(NAMES)


@then("all four still choose the former decider")
def former_decider(context):
    nodes = context.machine.nodes.values()
    assert {node.decider() for node in nodes} == {context.agreed}


@given("a daemon that schedules work of a service")
def schedules_work(context):
    context.clock = ManualClock()
    context.node = Node("d1", context.clock, None)


@when("its decided services are updated every 200 ms")
def updates(context):
    context.announced_at = {}
    for _ in range(8):
        context.node.decided.update([SERVICE])
        context.announced_at[context.clock.ms] = (
            context.node.decided.service_hashes
        )
        context.clock.ms += 200.0


@then("it announces nothing for the first second, and the service after it")
def announces_after_a_second(context):
    for at, hashes in context.announced_at.items():
        announced = hashes == frozenset({service_hash(SERVICE)})
        assert announced == (at >= 1_000.0), (at, hashes)
