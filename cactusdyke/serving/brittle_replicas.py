"""Limits the requests to replicas that fall over if they refuse too many."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import MS_PER_SECOND, Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stated_limits import StatedLimits

GRACE_MS = 2_400.0
"""Replicas become sensitive three seconds after they have said that they are
brittle. By then the decider has announced itself, and what it did not send has
ended."""
TAKEOVER_MS = 1_000.0
"""A decider that has followed another one does not know what the requests of
before still occupy; few of them take longer than this."""
TAKEOVER_PER_S = 1.0
"""Requests to each brittle replica meanwhile: those that the replica refuses
stay within what any replica bears."""
REQUEST_EXPIRY_MS = 30_000.0
"""A request whose end was not told counts as ended after this time."""


@attrs.frozen(kw_only=True)
class _Request:
    replica: str
    sent_at: Instant


class RequestsInFlight:
    """The requests that a decider sent to replicas of plain services."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._requests: dict[str, _Request] = {}

    def start(self, request_id: str, replica: str) -> None:
        """Records that a request is sent to a replica."""
        self._drop_old()
        self._requests[request_id] = _Request(
            replica=replica, sent_at=self._clock.now()
        )

    def end(self, request_id: str) -> None:
        """Records that a request has ended."""
        self._requests.pop(request_id, None)

    def count(self, replica: str) -> int:
        """Returns how many requests a replica has."""
        return sum(r.replica == replica for r in self._requests.values())

    def _drop_old(self) -> None:
        oldest = self._clock.now() - REQUEST_EXPIRY_MS
        while self._requests:
            # They are in the order in which they were sent.
            request_id, request = next(iter(self._requests.items()))
            if request.sent_at >= oldest:
                return
            del self._requests[request_id]


class BrittleRequestLimit:
    """Sends brittle replicas no more than they have slots for.

    What they let wait may shrink at any time, so none may wait there. Only the
    decider of a service sends to its brittle replicas, as for other limits: it
    knows what all daemons have in flight there.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limits: StatedLimits,
        announced_since: Callable[[str], Instant | None],
        sees_most_daemons: Callable[[], bool],
        in_flight: Callable[[Replica], int],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._announced_since = announced_since
        self._sees_most_daemons = sees_most_daemons
        self._in_flight = in_flight
        self._sent_at: dict[str, Instant] = {}

    def is_limited(self, replica: Replica) -> bool:
        """Returns whether a replica has said for a while that it is brittle."""
        since = self._limits.brittle_since(replica)
        return since is not None and self._clock.now() - since >= GRACE_MS

    def exhausted(self, replicas: Sequence[Replica]) -> set[str]:
        """Returns the names of replicas that this daemon must not send to.

        Args:
            replicas: Replicas of one service.
        """
        if not self._limits.brittle_count:
            return set()
        brittle = [r for r in replicas if self.is_limited(r)]
        if not brittle:
            return set()
        since = self._announced_since(brittle[0].service)
        if since is None or not self._sees_most_daemons():
            return {replica.name for replica in brittle}
        return {r.name for r in brittle if not self._has_room(r, since)}

    def record(self, replica: Replica) -> None:
        """Records a request that this daemon decided to send to a replica."""
        self._sent_at[replica.name] = self._clock.now()

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._sent_at.keys() - known_names:
            del self._sent_at[name]

    def _has_room(self, replica: Replica, since: Instant) -> bool:
        if self._in_flight(replica) >= max(1, replica.slots):
            return False
        now = self._clock.now()
        if now - since >= TAKEOVER_MS:
            return True
        sent_at = max(since, self._sent_at.get(replica.name, since))
        return now - sent_at >= MS_PER_SECOND / TAKEOVER_PER_S
