"""Replicas of a configuration, and the daemons that read their load."""

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
    """The replicas of one data centre, sorted by name.

    Attributes:
        replicas: The replicas.
        positions: The position of each name in that order.
        key: Hash of the names and models; equal keys imply the same order.
    """

    replicas: tuple[Replica, ...]
    positions: dict[str, int]
    key: str


def in_data_centre(
    configuration: Configuration, data_centre: str
) -> DataCentreReplicas:
    """Returns the replicas of a data centre."""
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
    """Returns names by descending rendezvous hash with a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key} {name}".encode()),
        reverse=True,
    )


def assigned(
    replicas: Sequence[Replica], daemon: str, members: Sequence[Member]
) -> list[Replica]:
    """Returns the replicas whose load one daemon reads.

    Each replica is assigned to the daemon with the highest rendezvous hash,
    so that only the replicas of a stopped daemon move, spread evenly over the
    others.

    A leaving daemon is no longer a member, but still serves requests. If no
    member is left, it keeps running and reads nothing.
    """
    names = [member.name for member in members]
    # When the last daemon stops, no live member is left, itself included. An
    # error here would end it while requests are still in flight.
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
            default=daemon,
        )
        == daemon
    ]
