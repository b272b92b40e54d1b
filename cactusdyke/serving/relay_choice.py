"""Chooses the daemon through which a replica is reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons

MAX_RELAYS = 2
"""Daemons that are asked for one connection at most."""
AVOIDANCE_MS = 1_000.0
"""How long a daemon that could not help is not asked."""


class RelayChoice:
    """Spreads relayed connections over the daemons that reach replicas."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        daemons: PeerDaemons,
        watch: PeerWatch,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._daemons = daemons
        self._watch = watch
        self._avoided_until: dict[str, Instant] = {}

    def candidates(self, data_centre: str) -> list[PeerDaemon]:
        """Returns the daemons to ask, in order.

        One in the replica's data centre is preferred: then nothing crosses
        between data centres that would not on the direct path.

        Args:
            data_centre: The data centre of the replica.
        """
        now = self._clock.now()
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }
        silent = self._watch.silent
        useful = [
            daemon
            for daemon in self._daemons.all()
            if daemon.ready
            and not (daemon.is_local or daemon.cut_off)
            and daemon.name not in self._avoided_until
            and daemon.name not in silent
        ]
        self._rng.shuffle(useful)
        useful.sort(key=lambda d: (d.busy, d.data_centre != data_centre))
        return useful[:MAX_RELAYS]

    def avoid(self, daemon: PeerDaemon) -> None:
        """Avoids a daemon for a while, as it could not help."""
        until = self._clock.now() + AVOIDANCE_MS
        self._avoided_until[daemon.name] = until
