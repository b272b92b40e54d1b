"""Which daemons a caller is told of.

Callers choose among the addresses at random. Told of all, those of a large
deployment in four data centres send three requests of four to another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.peers import PeerDaemon

ENOUGH_NEAR = 8
"""With so many near a caller needs others only if all of them are lost."""


def daemons_for_caller(
    daemons: Sequence[PeerDaemon], data_centre: str, *, max_count: int
) -> list[PeerDaemon]:
    """Returns the daemons that a caller in a data centre is told of.

    Where enough are near and have time left, one of each other data centre is
    told of besides, for callers that lose all of them at once. The same daemons
    are told of as long as these are there: callers close connections to those
    that are not.

    Args:
        daemons: Those that callers may use.
        data_centre: Where the caller is.
        max_count: How many may be told of.
    """
    ordered = sorted(daemons, key=lambda d: _hash(f"{data_centre}@{d.name}"))
    near = [d for d in ordered if d.data_centre == data_centre]
    far = [d for d in ordered if d.data_centre != data_centre]
    calm = sum(not d.busy for d in near)
    if calm < ENOUGH_NEAR or 2 * calm < len(near):
        return [*near, *far][:max_count]
    spare: dict[str, PeerDaemon] = {}
    for daemon in sorted(far, key=lambda d: -d.size):
        spare.setdefault(daemon.data_centre, daemon)
    return [*near[: max_count - len(spare)], *spare.values()]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
