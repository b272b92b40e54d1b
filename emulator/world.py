"""What all emulated things share: time, chance, results and counts."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant
from emulator.retries import ServiceTraffic
from standins.hub import Hub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from emulator.scenario import Scenario

MB = 1e6
CRASHES = 3
SETTLED_MS = 1_000.0
"""What daemons have to hear of the third crash under one request."""


@attrs.define(kw_only=True)
class StageResult:
    """A result that a replica made."""

    request_id: str
    data_centre: str
    size: float
    used: bool = False


@attrs.define(kw_only=True)
class Crashing:
    """What a request that crashes replicas has done.

    Attributes:
        kind: Its kind.
        ends_at: When it comes for the last time.
        arrivals: When a replica was sent it.
        crashes: When a replica crashed that ran it, or let it wait.
    """

    kind: str = ""
    ends_at: Instant = 0.0
    arrivals: list[Instant] = attrs.field(factory=list)
    crashes: list[Instant] = attrs.field(factory=list)

    def sent_after(self, crashes: int, settled_ms: float) -> int:
        """Returns how often it was sent once it had crashed so many.

        Args:
            crashes: The crashes that all daemons have to know of.
            settled_ms: How long they have to hear of them.
        """
        if len(self.crashes) < crashes:
            return 0
        known_at = self.crashes[crashes - 1] + settled_ms
        return sum(at > known_at for at in self.arrivals)


@attrs.frozen(kw_only=True)
class ReplicaCut:
    """A cut between one daemon and all replicas.

    Attributes:
        how: What it does to connections: hang, reset, or spare open ones.
        since: When it began.
    """

    how: str
    since: Instant


class World:
    """One play: its clock, its random numbers and what is counted."""

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.hub = Hub()
        self.clock = self.hub.clock
        self.results: dict[str, StageResult] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.crossed_bytes = 0.0
        self.crashing: collections.defaultdict[str, Crashing] = (
            collections.defaultdict(Crashing)
        )
        self.saved: dict[str, Mapping[str, Any]] = {}
        self.saved_origins: dict[str, list[list[str]]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.evacuated_at: dict[str, Instant] = {}
        self.cut_from_replicas: dict[str, ReplicaCut] = {}
        self.started_at: dict[str, Instant] = {}
        self.executions: collections.Counter[str] = collections.Counter()
        self.traffic: collections.defaultdict[str, ServiceTraffic] = (
            collections.defaultdict(ServiceTraffic)
        )
        self.sent: set[str] = set()
        self.busy_ms = 0.0
        self.wasted_ms = 0.0

    def count_attempt(self, request_id: str, service: str) -> None:
        """Counts a request that a daemon sends to a replica."""
        if request_id in self.sent:
            self.traffic[service].retries.append(self.clock.now())
        self.sent.add(request_id)

    def crash_phase(self, kind: str, at: Instant) -> str:
        """Returns how an instant lies to the crashes under a kind's requests.

        Returns:
            `before crashes`, `beside crashes` from a while after the third one
            to the last such request, or `around crashes`.
        """
        of_kind = [
            c for c in self.crashing.values() if c.kind == kind and c.crashes
        ]
        if not of_kind:
            return "before crashes"
        if all(
            len(crashing.crashes) >= CRASHES
            and crashing.crashes[CRASHES - 1] + SETTLED_MS < at
            and at < crashing.ends_at
            for crashing in of_kind
        ):
            return "beside crashes"
        return "around crashes"

    def place(self, number: int) -> str:
        """Returns the data centre of the nth of its kind."""
        places = self.scenario.data_centres
        return places[number % len(places)]

    def way_ms(self, one: str, other: str) -> float:
        """Returns how long a byte is on its way."""
        way_ms = self.scenario.way_ms
        return way_ms if one != other else way_ms / 5
