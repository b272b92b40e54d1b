"""Brings engines to what they should be, while the lease is held."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
from result import Err

from cactusdyke import events
from cactusdyke.clock import Instant
from cactusdyke.configuration.model import BackendServer, Pool, PoolKind
from cactusdyke.kernel import Service
from cactusdyke.orders import placement
from cactusdyke.orders.engines import Desired, EngineState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Configuration
    from cactusdyke.orders.engines import EngineClient
    from cactusdyke.orders.lease import Lease, LeaseKeeper

TICK_MS = 1_000.0
STATES_A_TICK = 4
LONGEST_ORDER_MS = 30_000.0
MARKS_HEARD_MS = 3_000.0
MARK_AGAIN_MS = 5_000.0
DRAIN_LIMIT_MS = 120_000.0
STATE_LIFETIME_MS = 20_000.0
LOAD_INTERVAL_MS = 5_000.0
SMOOTHING = 0.1


class Demand(abc.ABC):
    """Tells the requests in flight by model."""

    @abc.abstractmethod
    def by_model(self, pool: str) -> Mapping[str, float]:
        """Returns requests running and waiting by model of a pool."""


class Drain(abc.ABC):
    """Keeps new work from an engine, at all daemons."""

    @abc.abstractmethod
    def mark(self, name: str) -> None:
        """Asks all daemons to send no work, for half a minute."""


@attrs.define(kw_only=True)
class _Engine:
    """What the holder knows of one engine."""

    server: BackendServer
    pool: Pool
    state: EngineState | None = None
    read_at: Instant = -math.inf
    desired: Desired | None = None
    since: Instant = -math.inf
    changing: bool = False


class OrderController(Service):
    """Reads engines' states, plans, drains, orders and looks again.

    Everything that it knows belongs to one fencing number and is dropped
    with it: a new holder reads all states back.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        keeper: LeaseKeeper,
        engines: EngineClient,
        demand: Demand,
        drain: Drain,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._keeper = keeper
        self._client = engines
        self._demand = demand
        self._drain = drain
        self._configuration = configuration
        self._lease: Lease | None = None
        self._granted_at: Instant = 0.0
        self._engines: dict[str, _Engine] = {}
        self._smoothed: dict[tuple[str, str], float] = {}
        self._load_at: Instant = -math.inf

    def desired(self) -> dict[str, Desired]:
        """Returns what this holder wants of each engine."""
        return {
            name: engine.desired
            for name, engine in self._engines.items()
            if engine.desired is not None
        }

    async def run(self) -> None:
        """Works in turns while the lease is held, until it is cancelled."""
        while True:
            held = self._keeper.held
            if held is None:
                self._engines = {}
                self._lease = None
                await self._clock.sleep(TICK_MS)
                continue
            await self._hold(held.fencing_number)

    async def _hold(self, number: int) -> None:
        self._engines = {}
        self._granted_at = self._clock.now()
        # The changes under way end with the number that they belong to.
        async with anyio.create_task_group() as tasks:
            while self._keeper.holds(number):
                await self._tick(number, tasks)
                await self._clock.sleep(TICK_MS)
            tasks.cancel_scope.cancel()

    async def _tick(self, number: int, tasks: anyio.abc.TaskGroup) -> None:
        self._follow_configuration()
        await self._read_oldest()
        for pool in self._pools():
            self._smooth(pool)
            if not self._may_order(pool):
                continue
            self._plan(pool)
            for engine in self._of(pool):
                if self._is_wrong(engine) and self._may_load():
                    engine.changing = True
                    tasks.start_soon(self._change, engine, number)

    def _pools(self) -> list[Pool]:
        return [
            pool
            for pool in self._configuration().pools.values()
            if pool.kind is PoolKind.ENGINE and pool.models
        ]

    def _follow_configuration(self) -> None:
        wanted = {
            server.name: (pool, server)
            for pool in self._pools()
            for server in pool.backend_servers
        }
        for name in [n for n in self._engines if n not in wanted]:
            del self._engines[name]
        for name, (pool, server) in wanted.items():
            known = self._engines.get(name)
            if known is None:
                self._engines[name] = _Engine(server=server, pool=pool)
            else:
                known.pool, known.server = pool, server

    async def _read_oldest(self) -> None:
        oldest = sorted(self._engines.values(), key=lambda e: e.read_at)
        async with anyio.create_task_group() as tasks:
            for engine in oldest[:STATES_A_TICK]:
                tasks.start_soon(self._read, engine)

    async def _read(self, engine: _Engine) -> EngineState | None:
        # The time of the attempt: engines that do not answer must not keep
        # the others from being read.
        engine.read_at = self._clock.now()
        answer = await self._client.state(engine.server.address)
        engine.state = None if isinstance(answer, Err) else answer.ok_value
        return engine.state

    def _of(self, pool: Pool) -> list[_Engine]:
        return [e for e in self._engines.values() if e.pool.name == pool.name]

    def _may_order(self, pool: Pool) -> bool:
        # An engine that ignores numbers takes a late order of the last holder
        # for a new one. Waiting out the longest order lets it come first, and
        # the state that is read after it shows what it did.
        ready_at = self._granted_at
        if not pool.checks_fencing:
            ready_at += LONGEST_ORDER_MS
        read = [e for e in self._of(pool) if e.read_at >= ready_at and e.state]
        for engine in read:
            if engine.desired is None and engine.state:
                engine.desired = engine.state.desired
                engine.since = self._clock.now()
        return self._clock.now() >= ready_at and bool(read)

    def _smooth(self, pool: Pool) -> None:
        now = self._demand.by_model(pool.name)
        for model in pool.models:
            key = (pool.name, model)
            before = self._smoothed.get(key, now.get(model, 0.0))
            self._smoothed[key] = before + SMOOTHING * (
                now.get(model, 0.0) - before
            )

    def _plan(self, pool: Pool) -> None:
        known = [e for e in self._of(pool) if e.desired is not None]
        changes = placement.plan(
            [self._view(engine) for engine in known],
            {m: self._smoothed[pool.name, m] for m in pool.models},
            pool.models,
            attainment_weight=self._configuration().policy.attainment_weight,
        )
        for change in changes:
            engine = self._engines[change.engine]
            engine.desired = Desired(models=(change.model,))
            engine.since = self._clock.now()

    def _view(self, engine: _Engine) -> placement.EngineView:
        desired = engine.desired
        assert desired is not None
        return placement.EngineView(
            name=engine.server.name,
            model=desired.models[0] if desired.models else "",
            speed=engine.server.speed,
            price=engine.server.price_per_second,
            slots=engine.server.slots,
            stayed_ms=self._clock.now() - engine.since,
            changing=engine.changing or self._is_wrong(engine),
        )

    def _is_wrong(self, engine: _Engine) -> bool:
        return (
            engine.desired is not None
            and engine.state is not None
            and not engine.changing
            and engine.state.desired != engine.desired
        )

    def _may_load(self) -> bool:
        # The weight store gives so much a second, to all engines together.
        now = self._clock.now()
        if now - self._load_at < LOAD_INTERVAL_MS:
            return False
        self._load_at = now
        return True

    async def _change(self, engine: _Engine, number: int) -> None:
        try:
            if await self._emptied(engine):
                await self._order(engine, number)
        finally:
            engine.changing = False

    async def _emptied(self, engine: _Engine) -> bool:
        """Drains an engine and returns whether nothing is in flight there."""
        began = self._clock.now()
        marked_at = -math.inf
        while self._clock.now() - began < DRAIN_LIMIT_MS:
            if self._clock.now() - marked_at >= MARK_AGAIN_MS:
                marked_at = self._clock.now()
                self._drain.mark(engine.server.name)
            await self._clock.sleep(TICK_MS)
            if self._clock.now() - began < MARKS_HEARD_MS:
                continue
            state = await self._read(engine)
            if state is not None and state.in_flight == 0:
                return True
        return False

    async def _order(self, engine: _Engine, number: int) -> None:
        assert engine.desired is not None
        drained_at = self._clock.now()

        def may_send() -> bool:
            # A paused holder wakes after its lease lapsed, or after the mark
            # that keeps work from the engine did. This is asked with the
            # connection open and before the first byte, on a clock that
            # counts the pause. A pause after it is left: engines that check
            # numbers refuse the order, others are corrected by the next turn.
            fresh = self._clock.now() - drained_at < TICK_MS
            return fresh and self._keeper.holds(number)

        answer = await self._client.order(
            engine.server.address,
            engine.desired,
            fencing_number=number,
            may_send=may_send,
        )
        events.log(
            events.Event.ENGINE_ORDERED,
            backend_server=engine.server.name,
            models=list(engine.desired.models),
            fencing_number=number,
            answer="accepted"
            if answer.is_ok()
            else answer.unwrap_err().message,
        )
        await self._read(engine)
