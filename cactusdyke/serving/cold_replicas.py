"""Estimates which replicas are cold, and limits the requests sent to them."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.model import Replica

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.model import ServiceSpec

CLOCK_SKEW_MS = 2_500.0
"""Difference of the hosts' times of day that the start of a replica, which is
stated in its host's time, may be off by."""
WINDOW_MS = 1_250.0
"""A second, and how much later than others a request may reach its replica."""
OVERLAPPING_DECIDERS = 2
"""Daemons that may both be the decider of a service while gossip spreads."""


@attrs.frozen(kw_only=True)
class ColdAllowance:
    """The requests that all daemons together may send to a cold replica.

    Attributes:
        overshoot: Multiple of the tolerated rate at which the replica crashes.
        slack: Requests per second allowed in addition.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def per_decider(self, tolerated_per_s: float) -> int:
        """Returns how many requests one decider may send in `WINDOW_MS`.

        It stays within the allowance even if another decider does the same.
        """
        most_per_s = tolerated_per_s * self.overshoot + self.slack
        return max(
            1,
            math.floor(min(tolerated_per_s, most_per_s / OVERLAPPING_DECIDERS)),
        )


@attrs.frozen(kw_only=True)
class _Observation:
    """A replica's entry, and when this daemon received it."""

    replica: Replica
    received_at: Instant


class ColdReplicas:
    """Estimates which replicas are cold.

    A replica reports how long it stays cold. If it reports nothing, it is cold
    for its service's `cold_ms` from its start.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[str, _Observation] = {}
        self._returned_at: dict[str, Instant] = {}
        self._latest_return_at: Instant = -math.inf
        self._latest_reported_end: Instant = -math.inf

    def record(self, replica: Replica) -> None:
        """Records a replica's entry, which may repeat an earlier one.

        Only a change counts: a list that is read again repeats reports from
        before.
        """
        known = self._observations.get(replica.name)
        if known is None or known.replica != replica:
            now = self._clock.now()
            self._observations[replica.name] = _Observation(
                replica=replica, received_at=now
            )
            left_ms = replica.cold_left_ms
            self._latest_reported_end = max(
                self._latest_reported_end,
                math.inf if left_ms is None else now + left_ms,
            )

    def record_return(self, data_centre: str) -> None:
        """Records that the replicas of a data centre may be used again.

        They may have become cold shortly before, and their reports lag.
        """
        self._latest_return_at = self._clock.now()
        self._returned_at[data_centre] = self._latest_return_at

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._observations.keys() - known_names:
            del self._observations[name]

    def left_ms(self, replica: Replica, spec: ServiceSpec | None) -> float:
        """Returns how long a replica stays cold, 0 if it is warm.

        It is 0 as well if cold replicas of the service need no limit.
        """
        if spec is None or spec.cold_requests_per_s <= 0:
            return 0.0
        now = self._clock.now()
        if now >= max(
            self._latest_reported_end, self._latest_return_at + spec.cold_ms
        ):
            return 0.0
        returned_at = self._returned_at.get(replica.data_centre, -math.inf)
        until = returned_at + spec.cold_ms
        observation = self._observations.get(replica.name)
        if observation is not None:
            until = max(until, self._reported_end(observation, spec))
        return max(0.0, until - now)

    def _reported_end(
        self, observation: _Observation, spec: ServiceSpec
    ) -> Instant:
        replica = observation.replica
        if replica.cold_left_ms is not None:
            return observation.received_at + replica.cold_left_ms
        seen_end = observation.received_at + spec.cold_ms
        if not replica.born:
            return seen_end
        age_ms = self._clock.wall() - replica.born - CLOCK_SKEW_MS
        return min(seen_end, self._clock.now() + spec.cold_ms - age_ms)


class ColdRequestLimit:
    """Limits the requests to each cold replica, over all daemons together.

    Only the decider of a service sends requests to its cold replicas, and only
    after it has announced itself, so that its predecessor has stopped. In a
    network partition only the side with most daemons does; daemons that are
    presumed dead count for the other side.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        allowance: Callable[[], ColdAllowance],
        is_announced_decider: Callable[[str], bool],
        sees_most_daemons: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._allowance = allowance
        self._is_announced_decider = is_announced_decider
        self._sees_most_daemons = sees_most_daemons
        self._sent: dict[str, collections.deque[Instant]] = {}

    def is_limited(self, replica: Replica) -> bool:
        """Returns whether requests to a replica are limited as it is cold."""
        return self._deployment.is_cold(replica)

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns the names of replicas that this daemon must not send to.

        Args:
            replicas: Replicas of one service.
        """
        if not replicas or not self._is_limited(replicas[0].service):
            return set()
        cold = [r for r in replicas if self.is_limited(r)]
        if not cold:
            return set()
        service = cold[0].service
        if not (
            self._is_announced_decider(service) and self._sees_most_daemons()
        ):
            return {replica.name for replica in cold}
        spec = self._deployment.service(service)
        assert spec is not None
        most = self._allowance().per_decider(spec.cold_requests_per_s)
        return {r.name for r in cold if self.recent_count(r) >= most}

    def record(self, replica: Replica) -> None:
        """Records a request that this daemon decided to send to a replica.

        Requests to warm replicas count too: a replica that became cold may
        only report it a second later.
        """
        if not self._is_limited(replica.service):
            return
        self.recent_count(replica)
        sent = self._sent.setdefault(replica.name, collections.deque())
        sent.append(self._clock.now())

    def _is_limited(self, service: str) -> bool:
        spec = self._deployment.service(service)
        return spec is not None and spec.cold_requests_per_s > 0

    def recent_count(self, replica: Replica) -> int:
        """Returns how many requests were sent to a replica recently."""
        sent = self._sent.get(replica.name)
        if sent is None:
            return 0
        oldest = self._clock.now() - WINDOW_MS
        while sent and sent[0] <= oldest:
            sent.popleft()
        return len(sent)

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._sent.keys() - known_names:
            del self._sent[name]
