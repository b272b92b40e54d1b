"""State machine of daemons with delayed, reordered or lost gossip.

Invariant once they have received each other's gossip again: all choose the same
decider, and it is the former one if that is still a member.
"""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cactusdyke.serving import peers
from cactusdyke.serving.decided_services import DecidedServices
from cactusdyke.serving.decider_directory import DeciderDirectory
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons

NAMES = ("d1", "d2", "d3", "d4")
SERVICE = "stage"
ROUND_MS = 200.0
ROUNDS = 20
"""Twice the delay before a daemon announces itself as decider, and as long as a
silent daemon is avoided, with a margin."""


class HandClock:
    """A clock that is advanced manually."""

    def __init__(self):
        self.ms = 0.0

    def now(self):
        return self.ms


class Node(PeerDaemons):
    """One daemon and the gossip that it has received from the others."""

    def __init__(self, name, clock, world):
        self.name = name
        self.clock = clock
        self.world = world
        self.ready = True
        self.view = {}
        self.start()

    def start(self):
        self.watch = PeerWatch(clock=self.clock, network=None)
        self.deciders = DeciderDirectory(
            clock=self.clock, daemons=self, watch=self.watch
        )
        self.decided = DecidedServices(clock=self.clock, deciders=self.deciders)
        self.used_at = -10_000.0

    def announced(self):
        return PeerDaemon(
            name=self.name,
            address=f"{self.name}:1",
            public_address="",
            data_centre="here",
            ready=self.ready,
            decided_hashes=self.decided.service_hashes,
        )

    def all(self):
        own = attrs.evolve(self.announced(), is_local=True)
        return (own, *(d for n, d in self.view.items() if n != self.name))

    def estimated_count(self):
        return len(NAMES)

    def decider(self):
        return self.deciders.decider_by_membership(SERVICE).name

    def update_decided(self):
        used = self.clock.ms - self.used_at < 5_000.0
        self.decided.update([SERVICE] if used else [])


class DeciderMachine(RuleBasedStateMachine):
    """Four daemons with gossip, stops and silence in any order."""

    def __init__(self):
        super().__init__()
        self.clock = HandClock()
        self.nodes = {}
        for name in NAMES:
            self.nodes[name] = Node(name, self.clock, self)
        self.agreed = None

    @rule(receiver=st.sampled_from(NAMES), sender=st.sampled_from(NAMES))
    def receive_gossip(self, receiver, sender):
        if receiver != sender:
            announced = self.nodes[sender].announced()
            self.nodes[receiver].view[sender] = announced

    @rule(receiver=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def silence(self, receiver, other):
        if receiver != other:
            announced = self.nodes[other].announced()
            self.nodes[receiver].watch.mark_silent(announced, detail="test")

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name):
        self.nodes[name].ready = False
        if self.agreed == name:
            self.agreed = None

    @rule(name=st.sampled_from(NAMES))
    def start(self, name):
        node = self.nodes[name]
        if not node.ready:
            node.ready = True
            node.start()

    @rule(order=st.permutations(NAMES))
    def run_round(self, order):
        self.clock.ms += ROUND_MS
        for name in order:
            node = self.nodes[name]
            if node.ready:
                self.nodes[node.decider()].used_at = self.clock.ms
                node.update_decided()

    @rule(order=st.permutations(NAMES))
    def heal(self, order):
        for _ in range(ROUNDS):
            for receiver in order:
                for sender in order:
                    self.receive_gossip(receiver, sender)
            self.run_round(order)
        live = [node for node in self.nodes.values() if node.ready]
        if not live:
            return
        deciders = {node.decider() for node in live}
        assert len(deciders) == 1, f"daemons choose {deciders}"
        decider = deciders.pop()
        assert self.agreed in (None, decider), (
            f"{self.agreed} was replaced by {decider}"
        )
        self.agreed = decider

    @rule(order=st.permutations(NAMES))
    def all_restart(self, order):
        """Starts all stopped daemons, which must not become the decider."""
        self.heal(order)
        for name in order:
            self.start(name)
        self.heal(order)

    @invariant()
    def every_daemon_has_a_decider(self):
        for node in self.nodes.values():
            assert node.decider() in NAMES


class HashOnlyMachine(DeciderMachine):
    """Naive version: deciders are ranked by the hash of members alone."""

    def heal(self, order):
        original = peers.service_hash
        peers.service_hash = lambda service: -1
        try:
            super().heal(order)
        finally:
            peers.service_hash = original


class SelfPreferringMachine(DeciderMachine):
    """Naive version: each daemon prefers itself once it was the decider."""

    def heal(self, order):
        original = peers.rank_deciders

        def self_first(service, daemons, silent):
            found = original(service, daemons, silent)
            return sorted(
                found, key=lambda d: not (d.is_local and d.decided_hashes)
            )

        peers.rank_deciders = self_first
        try:
            super().heal(order)
        finally:
            peers.rank_deciders = original
