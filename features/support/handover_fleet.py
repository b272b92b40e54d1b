"""Daemons that restart as planned and leave their shares to their successors.

Virtual time, the product's retry budgets, and a store with what it may do to
them: answer late or never, execute late, serve two processes of one name.
"""

from __future__ import annotations

import bisect
import json
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import MachineTime
from cactusdyke.serving.retry_handover import decode_handover
from emulator.retries import ServiceTraffic
from features.support.retry_fleet import (
    LEARNING_MS,
    LENGTH_MS,
    SERVICE,
    WINDOW_MS,
    FleetClock,
    KnownDaemons,
    RetryFleet,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.serving.retry_budget import RetryAllowance

READ_MS = 50.0
ANSWER_MS = 20.0
DRAIN_MS = 3_000.0
RESTART_MS = 600.0


class MachineClock(FleetClock):
    """The fleet's clock, which all processes of a machine share."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = "machine"

    def machine_time(self) -> MachineTime:
        return MachineTime(boot_id=self.machine, ms=self.ms)


@attrs.define
class Entry:
    """A daemon's object in the store."""

    revision: int
    left: str | None = None
    taken_at: MachineTime | None = None


class StoryProcess:
    """One process of a host."""

    def __init__(self, fleet: HandoverFleet, host: str) -> None:
        self._fleet = fleet
        self.host = host
        self.incarnation = 0
        self.gone = False
        self.started_at = fleet.clock.ms
        self.learned = False
        self.stopping = False
        self.daemons = KnownDaemons(1, None)
        self.budget = fleet.make_budget(self.daemons)

    @property
    def is_up(self) -> bool:
        return not self.gone

    def record_request(self) -> None:
        """Counts a request that this process has got."""
        self.budget.record_request(SERVICE)
        self._fleet.of_host[self.host].requests.append(self._fleet.clock.ms)

    def step(self) -> None:
        """Sends all the retries that it may if the service fails."""
        fleet = self._fleet
        if self.learned:
            self.daemons.count = fleet.count
        if fleet.fails(fleet.clock.ms):
            while (permit := self.budget.charge(SERVICE)) is not None:
                fleet.charged(self, permit)


class HandoverFleet(RetryFleet):
    """Hosts whose processes are stopped as planned, killed and started."""

    def __init__(self, *, count: int, seed: int) -> None:
        super().__init__(count=count, seed=seed)
        self.clock = MachineClock()
        self.fails: Callable[[float], bool] = lambda _: True
        self.entries: dict[str, Entry] = {}
        self.others_forget = True
        self.inherited = 0
        self._revision = 0
        self.hosts = [f"d{n}" for n in range(count)]
        self.of_host = {host: ServiceTraffic() for host in self.hosts}
        self.started_twice: set[str] = set()
        self.daemons = []
        for host in self.hosts:
            process = StoryProcess(self, host)
            process.daemons.known_at = 0.0
            process.daemons.count = count
            process.learned = True
            self.daemons.append(process)
            self._write(host)

    def after(self, ms: float, action: Callable[[], None]) -> None:
        self.at(self.clock.ms + ms, action)

    def arrived(self, daemon: StoryProcess) -> None:
        """Counts a process's retry as it reaches a replica."""
        super().arrived(daemon)
        self.of_host[daemon.host].retries.append(self.clock.ms)

    def host_excess(self) -> float:
        """Returns the most retries of a host above its own part.

        Only while no daemon forgets another is that part always the same.
        """
        share = self.allowance.slack / len(self.hosts)
        return max(
            # A second process of a name may have one retry saved, as ever.
            _worst(
                traffic, self.allowance, share + (host in self.started_twice)
            )
            for host, traffic in self.of_host.items()
        )

    def process_of(self, host: str) -> StoryProcess | None:
        up = [p for p in self.daemons if p.host == host and p.is_up]
        return up[-1] if up else None

    def kill(self, process: StoryProcess | None) -> None:
        if process is not None and not process.gone:
            process.gone = True
            process.incarnation += 1
            self.daemons.remove(process)
            if self.others_forget:
                self.count -= process.learned

    def start(
        self,
        host: str,
        *,
        read_ms: float = READ_MS,
        claim_ms: float = ANSWER_MS,
        answer_ms: float | None = ANSWER_MS,
        machine: str = "machine",
    ) -> None:
        """Starts a process, which takes what its predecessor has left.

        Args:
            host: The name that it has.
            read_ms: Until it has read the list of daemons.
            claim_ms: From then until the store takes its own object.
            answer_ms: From then until it hears so; None for a lost answer.
            machine: The machine that it runs on.
        """
        process = StoryProcess(self, host)
        self.daemons.append(process)

        def learn() -> None:
            if process.is_up:
                process.learned = True
                if self.others_forget:
                    self.count += 1

        def read() -> None:
            process.daemons.known_at = self.clock.ms
            if not process.learned:
                process.daemons.count = max(1, self.count // 2)
            entry = self.entries.get(host)
            if entry is not None and entry.taken_at is not None:
                process.budget.withhold(entry.taken_at)
            if entry is None or entry.left is None:
                self.after(claim_ms, lambda: self._write(host))
                return
            taken_at = self.clock.machine_time()
            self.after(claim_ms, lambda: claim(entry, taken_at))

        def claim(seen: Entry, taken_at: MachineTime) -> None:
            if process.gone:
                return
            if self.entries.get(host) is not seen:
                self._write(host)
                process.budget.withhold(None)
                return
            self._write(host, taken_at=taken_at)
            if answer_ms is None:
                process.budget.withhold(None)
            else:
                self.after(answer_ms, lambda: inherit(seen.left))

        def inherit(left: str) -> None:
            handover = decode_handover(json.loads(left))
            self.clock.machine = machine
            if process.is_up and process.budget.inherit(handover):
                self.inherited += 1
            self.clock.machine = "machine"

        self.after(LEARNING_MS, learn)
        self.after(read_ms, read)

    def stop(
        self,
        process: StoryProcess | None,
        *,
        drain_ms: float = DRAIN_MS,
        write_ms: float = ANSWER_MS,
        goes_on_ms: float = 0.0,
        then: Callable[[], None] = lambda: None,
    ) -> None:
        """Stops a process as planned.

        Args:
            process: The process.
            drain_ms: Until it sends no more retries.
            write_ms: From then until the store takes what it leaves.
            goes_on_ms: For how long it still runs and wants retries.
            then: Called at its end.
        """
        if process is None:
            return then()
        process.stopping = True
        self.entries.pop(process.host, None)

        def close() -> None:
            if process.gone:
                return then()
            handover = process.budget.close()
            if handover is not None:
                left = json.dumps(handover.encode())
                self.after(write_ms, lambda: write(left))
            self.after(goes_on_ms, end)

        def write(left: str) -> None:
            if process.host not in self.entries:
                self._write(process.host, left=left)

        def end() -> None:
            self.kill(process)
            then()

        self.after(drain_ms, close)

    def restart(
        self, host: str, *, pause_ms: float = RESTART_MS, **start: Any
    ) -> None:
        """Stops a host's process as planned and starts the next one."""
        self.stop(
            self.process_of(host),
            then=lambda: self.after(
                pause_ms, lambda: self.start(host, **start)
            ),
        )

    def _write(self, host: str, **content: Any) -> None:
        self._revision += 1
        self.entries[host] = Entry(self._revision, **content)


def _worst(
    traffic: ServiceTraffic, allowance: RetryAllowance, share: float
) -> float:
    """Returns the most retries above what requests of the window earn."""
    return max(
        (
            _count(traffic.retries, begin)
            - allowance.ratio * _count(traffic.requests, begin)
            - share
            for begin in set(traffic.retries)
        ),
        default=-share,
    )


def _count(times: list[float], begin: float) -> int:
    """Returns how many are in the window."""
    return bisect.bisect_left(times, begin + WINDOW_MS) - bisect.bisect_left(
        times, begin
    )


def restarted_before_failures(fleet: HandoverFleet, fail_at: float) -> None:
    """All daemons restart in turn in the ten seconds before a failure."""
    gap_ms = 6_000.0 / fleet.count
    for number, host in enumerate(fleet.hosts):
        at = fail_at - 9_900.0 + number * gap_ms
        fleet.at(at, lambda host=host: fleet.restart(host))
    fleet.fails = lambda ms: ms >= fail_at


def returned_late(fleet: HandoverFleet) -> None:
    """Half of the daemons return when the others have forgotten them."""
    for host in fleet.hosts[::2]:
        fleet.at(
            14_000.0, lambda host=host: fleet.restart(host, pause_ms=15_000.0)
        )
    fleet.fails = lambda ms: ms >= 31_000.0


def share_used_from(fleet: RetryFleet, begin: float) -> float:
    """Returns the share of the allowance that is used in one window."""
    used = fleet.traffic.retries_in(begin, fleet.allowance)
    return used / fleet.traffic.allowed_in(begin, fleet.allowance)


def random_story(fleet: HandoverFleet) -> None:
    """Failures that come and go, and restarts with any trouble."""
    rng = fleet.rng
    fleet.requests_per_s = rng.choice((1.0, 4.0)) * len(fleet.hosts)
    fleet.waits_ms = lambda: rng.choice((0.0, 0.0, rng.uniform(0.0, waits_ms)))
    waits_ms = rng.choice((0.0, 3_000.0))
    # A retry counts in the window in which it is sent.
    fleet.late_ms = lambda: 0.0
    often = rng.choice((0.1, 0.3, 0.5))
    phases = [rng.random() < often for _ in range(int(LENGTH_MS / 1_000) + 1)]
    fleet.fails = lambda ms: ms >= WINDOW_MS and phases[int(ms / 1_000)]

    def begin(story: Callable[..., None], host: str) -> None:
        up = [p for p in fleet.daemons if p.host == host]
        # Processes of one name that all stay have a share each, as ever.
        if len(up) == 1 and up[0].learned and not up[0].stopping:
            story(fleet, host)

    for host in fleet.hosts:
        at = rng.uniform(9_000.0, 15_000.0)
        while at < LENGTH_MS - 12_000.0:
            story = rng.choice(STORIES)
            fleet.at(at, lambda host=host, story=story: begin(story, host))
            # A process that is stopped soon has its own predecessor's share.
            at += rng.choice((4_500.0, 9_000.0, 14_000.0)) * rng.uniform(1, 2)


def _planned(fleet: HandoverFleet, host: str) -> None:
    fleet.restart(host, pause_ms=fleet.rng.uniform(50.0, 2_000.0))


def _short_drain(fleet: HandoverFleet, host: str) -> None:
    fleet.stop(
        fleet.process_of(host),
        drain_ms=fleet.rng.uniform(0.0, 500.0),
        then=lambda: fleet.start(host),
    )


def _killed(fleet: HandoverFleet, host: str) -> None:
    fleet.kill(fleet.process_of(host))
    fleet.after(RESTART_MS, lambda: fleet.start(host))


def _killed_after_claim(fleet: HandoverFleet, host: str) -> None:
    """The successor uses what it took, is killed, and is started again."""

    def kill() -> None:
        successor = fleet.process_of(host)
        if successor is not None and not successor.stopping:
            fleet.kill(successor)
            fleet.start(host)

    fleet.restart(host)
    after_ms = fleet.rng.uniform(400.0, 6_000.0)
    fleet.after(DRAIN_MS + RESTART_MS + after_ms, kill)


def _answer_lost(fleet: HandoverFleet, host: str) -> None:
    fleet.restart(host, answer_ms=None)


def _late(fleet: HandoverFleet, host: str) -> None:
    """The successor, its store or its claim is late by any time."""
    late = [fleet.rng.choice((20.0, 2_000.0, 6_000.0)) for _ in range(3)]
    fleet.restart(host, pause_ms=late[0], claim_ms=late[1], answer_ms=late[2])


def _written_late(fleet: HandoverFleet, host: str) -> None:
    """What is left is written as or after the successor registers."""
    fleet.stop(
        fleet.process_of(host),
        write_ms=fleet.rng.uniform(0.0, 4_000.0),
        then=lambda: _killed(fleet, host),
    )


def _goes_on(fleet: HandoverFleet, host: str) -> None:
    """The process runs on beside its successor, and wants retries."""
    fleet.stop(fleet.process_of(host), goes_on_ms=5_000.0)
    fleet.after(DRAIN_MS + 500.0, lambda: fleet.start(host))


def _started_twice(fleet: HandoverFleet, host: str) -> None:
    """Two successors claim at once; one of them is ended soon."""

    def start() -> None:
        fleet.started_twice.add(host)
        claim_ms = fleet.rng.uniform(0.0, 100.0)
        fleet.start(host, claim_ms=claim_ms)
        extra = fleet.daemons[-1]
        fleet.start(host, claim_ms=claim_ms + fleet.rng.choice((0.0, 300.0)))
        keep = fleet.daemons[-1]
        ended = fleet.rng.choice((extra, keep))
        fleet.after(fleet.rng.uniform(0, 8_000), lambda: fleet.kill(ended))

    fleet.stop(fleet.process_of(host), then=start)


def _other_machine(fleet: HandoverFleet, host: str) -> None:
    fleet.restart(host, machine="other")


STORIES = (
    _planned,
    _planned,
    _short_drain,
    _killed,
    _killed_after_claim,
    _answer_lost,
    _late,
    _written_late,
    _goes_on,
    _started_twice,
    _other_machine,
)
