"""Determines which daemon is the decider of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cactusdyke.serving import peers
from cactusdyke.serving.peers import PeerDaemon

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.peers import PeerDaemons

REDIRECT_VALID_MS = 1_500.0
"""Within this time gossip spreads to all daemons that one left or joined."""


class DeciderDirectory:
    """Finds deciders by membership and by redirects from former deciders.

    Gossip takes half a second to inform all daemons that one leaves. Until
    then some still send work to the former decider. It answers with a redirect
    to its successor, which they use at once instead of scheduling the work
    themselves.
    """

    def __init__(
        self, *, clock: Clock, daemons: PeerDaemons, watch: PeerWatch
    ) -> None:
        self._clock = clock
        self._daemons = daemons
        self._watch = watch
        self._ranked_daemons: tuple[PeerDaemon, ...] = ()
        self._ranked_silent: frozenset[str] = frozenset()
        self._decider_by_service: dict[str, PeerDaemon] = {}
        self._changed_at: Instant = clock.now()
        self._redirects: dict[str, tuple[PeerDaemon, Instant]] = {}

    @property
    def stable_ms(self) -> float:
        """Time since a daemon last joined or left."""
        return self._clock.now() - self._changed_at

    def decider_of(self, service: str) -> PeerDaemon:
        """Returns the decider of a service, following a recent redirect."""
        redirected, until = self._redirects.get(service, (None, 0.0))
        fresh = self._clock.now() < until
        if redirected and fresh and redirected.name not in self._watch.silent:
            return redirected
        return self.decider_by_membership(service)

    def decider_by_membership(self, service: str) -> PeerDaemon:
        """Returns the decider of a service by membership, without redirects."""
        daemons = self._daemons.all()
        silent = frozenset(self._watch.silent)
        if daemons is not self._ranked_daemons or silent != self._ranked_silent:
            if {d.name for d in daemons} != {
                d.name for d in self._ranked_daemons
            }:
                self._changed_at = self._clock.now()
            self._ranked_daemons = daemons
            self._ranked_silent = silent
            self._decider_by_service.clear()
        first = self._decider_by_service.get(service)
        if first is None:
            first = peers.rank_deciders(service, daemons, silent)[0]
            self._decider_by_service[service] = first
        return first

    def decides_undisputed(self, service: str) -> bool:
        """Returns whether this daemon is the decider for all other daemons too.

        It is not if it is the decider only because another daemon, which all
        others still use, does not answer this one.
        """
        if not self.decider_by_membership(service).is_local:
            return False
        if not self._ranked_silent:
            return True
        daemons = self._ranked_daemons
        return peers.rank_deciders(service, daemons, ())[0].is_local

    def local_daemon(self) -> PeerDaemon:
        """Returns this daemon."""
        return next(d for d in self._daemons.all() if d.is_local)

    def apply_redirect(self, service: str, value: Any) -> None:
        """Records a redirect received from a daemon that is not the decider.

        A redirect to this daemon itself removes the previous one.

        Args:
            service: Service that the redirect is about.
            value: The redirect, as made by `encode_redirect`.

        Raises:
            ValueError, TypeError: The value is malformed.
        """
        name, address, data_centre = value
        if name == self.local_daemon().name:
            self._redirects.pop(service, None)
            return
        peer = PeerDaemon(
            name=str(name),
            address=str(address),
            public_address="",
            data_centre=str(data_centre),
            ready=True,
        )
        self._redirects[service] = (peer, self._clock.now() + REDIRECT_VALID_MS)


def encode_redirect(peer: PeerDaemon) -> list[str]:
    """Encodes a redirect to a daemon as a JSON array."""
    return [peer.name, peer.address, peer.data_centre]
