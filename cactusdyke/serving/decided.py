"""Which services this daemon says on gossip that it decides for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.peers import service_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.deciders import Deciders

TELL_AFTER_MS = 1_000.0
"""By then gossip has told everyone of a daemon that comes or leaves."""


class DecidedServices:
    """The services that this daemon has decided for long enough to keep.

    One that has just taken a service over may do so only because it has not
    heard of another one yet. If it said at once that it decides, each would
    hear the others' words at another moment, and a service was seen to go back
    and forth for two seconds.
    """

    def __init__(self, *, clock: Clock, deciders: Deciders) -> None:
        self._clock = clock
        self._deciders = deciders
        self._since: dict[str, Instant] = {}
        self._marks: frozenset[int] = frozenset()

    @property
    def marks(self) -> frozenset[int]:
        """Marks of the services, as they are told."""
        return self._marks

    def update(self, services: Iterable[str]) -> bool:
        """Looks again, some times a second; returns whether marks changed.

        Args:
            services: Those that this daemon was lately asked to decide for.
        """
        now = self._clock.now()
        self._since = {
            name: self._since.get(name, now)
            for name in services
            if self._deciders.by_members(name).is_local
        }
        before = self._marks
        self._marks = frozenset(
            service_hash(name)
            for name, since in self._since.items()
            if now - since >= TELL_AFTER_MS
        )
        return self._marks != before
