"""Selects the services that this daemon announces itself as decider of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.peers import service_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.decider_directory import DeciderDirectory

ANNOUNCE_DELAY_MS = 1_000.0
"""Within this time gossip spreads to all daemons that one joined or left."""


class DecidedServices:
    """The services that this daemon has scheduled for a minimum time.

    A daemon may take over a service only because gossip about another decider
    has not reached it yet. Announcing this at once would reach the other
    daemons at different times and make the service switch back and forth
    between deciders, for two seconds in practice.

    A daemon that replaces a decider which only itself finds silent announces
    nothing: avoidance of the silent daemon ends later than the delay, and the
    announcement would take the service from a decider that all others use.
    """

    def __init__(self, *, clock: Clock, deciders: DeciderDirectory) -> None:
        self._clock = clock
        self._deciders = deciders
        self._since: dict[str, Instant] = {}
        self._service_hashes: frozenset[int] = frozenset()

    @property
    def service_hashes(self) -> frozenset[int]:
        """Service hashes, as announced on gossip."""
        return self._service_hashes

    def announced(self, service: str) -> bool:
        """Returns whether this daemon announces to decide for a service."""
        return service_hash(service) in self._service_hashes

    def announced_since(self, service: str) -> Instant | None:
        """Returns since when this daemon announces to decide, or None."""
        since = self._since.get(service)
        if since is None or not self.announced(service):
            return None
        return since + ANNOUNCE_DELAY_MS

    def update(self, services: Iterable[str]) -> bool:
        """Updates the set of services.

        Called several times a second.

        Args:
            services: Services that this daemon recently scheduled work for.

        Returns:
            Whether the announced service hashes changed.
        """
        now = self._clock.now()
        self._since = {
            name: self._since.get(name, now)
            for name in services
            if self._deciders.decides_undisputed(name)
        }
        before = self._service_hashes
        self._service_hashes = frozenset(
            service_hash(name)
            for name, since in self._since.items()
            if now - since >= ANNOUNCE_DELAY_MS
        )
        return self._service_hashes != before
