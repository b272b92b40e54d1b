"""Adds log lines up: by span of time, by route and reason, by stage."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.report.reading import LogLine

MS_PER_SECOND = 1_000


@attrs.define(kw_only=True)
class StageTotals:
    """What the calls of one stage service brought in one span."""

    calls: int = 0
    pieces: int = 0
    made: int = 0
    not_made: int = 0
    failed_calls: int = 0
    most_waiting: int = 0
    deciders: set[str] = attrs.field(factory=set)
    deciders_changed: int = 0


@attrs.define(kw_only=True)
class Span:
    """What was seen in one span of time.

    Attributes:
        begins_ms: Its begin, milliseconds from the first line.
        outcomes: Requests by how they ended.
        stages: Calls by stage service.
    """

    begins_ms: int
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    stages: dict[str, StageTotals] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Summary:
    """All that a report shows.

    Attributes:
        spans: Spans in order.
        reasons: Failed requests by route, status and reason.
        slow_parts: Milliseconds of requests by route: stages, then the rest
            to the first event, as sums, with their count.
    """

    spans: list[Span]
    reasons: collections.Counter[tuple[str, int, str]]
    slow_parts: dict[str, list[float]]


def summarize(lines: Iterable[LogLine], *, span_ms: int) -> Summary:
    """Adds lines up in spans of `span_ms` milliseconds."""
    spans: dict[int, Span] = {}
    reasons: collections.Counter[tuple[str, int, str]] = collections.Counter()
    slow_parts: dict[str, list[float]] = {}
    first_ms: int | None = None
    for line in lines:
        if line.code not in _CODES:
            continue
        first_ms = line.at_ms if first_ms is None else first_ms
        number = (line.at_ms - first_ms) // span_ms
        span = spans.setdefault(number, Span(begins_ms=number * span_ms))
        _count(span, line)
        if line.code == Event.REQUEST_FAILED.code:
            reasons[_reason(line.fields)] += 1
        if line.code == Event.REQUEST_ANSWERED.code:
            _add_parts(slow_parts, line.fields)
    return Summary(
        spans=[spans[number] for number in sorted(spans)],
        reasons=reasons,
        slow_parts=slow_parts,
    )


_CODES = {
    event.code
    for event in (
        Event.REQUEST_ANSWERED,
        Event.REQUEST_FAILED,
        Event.REQUEST_LEFT,
        Event.REQUEST_CUT,
        Event.STAGE_CALL_ENDED,
        Event.STAGE_CALL_FAILED,
        Event.DECIDER_CHANGED,
    )
}


def _count(span: Span, line: LogLine) -> None:
    fields = line.fields
    if line.code == Event.REQUEST_ANSWERED.code:
        span.outcomes[str(fields.get("outcome"))] += 1
    elif line.code == Event.REQUEST_FAILED.code:
        span.outcomes[str(fields.get("status"))] += 1
    elif line.code == Event.REQUEST_LEFT.code:
        span.outcomes["left"] += 1
    elif line.code == Event.REQUEST_CUT.code:
        span.outcomes["cut"] += 1
    else:
        _count_call(span, line)


def _count_call(span: Span, line: LogLine) -> None:
    fields = line.fields
    totals = span.stages.setdefault(str(fields["service"]), StageTotals())
    if line.code == Event.STAGE_CALL_FAILED.code:
        totals.failed_calls += 1
        return
    if line.code == Event.DECIDER_CHANGED.code:
        totals.deciders_changed += 1
        return
    totals.calls += 1
    totals.pieces += int(fields["pieces"])
    totals.made += int(fields["made"])
    totals.not_made += len(fields["failures"])
    totals.most_waiting = max(totals.most_waiting, int(fields["waiting"]))
    totals.deciders.add(line.daemon)


def _reason(fields: dict[str, Any]) -> tuple[str, int, str]:
    detail = str(fields.get("detail", ""))
    service = fields.get("service")
    if service:
        detail = detail.replace(str(service), "its service")
    return str(fields.get("route", "-")), int(fields.get("status", 0)), detail


def _add_parts(parts: dict[str, list[float]], fields: dict[str, Any]) -> None:
    sums = parts.setdefault(str(fields["route"]), [0.0, 0.0, 0.0])
    stages_ms = float(fields["stages_ms"])
    sums[0] += stages_ms
    sums[1] += float(fields["first_ms"]) - stages_ms
    sums[2] += 1
