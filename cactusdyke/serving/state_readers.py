"""Which daemons read the platform's store, and from whom the others hear.

Each change of the store ends every watch on it, and each watch is a call that
is paid for: with a watch for each daemon the calls grow as daemons times
changes. A few daemons read instead, and tell the rest.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons

MIN_READERS = 2
FOLLOWERS_PER_READER = 64
"""Each asks about once a second, at half a millisecond of its reader's time."""


def choose_readers(daemons: Sequence[PeerDaemon]) -> list[PeerDaemon]:
    """Returns the daemons that read the store, in different data centres.

    Daemons that see the same members agree without a message. Large hosts come
    first, and ones that have just started last.
    """
    ranked = sorted(daemons, key=_rank)
    count = max(MIN_READERS, math.ceil(len(ranked) / FOLLOWERS_PER_READER))
    taken: collections.Counter[str] = collections.Counter()
    turns: dict[str, int] = {}
    for daemon in ranked:
        turns[daemon.name] = taken[daemon.data_centre]
        taken[daemon.data_centre] += 1
    return sorted(ranked, key=lambda d: turns[d.name])[:count]


class RankedReaders:
    """The daemons that read the store, ranked anew as members change."""

    def __init__(self, *, daemons: PeerDaemons) -> None:
        self._daemons = daemons
        self._ranked_of: tuple[PeerDaemon, ...] = ()
        self._ranked: list[PeerDaemon] = []

    def current(self) -> list[PeerDaemon]:
        """Returns them as members are seen now."""
        daemons = self._daemons.all()
        if daemons is not self._ranked_of:
            self._ranked_of = daemons
            self._ranked = choose_readers(daemons)
        return self._ranked


def choose_source(
    own: PeerDaemon, chosen: Sequence[PeerDaemon], avoided: Container[str]
) -> PeerDaemon | None:
    """Returns whom a daemon follows, None if it reads the store itself.

    Args:
        own: The daemon.
        chosen: Those that read.
        avoided: Names of readers that were silent or stale lately.
    """
    if any(reader.name == own.name for reader in chosen):
        return None
    usable = [reader for reader in chosen if reader.name not in avoided]
    near = [r for r in usable if r.data_centre == own.data_centre]
    return min(
        near or usable,
        key=lambda reader: _hash(f"{own.name}@{reader.name}"),
        default=None,
    )


def _rank(daemon: PeerDaemon) -> tuple[bool, int, bool, int]:
    return (
        not daemon.ready,
        -daemon.size_class,
        not daemon.warmed_up,
        _hash(daemon.name),
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
