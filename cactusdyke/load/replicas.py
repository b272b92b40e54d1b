"""The replicas of one configuration, and who reads their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

from cactusdyke.configuration.model import BackendServer

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cactusdyke.configuration.model import Configuration
    from cactusdyke.membership.member import Member


@attrs.frozen(kw_only=True)
class Replica:
    """One backend server and its pool."""

    pool: str
    server: BackendServer
    models: tuple[str, ...]


@attrs.frozen(kw_only=True)
class DataCentreReplicas:
    """The replicas of one data centre in the order of their names.

    Attributes:
        replicas: All of them.
        places: The place of each name in that order.
        key: A hash of the names and models; equal keys mean equal order.
    """

    replicas: tuple[Replica, ...]
    positions: dict[str, int]
    key: str


def in_data_centre(
    configuration: Configuration, data_centre: str
) -> DataCentreReplicas:
    """Returns the replicas that stand in a data centre."""
    replicas = sorted(
        (
            Replica(pool=pool.name, server=server, models=pool.models)
            for pool in configuration.pools.values()
            for server in pool.backend_servers
            if server.data_centre == data_centre
        ),
        key=lambda replica: replica.server.name,
    )
    names = " ".join(f"{r.server.name}:{','.join(r.models)}" for r in replicas)
    return DataCentreReplicas(
        replicas=tuple(replicas),
        positions={r.server.name: i for i, r in enumerate(replicas)},
        key=xxhash.xxh32_hexdigest(names.encode()),
    )


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns names in the rendezvous order of a key, the first one first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key} {name}".encode()),
        reverse=True,
    )


def assigned(
    replicas: Sequence[Replica], own: str, members: Sequence[Member]
) -> list[Replica]:
    """Returns the replicas whose load one daemon reads.

    Each replica belongs to the daemon with the highest hash, so that a
    daemon's end moves only its own replicas, evenly, to the others.

    A daemon that is leaving is no member any more, but serves on for a while.
    Where there is no other, it goes on reading (seen as a daemon that ended in
    its planned stop with requests in flight).
    """
    names = [member.name for member in members]
    # The last daemon that stops finds no serving member, itself included; to
    # choose among none would end it while requests are still in flight.
    if not names:
        return []
    return [
        replica
        for replica in replicas
        if max(
            names,
            key=lambda n: xxhash.xxh64_intdigest(
                f"{replica.server.name} {n}".encode()
            ),
            default=own,
        )
        == own
    ]
