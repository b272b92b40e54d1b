"""State machine of daemons that send requests to a replica that states a limit.

Invariant: from three seconds after a change of the limit on, daemons that have
been told it send no more in four seconds than is tolerated, all together.
"""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import rule

from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stated_request_limit import StatedRequestLimit
from features.support.cold_machine import (
    COLD,
    NAMES,
    ROUNDS_IN_THREE_SECONDS,
    ColdMachine,
    LimitedNode,
)
from features.support.decider_machine import SERVICE

LIMITED = attrs.evolve(COLD, name="limited", cold_left_ms=0.0)
LIMITS_PER_S = (0.5, 1.0, 4.0, 10.0)
WINDOW_MS = 4_000.0
KNOWN_MS = 3_000.0
TOLD_MS = 500.0
OVERSHOOT = 1.5
SLACK = 5.0


class StatingNode(LimitedNode):
    """A daemon that keeps to stated limits; a start makes it forget them."""

    def start(self):
        super().start()
        self.told_at = None
        self.limits = StatedLimits(clock=self.clock)
        self.stated = StatedRequestLimit(
            clock=self.clock,
            limits=self.limits,
            announced_since=lambda service: (
                self.decided.announced_since(service)
                if self.announces
                else -1.0
            ),
            sees_most_daemons=lambda: (
                not self.counts_members or self.sees_most()
            ),
        )


class LimitMachine(ColdMachine):
    """The daemons of the machine of cold replicas, and changing limits."""

    node_class = StatingNode

    def __init__(self):
        self.requests_per_s = None
        self.changed_at = 0.0
        super().__init__()

    @rule(requests_per_s=st.sampled_from((None, *LIMITS_PER_S)))
    def change_limit(self, requests_per_s):
        self.requests_per_s = requests_per_s
        self.changed_at = self.clock.ms
        self.arrivals.clear()

    @rule(requests_per_s=st.sampled_from(LIMITS_PER_S))
    def serve_limited_for_twelve_seconds(self, requests_per_s):
        self.change_limit(requests_per_s)
        for _ in range(4 * ROUNDS_IN_THREE_SECONDS):
            self.run_round([])
            for name in NAMES:
                self.request(name, 3)

    @rule(
        order=st.permutations(NAMES), requests_per_s=st.sampled_from((0.5, 1.0))
    )
    def stop_deciders_in_turn(self, order, requests_per_s):
        self.serve_limited_for_twelve_seconds(requests_per_s)
        for name in order:
            self.kill(name)
            for _ in range(3):
                self.run_round([])
                for other in NAMES:
                    self.request(other, 3)
            self.nodes[name].ready = True

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 20))
    def request(self, name, count):
        node = self.nodes[name]
        if not node.ready:
            return
        answered = 0
        for _ in range(count):
            decider = self.nodes[node.decider()]
            if not self._reaches(decider.name, name):
                node.watch.mark_silent(decider.announced(), detail="test")
                decider = node
            answered += self._ask(node, decider)
        if not answered:
            return
        node.limits.record_answer(
            LIMITED, self.requests_per_s, sent_at=self.clock.ms
        )
        if self.requests_per_s is not None and node.told_at is None:
            node.told_at = self.clock.ms

    def _ask(self, node, decider):
        """Asks for a replica; returns whether it is the limited one."""
        decider.used_at = self.clock.ms
        known = node.limits.encode(node.limits.reports_of(SERVICE))
        if decider is not node:
            decider.limits.merge(known, source=node.name)
        if decider.stated.exhausted([LIMITED]):
            return False
        decider.stated.record(LIMITED)
        now = self.clock.ms
        is_told = node.told_at is not None and now - node.told_at > TOLD_MS
        if is_told and now >= self.changed_at + KNOWN_MS:
            self.arrivals.append(now)
            self._check(now)
        return True

    def _check(self, now):
        if self.requests_per_s is None:
            return
        recent = sum(at > now - WINDOW_MS for at in self.arrivals)
        most = OVERSHOOT * self.requests_per_s * WINDOW_MS / 1_000.0 + SLACK
        assert recent <= most, f"{recent} requests in four seconds, {most}"


class AnyDeciderNode(StatingNode):
    """Naive version: whoever is asked sends, announced or not."""

    announces = False


class OwnLimitNode(StatingNode):
    """Naive version: each daemon keeps to the limit by itself."""

    announces = False
    counts_members = False

    def decider(self):
        return self.name


class AnyDeciderMachine(LimitMachine):
    """The machine with naive daemons that do not wait until they announce."""

    node_class = AnyDeciderNode


class OwnLimitMachine(LimitMachine):
    """The machine with naive daemons that do not ask the decider."""

    node_class = OwnLimitNode


class AnySideNode(StatingNode):
    """Naive version: each side of a partition sends."""

    counts_members = False


class AnySideMachine(LimitMachine):
    """The machine with naive daemons that ignore partitions."""

    node_class = AnySideNode


class NaiveNode(StatingNode):
    """Naive version: whoever is asked sends, on any side of a partition."""

    announces = False
    counts_members = False


class NaiveMachine(LimitMachine):
    """The machine with daemons that each limit only what they send."""

    node_class = NaiveNode
