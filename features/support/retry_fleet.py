"""Many daemons with retry budgets of their own, in virtual time.

Every daemon wants as many retries as it may have. What replicas receive from
all daemons and all their processes is compared with the shared allowance.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from cactusdyke.clock import Clock
from cactusdyke.serving.daemon_count import DaemonCount
from cactusdyke.serving.peers import PeerDaemons
from cactusdyke.serving.retry_budget import RetryAllowance, RetryBudget
from emulator.retries import ServiceTraffic

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "service"
WINDOW_MS = 10_000.0
FAILURES_FROM_MS = 14_000.0
LENGTH_MS = 56_000.0
SEEDS = 3
LEARNING_MS = 1_500.0
"""Until gossip has told a process of all others if the store was away."""
REQUESTS_PER_S = {6: 56.0, 64: 200.0, 195: 130.0, 348: 920.0}


def allowance_of(count: int) -> RetryAllowance:
    """Returns the allowance of a deployment with so many daemons."""
    return RetryAllowance(ratio=0.2, slack=40.0 + 2 * count)


class FleetClock(Clock):
    """A clock that the fleet advances."""

    def __init__(self) -> None:
        self.ms = 0.0

    def now(self) -> float:
        return self.ms

    def wall(self) -> int:
        return int(self.ms)


class KnownDaemons(PeerDaemons):
    """What one process knows of the number of daemons."""

    def __init__(self, count: int, known_at: float | None) -> None:
        self.count = count
        self.known_at = known_at

    def all(self):
        return ()

    def estimated_count(self) -> int:
        return self.count

    @property
    def count_known_at(self) -> float | None:
        return self.known_at


class FleetDaemon:
    """One host, whose process starts anew after each kill."""

    def __init__(self, fleet: RetryFleet, number: int) -> None:
        self._fleet = fleet
        self.number = number
        self.incarnation = 0
        self.up_at = 0.0
        self.learns_at = 0.0
        self.gone = False
        self._start()

    @property
    def is_up(self) -> bool:
        return not self.gone and self._fleet.clock.ms >= self.up_at

    def restart(self, pause_ms: float) -> None:
        """Kills the process; the next one starts after a pause."""
        self.incarnation += 1
        self.up_at = self._fleet.clock.ms + pause_ms
        self.budget = None

    def step(self) -> None:
        """Learns of the others, and sends all the retries that it may."""
        fleet = self._fleet
        if self.budget is None:
            self._start()
        if self.daemons.known_at is None and fleet.clock.ms >= self.learns_at:
            self.daemons.known_at = fleet.clock.ms
        if self.daemons.known_at is not None:
            self.daemons.count = fleet.count
        if fleet.clock.ms < FAILURES_FROM_MS:
            return
        while (permit := self.budget.charge(SERVICE)) is not None:
            fleet.charged(self, permit)

    def record_request(self) -> None:
        """Counts a request that this daemon has got."""
        if self.budget is not None:
            self.budget.record_request(SERVICE)

    def _start(self) -> None:
        fleet = self._fleet
        self.daemons = KnownDaemons(fleet.count, fleet.clock.ms)
        if fleet.store_away:
            self.daemons.known_at = None
            self.daemons.count = min(fleet.count, fleet.count_at_start)
            self.learns_at = fleet.clock.ms + LEARNING_MS
        self.budget = fleet.make_budget(self.daemons)


class RetryFleet:
    """Daemons that share an allowance, their traffic, and what arrives."""

    def __init__(
        self,
        *,
        count: int,
        seed: int,
        step_ms: float | None = None,
        budget: Callable[..., object] | None = None,
    ) -> None:
        self.clock = FleetClock()
        self.rng = random.Random(seed)
        self.count = count
        self.allowance = allowance_of(count)
        self._step_ms = step_ms or (100.0 if count < 100 else 200.0)
        self._budget = budget or self._product_budget
        self.store_away = False
        self.count_at_start = 4
        self.requests_per_s = REQUESTS_PER_S[count]
        self.takes_traffic: Callable[[FleetDaemon], bool] = lambda _: True
        self.waits_ms: Callable[[], float] = lambda: 0.0
        self.late_ms: Callable[[], float] = lambda: 20.0
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._owed = 0.0
        self.traffic = ServiceTraffic()
        self.daemons = [FleetDaemon(self, n) for n in range(count)]

    def _product_budget(self, daemons: PeerDaemons) -> RetryBudget:
        return RetryBudget(
            clock=self.clock,
            allowance=lambda: self.allowance,
            daemon_count=DaemonCount(
                clock=self.clock,
                daemons=daemons,
                window_ms=lambda: WINDOW_MS,
            ),
        )

    def make_budget(self, daemons: PeerDaemons):
        return self._budget(daemons)

    def at(self, ms: float, action: Callable[[], None]) -> None:
        """Schedules a disruption."""
        heapq.heappush(self._actions, (ms, next(self._order), action))

    def charged(self, daemon: FleetDaemon, permit) -> None:
        """Sends a charged retry after its wait, unless its process ends."""
        incarnation = daemon.incarnation

        def send() -> None:
            if daemon.incarnation == incarnation and not daemon.gone:
                permit.mark_sent()
                self.at(
                    self.clock.ms + self.late_ms(), lambda: self.arrived(daemon)
                )

        wait_ms = self.waits_ms()
        if wait_ms:
            self.at(self.clock.ms + wait_ms, send)
        else:
            send()

    def arrived(self, daemon: FleetDaemon) -> None:
        """Counts a daemon's retry as it reaches a replica."""
        del daemon
        self.traffic.retries.append(self.clock.ms)

    def run(self) -> None:
        """Plays the whole time."""
        while self.clock.ms < LENGTH_MS:
            while self._actions and self._actions[0][0] <= self.clock.ms:
                heapq.heappop(self._actions)[2]()
            up = [d for d in self.daemons if d.is_up]
            self._add_requests([d for d in up if self.takes_traffic(d)] or up)
            for daemon in up:
                daemon.step()
            self.clock.ms += self._step_ms

    def _add_requests(self, receivers: list[FleetDaemon]) -> None:
        self._owed += self.requests_per_s * self._step_ms / 1_000.0
        while self._owed >= 1.0:
            self._owed -= 1.0
            self.traffic.requests.append(self.clock.ms)
            if receivers:
                self.rng.choice(receivers).record_request()

    def worst_excess(self) -> float:
        """Returns the most retries above the allowance in any window."""
        return self.traffic.worst_excess(self.allowance)

    def share_used(self) -> float:
        """Returns the share of the allowance used since failures began."""
        begins = range(int(FAILURES_FROM_MS), int(LENGTH_MS), int(WINDOW_MS))
        whole = [at for at in begins if at + WINDOW_MS <= LENGTH_MS]
        traffic, allowance = self.traffic, self.allowance
        used = sum(traffic.retries_in(at, allowance) for at in whole)
        return used / sum(traffic.allowed_in(at, allowance) for at in whole)


def half_restarted(fleet: RetryFleet) -> None:
    """Half of the processes are killed twice, three seconds apart."""
    for at in (17_000.0, 20_000.0, 33_000.0):
        fleet.at(at, lambda: _restart(fleet, _half(fleet)))


def restarted_in_turn(fleet: RetryFleet) -> None:
    """All processes are restarted one after the other within ten seconds."""
    gap_ms = 10_000.0 / fleet.count
    for daemon in fleet.daemons:
        at = 18_000.0 + daemon.number * gap_ms
        fleet.at(at, lambda d=daemon: d.restart(600.0))


def all_without_power(fleet: RetryFleet) -> None:
    """All hosts lose power at the same moment, twice."""
    for at in (18_000.0, 27_000.0):
        fleet.at(at, lambda: _restart(fleet, fleet.daemons))


def store_away_at_start(fleet: RetryFleet) -> None:
    """Half of the processes restart as the store is away."""
    fleet.at(16_000.0, lambda: setattr(fleet, "store_away", True))
    half_restarted(fleet)


def store_away_and_seeds_unknown(fleet: RetryFleet) -> None:
    """As before, and the processes know of no other daemon at first."""
    fleet.count_at_start = 1
    store_away_at_start(fleet)


def hosts_replaced(fleet: RetryFleet) -> None:
    """A third of the hosts go, are forgotten, and as many others come."""
    third = fleet.daemons[: max(1, fleet.count // 3)]

    def leave() -> None:
        for daemon in third:
            daemon.gone = True
        fleet.count -= len(third)

    def join() -> None:
        fleet.count += len(third)
        first = len(fleet.daemons)
        for number in range(first, first + len(third)):
            fleet.daemons.append(FleetDaemon(fleet, number))

    fleet.at(18_000.0, leave)
    fleet.at(21_000.0, join)


def traffic_falls(fleet: RetryFleet) -> None:
    """The traffic falls to a fifth."""
    less = fleet.requests_per_s / 5
    fleet.at(22_000.0, lambda: setattr(fleet, "requests_per_s", less))


def traffic_moves(fleet: RetryFleet) -> None:
    """The traffic of all data centres moves to one, and on to the next."""

    def move(centre: int) -> None:
        fleet.takes_traffic = lambda daemon: daemon.number % 3 == centre

    for index, at in enumerate((20_000.0, 25_000.0, 30_000.0, 35_000.0)):
        fleet.at(at, lambda centre=index % 3: move(centre))


def retries_wait(fleet: RetryFleet) -> None:
    """Retries wait for the service, which takes them all at once."""

    def until_opened() -> float:
        return 9_000.0 - (fleet.clock.ms - FAILURES_FROM_MS) % 9_000.0

    fleet.waits_ms = until_opened


def slow_paths(fleet: RetryFleet) -> None:
    """Retries reach replicas up to four seconds late."""
    fleet.late_ms = lambda: fleet.rng.uniform(0.0, 4_000.0)


TROUBLES = {
    "half of them restart twice": half_restarted,
    "all restart in turn": restarted_in_turn,
    "all lose power twice": all_without_power,
    "half restart without the store": store_away_at_start,
    "half restart and know nobody": store_away_and_seeds_unknown,
    "a third is replaced": hosts_replaced,
    "the traffic falls": traffic_falls,
    "the traffic moves between data centres": traffic_moves,
    "retries wait for the service": retries_wait,
    "retries arrive late": slow_paths,
}


def random_mix(fleet: RetryFleet) -> list[str]:
    """Adds two to four troubles drawn by the fleet's seed; returns them."""
    names = fleet.rng.sample(sorted(TROUBLES), fleet.rng.randint(2, 4))
    for name in names:
        TROUBLES[name](fleet)
    return names


def _half(fleet: RetryFleet) -> list[FleetDaemon]:
    present = [d for d in fleet.daemons if not d.gone]
    return fleet.rng.sample(present, len(present) // 2)


def _restart(fleet: RetryFleet, daemons: list[FleetDaemon]) -> None:
    for daemon in daemons:
        if not daemon.gone:
            daemon.restart(fleet.rng.uniform(300.0, 1_200.0))
