"""Limits the requests to replicas that state how many they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import MS_PER_SECOND, Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stated_limits import StatedLimits

MIN_REQUESTS_PER_S = 0.25
"""Only an answer shows that a limit has ended, so each replica gets some."""
BURST_REQUESTS = 2.0
BURST_MS = 250.0
"""What may be sent at once: some requests, and the limit for this long."""


@attrs.define(kw_only=True)
class _TokenBucket:
    """Tokens for requests to one replica, refilled at its stated limit."""

    tokens: float
    updated_at: Instant

    def refill(self, requests_per_s: float, now: Instant) -> None:
        """Adds the tokens of the time since the last update."""
        per_ms = max(requests_per_s, MIN_REQUESTS_PER_S) / MS_PER_SECOND
        self.tokens = min(
            BURST_REQUESTS + BURST_MS * per_ms,
            self.tokens + per_ms * (now - self.updated_at),
        )
        self.updated_at = now


class StatedRequestLimit:
    """Keeps the requests of all daemons together within stated limits.

    Only the decider of a service sends to its limited replicas, once it has
    announced itself, and only on the side of a partition with most daemons.
    A daemon that becomes the decider starts without tokens: its predecessor may
    have spent them a moment ago. Two that overlap for a second therefore send
    little more than one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limits: StatedLimits,
        announced_since: Callable[[str], Instant | None],
        sees_most_daemons: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._announced_since = announced_since
        self._sees_most_daemons = sees_most_daemons
        self._buckets: dict[str, _TokenBucket] = {}

    def is_limited(self, replica: Replica) -> bool:
        """Returns whether a replica states a limit."""
        return self._limits.limit_of(replica) is not None

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns the names of replicas that this daemon must not send to.

        Args:
            replicas: Replicas of one service.
        """
        if not self._limits.count:
            self._buckets.clear()
            return set()
        limited = [r for r in replicas if self.is_limited(r)]
        if not limited:
            return set()
        since = self._announced_since(limited[0].service)
        if since is None or not self._sees_most_daemons():
            return {replica.name for replica in limited}
        return {r.name for r in limited if self._bucket(r, since).tokens < 1}

    def record(self, replica: Replica) -> None:
        """Records a request that this daemon decided to send to a replica."""
        since = self._announced_since(replica.service)
        if not self.is_limited(replica) or since is None:
            self._buckets.pop(replica.name, None)
            return
        self._bucket(replica, since).tokens -= 1

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._buckets.keys() - known_names:
            del self._buckets[name]

    def _bucket(self, replica: Replica, since: Instant) -> _TokenBucket:
        """Returns a replica's bucket, refilled up to now.

        Args:
            replica: A replica that states a limit.
            since: Since when this daemon is the announced decider.
        """
        now = self._clock.now()
        bucket = self._buckets.get(replica.name)
        if bucket is None:
            bucket = _TokenBucket(tokens=0.0, updated_at=now)
            self._buckets[replica.name] = bucket
        elif bucket.updated_at < since:
            bucket.tokens, bucket.updated_at = 0.0, since
        limit = self._limits.limit_of(replica)
        assert limit is not None
        bucket.refill(limit, now)
        return bucket
