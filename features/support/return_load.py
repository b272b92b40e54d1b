"""Callers whose burst a stage service refuses, and who come back."""

from __future__ import annotations

import collections
import contextlib
import random

import anyio
import attrs
import orjson
from result import Ok

from cactusdyke.clock import EventLoopClock
from cactusdyke.errors import Ran
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.model import BatchSpec
from cactusdyke.serving.stage_pieces import PieceGroup, PieceTask
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import BackendConnections, Exchange
from features.steps.serving_steps import replica
from features.support.serving_values import request_limits
from standins.virtual import run_virtual

REPLICAS = 9
SPEC = BatchSpec(
    concurrent_calls=1,
    queued_calls=2,
    batch=8,
    call_ms=150.0,
    piece_ms=16.0,
    result_capacity_bytes=1e12,
    result_lifetime_ms=4_000.0,
)
PIECES_PER_MS = REPLICAS * SPEC.batch / (150.0 + 8 * 16.0)
BURST = (4_000.0, 10_000.0)
END_MS = 22_000.0
"""New requests arrive until then."""
RETRY_SHARE = 1 / 3
WINDOW_MS = 1_000.0


@attrs.frozen(kw_only=True)
class Kind:
    """Requests of one kind: their load in shares of the capacity, and times."""

    name: str
    priority: int
    load: float
    burst: float = 1.0
    objective_ms: float
    patience_ms: float
    first_event_ms: float = 5_000.0


KINDS = (
    Kind(
        name="urgent",
        priority=0,
        load=0.25,
        objective_ms=1_500.0,
        patience_ms=6_000.0,
    ),
    Kind(
        name="bursting",
        priority=1,
        load=0.4,
        burst=3.0,
        objective_ms=2_500.0,
        patience_ms=12_000.0,
    ),
    Kind(
        name="patient",
        priority=2,
        load=0.1,
        objective_ms=4_000.0,
        patience_ms=15_000.0,
    ),
)


@attrs.define(kw_only=True, eq=False)
class Story:
    """One request, from its first arrival to its end."""

    kind: Kind
    number: int
    pieces: int
    at: float
    tries: int = 0
    served_at: float | None = None

    @property
    def on_time(self) -> bool:
        """Whether it was served within its objective."""
        late_at = self.at + self.kind.objective_ms
        return self.served_at is not None and self.served_at <= late_at


class Replicas(BackendConnections):
    """Computes the pieces of each call in the time that the spec states."""

    @contextlib.asynccontextmanager
    async def connect(self, address):
        yield _Exchange(address)


class _Exchange(Exchange):
    sent = True
    ends_with_connection = False

    def __init__(self, address):
        self._address = address
        self._items = None

    async def send(self, method, target, headers, body):
        if target == "/-/stage-run":
            self._items = orjson.loads(body)["items"]

    async def head(self):
        if self._items is None:
            return AnswerHead(status=404, headers=[])
        call_ms = SPEC.call_ms + SPEC.piece_ms * len(self._items)
        await anyio.sleep(call_ms / 1_000)
        return AnswerHead(status=200, headers=[])

    async def body(self):
        items = [
            {"handle": f"{self._address}/{n}"}
            for n in range(len(self._items or ()))
        ]
        yield orjson.dumps({"items": items})


class Reserving:
    """The retry times of the batcher."""

    def digest(self, story):
        return f"digest-{story.number}"

    def retry_ms(self, failure, backlog_ms):
        return failure.retry_after_ms


class Scattered(Reserving):
    """The naive policy: the backlog times a random factor of 0.7 to 1.3."""

    def __init__(self):
        self._rng = random.Random(5)

    def digest(self, story):
        return ""

    def retry_ms(self, failure, backlog_ms):
        spread_ms = backlog_ms * self._rng.uniform(0.7, 1.3)
        return min(3_000.0, max(200.0, spread_ms))


class Rig:
    """A stage service under a burst, with callers that honour retry times."""

    def __init__(self, *, policy, seed, on_burst_end=None):
        self.policy = policy
        self.clock = EventLoopClock()
        self.stories = []
        self.offered = collections.Counter()
        self.on_burst_end = on_burst_end
        self._rng = random.Random(seed)

    async def run(self):
        async with anyio.create_task_group() as self.tasks:
            self.renew()
            async with anyio.create_task_group() as callers:
                for kind in KINDS:
                    callers.start_soon(self._arrivals, callers, kind)
            self.tasks.cancel_scope.cancel()
        return self

    def renew(self):
        """Starts a decider without state."""
        deployment = Deployment(clock=self.clock)
        deployment.replace_replicas([replica(f"m{n}") for n in range(REPLICAS)])
        self.batcher = StageBatcher(
            service="plain",
            spec=SPEC,
            clock=self.clock,
            deployment=deployment,
            dialect=PlatformDialect(),
            connections=Replicas(),
            tasks=self.tasks,
            free_inputs=lambda service, handles: False,
            request_limits=request_limits(self.clock, deployment),
        )

    async def _arrivals(self, callers, kind):
        began = self.clock.now()
        while (at := self.clock.now() - began) < END_MS:
            pieces = self._rng.choice((1, 2, 2, 3, 4))
            bursts = BURST[0] <= at < BURST[1]
            load = kind.load * (kind.burst if bursts else 1.0)
            story = Story(
                kind=kind, number=len(self.stories), pieces=pieces, at=at
            )
            self.stories.append(story)
            callers.start_soon(self._call, story)
            gap_ms = self._rng.expovariate(load * PIECES_PER_MS / 2.4)
            await self.clock.sleep(gap_ms)

    async def _call(self, story):
        ends_at = story.at + story.kind.patience_ms
        while (now := self.clock.now()) + SPEC.call_ms < ends_at:
            story.tries += 1
            self.offered[int(now // WINDOW_MS)] += story.pieces
            answer = await self._attempt(story, now, ends_at)
            now = self.clock.now()
            if isinstance(answer, Ok):
                if now <= ends_at:
                    story.served_at = now
                return
            failure = answer.unwrap_err()
            assert failure.ran is Ran.NOT_RUN
            told_ms = self.policy.retry_ms(
                failure, self.batcher.queue.backlog().all_ms
            )
            await self.clock.sleep(min(told_ms, (ends_at - now) * RETRY_SHARE))

    async def _attempt(self, story, now, ends_at):
        kind = story.kind
        group = PieceGroup(
            objective_at=story.at + kind.objective_ms,
            deadline_at=min(now + kind.first_event_ms, ends_at) - 150.0,
            priority=kind.priority,
            result_bytes=0.0,
            digest=self.policy.digest(story),
            caller_waits_until=ends_at,
        )
        group.tasks = [
            PieceTask(
                piece=Piece(
                    request_id=f"{story.number}.{story.tries}",
                    stage=0,
                    number=n,
                ),
                group=group,
            )
            for n in range(story.pieces)
        ]
        return await self.batcher.run(group, may_refuse=True)


@attrs.frozen(kw_only=True)
class Figures:
    """What a policy achieved, over several runs.

    Attributes:
        urgent: Share of urgent requests that were on time.
        returned: Refused requests that were served later, as a share of those
            that the capacity left by the others allows.
        second_burst: Highest load after the burst, with retries, in shares of
            the capacity.
    """

    urgent: float
    returned: float
    second_burst: float


def measure(make_policy, seeds):
    """Returns the figures of a policy."""
    rigs = [
        run_virtual(Rig(policy=make_policy(), seed=seed).run) for seed in seeds
    ]
    return figures(rigs)


def figures(rigs):
    """Returns the figures of finished runs."""
    stories = [s for rig in rigs for s in rig.stories]
    urgent = [s for s in stories if s.kind.name == "urgent"]
    refused = [s for s in stories if s.tries > 1 or s.served_at is None]
    served = sum(s.pieces for s in refused if s.served_at is not None)
    wanted = sum(s.pieces for s in refused)
    others = sum(s.pieces for s in stories) - wanted
    spare = PIECES_PER_MS * END_MS * len(rigs) - others
    offered = sum((rig.offered for rig in rigs), collections.Counter())
    after = range(int(BURST[1] // WINDOW_MS) + 1, int(END_MS // WINDOW_MS))
    highest = max(offered[n] for n in after)
    return Figures(
        urgent=sum(s.on_time for s in urgent) / len(urgent),
        returned=served / min(wanted, spare),
        second_burst=highest / (PIECES_PER_MS * WINDOW_MS * len(rigs)),
    )
