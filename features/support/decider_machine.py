"""Daemons that hear of each other late, in any order, or not at all.

The oracle is what must hold once they have heard of each other again: all ask
the same daemon, and it is the one that decided before if that is still there.
"""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cactusdyke.serving import peers
from cactusdyke.serving.decided import DecidedServices
from cactusdyke.serving.deciders import Deciders
from cactusdyke.serving.peer_watch import PeerWatch
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons

NAMES = ("d1", "d2", "d3", "d4")
SERVICE = "stage"
ROUND_MS = 200.0
ROUNDS = 20
"""Twice the time after which a daemon tells that it decides, and as long as a
daemon is avoided after it was silent, with a margin."""


class HandClock:
    """A clock that is moved by hand."""

    def __init__(self):
        self.ms = 0.0

    def now(self):
        return self.ms


class Node(PeerDaemons):
    """One daemon and what it has heard of the others."""

    def __init__(self, name, clock, world):
        self.name = name
        self.clock = clock
        self.world = world
        self.ready = True
        self.view = {}
        self.start()

    def start(self):
        self.watch = PeerWatch(clock=self.clock, network=None)
        self.deciders = Deciders(
            clock=self.clock, daemons=self, watch=self.watch
        )
        self.decided = DecidedServices(clock=self.clock, deciders=self.deciders)
        self.asked_at = -10_000.0

    def told(self):
        return PeerDaemon(
            name=self.name,
            address=f"{self.name}:1",
            public_address="",
            data_centre="here",
            ready=self.ready,
            decided_hashes=self.decided.marks,
        )

    def all(self):
        own = attrs.evolve(self.told(), is_local=True)
        return (own, *(d for n, d in self.view.items() if n != self.name))

    def estimated_count(self):
        return len(NAMES)

    def first(self):
        return self.deciders.by_members(SERVICE).name

    def look(self):
        asked = self.clock.ms - self.asked_at < 5_000.0
        self.decided.update([SERVICE] if asked else [])


class DeciderMachine(RuleBasedStateMachine):
    """Four daemons; messages, stops and silence in any order."""

    def __init__(self):
        super().__init__()
        self.clock = HandClock()
        self.nodes = {}
        for name in NAMES:
            self.nodes[name] = Node(name, self.clock, self)
        self.agreed = None

    @rule(hearer=st.sampled_from(NAMES), teller=st.sampled_from(NAMES))
    def hear(self, hearer, teller):
        if hearer != teller:
            told = self.nodes[teller].told()
            self.nodes[hearer].view[teller] = told

    @rule(hearer=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def silent(self, hearer, other):
        if hearer != other:
            told = self.nodes[other].told()
            self.nodes[hearer].watch.mark_silent(told, detail="test")

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
    def pass_round(self, order):
        self.clock.ms += ROUND_MS
        for name in order:
            node = self.nodes[name]
            if node.ready:
                self.nodes[node.first()].asked_at = self.clock.ms
                node.look()

    @rule(order=st.permutations(NAMES))
    def heal(self, order):
        for _ in range(ROUNDS):
            for hearer in order:
                for teller in order:
                    self.hear(hearer, teller)
            self.pass_round(order)
        live = [node for node in self.nodes.values() if node.ready]
        if not live:
            return
        firsts = {node.first() for node in live}
        assert len(firsts) == 1, f"they ask {firsts}"
        first = firsts.pop()
        assert self.agreed in (None, first), f"{self.agreed} lost it to {first}"
        self.agreed = first

    @rule(order=st.permutations(NAMES))
    def come_back(self, order):
        """All that are stopped start again and take nothing."""
        self.heal(order)
        for name in order:
            self.start(name)
        self.heal(order)

    @invariant()
    def somebody_is_asked(self):
        for node in self.nodes.values():
            assert node.first() in NAMES


class ByHashMachine(DeciderMachine):
    """A naive version: the members' hash alone decides."""

    def heal(self, order):
        kept = peers.service_hash
        peers.service_hash = lambda service: -1
        try:
            super().heal(order)
        finally:
            peers.service_hash = kept


class OwnFirstMachine(DeciderMachine):
    """A naive version: each daemon prefers itself once it has decided."""

    def heal(self, order):
        kept = peers.rank_deciders

        def own_first(service, daemons, silent):
            found = kept(service, daemons, silent)
            return sorted(
                found, key=lambda d: not (d.is_local and d.decided_hashes)
            )

        peers.rank_deciders = own_first
        try:
            super().heal(order)
        finally:
            peers.rank_deciders = kept
