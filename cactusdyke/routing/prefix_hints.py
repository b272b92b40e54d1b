"""Hints, which expire, about servers that cache a prompt prefix."""

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
    """A consistent-hash ring, so that all daemons prefer the same server."""

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
        """Yields servers clockwise from the prefix's hash, with repeats."""
        start = bisect.bisect(
            self._hashes, xxhash.xxh64_intdigest(prefix.encode())
        )
        for step in range(len(self._servers)):
            yield self._servers[(start + step) % len(self._servers)]


class PrefixHints:
    """Bounded record of the servers that prefixes were sent to.

    Cache events are delayed and incomplete, so these are only hints: a wrong
    one causes a cache miss, never a wrong answer.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._sent_at: collections.OrderedDict[str, dict[str, Instant]] = (
            collections.OrderedDict()
        )

    def record_sent(self, prefix: str, server_name: str) -> None:
        """Records that a request with a prefix was sent to a server."""
        sent_at = self._sent_at.setdefault(prefix, {})
        self._sent_at.move_to_end(prefix)
        sent_at[server_name] = self._clock.now()
        if len(sent_at) > SERVERS_PER_PREFIX:
            del sent_at[min(sent_at, key=sent_at.__getitem__)]
        if len(self._sent_at) > MAX_PREFIXES:
            self._sent_at.popitem(last=False)

    def record_eviction(self, prefix: str, server_name: str) -> None:
        """Records a cache event that reports the eviction of a prefix."""
        self._sent_at.get(prefix, {}).pop(server_name, None)

    def cache_affinity(self, prefix: str, server_name: str) -> float:
        """Returns a value from 0 (no hint) to 1 (sent there just now)."""
        at = self._sent_at.get(prefix, {}).get(server_name)
        if at is None:
            return 0.0
        return max(0.0, 1 - (self._clock.now() - at) / HINT_LIFETIME_MS)

    def likely_servers(self, prefix: str) -> list[str]:
        """Returns the servers that likely cache a prefix, latest use first."""
        sent_at = self._sent_at.get(prefix, {})
        likely = [
            name for name in sent_at if self.cache_affinity(prefix, name) > 0
        ]
        return sorted(likely, key=sent_at.__getitem__, reverse=True)


def prefix_of(model: str, value: Any) -> str:
    """Returns the key of a stage input's prefix; empty if it has none.

    The key is the caller's `prefix` if given, or else a hash of the prompt's
    first characters.
    """
    if isinstance(value, dict):
        if isinstance(value.get("prefix"), str):
            return f"{model}:{value['prefix'][:PREFIX_CHARACTERS]}"
        value = value.get("prompt")
    if isinstance(value, str) and len(value) >= PREFIX_CHARACTERS:
        digest = xxhash.xxh64_hexdigest(value[:PREFIX_CHARACTERS].encode())
        return f"{model}:{digest}"
    return ""
