"""What this daemon's requests hold at replicas, to tell a new decider.

A decider keeps count of results in the makers' memory and of prompt parts in
the engines' caches. When it dies, or another takes its place, the count is
lost. Each daemon knows its own share of it, and tells the next decider.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.dispatch_messages import (
    decode_generation,
    encode_generation,
)
from cactusdyke.serving.request import Generation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.clock import Clock

MAX_PROMPTS = 150
"""Per service and daemon. Some 100 bytes each: the message stays below what a
small host's link carries in 30 ms."""
PROMPT_RETENTION_MS = 30_000.0
"""Engines forget the least recently used; older ones are likely gone."""
MAX_RESULTS = 1_000


@attrs.frozen(kw_only=True)
class HeldResult:
    """A result that a maker holds for a request.

    Attributes:
        handle: Names it.
        size: About how many bytes it takes.
        age_ms: How long ago it was made.
    """

    handle: str
    size: float
    age_ms: float


@attrs.frozen(kw_only=True)
class CachedPrompt:
    """A prompt that an engine has read, or is reading.

    Attributes:
        replica: The engine's name.
        generation: What was asked of it.
        placement_id: Names the attempt that runs there, empty if none does.
        reading: Whether its first token has not come.
    """

    replica: str
    generation: Generation
    placement_id: str = ""
    prefilling: bool = False


@attrs.frozen(kw_only=True)
class ResourceSnapshot:
    """All that one daemon knows of a service's replicas.

    Attributes:
        results: Results that its requests hold.
        prompts: Prompts by its requests, the oldest first.
    """

    results: tuple[HeldResult, ...] = ()
    prompts: tuple[CachedPrompt, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.results or self.prompts)


@attrs.define(kw_only=True)
class _Prompt:
    replica: str
    generation: Generation
    placed_at: Instant
    reading: bool = True
    running: bool = True


@attrs.define(kw_only=True)
class _ServiceResources:
    results: collections.OrderedDict[str, tuple[float, Instant]] = attrs.field(
        factory=collections.OrderedDict
    )
    prompts: collections.OrderedDict[str, _Prompt] = attrs.field(
        factory=collections.OrderedDict
    )


class ResourceTracker:
    """What this daemon's requests hold, by service."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceResources] = {}

    def record_results(
        self, service: str, handles: Sequence[str], size: float
    ) -> None:
        """Notes results that were made for a request here."""
        results = self._of(service).results
        for handle in handles:
            results[handle] = (size, self._clock.now())
        while len(results) > MAX_RESULTS:
            results.popitem(last=False)

    def record_freed(self, service: str, handles: Sequence[str]) -> None:
        """Notes that results are not needed any more."""
        results = self._of(service).results
        for handle in handles:
            results.pop(handle, None)

    def record_placement(
        self,
        service: str,
        placement_id: str,
        replica: str,
        generation: Generation,
    ) -> None:
        """Notes that a request was given to an engine."""
        prompts = self._of(service).prompts
        prompts[placement_id] = _Prompt(
            replica=replica,
            generation=generation,
            placed_at=self._clock.now(),
        )
        oldest = self._clock.now() - PROMPT_RETENTION_MS
        while prompts:
            first = next(iter(prompts.values()))
            if len(prompts) <= MAX_PROMPTS and first.placed_at >= oldest:
                return
            prompts.popitem(last=False)

    def record_first_token(self, service: str, placement_id: str) -> None:
        """Notes that an engine has read a request's prompt."""
        prompt = self._of(service).prompts.get(placement_id)
        if prompt is not None:
            prompt.reading = False

    def record_end(self, service: str, placement_id: str) -> None:
        """Notes that a request has left its engine."""
        prompt = self._of(service).prompts.get(placement_id)
        if prompt is None:
            return
        prompt.running = False
        if prompt.reading:
            # It may never have been read; the engine may be gone.
            del self._of(service).prompts[placement_id]

    def snapshot(self, service: str) -> ResourceSnapshot:
        """Returns what to tell a daemon that decides for a service now."""
        now = self._clock.now()
        known = self._of(service)
        return ResourceSnapshot(
            results=tuple(
                HeldResult(handle=handle, size=size, age_ms=now - at)
                for handle, (size, at) in known.results.items()
            ),
            prompts=tuple(
                CachedPrompt(
                    replica=prompt.replica,
                    generation=prompt.generation,
                    placement_id=name if prompt.running else "",
                    prefilling=prompt.running and prompt.reading,
                )
                for name, prompt in known.prompts.items()
            ),
        )

    def _of(self, service: str) -> _ServiceResources:
        return self._services.setdefault(service, _ServiceResources())


def encode_snapshot(briefing: ResourceSnapshot) -> dict[str, Any]:
    """Returns a briefing as it travels."""
    return {
        "results": [
            [r.handle, round(r.size), round(r.age_ms)] for r in briefing.results
        ],
        "prompts": [
            [
                p.replica,
                encode_generation(p.generation),
                p.placement_id,
                int(p.prefilling),
            ]
            for p in briefing.prompts
        ],
    }


def decode_snapshot(body: dict[str, Any]) -> ResourceSnapshot:
    """Reads a briefing.

    Raises:
        KeyError, TypeError, ValueError: The message is of no known form.
    """
    return ResourceSnapshot(
        results=tuple(
            HeldResult(handle=str(name), size=float(size), age_ms=float(age))
            for name, size, age in body["results"]
        ),
        prompts=tuple(
            CachedPrompt(
                replica=str(replica),
                generation=decode_generation(generation),
                placement_id=str(name),
                prefilling=bool(reading),
            )
            for replica, generation, name, reading in body["prompts"]
        ),
    )
