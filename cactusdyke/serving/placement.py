"""Chooses an engine by the prompt parts it holds and the work it has.

One placer decides for all requests of a service, so that two daemons never
send the same subject to two engines, nor two long prompts to one.
"""

from __future__ import annotations

import collections
import math
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs
import xxhash

from cactusdyke.clock import Instant
from cactusdyke.serving.health import ReplicaHealth

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import EngineSpec, Replica
    from cactusdyke.serving.request import Generation

FIRST_MS_PER_TOKEN = 0.02
"""Assumed until first tokens were timed: 50 prompt tokens a millisecond."""
LEARNING_SHARE = 0.05
SPEED_MEMORY_MS = 5_000.0
CACHE_SHARE = 0.8
"""Of an engine's memory; the rest holds what requests generate."""
REREAD_WEIGHT = 1.5
"""A shared part that is read again delays this request, and every stream on
that engine, and takes memory from other parts."""
HOME_STEP_MS = 25.0
"""What a subject known nowhere pays for an engine that is not its home."""
HOMES = 3
CROSSING_MS_PER_MB = 20.0
"""What a megabyte of results costs that an engine fetches from another data
centre: as much as reading 300 prompt tokens, which is how they are priced."""
BYTES_PER_MB = 1_000_000.0
RUNNING_MS = 1.0
"""What each running request adds to a prompt's chunks, about."""
FULL_MS = 2_000.0
FAILING_MS = 1_500.0
FORGET_PLACEMENT_MS = 30_000.0


@attrs.define(kw_only=True)
class Placement:
    """One request given to an engine.

    Attributes:
        replica: The engine's name.
        unread_tokens: Prompt tokens that it has to read.
        ahead_ms: Work that was ahead of it.
        placed_at: When it was placed.
        reading: Whether its first token has not come.
    """

    replica: str
    unread_tokens: int
    ahead_ms: float
    placed_at: Instant
    reading: bool = True


@attrs.define(kw_only=True)
class _Engine:
    cached: collections.OrderedDict[int, int] = attrs.field(
        factory=collections.OrderedDict
    )
    cached_tokens: int = 0
    running: int = 0
    unread_tokens: int = 0
    slowness: float = 1.0
    slowness_at: Instant = 0.0


class EnginePlacer:
    """Places requests of one service on its engines."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._health = ReplicaHealth(clock=clock)
        self._engines: dict[str, _Engine] = {}
        self._placements: dict[str, Placement] = {}
        self._ms_per_token = FIRST_MS_PER_TOKEN

    def running(self, replica: str) -> int:
        """Returns how many placed requests an engine works on."""
        engine = self._engines.get(replica)
        return engine.running if engine else 0

    def place(
        self,
        placement_id: str,
        generation: Generation,
        replicas: Sequence[Replica],
        spec: EngineSpec,
        *,
        exclude: Collection[str] = (),
        inputs: Mapping[str, float] = MappingProxyType({}),
    ) -> Replica | None:
        """Chooses an engine and counts the request there.

        Args:
            placement_id: Names the attempt in `started` and `ended`.
            generation: What the request asks for.
            replicas: The engines that may be used.
            spec: What each of them can hold.
            exclude: Names of engines that failed this request.
            inputs: Bytes of stages' results to fetch, by data centre.
        """
        self._forget(replicas)
        usable = [r for r in replicas if r.name not in exclude]
        if not usable:
            return None
        chain = _chain(generation)
        homes = _homes(chain, usable)
        all_bytes = sum(inputs.values())

        def cost(replica: Replica) -> float:
            far_bytes = all_bytes - inputs.get(replica.data_centre, 0.0)
            return (
                self._cost(replica, generation, chain, homes, spec)
                + far_bytes / BYTES_PER_MB * CROSSING_MS_PER_MB
            )

        best = min(usable, key=cost)
        engine = self._engine(best.name)
        unread = self._unread(engine, generation, chain)
        self._placements[placement_id] = Placement(
            replica=best.name,
            unread_tokens=unread,
            ahead_ms=engine.unread_tokens * self._ms_per_token,
            placed_at=self._clock.now(),
        )
        engine.unread_tokens += unread
        engine.running += 1
        self._hold(engine, generation, chain, spec)
        self._health.record_start(best.name)
        return best

    def locate(
        self,
        generation: Generation,
        replicas: Sequence[Replica],
        spec: EngineSpec,
    ) -> Replica | None:
        """Returns the engine that a request would get now, uncounted.

        None where its subject is known nowhere: the engine is chosen by where
        the results of its stages lie then.
        """
        if not replicas:
            return None
        chain = _chain(generation)
        homes = _homes(chain, replicas)
        best = min(
            replicas,
            key=lambda r: self._cost(r, generation, chain, homes, spec),
        )
        subject = chain[-2] if len(chain) > 1 else None
        return best if subject in self._engine(best.name).cached else None

    def started(self, placement_id: str) -> None:
        """Notes a request's first token: its prompt has been read."""
        placement = self._placements.get(placement_id)
        if placement is None or not placement.reading:
            return
        took_ms = self._clock.now() - placement.placed_at
        self._stop_reading(placement)
        self._learn(placement, took_ms)
        self._health.record_success(placement.replica, took_ms)

    def ended(self, placement_id: str, *, failed: bool) -> None:
        """Notes that a request has left its engine."""
        placement = self._placements.pop(placement_id, None)
        if placement is None:
            return
        self._stop_reading(placement)
        engine = self._engine(placement.replica)
        engine.running = max(0, engine.running - 1)
        self._health.record_end(placement.replica)
        if failed:
            self._health.record_failure(placement.replica)

    def learn_held(
        self, replica: str, generation: Generation, spec: EngineSpec
    ) -> None:
        """Takes another daemon's word that an engine has read a prompt."""
        self._hold(self._engine(replica), generation, _chain(generation), spec)

    def learn_running(
        self,
        placement_id: str,
        replica: str,
        generation: Generation,
        *,
        reading: bool,
    ) -> None:
        """Takes another daemon's word that an engine works on a request."""
        if placement_id in self._placements:
            return
        own = generation.parts[-1].tokens if generation.parts else 0
        unread = own if reading else 0
        engine = self._engine(replica)
        self._placements[placement_id] = Placement(
            replica=replica,
            unread_tokens=unread,
            ahead_ms=engine.unread_tokens * self._ms_per_token,
            placed_at=self._clock.now(),
            reading=reading,
        )
        engine.unread_tokens += unread
        engine.running += 1
        self._health.record_start(replica)

    def _cost(
        self,
        replica: Replica,
        generation: Generation,
        chain: list[int],
        homes: dict[str, int],
        spec: EngineSpec,
    ) -> float:
        engine = self._engine(replica.name)
        unread = self._unread(engine, generation, chain)
        own = generation.parts[-1].tokens if generation.parts else 0
        reread = max(0, unread - own)
        tokens = engine.unread_tokens + unread + (REREAD_WEIGHT - 1) * reread
        cost = tokens * self._ms_per_token * self._slowness(engine)
        cost += engine.running * RUNNING_MS
        if engine.running >= spec.slots:
            cost += FULL_MS
        if reread:
            cost += HOME_STEP_MS * homes.get(replica.name, HOMES)
        return cost + FAILING_MS * self._health.failure_share(replica.name)

    def _unread(
        self, engine: _Engine, generation: Generation, chain: list[int]
    ) -> int:
        unread = generation.prompt_tokens
        for part, link in zip(generation.parts, chain, strict=True):
            if link not in engine.cached:
                break
            unread -= part.tokens
        return max(0, unread)

    def _hold(
        self,
        engine: _Engine,
        generation: Generation,
        chain: list[int],
        spec: EngineSpec,
    ) -> None:
        for part, link in zip(generation.parts, chain, strict=True):
            if link in engine.cached:
                engine.cached.move_to_end(link)
                continue
            engine.cached[link] = part.tokens
            engine.cached_tokens += part.tokens
        while engine.cached_tokens > CACHE_SHARE * spec.kv_tokens:
            if len(engine.cached) <= len(chain):
                return
            _, tokens = engine.cached.popitem(last=False)
            engine.cached_tokens -= tokens

    def _stop_reading(self, placement: Placement) -> None:
        if not placement.reading:
            return
        placement.reading = False
        engine = self._engine(placement.replica)
        engine.unread_tokens = max(
            0, engine.unread_tokens - placement.unread_tokens
        )

    def _learn(self, placement: Placement, took_ms: float) -> None:
        read_ms = placement.ahead_ms + (
            placement.unread_tokens * self._ms_per_token
        )
        ratio = min(8.0, max(0.25, took_ms / max(read_ms, 30.0)))
        engine = self._engine(placement.replica)
        slowness = self._slowness(engine)
        engine.slowness = slowness + 0.2 * (ratio - slowness)
        engine.slowness_at = self._clock.now()

    def _slowness(self, engine: _Engine) -> float:
        age = self._clock.now() - engine.slowness_at
        faded = math.exp(-max(0.0, age) / SPEED_MEMORY_MS)
        return 1.0 + (engine.slowness - 1.0) * faded

    def _engine(self, name: str) -> _Engine:
        return self._engines.setdefault(name, _Engine())

    def _forget(self, replicas: Sequence[Replica]) -> None:
        now = self._clock.now()
        old = [
            key
            for key, placement in self._placements.items()
            if now - placement.placed_at > FORGET_PLACEMENT_MS
        ]
        for key in old:
            self.ended(key, failed=False)
        names = {replica.name for replica in replicas}
        for name in list(self._engines):
            if name not in names and self._engines[name].running == 0:
                del self._engines[name]
        self._health.remove_unknown(names)


def _chain(generation: Generation) -> list[int]:
    """Returns a name for each part together with all parts before it.

    An engine can use a part it holds only where it holds all before it.
    """
    digest = xxhash.xxh3_64(generation.model.encode())
    chain = []
    for part in generation.parts:
        digest.update(b"/" + part.name.encode())
        chain.append(digest.intdigest())
    return chain


def _homes(chain: list[int], replicas: Sequence[Replica]) -> dict[str, int]:
    """Returns the rank of the engines that a subject belongs to.

    By rendezvous hashing: a placer that knows nothing, since the one before
    it has just died, sends most subjects to where they were.
    """
    subject = str(chain[-2] if len(chain) > 1 else chain[-1] if chain else 0)
    ranked = sorted(
        replicas,
        key=lambda r: xxhash.xxh3_64_intdigest(f"{subject}@{r.name}".encode()),
    )
    return {replica.name: rank for rank, replica in enumerate(ranked[:HOMES])}
