"""This daemon's share of the connections that a replica accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica

SAFETY_FACTOR = 0.8
"""Of the share; connections that were just closed still count at the replica,
and so do health checks and calls for stages."""


class ConnectionShare:
    """Keeps each replica below the connections that it accepts from all.

    A replica resets what comes beyond. To a caller that reads as "outcome
    unknown", though nothing ran: a booking is lost by it, while a refusal
    could have been taken elsewhere. One part in as many as there are daemons
    is kept to without a message between them.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        health: ReplicaHealth,
        daemon_count: Callable[[], int],
    ) -> None:
        self._deployment = deployment
        self._health = health
        self._daemon_count = daemon_count

    def has_capacity(self, replica: Replica) -> bool:
        """Returns whether one more request may be sent to a replica."""
        configuration = self._deployment.configuration
        spec = (
            configuration.services.get(replica.service)
            if configuration
            else None
        )
        if spec is None:
            return True
        share = (
            SAFETY_FACTOR * spec.max_connections / max(1, self._daemon_count())
        )
        return self._health.in_flight(replica.name) < max(1.0, share)
