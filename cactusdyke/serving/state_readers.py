"""Which daemons read the platform's store, and from whom the others hear.

Each change of the store ends every watch on it, and each watch is a call that
is paid for: with a watch for each daemon the calls grow as daemons times
changes. A few daemons of each data centre read instead, and tell the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from cactusdyke.serving.peers import PeerDaemon

FOLLOWERS_A_READER = 64
"""Each asks about once a second, at half a millisecond of its reader's time."""


def readers(daemons: Sequence[PeerDaemon]) -> list[PeerDaemon]:
    """Returns the daemons that read the store, some of each data centre.

    Daemons that see the same members agree without a message. Large hosts come
    first, and ones that have just started last.
    """
    by_data_centre: dict[str, list[PeerDaemon]] = {}
    for daemon in daemons:
        by_data_centre.setdefault(daemon.data_centre, []).append(daemon)
    chosen: list[PeerDaemon] = []
    for members in by_data_centre.values():
        count = -(-len(members) // FOLLOWERS_A_READER)
        chosen += sorted(members, key=_rank)[:count]
    return chosen


def source(
    own: PeerDaemon, daemons: Sequence[PeerDaemon], avoided: Container[str]
) -> PeerDaemon | None:
    """Returns whom a daemon follows, None if it reads the store itself."""
    chosen = readers(daemons)
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
        -daemon.size,
        not daemon.settled,
        _hash(daemon.name),
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
