"""The subset of daemons that serves a customer.

Every daemon computes the same order from the names by rendezvous hashing, so
that no agreement protocol is needed. The first daemons of an order are spread
over data centres and regions. A subset is a prefix of the order, so that a
larger one contains every smaller one.
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
"""Data centres or regions over which the smallest subset is spread."""


def rank_daemons(
    customer: str, daemons: Sequence[Daemon]
) -> tuple[Daemon, ...]:
    """Returns all daemons in the customer's order, the limit's owner first."""
    by_weight = sorted(daemons, key=lambda daemon: _weight(customer, daemon))
    data_centre_cap = _cap(len({d.data_centre for d in daemons}))
    region_cap = _cap(len({d.region for d in daemons}))
    data_centres: collections.Counter[str] = collections.Counter()
    regions: collections.Counter[str] = collections.Counter()
    first: list[Daemon] = []
    rest: list[Daemon] = []
    for daemon in by_weight:
        # After the loss of a data centre or region the customer must still
        # have daemons in its subset. Therefore none contributes more than its
        # share to the smallest subset.
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
    """The customers' daemon orders for the current view of the fleet."""

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
        """Returns the daemon that owns the customer's limit."""
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
