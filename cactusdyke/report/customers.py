"""Counts requests by customer and how they ended."""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

import attrs

from cactusdyke.errors import REFUSAL_STATUSES
from cactusdyke.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.report.reading import LogLine

OUTCOMES = ("served", "late", "refused", "failed", "left", "cut")
_UNFINISHED = {
    Event.REQUEST_LEFT.code: "left",
    Event.REQUEST_CUT.code: "cut",
}


@attrs.define(kw_only=True)
class CustomerTotals:
    """How the requests of one customer ended.

    Attributes:
        outcomes: Requests by outcome.
        first_ms: Times to the first event of those that were answered.
    """

    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    first_ms: list[float] = attrs.field(factory=list)

    @property
    def median_first_ms(self) -> int | None:
        """Median time to the first event, None without any."""
        return (
            round(statistics.median(self.first_ms)) if self.first_ms else None
        )


def count_customers(lines: Iterable[LogLine]) -> dict[str, CustomerTotals]:
    """Returns the totals by customer.

    Lines without a customer are from a release that does not state it.
    """
    totals: dict[str, CustomerTotals] = {}
    for line in lines:
        outcome = outcome_of(line)
        customer = line.fields.get("customer")
        if outcome is None or not isinstance(customer, str):
            continue
        found = totals.setdefault(customer, CustomerTotals())
        found.outcomes[outcome] += 1
        if line.code == Event.REQUEST_ANSWERED.code:
            found.first_ms.append(float(line.fields["first_ms"]))
    return totals


def outcome_of(line: LogLine) -> str | None:
    """Returns how a request ended, None if the line is not about that."""
    if line.code == Event.REQUEST_ANSWERED.code:
        return "late" if line.fields.get("outcome") == "late" else "served"
    if line.code == Event.REQUEST_FAILED.code:
        refused = int(line.fields.get("status", 0)) in REFUSAL_STATUSES
        return "refused" if refused else "failed"
    return _UNFINISHED.get(line.code)
