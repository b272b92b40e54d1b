"""Tracks the replica resources that this daemon's requests occupy.

A decider accounts for results in the memory of stage replicas and for prompt
parts in the caches of engines. The account is lost when the decider fails or
is replaced. Each daemon tracks the share of its own requests, and sends a
snapshot of it to the next decider.
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
"""Limit per service and daemon. At about 100 bytes each, a snapshot stays below
what the link of a small host transmits in 30 ms."""
PROMPT_RETENTION_MS = 30_000.0
"""Engines evict the least recently used prompts, most likely the older ones."""
MAX_RESULTS = 1_000
"""Limit per service and daemon."""


@attrs.frozen(kw_only=True)
class StoredResult:
    """A result that a stage replica stores for a request.

    Attributes:
        handle: Id of the result.
        size: Approximate size in bytes.
        age_ms: Time since it was computed.
    """

    handle: str
    size: float
    age_ms: float


@attrs.frozen(kw_only=True)
class CachedPrompt:
    """A prompt that an engine has prefilled, or is prefilling.

    Attributes:
        replica: Name of the engine.
        generation: Parameters of the generation, with the prompt's parts.
        placement_id: Id of the attempt that runs there, empty if none does.
        prefilling: Whether its first token is still outstanding.
    """

    replica: str
    generation: Generation
    placement_id: str = ""
    prefilling: bool = False


@attrs.frozen(kw_only=True)
class ResourceSnapshot:
    """The resources of a service's replicas that one daemon's requests occupy.

    Attributes:
        results: Stored results of its requests.
        prompts: Prompts of its requests, oldest first.
    """

    results: tuple[StoredResult, ...] = ()
    prompts: tuple[CachedPrompt, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there are neither results nor prompts."""
        return not (self.results or self.prompts)


@attrs.define(kw_only=True)
class _Prompt:
    replica: str
    generation: Generation
    placed_at: Instant
    prefilling: bool = True
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
    """Tracks results and prompts of this daemon's requests, by service."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceResources] = {}

    def record_results(
        self, service: str, handles: Sequence[str], size: float
    ) -> None:
        """Records results that were computed for a request of this daemon."""
        results = self._resources(service).results
        for handle in handles:
            results[handle] = (size, self._clock.now())
        while len(results) > MAX_RESULTS:
            results.popitem(last=False)

    def record_freed(self, service: str, handles: Sequence[str]) -> None:
        """Records that results are no longer needed."""
        results = self._resources(service).results
        for handle in handles:
            results.pop(handle, None)

    def record_placement(
        self,
        service: str,
        placement_id: str,
        replica: str,
        generation: Generation,
    ) -> None:
        """Records that a request was placed on an engine."""
        prompts = self._resources(service).prompts
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
        """Records a request's first token: its prompt has been prefilled."""
        prompt = self._resources(service).prompts.get(placement_id)
        if prompt is not None:
            prompt.prefilling = False

    def record_end(self, service: str, placement_id: str) -> None:
        """Records that a request has ended at its engine."""
        prompt = self._resources(service).prompts.get(placement_id)
        if prompt is None:
            return
        prompt.running = False
        if prompt.prefilling:
            # The engine may have failed before it prefilled the prompt.
            del self._resources(service).prompts[placement_id]

    def snapshot(self, service: str) -> ResourceSnapshot:
        """Returns the snapshot to send to a new decider of a service."""
        now = self._clock.now()
        tracked = self._resources(service)
        return ResourceSnapshot(
            results=tuple(
                StoredResult(handle=handle, size=size, age_ms=now - at)
                for handle, (size, at) in tracked.results.items()
            ),
            prompts=tuple(
                CachedPrompt(
                    replica=prompt.replica,
                    generation=prompt.generation,
                    placement_id=name if prompt.running else "",
                    prefilling=prompt.running and prompt.prefilling,
                )
                for name, prompt in tracked.prompts.items()
            ),
        )

    def _resources(self, service: str) -> _ServiceResources:
        return self._services.setdefault(service, _ServiceResources())


def encode_snapshot(snapshot: ResourceSnapshot) -> dict[str, Any]:
    """Encodes a snapshot as a JSON object."""
    return {
        "results": [
            [r.handle, round(r.size), round(r.age_ms)] for r in snapshot.results
        ],
        "prompts": [
            [
                p.replica,
                encode_generation(p.generation),
                p.placement_id,
                int(p.prefilling),
            ]
            for p in snapshot.prompts
        ],
    }


def decode_snapshot(body: dict[str, Any]) -> ResourceSnapshot:
    """Decodes a snapshot.

    Raises:
        KeyError, TypeError, ValueError: The message is malformed.
    """
    return ResourceSnapshot(
        results=tuple(
            StoredResult(handle=str(name), size=float(size), age_ms=float(age))
            for name, size, age in body["results"]
        ),
        prompts=tuple(
            CachedPrompt(
                replica=str(replica),
                generation=decode_generation(generation),
                placement_id=str(name),
                prefilling=bool(prefilling),
            )
            for replica, generation, name, prefilling in body["prompts"]
        ),
    )
