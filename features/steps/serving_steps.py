"""Steps for the decisions of serving, without a network."""

from __future__ import annotations

import collections
import random

import anyio
import attrs
from behave import given, then, when
from result import Err, Ok

from cactusdyke.clock import Clock
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving import balance
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.connection_share import ConnectionShare
from cactusdyke.serving.decider_directory import DeciderDirectory
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch_messages import StageOutcome
from cactusdyke.serving.health import ReplicaHealth
from cactusdyke.serving.model import (
    BatchSpec,
    CallerLimits,
    Customer,
    EngineSpec,
    RepeatPolicy,
    Replica,
    ReplicaState,
    Route,
    ServiceSpec,
    ServingConfiguration,
    StageSpec,
    WeightedService,
)
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.request import Generation, PromptPart
from cactusdyke.serving.retry_budget import RetryAllowance, RetryBudget
from cactusdyke.serving.routes import RouteTable
from cactusdyke.serving.stage_pieces import Backlog, PieceGroup, PieceTask
from cactusdyke.serving.stages import StageResults, StageRunner
from features.support import serving_values as values
from standins.virtual import run_virtual


class ManualClock(Clock):
    """A clock that advances only when a test sets it."""

    def __init__(self):
        self.ms = 0.0

    def now(self):
        return self.ms

    def wall(self):
        return int(self.ms)


def replica(name, service="plain", **changes):
    fields = {
        "name": name,
        "service": service,
        "address": f"{name}:1",
        "data_centre": "here",
        "state": ReplicaState.READY,
        "slots": 6,
    }
    return Replica(**{**fields, **changes})


def route(host="h", prefix="/a/", **changes):
    fields = {
        "name": f"{host}{prefix}",
        "host": host,
        "path_prefix": prefix,
        "targets": (WeightedService(service="plain", weight=1.0),),
        "repeat_policy": RepeatPolicy.IDEMPOTENT,
        "streaming": False,
        "max_attempts": 2,
        "timeout_ms": 2_000.0,
        "objective_ms": 300.0,
        "gap_objective_ms": 300.0,
        "first_event_patience_ms": 2_000.0,
        "priority": 0,
        "public": True,
        "generates": False,
    }
    return Route(**{**fields, **changes})


def configuration(version):
    return ServingConfiguration(
        version=version,
        routes=(),
        services={},
        customers=(),
        limits=CallerLimits(),
    )


@when("requests are matched against routes of two hosts")
def match_routes(context):
    table = RouteTable(
        [
            route("one", "/a/"),
            route("one", "/a/b/"),
            route("two", "/a/b/c/"),
        ]
    )
    expected = {
        ("one", "/a/b/x"): "one/a/b/",
        ("one", "/a/b/"): "one/a/b/",
        ("one", "/a/bc"): "one/a/",
        ("one", "/a/b"): "one/a/",
        ("one", "/a"): None,
        ("one", "/"): None,
        ("one", ""): None,
        ("two", "/a/b/x"): None,
        ("two", "/a/b/c/d/e"): "two/a/b/c/",
        ("three", "/a/b"): None,
    }
    context.found = {
        key: (found.name if (found := table.find(*key)) else None)
        for key in expected
    }
    context.expected = expected


@then("each finds the longest prefix of its own host, or none")
def check_routes(context):
    assert context.found == context.expected, context.found


@given("a deployment with version 7 in force")
def deployment_with_version(context):
    context.deployment = Deployment(clock=ManualClock())
    assert context.deployment.apply(configuration(7), source="test")


@when("versions 3, 7 and 9 are applied in turn")
def apply_versions(context):
    context.applied = [
        version
        for version in (3, 7, 9)
        if context.deployment.apply(configuration(version), source="test")
    ]


@then("only version 9 is put in force")
def check_versions(context):
    assert context.applied == [9], context.applied
    assert context.deployment.version == 9


@given("a deployment with routes of priority 0 and 2")
def two_routes(context):
    context.deployment = Deployment(clock=ManualClock())
    context.routes = [route("a", priority=0), route("b", priority=2)]
    context.deployment.apply(
        attrs.evolve(configuration(1), routes=tuple(context.routes)),
        source="test",
    )


@when("customers of priority 0, 1 and of none ask on both")
def ranks(context):
    def rank(priority, route):
        customer = Customer(name="c", api_keys=frozenset(), priority=priority)
        return context.deployment.effective_priority(route, customer)

    context.ranks = {
        (priority, one.priority): rank(priority, one)
        for priority in (0, 1, None)
        for one in context.routes
    }


@then("customers come first, routes decide among equals, and alone without")
def check_ranks(context):
    ranks = context.ranks
    assert ranks[0, 0] < ranks[0, 2] < ranks[1, 0] < ranks[1, 2], ranks
    assert ranks[None, 0] < ranks[None, 2]
    assert context.deployment.effective_priority(context.routes[1], None) == 2


@given("a deployment with two replicas of a service")
def deployment_with_replicas(context):
    context.deployment = Deployment(clock=ManualClock())
    context.first = replica("r1", born=5)
    context.deployment.replace_replicas([context.first, replica("r2")])
    assert len(context.deployment.usable_replicas("plain")) == 2


@when("one of them turns out to have another's address")
def wrong_address(context):
    context.deployment.mark_leaving(context.first, reason="test")


@when("one of them reports that it drains")
def report_drain(context):
    context.deployment.put_replica(
        replica("r1", born=5, state=ReplicaState.DRAINING)
    )


@then("only the other one may be used")
def check_other(context):
    usable = context.deployment.usable_replicas("plain")
    assert [r.name for r in usable] == ["r2"], usable
    assert not context.deployment.is_usable(context.first)


@then("it may be used again once the list shows a new start under its id")
def check_restarted(context):
    context.deployment.put_replica(replica("r1", born=9))
    names = {r.name for r in context.deployment.usable_replicas("plain")}
    assert names == {"r1", "r2"}, names


@then("it may be used again once a whole list shows a new start under its id")
def check_restarted_in_list(context):
    listed = [context.first, replica("r2")]
    context.deployment.replace_replicas(listed)
    check_other(context)
    context.deployment.replace_replicas([replica("r1", born=9), replica("r2")])
    names = {r.name for r in context.deployment.usable_replicas("plain")}
    assert names == {"r1", "r2"}, names


def _spend_retries(assumed_daemons):
    clock = ManualClock()
    allowance = RetryAllowance(ratio=0.2, slack=52, window_ms=10_000)
    budgets = [
        RetryBudget(
            clock=clock,
            allowance=lambda: allowance,
            daemon_count=values.daemon_count(assumed_daemons, clock),
        )
        for _ in range(6)
    ]
    requests, retries = [], []
    for step in range(6_000):
        clock.ms = step * 10.0
        for budget in budgets:
            if step % 20 == 0:
                budget.record_request("service")
                requests.append(clock.ms)
            permit = budget.charge("service")
            if permit is not None:
                permit.mark_sent()
                retries.append(clock.ms)
    worst = -1e9
    for end in range(0, 60_001, 250):
        retried = sum(end - 10_000 < at <= end for at in retries)
        arrived = sum(end - 10_000 < at <= end for at in requests)
        worst = max(worst, retried - (0.2 * arrived + 52))
    return worst


@when("six daemons spend retries as fast as they may for a minute")
def spend_retries(context):
    context.excess = _spend_retries(6)
    context.naive_excess = _spend_retries(1)


@then("no window of ten seconds holds more than the allowance")
def check_retries(context):
    assert context.excess <= 0, context.excess


@then("daemons that ignore the others exceed it")
def check_naive_retries(context):
    assert context.naive_excess > 0, context.naive_excess


@when("one of three replicas fails four of ten requests for a while")
def grey_replica(context):
    clock = ManualClock()
    health = ReplicaHealth(clock=clock)
    rng = random.Random(3)
    replicas = [replica(name) for name in ("r1", "r2", "r3")]

    def serve(count, failing):
        chosen = collections.Counter()
        for _ in range(count):
            clock.ms += 25.0
            selected = balance.choose(
                replicas, health, rng=rng, local_data_centre="here"
            )
            chosen[selected.name] += 1
            health.record_start(selected.name)
            health.record_end(selected.name)
            if selected.name == "r1" and rng.random() < failing:
                health.record_failure(selected.name)
            else:
                health.record_success(
                    selected.name, 90.0 + rng.uniform(-30, 30)
                )
        return chosen["r1"] / count

    serve(100, 0.0)
    serve(40, 0.4)
    context.grey_share = serve(400, 0.4)
    serve(300, 0.0)
    context.well_share = serve(400, 0.0)


@then("it gets less than a tenth of the requests meanwhile")
def check_grey(context):
    assert context.grey_share < 0.1, context.grey_share


@then("at least a fifth of them soon after it is well")
def check_well(context):
    assert context.well_share > 0.2, context.well_share


ENGINE = EngineSpec(slots=64, kv_tokens=600_000)


def engines(count):
    return [replica(f"e{i}", "engine", slots=64) for i in range(count)]


def prompt(subject, shared=13_000, own=1_000, request=0):
    return Generation(
        model="m",
        prompt_tokens=shared + own,
        output_tokens=100,
        parts=(
            PromptPart(name=f"s{subject}", tokens=shared),
            PromptPart(name=f"o{subject}-{request}", tokens=own),
        ),
    )


@when("300 requests of 30 subjects are placed on five engines")
def place_subjects(context):
    clock = ManualClock()
    placer = EnginePlacer(clock=clock)
    rng = random.Random(1)
    context.places = collections.defaultdict(set)
    for number in range(300):
        clock.ms += 100.0
        subject = rng.randrange(30)
        chosen = placer.place(
            str(number), prompt(subject, request=number), engines(5), ENGINE
        )
        context.places[subject].add(chosen.name)
        clock.ms += 60.0
        placer.record_first_token(str(number))
        placer.record_end(str(number), failed=False)


@then("each subject's part is prefilled by one engine, few by two")
def check_subjects(context):
    reads = [len(names) for names in context.places.values()]
    assert sum(reads) <= 30 + 3, reads


@when("60 requests of one subject are placed on five engines at once")
def place_hot(context):
    placer = EnginePlacer(clock=ManualClock())
    context.chosen = collections.Counter(
        placer.place(str(n), prompt(0, request=n), engines(5), ENGINE).name
        for n in range(60)
    )


@then("no engine has more than twice its share of them")
def check_hot(context):
    assert max(context.chosen.values()) <= 24, context.chosen


@when("a prompt of 50000 tokens is placed and then ten short ones")
def place_long(context):
    placer = EnginePlacer(clock=ManualClock())
    context.long = placer.place(
        "long", prompt(99, shared=0, own=50_000), engines(5), ENGINE
    )
    context.short = {
        placer.place(
            str(n), prompt(n, shared=300, own=800), engines(5), ENGINE
        ).name
        for n in range(10)
    }


@then("none of the short ones goes to the long one's engine")
def check_long(context):
    assert context.long.name not in context.short


@when("an engine fails the first three requests it gets")
def engine_fails(context):
    clock = ManualClock()
    placer = EnginePlacer(clock=clock)
    for number in range(3):
        chosen = placer.place(
            str(number), prompt(7, request=number), engines(5), ENGINE
        )
        context.failing = chosen.name
        placer.record_end(str(number), failed=True)
        if number == 0:
            context.first_failing = chosen.name
    context.after = [
        placer.place(
            f"n{n}", prompt(7, request=100 + n), engines(5), ENGINE
        ).name
        for n in range(10)
    ]


@then("the next ten requests go to other engines")
def check_engine_fails(context):
    assert context.first_failing not in context.after, context.after


@when("two placers without state place 40 subjects")
def two_placers(context):
    context.same = 0
    for subject in range(40):
        chosen = []
        for _ in range(2):
            placer = EnginePlacer(clock=ManualClock())
            placer.place("x", prompt(1_000), engines(5), ENGINE)
            chosen.append(
                placer.place("y", prompt(subject), engines(5), ENGINE).name
            )
        fresh = EnginePlacer(clock=ManualClock())
        alone = fresh.place("z", prompt(subject), engines(5), ENGINE).name
        context.same += chosen[0] == chosen[1] == alone


@then("both place at least 30 of them on the same engine")
def check_two_placers(context):
    assert context.same >= 30, context.same


@when("500 subjects of 20000 tokens are placed on one engine")
def fill_engine(context):
    clock = ManualClock()
    placer = EnginePlacer(clock=clock)
    for subject in range(500):
        clock.ms += 1_000.0
        placer.place(
            str(subject), prompt(subject, shared=20_000), engines(1), ENGINE
        )
        placer.record_end(str(subject), failed=False)
    context.counted = placer._engines["e0"].cached_tokens


@then("the placer counts no more cached tokens than the engine can store")
def check_filled(context):
    assert 0 < context.counted <= ENGINE.kv_tokens, context.counted


class ThreeDaemons(PeerDaemons):
    """Three daemons that are all considered live."""

    def all(self):
        return tuple(
            PeerDaemon(
                name=name,
                address=f"{name}:1",
                public_address="",
                data_centre="here",
                ready=True,
                is_local=name == "d1",
            )
            for name in ("d1", "d2", "d3")
        )

    def estimated_count(self):
        return 3


@given("three daemons of which one decides for a service")
def three_daemons(context):
    context.clock = ManualClock()
    context.watch = PeerWatch(clock=context.clock, network=None)
    context.deciders = DeciderDirectory(
        clock=context.clock, daemons=ThreeDaemons(), watch=context.watch
    )
    context.usual = context.deciders.decider_of("service").name


@when("it redirects to another one")
def redirect(context):
    context.other = "d3" if context.usual == "d2" else "d2"
    context.deciders.apply_redirect(
        "service", [context.other, f"{context.other}:1", "here"]
    )


@then("that one is called until the redirect expires")
def check_redirected(context):
    assert context.deciders.decider_of("service").name == context.other
    assert (
        context.deciders.decider_by_membership("service").name == context.usual
    )
    context.clock.ms += 1_600.0
    assert context.deciders.decider_of("service").name == context.usual


@then("not if it is silent, and not if it is this daemon itself")
def check_not_redirected(context):
    redirect(context)
    peer = context.deciders.decider_of("service")
    context.watch.mark_silent(peer, detail="test")
    assert context.deciders.decider_of("service").name != context.other
    context.deciders.apply_redirect("service", ["d1", "d1:1", "here"])
    by_members = context.deciders.decider_by_membership("service").name
    assert context.deciders.decider_of("service").name == by_members


class FakeDispatch:
    """A dispatch with given backlogs, which records what it runs and frees."""

    def __init__(self, **backlogs_ms):
        self._backlogs_ms = backlogs_ms
        self.made = []
        self.freed = []

    def backlog(self, service):
        ms = self._backlogs_ms.get(service, 0.0)
        return Backlog(feasible_ms=0.0, all_ms=ms)

    async def compute_stage(self, work):
        self.made.append(work.service)
        handles = tuple(f"{work.service}/{p.number}" for p in work.pieces)
        return Ok(StageOutcome(handles=handles))

    def free(self, service, handles):
        self.freed += handles


@given("stages of which none is behind")
def not_behind(context):
    _stages(context)


@when("a request runs through both of them")
def run_through(context):
    context.handles = _run_stages(context, first_by=9_000.0).unwrap()


@then("the first one's results are freed, and not the ones the request needs")
def check_freed(context):
    assert context.dispatch.freed == ["wide/0"], context.dispatch.freed
    assert context.handles == ["narrow/0", "narrow/1"]


@when("pieces with two inputs here and one there are queued")
def queue_pieces(context):
    deployment = Deployment(clock=ManualClock())
    deployment.replace_replicas(
        [
            replica("r1", address="1.1.1.1:1", data_centre="here"),
            replica("r2", address="2.2.2.2:2", data_centre="there"),
        ]
    )

    def batcher(tasks):
        return StageBatcher(
            service="plain",
            spec=BatchSpec(
                concurrent_calls=1,
                queued_calls=0,
                batch=4,
                call_ms=100.0,
                piece_ms=1.0,
                result_capacity_bytes=1e9,
                result_lifetime_ms=4_000.0,
            ),
            clock=ManualClock(),
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=values.NoConnections(),
            tasks=tasks,
            free_inputs=lambda service, handles: False,
            request_limits=values.request_limits(ManualClock(), deployment),
        )

    inputs = ("2.2.2.2:2/a", "1.1.1.1:1/b", "1.1.1.1:1/c")
    context.group = PieceGroup(
        objective_at=500.0, deadline_at=900.0, priority=0, result_bytes=1.0
    )
    piece = Piece(request_id="r", stage=1, number=0, inputs=inputs)
    context.group.tasks = [PieceTask(piece=piece, group=context.group)]

    async def run():
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(1):
                await batcher(tasks).run(context.group, may_refuse=True)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("they are assigned to the data centre of the two")
def check_data_centre(context):
    assert context.group.data_centre == "here"


@given("stages of which the second is 5 seconds behind")
def behind(context):
    _stages(context, narrow=5_000.0)


def _stages(context, **backlogs_ms):
    context.dispatch = FakeDispatch(**backlogs_ms)
    context.runner = StageRunner(
        clock=ManualClock(),
        rng=random.Random(1),
        dispatch=context.dispatch,
        deployment=Deployment(clock=ManualClock()),
        returns=values.NoReturnTimes(),
    )


@when("a request comes whose caller waits 2 seconds, and one that waits 9")
def two_callers(context):
    context.refused = _run_stages(context, first_by=2_000.0)
    context.begun = list(context.dispatch.made)
    context.served = _run_stages(context, first_by=9_000.0)


def _run_stages(context, *, first_by):
    stages = (
        StageSpec(service="wide"),
        StageSpec(service="narrow", after=(0,)),
    )
    request = values.serving_context(route(stages=stages), pieces=(1, 2))
    request.start_deadline_at = first_by
    results = StageResults(request)
    return run_virtual(context.runner.run, request, results)


@then("the first is refused as not run with a retry time, and starts no stage")
def check_refused_at_arrival(context):
    failure = context.refused.unwrap_err()
    assert failure.kind is FailureKind.OVERLOADED
    assert failure.ran is Ran.NOT_RUN
    assert 500 <= failure.retry_after_ms <= 3_000
    assert context.begun == []


@then("the second one's results are computed")
def check_second_made(context):
    assert context.served.unwrap() == ["narrow/0", "narrow/1"]


class CountingDispatch(FakeDispatch):
    """Counts the pieces and inputs of each part; may fail at a part."""

    def __init__(self, *, fails_at=None):
        super().__init__()
        self._fails_at = fails_at
        self.parts = []
        self.freeing = []

    async def compute_stage(self, work):
        inputs = sum(len(piece.inputs) for piece in work.pieces)
        self.parts.append((len(work.pieces), inputs))
        self.freeing.append(bool(work.last_use_of))
        if len(self.parts) == self._fails_at:
            return Err(Failure(kind=FailureKind.OVERLOADED, detail="full"))
        return await super().compute_stage(work)


@given("two stages of 40 replicas, which compute 20,000 pieces in 2 seconds")
def wide_stages(context):
    clock = ManualClock()
    deployment = Deployment(clock=clock)
    batching = BatchSpec(
        concurrent_calls=1,
        queued_calls=1,
        batch=50,
        call_ms=100.0,
        piece_ms=2.0,
        result_capacity_bytes=1e9,
        result_lifetime_ms=4_000.0,
    )
    names = ("wide", "narrow")
    deployment.apply(
        ServingConfiguration(
            version=1,
            routes=(),
            services={
                name: ServiceSpec(
                    name=name, max_connections=64, batching=batching
                )
                for name in names
            },
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    deployment.replace_replicas(
        replica(f"{name}-{number}", name, address=f"10.0.{place}.{number}:80")
        for place, name in enumerate(names)
        for number in range(40)
    )
    context.clock, context.deployment = clock, deployment


def _run_wide(context, pieces, result_bytes=1_000.0, **dispatch):
    context.dispatch = CountingDispatch(**dispatch)
    runner = StageRunner(
        clock=context.clock,
        rng=random.Random(1),
        dispatch=context.dispatch,
        deployment=context.deployment,
        returns=values.NoReturnTimes(),
    )
    stages = (
        StageSpec(service="wide", result_bytes=result_bytes),
        StageSpec(service="narrow", after=(0,)),
    )
    request = values.serving_context(route(stages=stages), pieces=pieces)
    context.answer = run_virtual(runner.run, request, StageResults(request))


@when("a request names {count:d} pieces of the first and 50 of the second")
def many_pieces(context, count):
    context.count = count
    _run_wide(context, (count, 50))


@when("a request names {count:d} pieces of 100 MB of the first")
def large_pieces(context, count):
    context.count = count
    _run_wide(context, (count, 50), result_bytes=1e8)


@then("only the last part of the second stage frees its inputs")
def check_freeing(context):
    second = context.dispatch.freeing[context.dispatch.made.count("wide") :]
    assert len(second) > 1, second
    assert second == [False] * (len(second) - 1) + [True], second


@then("all of its pieces are computed")
def check_many_served(context):
    computed = [f"narrow/{number}" for number in range(50)]
    assert context.answer.unwrap() == computed
    first = context.dispatch.made.count("wide")
    pieces = sum(size for size, _ in context.dispatch.parts[:first])
    assert pieces == context.count, pieces


@then("none of its pieces is made")
def check_many_refused(context):
    failure = context.answer.unwrap_err()
    assert failure.kind is FailureKind.TOO_MUCH_WORK
    assert failure.ran is Ran.NOT_RUN
    assert context.dispatch.parts == []


@then(
    "never more than 1,000 pieces, or 20,000 inputs of pieces, are made at once"
)
def check_parts(context):
    for pieces, inputs in context.dispatch.parts:
        # One piece has all of its inputs.
        assert pieces <= 1_000 and (inputs <= 20_000 or pieces == 1)


@when("the second part of a stage of 2,500 pieces fails")
def failing_part(context):
    _run_wide(context, (2_500, 1), fails_at=2)


@then("the results of the first part are freed")
def check_part_freed(context):
    assert context.answer.is_err()
    freed = [f"wide/{number}" for number in range(1_000)]
    assert context.dispatch.freed == freed, context.dispatch.freed[:5]


@when("a graph of four stages runs with its second stage left out")
def graph(context):
    stages = (
        StageSpec(service="s0"),
        StageSpec(service="s1", after=(0,)),
        StageSpec(service="s2", after=(1,)),
        StageSpec(service="s3", after=(2,)),
    )
    context.results = StageResults(
        values.serving_context(route(stages=stages), pieces=(2, 0, 3, 1))
    )


@then("the third stage works on the first one's results")
def check_graph(context):
    assert context.results.input_stages(2) == [0]
    assert context.results.active_stages() == [0, 2, 3]


@then("the request itself needs the results of the last stage alone")
def check_graph_end(context):
    assert context.results.final_stages() == [3]


def _deployment_with_desk(max_connections):
    deployment = Deployment(clock=ManualClock())
    desk = ServiceSpec(name="desk", max_connections=max_connections)
    deployment.apply(
        ServingConfiguration(
            version=1,
            routes=(),
            services={"desk": desk},
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    return deployment


@given("a replica that accepts 96 connections from six daemons")
def bounded_replica(context):
    context.health = ReplicaHealth(clock=ManualClock())
    context.share = ConnectionShare(
        deployment=_deployment_with_desk(96),
        health=context.health,
        daemon_count=values.daemon_count(6, ManualClock()),
    )
    context.bounded = replica("r1", "desk")


@when("twelve requests are under way there from one daemon")
def twelve_in_flight(context):
    for _ in range(12):
        context.health.record_start("r1")


@then("another one fits, and none after it until one has ended")
def check_bound(context):
    assert context.share.has_capacity(context.bounded)
    context.health.record_start("r1")
    assert not context.share.has_capacity(context.bounded)
    context.health.record_end("r1")
    assert context.share.has_capacity(context.bounded)


@then("a daemon that knows no limit, or of no other daemon, still sends one")
def check_minimum(context):
    small_share = ConnectionShare(
        deployment=_deployment_with_desk(3),
        health=ReplicaHealth(clock=ManualClock()),
        daemon_count=values.daemon_count(75, ManualClock()),
    )
    assert small_share.has_capacity(context.bounded)
    unlimited = ConnectionShare(
        deployment=Deployment(clock=ManualClock()),
        health=context.health,
        daemon_count=values.daemon_count(6, ManualClock()),
    )
    assert unlimited.has_capacity(context.bounded)
