"""Adds up requests and retries by service and span, over all daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.report.reading import LogLine

_REQUEST_ENDS = frozenset(
    event.code
    for event in (
        Event.REQUEST_ANSWERED,
        Event.REQUEST_FAILED,
        Event.REQUEST_LEFT,
        Event.REQUEST_CUT,
    )
)
_DECISIONS = frozenset((Event.RETRY_CHARGED.code, Event.RETRY_REFUSED.code))


@attrs.define(kw_only=True)
class RetryTotals:
    """The requests and retries of one service within one span.

    Requests that a daemon had in flight when it was killed are missing, as
    their lines are written when they end.

    Attributes:
        requests: Requests that arrived at a daemon.
        charged: Retries that were charged to the budget.
        refused: Retries that the budget refused.
        sent: Retries that were written to a backend server.
        shares: The share of the slack that each decision used.
        daemons: The daemon count that each decision used.
        ages_ms: For how long that count had been the same.
    """

    requests: int = 0
    charged: int = 0
    refused: int = 0
    sent: int = 0
    shares: list[float] = attrs.field(factory=list)
    daemons: list[int] = attrs.field(factory=list)
    ages_ms: list[int] = attrs.field(factory=list)

    def record_decision(self, line: LogLine) -> None:
        """Counts a charged or refused retry and what it was based on."""
        if line.code == Event.RETRY_CHARGED.code:
            self.charged += 1
        else:
            self.refused += 1
        if "share" not in line.fields:
            return
        self.shares.append(float(line.fields["share"]))
        self.daemons.append(int(line.fields["daemons"]))
        self.ages_ms.append(int(line.fields["daemons_unchanged_ms"]))


def count_retries(
    lines: Iterable[LogLine], *, span_ms: int
) -> dict[tuple[str, int], RetryTotals]:
    """Returns the totals by service and by the begin of each span."""
    totals: dict[tuple[str, int], RetryTotals] = {}

    def at(line: LogLine, at_ms: int) -> RetryTotals:
        key = (str(line.fields["service"]), at_ms - at_ms % span_ms)
        return totals.setdefault(key, RetryTotals())

    for line in lines:
        if not line.fields.get("service"):
            continue
        if line.code in _REQUEST_ENDS:
            took_ms = int(line.fields.get("took_ms", 0))
            at(line, line.at_ms - took_ms).requests += 1
        elif line.code in _DECISIONS:
            at(line, line.at_ms).record_decision(line)
        elif line.code == Event.RETRY_SENT.code:
            at(line, line.at_ms).sent += 1
    return totals
