"""Load of several customers on a stage queue, in virtual time."""

from __future__ import annotations

import collections
import heapq
import random

import attrs

from cactusdyke.serving.dialect import Piece, PieceResult
from cactusdyke.serving.model import BatchSpec
from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
from cactusdyke.serving.stage_queue import StageQueue
from features.steps.serving_steps import ManualClock

REPLICAS = [f"m{n}" for n in range(9)]
SPEC = BatchSpec(
    concurrent_calls=1,
    queued_calls=2,
    batch=8,
    call_ms=150.0,
    piece_ms=16.0,
    result_capacity_bytes=1e9,
    result_lifetime_ms=4_000.0,
)
CAPACITY = len(REPLICAS) * SPEC.batch / (SPEC.call_ms + 8 * SPEC.piece_ms)
"""Pieces per millisecond of the service's replicas in full calls."""
MEAN_PIECES = 2.5
OBJECTIVE_MS = 1_000.0
PATIENCE_MS = 4_000.0


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of a customer."""

    at: float
    customer: str
    pieces: int
    priority: int = 0


def arrivals(rates, *, end_ms, seed=1, begin_ms=0.0, priority=0):
    """Returns requests of customers at rates in pieces per millisecond."""
    found = []
    for number, (customer, rate) in enumerate(sorted(rates.items())):
        rng = random.Random(f"{seed} {number}")
        at = begin_ms
        while (at := at + rng.expovariate(rate / MEAN_PIECES)) < end_ms:
            pieces = rng.choice((1, 2, 3, 4))
            found.append(
                Arrival(
                    at=at, customer=customer, pieces=pieces, priority=priority
                )
            )
    return sorted(found, key=lambda arrival: arrival.at)


class Play:
    """Plays requests on a stage queue and records who was served on time.

    Attributes:
        order: Customer of each piece in the order of calls.
        overloaded: Whether shares were enforced at any time.
    """

    def __init__(self, *, named=True, weights=None, lost_at=None):
        self._named = named
        self._weights = weights or {}
        self._lost_at = lost_at
        self.clock = ManualClock()
        self.queue = StageQueue(clock=self.clock, spec=SPEC)
        self._running = []
        self._number = 0
        self.served = collections.Counter()
        self.pieces = collections.Counter()
        self.order = []
        self.overloaded = False
        self.longest_wait_ms = 0.0
        self._open = {}

    def run(self, load, *, count_from=0.0):
        """Plays all requests; counts those that arrive after `count_from`."""
        for arrival in load:
            self._advance(arrival.at)
            if self._lost_at is not None and arrival.at >= self._lost_at:
                self._lose_decider()
            self._arrive(arrival, counts=arrival.at >= count_from)
            self.overloaded |= self.queue.shares.overloaded
        self._advance(load[-1].at + 2 * PATIENCE_MS)
        assert not self._open, "pieces are neither computed nor refused"
        return self

    def _lose_decider(self):
        """The next decider has an empty queue; running calls go on."""
        self._lost_at = None
        self.queue = StageQueue(clock=self.clock, spec=SPEC)
        self._running.clear()
        self._open.clear()

    def _arrive(self, arrival, *, counts):
        now = self.clock.ms
        group = PieceGroup(
            objective_at=now + OBJECTIVE_MS,
            deadline_at=now + PATIENCE_MS,
            priority=arrival.priority,
            result_bytes=0.0,
            customer=arrival.customer if self._named else "",
            weight=self._weights.get(arrival.customer, 1.0),
        )
        self._number += 1
        piece = Piece(request_id=f"r{self._number}", stage=0, number=0)
        group.tasks = [
            PieceTask(piece=piece, group=group) for _ in range(arrival.pieces)
        ]
        left_ms = PATIENCE_MS - SPEC.call_ms - SPEC.piece_ms
        if (
            self.queue.refuses_over_share(group)
            or self.queue.backlog().all_ms > left_ms
        ):
            return
        self._open[id(group)] = (group, arrival.customer, counts)
        self.queue.add(group)
        self._call()

    def _advance(self, until):
        while self.queue.queued_count or self._running:
            check_at = self.clock.ms + 50.0
            next_at = min(check_at, *(end for end, _, _ in self._running[:1]))
            if not self._running:
                next_at = check_at
            if next_at > until:
                break
            self.clock.ms = next_at
            while self._running and self._running[0][0] <= next_at:
                _, _, batch = heapq.heappop(self._running)
                results = [PieceResult(handle="h") for _ in batch.tasks]
                self._settle(self.queue.call_ended(batch, results))
            self._settle(self.queue.expire())
            self._call()
        self.clock.ms = max(self.clock.ms, until)

    def _call(self):
        while (batch := self.queue.next_batch(REPLICAS)) is not None:
            self._number += 1
            end = self.clock.ms + batch.expected_ms
            heapq.heappush(self._running, (end, self._number, batch))
            self.order += [t.piece.request_id for t in batch.tasks]

    def _settle(self, tasks):
        for task in tasks:
            group = task.group
            if not group.done or id(group) not in self._open:
                continue
            _, customer, counts = self._open.pop(id(group))
            now = self.clock.ms
            wait_ms = now - group.queued_at
            self.longest_wait_ms = max(self.longest_wait_ms, wait_ms)
            if counts and all(t.result.handle for t in group.tasks):
                self.pieces[customer] += len(group.tasks)
                self.served[customer] += now <= group.objective_at
