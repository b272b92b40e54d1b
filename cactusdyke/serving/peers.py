"""The other daemons of a deployment: who serves, and who decides for what."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Container, Iterable


@attrs.frozen(kw_only=True)
class PeerDaemon:
    """One daemon as others reach it.

    Attributes:
        name: Its name.
        address: Where other daemons reach it.
        public_address: Where callers reach it, empty if not told yet.
        data_centre: Where it stands.
        ready: Whether callers may be sent to it.
        warmed_up: Whether it has been ready for a while.
        size_class: The class of its host's processor and link, larger for more.
        decided_hashes: Marks of the services that it says it decides for.
        busy: Whether its processor has little time left.
        is_local: Whether it is this daemon.
    """

    name: str
    address: str
    public_address: str
    data_centre: str
    ready: bool
    warmed_up: bool = True
    size_class: int = 0
    decided_hashes: frozenset[int] = frozenset()
    busy: bool = False
    is_local: bool = False


class PeerDaemons(abc.ABC):
    """Who the daemons of the deployment are, as seen from here."""

    @abc.abstractmethod
    def all(self) -> tuple[PeerDaemon, ...]:
        """Returns every daemon believed alive and not leaving."""

    @abc.abstractmethod
    def estimated_count(self) -> int:
        """Returns how many daemons there may be, for sharing out budgets.

        Rather too many than too few: a daemon that is cut off believes the
        others dead, and each part of a split fleet would spend all there is.
        """


USEFUL_CORES = 1.0
USEFUL_LINK_MBPS = 50.0
"""What the busiest decider of the users' large site was seen to need, doubled;
hosts above both are alike, and share the services between them."""


def size_class(*, cores: float, link_mbps: float) -> int:
    """Returns the class of a host: a step for each halving below what helps."""
    share = min(1.0, cores / USEFUL_CORES, link_mbps / USEFUL_LINK_MBPS)
    return math.floor(math.log2(max(share, MIN_SHARE)) + 0.5)


MIN_SHARE = 1 / 64


def service_hash(service: str) -> int:
    """Returns a service's mark, short enough to ride on gossip.

    Two services of one mark go to the same daemon, which does no harm.
    """
    return xxhash.xxh3_64_intdigest(service.encode()) & SERVICE_HASH_MASK


SERVICE_HASH_MASK = 0xFFFF


def rank_deciders(
    service: str, daemons: Iterable[PeerDaemon], silent: Container[str]
) -> list[PeerDaemon]:
    """Returns who decides for a service, the first choice first.

    Who decides already stays: each change costs fuller batches and what the
    decider knows of engines. In a round of restarts a service was seen to
    move at every second one, back to daemons that had just come back.

    Otherwise by rendezvous hashing, so that daemons that see the same members
    agree without a message. A daemon that did not answer lately comes after
    those that did, and one that has just started after the others. Large hosts
    come first: the batches of all pass through the decider's link.
    """
    mark = service_hash(service)
    return sorted(
        daemons,
        key=lambda d: (
            d.name in silent,
            not d.ready,
            -d.size_class,
            mark not in d.decided_hashes,
            not d.warmed_up,
            xxhash.xxh3_64_intdigest(f"{service}@{d.name}".encode()),
        ),
    )
