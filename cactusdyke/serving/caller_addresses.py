"""Selects the daemons whose addresses a caller is given.

Callers choose among the addresses at random. If they were given all of them,
callers of a large deployment in four data centres would send three of four
requests to another data centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.peers import PeerDaemon

MIN_LOCAL_DAEMONS = 8
"""With so many daemons in its data centre a caller needs others only if all of
these fail at once."""


def daemons_for_caller(
    daemons: Sequence[PeerDaemon], data_centre: str, *, max_count: int
) -> list[PeerDaemon]:
    """Returns the daemons whose addresses a caller is given.

    If enough daemons in the caller's data centre are not busy, only one of each
    other data centre is added, for the case that all local ones fail at once.
    The selection is stable while its daemons exist, because callers close
    connections to daemons that are not in the list.

    Args:
        daemons: The daemons that callers may use.
        data_centre: The caller's data centre.
        max_count: Maximum number of daemons to return.
    """
    ordered = sorted(daemons, key=lambda d: _hash(f"{data_centre}@{d.name}"))
    local = [d for d in ordered if d.data_centre == data_centre]
    remote = [d for d in ordered if d.data_centre != data_centre]
    idle = sum(not d.busy for d in local)
    if idle < MIN_LOCAL_DAEMONS or 2 * idle < len(local):
        return [*local, *remote][:max_count]
    fallback: dict[str, PeerDaemon] = {}
    for daemon in sorted(remote, key=lambda d: -d.size_class):
        fallback.setdefault(daemon.data_centre, daemon)
    return [*local[: max_count - len(fallback)], *fallback.values()]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
