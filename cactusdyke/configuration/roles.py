"""Whether this daemon watches the store, or whom it follows instead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.configuration import peers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.infrastructure.directory import Directory, Peer

DISTRUST_MS = 15_000.0


class Roles:
    """Knows the other daemons and this one's place among them."""

    def __init__(
        self, *, own: Peer, seeds: Iterable[Peer], clock: Clock
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._clock = clock
        self._directory: Directory = peers.FixedDirectory(peers=self._seeds)
        self._distrusted: dict[str, Instant] = {}

    @property
    def watches_store(self) -> bool:
        """Whether this daemon is one that watches the store."""
        return self.parent() is None

    @property
    def daemons(self) -> int:
        """How many daemons seem to be alive, this one included."""
        return len(self._directory.peers()) + 1

    @property
    def data_centres(self) -> set[str]:
        """Every data centre that has a daemon."""
        return {p.data_centre for p in (self._own, *self.others())}

    def follow(self, directory: Directory) -> None:
        """Takes the other daemons from `directory` from now on."""
        self._directory = directory

    def distrust(self, peer: Peer) -> None:
        """Passes a daemon over for a while when looking for a parent."""
        now = self._clock.now()
        self._distrusted = {
            name: since
            for name, since in self._distrusted.items()
            if now - since < DISTRUST_MS
        }
        self._distrusted[peer.name] = now

    def parent(self) -> Peer | None:
        """Returns whom this daemon follows, None if it watches the store."""
        now = self._clock.now()
        trusted = [
            peer
            for peer in self._directory.peers()
            if now - self._distrusted.get(peer.name, -DISTRUST_MS)
            >= DISTRUST_MS
        ]
        return peers.parent_of(self._own, trusted)

    def others(self) -> list[Peer]:
        """Returns the other daemons, those of the settings included."""
        known = {peer.address: peer for peer in self._seeds}
        known.update({p.address: p for p in self._directory.peers()})
        known.pop(self._own.address, None)
        return list(known.values())
