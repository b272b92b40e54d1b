"""What emulated replicas say of themselves, and who goes on to send there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.clock import Instant
    from emulator.world import World

UNAVAILABLE_STATUS = 503
LEAVING_KNOWN_MS = 1_000.0
"""Within this time of an answer that says so its daemon sends nothing more."""
REST_KNOWN_MS = 500.0
"""The same for a refusal that asks for rest."""


class Statements:
    """What one replica says in its answers, and the requests that it gets.

    A daemon that has started since it got an answer knows nothing of it.

    Attributes:
        leaves: Whether it says that it is about to end.
        refuses: Share of the requests that it refuses.
        rest_ms: How long it wants no more requests from a daemon after that.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self.leaves = False
        self.refuses = 0.0
        self.rest_ms = 0.0
        self._told_leaving_at: dict[str, Instant] = {}
        self._rests: dict[str, tuple[Instant, Instant]] = {}

    def clear(self) -> None:
        """Begins a new process, which has said nothing."""
        self.leaves = False
        self.refuses = 0.0
        self._told_leaving_at.clear()
        self._rests.clear()

    def draws_refusal(self) -> bool:
        """Returns whether the next request is refused."""
        return self.refuses > 0 and self._world.rng.random() < self.refuses

    def headers(self, status: int, daemon: str) -> dict[str, str]:
        """Returns what an answer to a daemon says."""
        said = {}
        now = self._world.clock.now()
        if self.leaves:
            self._told_leaving_at.setdefault(daemon, now)
            said["leaves"] = "yes"
        if status == UNAVAILABLE_STATUS and self.rest_ms and self.refuses:
            self._world.counts["rests asked for"] += 1
            since, until = self._rests.get(daemon, (now, now))
            if until <= now:
                since = now
            self._rests[daemon] = (since, max(until, now + self.rest_ms))
            said["rest_ms"] = str(self.rest_ms)
        return said

    def count_arrival(self, daemon: str) -> None:
        """Counts a request that its daemon should not have sent."""
        now = self._world.clock.now()
        started_at = self._world.started_at.get(daemon, 0.0)
        told_at = self._told_leaving_at.get(daemon, started_at - 1.0)
        if self.leaves:
            self._world.counts["requests while leaving"] += 1
        if told_at >= started_at and now > told_at + LEAVING_KNOWN_MS:
            self._world.counts["requests to leaving"] += 1
        since, until = self._rests.get(daemon, (0.0, 0.0))
        if since >= started_at and since + REST_KNOWN_MS < now < until:
            self._world.counts["requests to resting"] += 1
