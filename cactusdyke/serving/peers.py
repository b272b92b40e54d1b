"""The other daemons of a deployment: who serves, and who decides for what."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


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
        own: Whether it is this daemon.
    """

    name: str
    address: str
    front_address: str
    data_centre: str
    ready: bool
    settled: bool = True
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


def ranked(
    service: str, daemons: Iterable[PeerDaemon], silent: Mapping[str, float]
) -> list[PeerDaemon]:
    """Returns who decides for a service, the first choice first.

    By rendezvous hashing, so that daemons that see the same members agree
    without a message, and one that comes or goes moves only its own services.
    A daemon that did not answer lately comes after those that did, and one
    that has just started after those that have known the queues for long.
    """
    return sorted(
        daemons,
        key=lambda d: (
            d.name in silent,
            not d.ready,
            not d.settled,
            xxhash.xxh3_64_intdigest(f"{service}@{d.name}".encode()),
        ),
    )
