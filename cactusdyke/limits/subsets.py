"""Which daemons serve a customer: a subset that only grows at its end.

Every daemon computes the same order from the names alone, so that a list
needs no agreement. The first ones are spread over data centres and regions;
a larger subset is the smaller one with more daemons after it.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.limits.fleet import Daemon, FleetView

SMALLEST_SUBSET = 6
LARGEST_SUBSET = 64
MIN_PLACES = 3


def rank_daemons(
    customer: str, daemons: Sequence[Daemon]
) -> tuple[Daemon, ...]:
    """Returns all daemons in the customer's order, the limit's owner first."""
    weighed = sorted(daemons, key=lambda daemon: _weight(customer, daemon))
    data_centre_cap = _cap(len({d.data_centre for d in daemons}))
    region_cap = _cap(len({d.region for d in daemons}))
    data_centres: collections.Counter[str] = collections.Counter()
    regions: collections.Counter[str] = collections.Counter()
    first: list[Daemon] = []
    rest: list[Daemon] = []
    for daemon in weighed:
        # The loss of a data centre or region must leave the customer with
        # daemons of its list, so none may hold more than its part of the
        # smallest subset.
        fits = (
            len(first) < SMALLEST_SUBSET
            and data_centres[daemon.data_centre] < data_centre_cap
            and regions[daemon.region] < region_cap
        )
        (first if fits else rest).append(daemon)
        if fits:
            data_centres[daemon.data_centre] += 1
            regions[daemon.region] += 1
    return (*first, *rest)


class Subsets:
    """The customers' orders over the fleet as it is seen now."""

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._version = -1
        self._orders: dict[str, tuple[Daemon, ...]] = {}

    def order(self, customer: str) -> tuple[Daemon, ...]:
        """Returns all serving daemons in the customer's order."""
        serving = self._view.serving
        if self._version != self._view.version:
            self._version = self._view.version
            self._orders.clear()
        if customer not in self._orders:
            self._orders[customer] = rank_daemons(customer, serving)
        return self._orders[customer]

    def owner(self, customer: str) -> Daemon | None:
        """Returns the daemon that lends out the customer's limit."""
        order = self.order(customer)
        return order[0] if order else None

    def members(self, customer: str, size: int) -> tuple[Daemon, ...]:
        """Returns the daemons that the customer's callers should use."""
        return self.order(customer)[: max(size, SMALLEST_SUBSET)]


def _weight(customer: str, daemon: Daemon) -> tuple[int, str]:
    key = f"{customer}\0{daemon.name}"
    return (xxhash.xxh3_64_intdigest(key.encode()), daemon.name)


def _cap(places: int) -> int:
    return math.ceil(SMALLEST_SUBSET / max(1, min(MIN_PLACES, places)))
