"""Limits this daemon's connections to each replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.daemon_count import DaemonCount
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica

SAFETY_FACTOR = 0.8
"""Share of the limit that is used: at the replica, connections that were just
closed still count, and so do health checks and stage calls."""


class ConnectionShare:
    """Keeps all daemons together below the connection limit of each replica.

    A replica resets connections beyond its limit. The caller then gets "outcome
    unknown" although nothing ran, and loses its booking, whereas a refused
    request could have been sent elsewhere. Each daemon uses an equal share of
    the limit, which needs no coordination.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        health: ReplicaHealth,
        daemon_count: DaemonCount,
    ) -> None:
        self._deployment = deployment
        self._health = health
        self._daemon_count = daemon_count

    def has_capacity(self, replica: Replica) -> bool:
        """Returns whether another request may be sent to a replica."""
        configuration = self._deployment.configuration
        spec = (
            configuration.services.get(replica.service)
            if configuration
            else None
        )
        if spec is None:
            return True
        share = 1.0
        if self._daemon_count.is_known:
            share = (
                SAFETY_FACTOR
                * spec.max_connections
                / self._daemon_count.highest()
            )
        return self._health.in_flight(replica.name) < max(1.0, share)
