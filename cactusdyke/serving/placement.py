"""Chooses engines by their cached prompt parts and their load.

One placer serves all requests of a service, so that two daemons never send
the same subject to two engines, nor two long prompts to one engine.

A subject is all of a prompt before its last part; requests share it.
"""

from __future__ import annotations

import collections
import heapq
import math
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs
import xxhash

from cactusdyke.clock import Instant
from cactusdyke.serving.health import ReplicaHealth
from cactusdyke.serving.model import Replica
from cactusdyke.serving.replica_load import ReplicaLoads, unexplained

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import EngineSpec
    from cactusdyke.serving.request import Generation

ASSUMED_MS_PER_TOKEN = 0.02
"""Prefill speed of an engine: 50 prompt tokens per millisecond."""
LEARNING_SHARE = 0.05
SLOWDOWN_DECAY_MS = 5_000.0
CACHE_SHARE = 0.8
"""Share of an engine's memory; the rest stores generated tokens."""
REPEATED_PREFILL_WEIGHT = 1.5
"""The repeated prefill of a shared part delays this request and every stream on
the engine, and evicts other parts from its memory."""
PREFERENCE_STEP_MS = 25.0
"""Cost per rank of preference of an engine that has not cached the subject."""
PREFERRED_ENGINE_COUNT = 3
TRANSFER_MS_PER_MB = 20.0
"""Cost per megabyte of results that an engine fetches from another data centre.
A megabyte is priced like the prefill of 300 prompt tokens."""
BYTES_PER_MB = 1_000_000.0
RUNNING_REQUEST_MS = 1.0
"""Approximate delay that each running request adds to a prompt's chunks."""
FULL_ENGINE_MS = 2_000.0
"""Cost of an engine without a free slot."""
FAILING_ENGINE_MS = 1_500.0
"""Cost of an engine times the share of its requests that fail."""
PLACEMENT_EXPIRY_MS = 30_000.0


@attrs.define(kw_only=True)
class Placement:
    """One request placed on an engine.

    Attributes:
        replica: Name of the engine.
        prefill_tokens: Prompt tokens that the engine has to prefill.
        work_ahead_ms: Prefill time of the requests queued before it.
        placed_at: Instant of the placement.
        prefilling: Whether its first token is still outstanding.
        engine: The engine, None if another daemon placed the request.
        reported_slowdown: How slow the engine said that it was by then.
    """

    replica: str
    prefill_tokens: int
    work_ahead_ms: float
    placed_at: Instant
    prefilling: bool = True
    engine: Replica | None = None
    reported_slowdown: float = 1.0


@attrs.define(kw_only=True)
class _Engine:
    cached: collections.OrderedDict[int, int] = attrs.field(
        factory=collections.OrderedDict
    )
    cached_tokens: int = 0
    running: int = 0
    prefill_tokens: int = 0
    slowdown: float = 1.0
    slowdown_at: Instant = 0.0


class EnginePlacer:
    """Places requests of one service on its engines."""

    def __init__(
        self, *, clock: Clock, loads: ReplicaLoads | None = None
    ) -> None:
        self._clock = clock
        self._loads = loads or ReplicaLoads(clock=clock)
        self._health = ReplicaHealth(clock=clock)
        self._engines: dict[str, _Engine] = {}
        self._placements: dict[str, Placement] = {}
        self._ms_per_token = ASSUMED_MS_PER_TOKEN
        self._last_replicas: Sequence[Replica] = ()

    def running(self, replica: str) -> int:
        """Returns how many placed requests run on an engine."""
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
            placement_id: Identifies the attempt in `record_first_token` and
                `record_end`.
            generation: Parameters of the generation, with the prompt's parts.
            replicas: The engines that may be used.
            spec: Capacity of each engine.
            exclude: Names of engines that failed this request.
            inputs: Bytes of stage results to fetch, by data centre.

        Returns:
            The engine, or None if none may be used.
        """
        self._drop_stale(replicas)
        usable = [r for r in replicas if r.name not in exclude]
        if not usable:
            return None
        hashes = _prefix_hashes(generation)
        preferred = _preferred_engines(hashes, usable)
        all_bytes = sum(inputs.values())
        slowdown_of = self._reported_slowdowns(usable)

        def cost(replica: Replica) -> float:
            remote_bytes = all_bytes - inputs.get(replica.data_centre, 0.0)
            return (
                self._cost(
                    replica,
                    generation,
                    hashes,
                    preferred,
                    spec,
                    slowdown_of(replica),
                )
                + remote_bytes / BYTES_PER_MB * TRANSFER_MS_PER_MB
            )

        best = min(usable, key=cost)
        engine = self._engine(best.name)
        tokens_to_prefill = self._tokens_to_prefill(engine, generation, hashes)
        self._placements[placement_id] = Placement(
            replica=best.name,
            prefill_tokens=tokens_to_prefill,
            work_ahead_ms=engine.prefill_tokens * self._ms_per_token,
            placed_at=self._clock.now(),
            engine=best,
            reported_slowdown=slowdown_of(best),
        )
        engine.prefill_tokens += tokens_to_prefill
        engine.running += 1
        self._cache_parts(engine, generation, hashes, spec)
        self._health.record_start(best.name)
        return best

    def locate(
        self,
        generation: Generation,
        replicas: Sequence[Replica],
        spec: EngineSpec,
    ) -> Replica | None:
        """Returns the engine that would be chosen now, without counting.

        None if that engine has not cached the subject: the engine is then
        chosen by the location of the request's stage results.
        """
        if not replicas:
            return None
        hashes = _prefix_hashes(generation)
        preferred = _preferred_engines(hashes, replicas)
        slowdown_of = self._reported_slowdowns(replicas)
        best = min(
            replicas,
            key=lambda r: self._cost(
                r, generation, hashes, preferred, spec, slowdown_of(r)
            ),
        )
        subject = hashes[-2] if len(hashes) > 1 else None
        return best if subject in self._engine(best.name).cached else None

    def record_first_token(self, placement_id: str) -> None:
        """Records a request's first token: its prompt has been prefilled."""
        placement = self._placements.get(placement_id)
        if placement is None or not placement.prefilling:
            return
        took_ms = self._clock.now() - placement.placed_at
        self._end_prefill(placement)
        self._update_slowdown(placement, took_ms)
        self._health.record_success(placement.replica, took_ms)

    def record_end(self, placement_id: str, *, failed: bool) -> None:
        """Records that a request has ended at its engine."""
        placement = self._placements.pop(placement_id, None)
        if placement is None:
            return
        self._end_prefill(placement)
        engine = self._engine(placement.replica)
        engine.running = max(0, engine.running - 1)
        self._health.record_end(placement.replica)
        if failed:
            self._health.record_failure(placement.replica)

    def record_cached_prompt(
        self, replica: str, generation: Generation, spec: EngineSpec
    ) -> None:
        """Records another daemon's report that an engine cached a prompt."""
        self._cache_parts(
            self._engine(replica), generation, _prefix_hashes(generation), spec
        )

    def record_running(
        self,
        placement_id: str,
        replica: str,
        generation: Generation,
        *,
        prefilling: bool,
    ) -> None:
        """Records another daemon's report of a request running on an engine."""
        if placement_id in self._placements:
            return
        own_tokens = generation.parts[-1].tokens if generation.parts else 0
        tokens_to_prefill = own_tokens if prefilling else 0
        engine = self._engine(replica)
        self._placements[placement_id] = Placement(
            replica=replica,
            prefill_tokens=tokens_to_prefill,
            work_ahead_ms=engine.prefill_tokens * self._ms_per_token,
            placed_at=self._clock.now(),
            prefilling=prefilling,
        )
        engine.prefill_tokens += tokens_to_prefill
        engine.running += 1
        self._health.record_start(replica)

    def _cost(
        self,
        replica: Replica,
        generation: Generation,
        hashes: list[int],
        preferred: dict[str, int],
        spec: EngineSpec,
        reported_slowdown: float,
    ) -> float:
        engine = self._engines.get(replica.name) or self._engine(replica.name)
        tokens_to_prefill = (
            self._tokens_to_prefill(engine, generation, hashes)
            if engine.cached
            else generation.prompt_tokens
        )
        own_tokens = generation.parts[-1].tokens if generation.parts else 0
        repeated_tokens = max(0, tokens_to_prefill - own_tokens)
        tokens = (
            engine.prefill_tokens
            + tokens_to_prefill
            + (REPEATED_PREFILL_WEIGHT - 1) * repeated_tokens
        )
        cost = tokens * self._ms_per_token * self._slowdown(engine)
        cost += engine.running * RUNNING_REQUEST_MS
        cost *= reported_slowdown
        if engine.running >= spec.slots:
            cost += FULL_ENGINE_MS
        if repeated_tokens:
            cost += PREFERENCE_STEP_MS * preferred.get(
                replica.name, PREFERRED_ENGINE_COUNT
            )
        return cost + FAILING_ENGINE_MS * self._health.failure_share(
            replica.name
        )

    def _tokens_to_prefill(
        self, engine: _Engine, generation: Generation, hashes: list[int]
    ) -> int:
        tokens_to_prefill = generation.prompt_tokens
        cached = engine.cached
        for part, prefix_hash in zip(generation.parts, hashes, strict=True):
            if prefix_hash not in cached:
                break
            tokens_to_prefill -= part.tokens
        return max(0, tokens_to_prefill)

    def _cache_parts(
        self,
        engine: _Engine,
        generation: Generation,
        hashes: list[int],
        spec: EngineSpec,
    ) -> None:
        for part, prefix_hash in zip(generation.parts, hashes, strict=True):
            if prefix_hash in engine.cached:
                engine.cached.move_to_end(prefix_hash)
                continue
            engine.cached[prefix_hash] = part.tokens
            engine.cached_tokens += part.tokens
        while engine.cached_tokens > CACHE_SHARE * spec.kv_tokens:
            if len(engine.cached) <= len(hashes):
                return
            _, tokens = engine.cached.popitem(last=False)
            engine.cached_tokens -= tokens

    def _end_prefill(self, placement: Placement) -> None:
        if not placement.prefilling:
            return
        placement.prefilling = False
        engine = self._engine(placement.replica)
        engine.prefill_tokens = max(
            0, engine.prefill_tokens - placement.prefill_tokens
        )

    def _update_slowdown(self, placement: Placement, took_ms: float) -> None:
        expected_ms = placement.work_ahead_ms + (
            placement.prefill_tokens * self._ms_per_token
        )
        ratio = unexplained(
            took_ms / max(expected_ms, 30.0),
            placement.reported_slowdown,
            self._loads.slowdown(placement.engine) if placement.engine else 1.0,
        )
        ratio = min(8.0, max(0.25, ratio))
        engine = self._engine(placement.replica)
        slowdown = self._slowdown(engine)
        engine.slowdown = slowdown + 0.2 * (ratio - slowdown)
        engine.slowdown_at = self._clock.now()

    def _reported_slowdowns(
        self, replicas: Sequence[Replica]
    ) -> Callable[[Replica], float]:
        """Returns a function that tells how slow an engine says that it is."""
        if self._loads.is_informed(replicas[0].service):
            return self._loads.slowdown
        return _normal_speed

    def _slowdown(self, engine: _Engine) -> float:
        if engine.slowdown == 1.0:
            return 1.0
        age_ms = self._clock.now() - engine.slowdown_at
        decay = math.exp(-max(0.0, age_ms) / SLOWDOWN_DECAY_MS)
        return 1.0 + (engine.slowdown - 1.0) * decay

    def _engine(self, name: str) -> _Engine:
        return self._engines.setdefault(name, _Engine())

    def _drop_stale(self, replicas: Sequence[Replica]) -> None:
        oldest = self._clock.now() - PLACEMENT_EXPIRY_MS
        while self._placements:
            # They are in the order in which they were placed.
            key, placement = next(iter(self._placements.items()))
            if placement.placed_at >= oldest:
                break
            self.record_end(key, failed=False)
        if replicas is self._last_replicas:
            return
        self._last_replicas = replicas
        names = {replica.name for replica in replicas}
        for name in list(self._engines):
            if name not in names and self._engines[name].running == 0:
                del self._engines[name]
        self._health.remove_unknown(names)


def _normal_speed(replica: Replica) -> float:
    """Returns 1; no replica of the service reports a slowdown."""
    del replica
    return 1.0


def _prefix_hashes(generation: Generation) -> list[int]:
    """Returns a hash for each part together with all parts before it.

    An engine can use a cached part only if it has cached all parts before it.
    """
    digest = xxhash.xxh3_64(generation.model.encode())
    hashes = []
    for part in generation.parts:
        digest.update(b"/" + part.name.encode())
        hashes.append(digest.intdigest())
    return hashes


def _preferred_engines(
    hashes: list[int], replicas: Sequence[Replica]
) -> dict[str, int]:
    """Returns the ranks of the preferred engines of a subject.

    Uses rendezvous hashing, so that a new placer without state, after the
    failure of the previous decider, sends most subjects to the engines that
    have cached them.
    """
    subject = str(
        hashes[-2] if len(hashes) > 1 else hashes[-1] if hashes else 0
    )
    digest = xxhash.xxh3_64_intdigest
    ranked = heapq.nsmallest(
        PREFERRED_ENGINE_COUNT,
        ((digest(f"{subject}@{r.name}".encode()), r.name) for r in replicas),
    )
    return {name: rank for rank, (_, name) in enumerate(ranked)}
