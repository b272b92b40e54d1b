"""Where a prompt prefix is likely to be cached, as hints that fade."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.model import BackendServer

HINT_LIFETIME_MS = 60_000.0
MAX_PREFIXES = 4_096
SERVERS_PER_PREFIX = 3
POINTS_PER_SERVER = 16
PREFIX_CHARACTERS = 256


class HashRing:
    """A consistent-hash ring: every daemon finds the same first choice."""

    def __init__(self, servers: Sequence[BackendServer]) -> None:
        points = [
            (xxhash.xxh64_intdigest(server.name.encode(), seed=i), server)
            for server in servers
            for i in range(POINTS_PER_SERVER)
        ]
        points.sort(key=lambda point: point[0])
        self._hashes = [point[0] for point in points]
        self._servers = [point[1] for point in points]

    def walk(self, prefix: str) -> Iterator[BackendServer]:
        """Yields servers clockwise from the prefix's place, with repeats."""
        start = bisect.bisect(
            self._hashes, xxhash.xxh64_intdigest(prefix.encode())
        )
        for step in range(len(self._servers)):
            yield self._servers[(start + step) % len(self._servers)]


class PrefixHints:
    """A bounded memory of where prefixes went and what caches said.

    Cache events come late and with gaps, so nothing here is relied on: a
    wrong hint costs a cache miss, never a wrong answer.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._places: collections.OrderedDict[str, dict[str, Instant]] = (
            collections.OrderedDict()
        )

    def record_sent(self, prefix: str, server_name: str) -> None:
        """Notes that a request with a prefix was served there."""
        places = self._places.setdefault(prefix, {})
        self._places.move_to_end(prefix)
        places[server_name] = self._clock.now()
        if len(places) > SERVERS_PER_PREFIX:
            del places[min(places, key=places.__getitem__)]
        if len(self._places) > MAX_PREFIXES:
            self._places.popitem(last=False)

    def record_eviction(self, prefix: str, server_name: str) -> None:
        """Notes a cache event that says a prefix is gone."""
        self._places.get(prefix, {}).pop(server_name, None)

    def cache_affinity(self, prefix: str, server_name: str) -> float:
        """Returns from 0 (nothing known) to 1 (just served there)."""
        at = self._places.get(prefix, {}).get(server_name)
        if at is None:
            return 0.0
        return max(0.0, 1 - (self._clock.now() - at) / HINT_LIFETIME_MS)

    def likely_servers(self, prefix: str) -> list[str]:
        """Returns the names where a prefix is warm, the warmest first."""
        places = self._places.get(prefix, {})
        warm = [
            name for name in places if self.cache_affinity(prefix, name) > 0
        ]
        return sorted(warm, key=places.__getitem__, reverse=True)


def prefix_of(model: str, value: Any) -> str:
    """Returns the name of a stage input's prefix, empty where it has none.

    A caller names it as `prefix`; else a prompt's first characters do.
    """
    if isinstance(value, dict):
        if isinstance(value.get("prefix"), str):
            return f"{model}:{value['prefix'][:PREFIX_CHARACTERS]}"
        value = value.get("prompt")
    if isinstance(value, str) and len(value) >= PREFIX_CHARACTERS:
        digest = xxhash.xxh64_hexdigest(value[:PREFIX_CHARACTERS].encode())
        return f"{model}:{digest}"
    return ""
