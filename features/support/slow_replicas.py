"""Replicas whose machines are slow in turn, and daemons that choose them.

Nothing is sent: requests are served by a model of the replicas.
"""

from __future__ import annotations

import collections
import heapq
import random

from cactusdyke.clock import Clock
from cactusdyke.serving import balance
from cactusdyke.serving.dialect import ReplicaLoad
from cactusdyke.serving.health import ReplicaHealth
from cactusdyke.serving.model import Replica, ReplicaState
from cactusdyke.serving.replica_load import ReplicaLoads

SLOW = 2.5
PERIOD_MS = 600.0
SLOTS = 6
WORK_MS = 20.0


class HandClock(Clock):
    """A clock that the play sets."""

    def __init__(self):
        self.ms = 0.0

    def now(self):
        return self.ms

    def wall(self):
        return int(self.ms)


def machines(count, born=1):
    return [
        Replica(
            name=f"r{n}",
            service="s",
            address=f"10.0.0.{n}:1",
            data_centre="here",
            state=ReplicaState.READY,
            slots=SLOTS,
            born=born,
        )
        for n in range(count)
    ]


class Daemon:
    """One daemon's knowledge of the replicas, and its choice."""

    def __init__(self, clock, seed):
        self._clock = clock
        self._rng = random.Random(seed)
        self.health = ReplicaHealth(clock=clock)
        self.loads = ReplicaLoads(clock=clock)

    def choose(self, replicas):
        return balance.choose(
            replicas,
            self.health,
            rng=self._rng,
            local_data_centre="here",
            loads=self.loads,
        )

    def answered(self, replica, load, took_ms):
        self.health.record_end(replica.name)
        self.health.record_load(replica.name, load)
        self.loads.record(replica, load.slowdown)
        self.health.record_success(replica.name, took_ms / load.slowdown)


class SlowdownIgnored(Daemon):
    """Takes no notice of the fourth figure."""

    def answered(self, replica, load, took_ms):
        self.health.record_end(replica.name)
        self.health.record_load(replica.name, load)
        self.health.record_success(replica.name, took_ms)


class LeastOfAll(Daemon):
    """Takes the replica with the least reported load and slowdown."""

    def choose(self, replicas):
        return min(
            replicas,
            key=lambda r: (self.loads.slowdown(r), self.health.load(r.name)),
        )


class _Machine:
    """Serves requests in its slots, the others wait."""

    def __init__(self, number, count, *, slow):
        self._number = number
        self._count = count
        self._slow = slow
        self._free_at = [0.0] * SLOTS
        self._ends = []

    def slowdown(self, at):
        turn = int(at // PERIOD_MS) * 3
        seventh = self._number % 7
        return SLOW if self._slow and seventh == turn % 7 else 1.0

    def serve(self, at, work_ms):
        start = max(at, heapq.heappop(self._free_at))
        now, left = start, work_ms
        while True:
            turn_end = (now // PERIOD_MS + 1) * PERIOD_MS
            speed = 1 / self.slowdown(now)
            if now + left / speed <= turn_end:
                break
            left -= (turn_end - now) * speed
            now = turn_end
        end = now + left / speed
        heapq.heappush(self._free_at, end)
        heapq.heappush(self._ends, end)
        return end

    def load(self, at):
        while self._ends and self._ends[0] <= at:
            heapq.heappop(self._ends)
        running = min(SLOTS, len(self._ends))
        return ReplicaLoad(
            running=running,
            queued=len(self._ends) - running,
            slots=SLOTS,
            slowdown=self.slowdown(at),
        )


def latencies(kind, *, slow, count=21, busy=0.5, lasts_ms=6_000.0, seed=1):
    """Returns the latencies of requests that one daemon sends."""
    clock = HandClock()
    daemon = kind(clock, seed)
    rng = random.Random(seed)
    replicas = machines(count)
    served = [_Machine(n, count, slow=slow) for n in range(count)]
    per_ms = busy * count * SLOTS / WORK_MS
    ends, took = [], []
    at = 0.0
    while at < lasts_ms:
        at += rng.expovariate(per_ms)
        while ends and ends[0][0] <= at:
            _answer(clock, daemon, replicas, served, heapq.heappop(ends))
        clock.ms = at
        chosen = daemon.choose(replicas)
        number = replicas.index(chosen)
        daemon.health.record_start(chosen.name)
        work_ms = WORK_MS * rng.uniform(0.8, 1.2)
        end = served[number].serve(at, work_ms)
        heapq.heappush(ends, (end, at, number))
        if at > lasts_ms / 4:
            took.append(end - at)
    return took, daemon


def _answer(clock, daemon, replicas, served, ended):
    end, began, number = ended
    clock.ms = end
    load = served[number].load(end)
    daemon.answered(replicas[number], load, end - began)


def percentile(values, share):
    return sorted(values)[int(share * len(values))]


def chosen_together(kind, *, daemons=91, count=14, each=6, seed=1):
    """Returns how often each replica was chosen with one and the same report.

    A seventh of the replicas is slow, and each runs none to four requests.

    Returns:
        The number of requests by replica, and each replica's part of them by
        its speed.
    """
    clock = HandClock()
    replicas = machines(count)
    chosen = collections.Counter()
    speeds = {
        replica.name: 1 / SLOW if number % 7 == 3 else 1.0
        for number, replica in enumerate(replicas)
    }
    fleet = [kind(clock, seed * 1_000 + n) for n in range(daemons)]
    for daemon in fleet:
        for number, replica in enumerate(replicas):
            slowdown = 1 / speeds[replica.name]
            load = ReplicaLoad(
                running=number % 5,
                queued=0,
                slots=SLOTS,
                slowdown=slowdown,
            )
            daemon.health.record_start(replica.name)
            daemon.answered(replica, load, WORK_MS * load.slowdown)
    for _ in range(each):
        clock.ms += 100.0 / each
        for daemon in fleet:
            name = daemon.choose(replicas).name
            daemon.health.record_start(name)
            chosen[name] += 1
    each_part = daemons * each / sum(speeds.values())
    return chosen, {name: each_part * speeds[name] for name in speeds}
