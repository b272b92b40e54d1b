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
        front_address: Where callers reach it, empty if not told yet.
        data_centre: Where it stands.
        ready: Whether callers may be sent to it.
        settled: Whether it has been ready for a while.
        size: The class of its host's processor and link, larger for more.
        decides: Marks of the services that it says it decides for.
        busy: Whether its processor has little time left.
        own: Whether it is this daemon.
    """

    name: str
    address: str
    front_address: str
    data_centre: str
    ready: bool
    settled: bool = True
    size: int = 0
    decides: frozenset[int] = frozenset()
    busy: bool = False
    own: bool = False


class PeerDaemons(abc.ABC):
    """Who the daemons of the deployment are, as seen from here."""

    @abc.abstractmethod
    def all(self) -> tuple[PeerDaemon, ...]:
        """Returns every daemon believed alive and not leaving."""

    @abc.abstractmethod
    def believed_count(self) -> int:
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
    return math.floor(math.log2(max(share, MOST_SMALL)) + 0.5)


MOST_SMALL = 1 / 64


def mark_of(service: str) -> int:
    """Returns a service's mark, short enough to ride on gossip.

    Two services of one mark go to the same daemon, which does no harm.
    """
    return xxhash.xxh3_64_intdigest(service.encode()) & MARK_BITS


MARK_BITS = 0xFFFF


def ranked(
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
    mark = mark_of(service)
    return sorted(
        daemons,
        key=lambda d: (
            d.name in silent,
            not d.ready,
            -d.size,
            mark not in d.decides,
            not d.settled,
            xxhash.xxh3_64_intdigest(f"{service}@{d.name}".encode()),
        ),
    )
