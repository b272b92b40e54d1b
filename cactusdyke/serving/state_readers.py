"""Chooses the daemons that read the platform's store, and who follows which.

Each change of the store ends every watch on it, and each watch is a billed
call. With a watch for each daemon, calls grow with the number of daemons times
the number of changes, so a few daemons read and the others follow them.
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
"""On average. A follower polls about once a second, and a poll takes half a
millisecond of its reader's processor time."""


def choose_readers(daemons: Sequence[PeerDaemon]) -> list[PeerDaemon]:
    """Returns the daemons that read the store, in different data centres."""
    return rank_readers(daemons)[: _reader_count(daemons)]


def rank_readers(daemons: Sequence[PeerDaemon]) -> list[PeerDaemon]:
    """Returns all daemons in the order in which they become readers.

    Daemons that see the same members rank them alike without a message. Ready
    daemons come first, then large hosts; within these, daemons that have just
    started come last. Data centres take turns.
    """
    ranked = sorted(daemons, key=_rank)
    count_by_data_centre: collections.Counter[str] = collections.Counter()
    places: dict[str, int] = {}
    for daemon in ranked:
        places[daemon.name] = count_by_data_centre[daemon.data_centre]
        count_by_data_centre[daemon.data_centre] += 1
    return sorted(ranked, key=lambda d: places[d.name])


class RankedReaders:
    """The readers and their substitutes, ranked again as the members change."""

    def __init__(self, *, daemons: PeerDaemons) -> None:
        self._daemons = daemons
        self._ranked_from: tuple[PeerDaemon, ...] = ()
        self._ranked: list[PeerDaemon] = []

    def current(self, avoided: Container[str] = ()) -> list[PeerDaemon]:
        """Returns the readers among the current members.

        Each reader that is avoided is replaced by a substitute, so that a
        daemon that has lost its readers agrees with others on who reads now.
        There are as many substitutes as readers at most: if a store is lost
        for all, few daemons try it often.

        Args:
            avoided: Names of readers that were silent or stale recently.
        """
        daemons = self._daemons.all()
        if daemons is not self._ranked_from:
            self._ranked_from = daemons
            self._ranked = rank_readers(daemons)
        count = _reader_count(daemons)
        candidates = self._ranked[: 2 * count]
        return [d for d in candidates if d.name not in avoided][:count]


def choose_source(
    follower: PeerDaemon, readers: Sequence[PeerDaemon], avoided: Container[str]
) -> PeerDaemon | None:
    """Returns the reader that a daemon follows, None if it is a reader.

    Also returns None if all readers are avoided. Readers of the daemon's own
    data centre are preferred.

    Args:
        follower: The daemon that looks for a source.
        readers: The readers, this daemon among them if it is one.
        avoided: Names of readers that were silent or stale recently.
    """
    if any(reader.name == follower.name for reader in readers):
        return None
    usable = [reader for reader in readers if reader.name not in avoided]
    local = [r for r in usable if r.data_centre == follower.data_centre]
    return min(
        local or usable,
        key=lambda reader: _hash(f"{follower.name}@{reader.name}"),
        default=None,
    )


def _reader_count(daemons: Sequence[PeerDaemon]) -> int:
    return max(MIN_READERS, math.ceil(len(daemons) / FOLLOWERS_PER_READER))


def _rank(daemon: PeerDaemon) -> tuple[bool, int, bool, int]:
    return (
        not daemon.ready,
        -daemon.size_class,
        not daemon.warmed_up,
        _hash(daemon.name),
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
