"""The daemons of a deployment, and the ranking of deciders for a service."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from cactusdyke.clock import Instant


@attrs.frozen(kw_only=True)
class PeerDaemon:
    """One daemon of the deployment, with its addresses and announced state.

    Attributes:
        name: Its name.
        address: Address for other daemons, `host:port`.
        public_address: Address for callers, empty until announced.
        data_centre: Its data centre.
        ready: Whether callers may be sent to it.
        warmed_up: Whether it has run long enough to know members and store.
        size_class: Class of its host's processor and link; larger is better.
        decided_hashes: Hashes of the services it announces as decided by it.
        busy: Whether its processor has little time left.
        cut_off: Whether it has lost its own paths to all replicas.
        is_local: Whether it is this daemon itself.
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
    cut_off: bool = False
    is_local: bool = False


class PeerDaemons(abc.ABC):
    """The daemons of the deployment as this daemon sees them."""

    @abc.abstractmethod
    def all(self) -> tuple[PeerDaemon, ...]:
        """Returns every daemon that is presumed alive and not leaving."""

    @abc.abstractmethod
    def estimated_count(self) -> int:
        """Returns an upper estimate of the daemon count, for dividing budgets.

        It includes daemons presumed dead: in a network partition each side
        presumes the other dead, and would otherwise spend the whole budget.
        """

    @property
    def count_known_at(self) -> Instant | None:
        """Since when the estimate has rested on more than the settings.

        A daemon that has just started may know a few of hundreds only.

        Returns:
            The instant; None while it does not.
        """
        return -math.inf

    @property
    def count_known(self) -> bool:
        """Whether the estimate rests on more than the settings."""
        return self.count_known_at is not None

    def sees_most(self) -> bool:
        """Returns whether more than half of the daemons are presumed alive.

        In a network partition this holds on one side at most.
        """
        most = 2 * len(self.all()) > self.estimated_count()
        return most and self.count_known


USEFUL_CORES = 1.0
USEFUL_LINK_MBPS = 50.0
"""Twice the load measured on the busiest decider of a large site. Hosts above
both values have the same class, so that services spread over all of them."""


def size_class(*, cores: float, link_mbps: float) -> int:
    """Returns the class of a host: 0 for large hosts, one less per halving.

    Args:
        cores: Processor cores of the host.
        link_mbps: Bandwidth of its link, in Mbit/s.
    """
    share = min(1.0, cores / USEFUL_CORES, link_mbps / USEFUL_LINK_MBPS)
    return math.floor(math.log2(max(share, MIN_SHARE)) + 0.5)


MIN_SHARE = 1 / 64


def service_hash(service: str) -> int:
    """Returns a 16-bit hash of a service's name, to be sent with gossip.

    A collision only gives two services the same decider, which is harmless.
    """
    return xxhash.xxh3_64_intdigest(service.encode()) & SERVICE_HASH_MASK


SERVICE_HASH_MASK = 0xFFFF


def rank_deciders(
    service: str, daemons: Iterable[PeerDaemon], silent: Container[str]
) -> list[PeerDaemon]:
    """Returns the daemons ranked as deciders for a service, best first.

    Daemons that answer and are ready come first, and among them large hosts,
    because the batches of all daemons pass through the decider's link.

    Among equals the current decider is kept, because a change costs batch fill
    and the decider's state of engines. Without this rule a rolling restart
    moves a service at every second restart, back to daemons that have just
    restarted. Daemons that have just started come after the others.

    Ties are broken by rendezvous hashing, so that daemons that see the same
    members agree without a message.
    """
    hash_of_service = service_hash(service)
    return sorted(
        daemons,
        key=lambda d: (
            d.name in silent,
            not d.ready,
            -d.size_class,
            hash_of_service not in d.decided_hashes,
            not d.warmed_up,
            xxhash.xxh3_64_intdigest(f"{service}@{d.name}".encode()),
        ),
    )
