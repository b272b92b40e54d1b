"""Counts how requests of each kind ended, and which part cost the rest."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.report.customers import outcome_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.report.reading import LogLine

OUTCOMES = (
    "on_time",
    "late_after_return",
    "late",
    "paused",
    "refused",
    "failed",
    "left",
    "cut",
)


@attrs.frozen(kw_only=True, order=True)
class KindSpan:
    """Requests of one kind that ended in one span.

    Attributes:
        begins_ms: The span's begin, milliseconds from the first line.
        priority: Their priority; 0 is the most urgent.
        pipeline: The services of their stages, by number, and of the request.
    """

    begins_ms: int
    priority: int
    pipeline: tuple[str, ...]


@attrs.define(kw_only=True)
class KindTotals:
    """How they ended.

    Attributes:
        outcomes: Requests by outcome.
        longest_parts: Those that were not on time, by the part of the request
            that took the longest.
        wasted_results: Results made for those that got no answer.
    """

    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    longest_parts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    wasted_results: int = 0


def count_kinds(
    lines: Iterable[LogLine], *, span_ms: int
) -> dict[KindSpan, KindTotals]:
    """Returns the totals by kind, in spans of `span_ms` milliseconds.

    Lines without a pipeline are from a release that does not state it.

    Args:
        lines: Log lines of all daemons in the order of time.
        span_ms: Length of a span.
    """
    totals: dict[KindSpan, KindTotals] = {}
    first_ms: int | None = None
    for line in lines:
        outcome = _outcome(line)
        pipeline = line.fields.get("pipeline")
        if outcome is None or not isinstance(pipeline, list):
            continue
        first_ms = line.at_ms if first_ms is None else first_ms
        span = KindSpan(
            begins_ms=(line.at_ms - first_ms) // span_ms * span_ms,
            priority=int(line.fields.get("priority", 0)),
            pipeline=tuple(map(str, pipeline)),
        )
        found = totals.setdefault(span, KindTotals())
        found.outcomes[outcome] += 1
        if outcome == "on_time":
            continue
        parts = _numbers(line.fields.get("parts_ms"))
        if parts:
            found.longest_parts[max(parts, key=lambda name: parts[name])] += 1
        made = _numbers(line.fields.get("results_made"))
        found.wasted_results += int(sum(made.values()))
    return totals


def _outcome(line: LogLine) -> str | None:
    """Returns how a request ended, None if the line is not about that."""
    outcome = outcome_of(line)
    first_ms = float(line.fields.get("first_ms", 0))
    objective_ms = float(line.fields.get("objective_ms", 0))
    if outcome == "late":
        return "late" if first_ms > objective_ms else "paused"
    if outcome == "served":
        # The daemon's objective begins with the arrival, its caller's with the
        # first try.
        waited_ms = float(line.fields.get("waited_ms", 0))
        punctual = waited_ms + first_ms <= objective_ms
        return "on_time" if punctual else "late_after_return"
    return outcome


def _numbers(value: Any) -> dict[str, float]:
    if not isinstance(value, dict):
        return {}
    return {str(name): float(number) for name, number in value.items()}
