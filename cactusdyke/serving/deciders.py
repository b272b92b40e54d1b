"""Which daemon decides for a service, as seen from here."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cactusdyke.serving import peers
from cactusdyke.serving.peers import PeerDaemon

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.peers import PeerDaemons

MOVED_MS = 1_500.0
"""By then gossip has told everyone of a daemon that leaves or comes."""


class Deciders:
    """The members' order for each service, and what deciders said of it.

    News that a daemon leaves takes half a second to reach all. Until then
    some ask the old decider, which knows: it names the next one, and they
    go there at once in place of deciding for themselves.
    """

    def __init__(
        self, *, clock: Clock, daemons: PeerDaemons, watch: PeerWatch
    ) -> None:
        self._clock = clock
        self._daemons = daemons
        self._watch = watch
        self._ranked_of: tuple[PeerDaemon, ...] = ()
        self._ranked_without: frozenset[str] = frozenset()
        self._firsts: dict[str, PeerDaemon] = {}
        self._changed_at: Instant = clock.now()
        self._moved: dict[str, tuple[PeerDaemon, Instant]] = {}

    @property
    def stable_ms(self) -> float:
        """How long ago a daemon last came or left."""
        return self._clock.now() - self._changed_at

    def first(self, service: str) -> PeerDaemon:
        """Returns the daemon to ask."""
        moved, until = self._moved.get(service, (None, 0.0))
        fresh = self._clock.now() < until
        if moved and fresh and moved.name not in self._watch.silent:
            return moved
        return self.by_members(service)

    def by_members(self, service: str) -> PeerDaemon:
        """Returns the daemon that decides going by the members alone."""
        daemons = self._daemons.all()
        silent = frozenset(self._watch.silent)
        if daemons is not self._ranked_of or silent != self._ranked_without:
            if {d.name for d in daemons} != {d.name for d in self._ranked_of}:
                self._changed_at = self._clock.now()
            self._ranked_of = daemons
            self._ranked_without = silent
            self._firsts.clear()
        first = self._firsts.get(service)
        if first is None:
            first = peers.rank_deciders(service, daemons, silent)[0]
            self._firsts[service] = first
        return first

    def own(self) -> PeerDaemon:
        """Returns this daemon."""
        return next(d for d in self._daemons.all() if d.is_local)

    def take_moved(self, service: str, value: Any) -> None:
        """Takes the word of a daemon that another one decides.

        Raises:
            ValueError, TypeError: The value is of no known form.
        """
        name, address, data_centre = value
        if name == self.own().name:
            self._moved.pop(service, None)
            return
        peer = PeerDaemon(
            name=str(name),
            address=str(address),
            public_address="",
            data_centre=str(data_centre),
            ready=True,
        )
        self._moved[service] = (peer, self._clock.now() + MOVED_MS)


def moved_to_wire(peer: PeerDaemon) -> list[str]:
    """Returns how a daemon is named to one that asked here in its stead."""
    return [peer.name, peer.address, peer.data_centre]
