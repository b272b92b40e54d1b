"""State machine of daemons that send requests to one cold replica.

Invariant: in no second do all daemons together send it more than they may.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cactusdyke.serving.cold_replicas import ColdAllowance, ColdRequestLimit
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.model import (
    CallerLimits,
    Replica,
    ReplicaState,
    ServiceSpec,
    ServingConfiguration,
)
from features.support.decider_machine import SERVICE, HandClock, Node

NAMES = ("d1", "d2", "d3", "d4", "d5")
ROUND_MS = 200.0
DEAD_ROUNDS = 8
"""After so many rounds without gossip a daemon is presumed dead."""
ROUNDS_IN_THREE_SECONDS = 15
MAX_SKIPPED_ROUNDS = 2
"""Gossip between daemons that reach each other is lost so often in a row."""
ALLOWANCE = ColdAllowance(overshoot=1.5, slack=5.0)
TOLERATED_PER_S = 8.0
MOST_PER_S = 17
COLD = Replica(
    name="cold",
    service=SERVICE,
    address="cold:1",
    data_centre="here",
    state=ReplicaState.READY,
    slots=8,
    cold_left_ms=1e9,
)


def deployment_with_cold_replica(clock, replicas=(COLD,)):
    deployment = Deployment(clock=clock)
    spec = ServiceSpec(
        name=SERVICE,
        max_connections=100,
        cold_ms=3_000.0,
        cold_requests_per_s=TOLERATED_PER_S,
    )
    deployment.apply(
        ServingConfiguration(
            version=1,
            routes=(),
            services={SERVICE: spec},
            customers=(),
            limits=CallerLimits(),
        ),
        source="test",
    )
    deployment.replace_replicas(replicas)
    return deployment


class LimitedNode(Node):
    """A daemon with its limit; it knows no other daemon when it starts."""

    deployment = None
    announces = True
    counts_members = True

    def start(self):
        super().start()
        self.view = {}
        self.heard_at = {}
        self.limit = ColdRequestLimit(
            clock=self.clock,
            deployment=self.world.deployment,
            allowance=lambda: ALLOWANCE,
            is_announced_decider=lambda service: (
                not self.announces or self.decided.announced(service)
            ),
            sees_most_daemons=lambda: (
                not self.counts_members or self.sees_most()
            ),
        )

    def estimated_count(self):
        return len(NAMES)

    def forget_dead(self):
        oldest = self.clock.ms - DEAD_ROUNDS * ROUND_MS
        self.view = {
            name: daemon
            for name, daemon in self.view.items()
            if self.heard_at[name] >= oldest
        }


class ColdMachine(RuleBasedStateMachine):
    """Five daemons with partitions, kills and starts, and their requests."""

    node_class = LimitedNode

    def __init__(self):
        super().__init__()
        self.clock = HandClock()
        self.deployment = deployment_with_cold_replica(self.clock)
        self.nodes = {n: self.node_class(n, self.clock, self) for n in NAMES}
        self.sides = dict.fromkeys(NAMES, 0)
        self.skipped = {}
        self.arrivals = []
        for _ in range(20):
            self.run_round([])
            self.request("d1", 1)

    @rule(sides=st.lists(st.integers(0, 4), min_size=5, max_size=5))
    def partition(self, sides):
        self.sides = dict(zip(NAMES, sides, strict=True))

    @rule()
    def heal(self):
        self.sides = dict.fromkeys(NAMES, 0)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        self.nodes[name].ready = False

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def start(self, names):
        for name in names:
            self.nodes[name].ready = True
            self.nodes[name].start()

    @rule(
        lost=st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)))
    )
    def run_round(self, lost):
        self.clock.ms += ROUND_MS
        for pair in [(a, b) for a in NAMES for b in NAMES if a != b]:
            self.skipped[pair] = (
                self.skipped.get(pair, 0) + 1 if pair in lost else 0
            )
            if self.skipped[pair] > MAX_SKIPPED_ROUNDS or pair not in lost:
                self._gossip(*pair)
        for node in self.nodes.values():
            node.forget_dead()
            if node.ready:
                node.update_decided()

    @rule()
    def serve_for_three_seconds(self):
        for _ in range(ROUNDS_IN_THREE_SECONDS):
            self.run_round([])
            for name in NAMES:
                self.request(name, 1)

    def _gossip(self, sender, receiver):
        node = self.nodes[receiver]
        if self._reaches(sender, receiver) and node.ready:
            node.view[sender] = self.nodes[sender].announced()
            node.heard_at[sender] = self.clock.ms

    def _reaches(self, sender, receiver):
        alive = self.nodes[sender].ready
        return alive and self.sides[sender] == self.sides[receiver]

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 20))
    def request(self, name, count):
        node = self.nodes[name]
        if not node.ready:
            return
        for _ in range(count):
            decider = self.nodes[node.decider()]
            if not self._reaches(decider.name, name):
                node.watch.mark_silent(decider.announced(), detail="test")
                decider = node
            self._send(decider)

    def _send(self, decider):
        decider.used_at = self.clock.ms
        if decider.limit.exhausted([COLD]):
            return
        decider.limit.record(COLD)
        self.arrivals.append(self.clock.ms)
        recent = [at for at in self.arrivals if at > self.clock.ms - 1_000.0]
        assert len(recent) <= MOST_PER_S, f"{len(recent)} requests in a second"


class AnyDeciderNode(LimitedNode):
    """Naive version: whoever is asked sends, announced or not."""

    announces = False


class AnySideNode(LimitedNode):
    """Naive version: each side of a partition sends."""

    counts_members = False


class AnyDeciderMachine(ColdMachine):
    """The machine with naive daemons that do not wait until they announce."""

    node_class = AnyDeciderNode


class NaiveNode(LimitedNode):
    """Naive version: neither is required."""

    announces = False
    counts_members = False


class NaiveMachine(ColdMachine):
    """The machine with daemons that each limit only what they send."""

    node_class = NaiveNode


class AnySideMachine(ColdMachine):
    """The machine with naive daemons that ignore partitions."""

    node_class = AnySideNode
