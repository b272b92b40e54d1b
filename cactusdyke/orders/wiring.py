"""Joins the controller to load reports and to departures."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cactusdyke.orders.controller import Demand, Drain

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.load.collector import LoadCollector
    from cactusdyke.load.departures import Departures


class AggregateDemand(Demand):
    """Demand as the load aggregates of all data centres tell it."""

    def __init__(self, *, load: LoadCollector) -> None:
        self._load = load

    def by_model(self, pool: str) -> Mapping[str, float]:
        """Returns requests running and waiting by model of a pool."""
        total: collections.Counter[str] = collections.Counter()
        for aggregate in self._load.all_aggregates():
            if aggregate.pool == pool:
                total[aggregate.model] += aggregate.running + aggregate.waiting
        return total


class DepartureDrain(Drain):
    """Drains an engine as if it were leaving; the word lapses by itself."""

    def __init__(self, *, departures: Departures) -> None:
        self._departures = departures

    def mark(self, name: str) -> None:
        """Asks all daemons to send no work, for half a minute."""
        self._departures.mark_leaving(name)
