"""The limits on requests to single replicas, as deciders apply them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.brittle_replicas import BrittleRequestLimit
    from cactusdyke.serving.cold_replicas import ColdRequestLimit
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stated_limits import StatedLimits
    from cactusdyke.serving.stated_request_limit import StatedRequestLimit


class RequestLimits:
    """Joins the limits on cold, limited and brittle replicas."""

    def __init__(
        self,
        *,
        clock: Clock,
        cold: ColdRequestLimit,
        stated: StatedRequestLimit,
        brittle: BrittleRequestLimit,
        stated_limits: StatedLimits,
    ) -> None:
        self._clock = clock
        self._cold = cold
        self._stated = stated
        self._brittle = brittle
        self._stated_limits = stated_limits
        self._sent_at: dict[str, Instant] = {}

    def is_limited(self, replica: Replica) -> bool:
        """Returns whether only the decider may send to a replica."""
        return self._cold.is_limited(replica) or self.states_limit(replica)

    def states_limit(self, replica: Replica) -> bool:
        """Returns whether a replica states a limit or that it is brittle."""
        return self._stated.is_limited(replica) or self._brittle.is_limited(
            replica
        )

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns the names of replicas that this daemon must not send to.

        Args:
            replicas: Replicas of one service.
        """
        limits = (self._cold, self._stated, self._brittle)
        return set().union(*(limit.exhausted(replicas) for limit in limits))

    def record(self, replica: Replica) -> None:
        """Records a request that this daemon decided to send to a replica."""
        self._cold.record(replica)
        self._stated.record(replica)
        self._brittle.record(replica)
        if self.is_limited(replica):
            self._sent_at[replica.name] = self._clock.now()

    def choose_limited(
        self, replicas: Sequence[Replica], exclude: Collection[str]
    ) -> Replica | None:
        """Chooses the limited replica that may get a request, and counts it.

        Args:
            replicas: Replicas of one service.
            exclude: Names of replicas that must not be used.

        Returns:
            Of several replicas the one that was not chosen for longest, or
            None.
        """
        exhausted = self.exhausted(replicas)
        chosen = min(
            (
                replica
                for replica in replicas
                if self.is_limited(replica)
                and replica.name not in exhausted
                and replica.name not in exclude
            ),
            key=lambda r: self._sent_at.get(r.name, -math.inf),
            default=None,
        )
        if chosen is not None:
            self.record(chosen)
        return chosen

    def record_answer(
        self,
        replica: Replica,
        requests_per_s: float | None,
        *,
        refusals_per_s: float | None = None,
        sent_at: Instant,
    ) -> None:
        """Records what an answer said of how much its replica takes.

        See `StatedLimits.record_answer`.
        """
        self._stated_limits.record_answer(
            replica,
            requests_per_s,
            refusals_per_s=refusals_per_s,
            sent_at=sent_at,
        )

    def merge_reports(self, values: Iterable[Any], *, source: str) -> None:
        """Merges another daemon's reports of limits, see `StatedLimits.merge`.

        Raises:
            TypeError, ValueError: The reports are malformed.
        """
        self._stated_limits.merge(values, source=source)

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        self._cold.remove_unknown(known_names)
        self._stated.remove_unknown(known_names)
        self._brittle.remove_unknown(known_names)
        self._stated_limits.remove_unknown(known_names)
        for name in self._sent_at.keys() - known_names:
            del self._sent_at[name]
