"""What was lost and why, what crossed data centres, what was in vain."""

from __future__ import annotations

import collections
import re
import statistics
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.errors import REFUSAL_STATUSES
from cactusdyke.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cactusdyke.report.reading import LogLine

LONG = 1.5
"""A part that takes so many times its route's usual time is called long."""


@attrs.frozen(kw_only=True)
class Loss:
    """A kind of request that was not answered on time, in one span.

    Attributes:
        begins_ms: The span's begin, milliseconds from the first line.
        route: The route.
        outcome: late, refused, failed, left or cut.
        cause: What took the time, or what ended it.
    """

    begins_ms: int
    route: str
    outcome: str
    cause: str


@attrs.define(kw_only=True)
class Losses:
    """All that a report says of losses.

    Attributes:
        counts: Requests by kind of loss.
        crossed_bytes: Bytes fetched between data centres, by who fetched: a
            stage service's calls, or engines for a route.
        wasted_results: Results made for requests that were not answered, by
            stage service, route and how they ended.
        not_made: Pieces that calls brought no result for, by service and why.
    """

    counts: collections.Counter[Loss] = attrs.field(factory=collections.Counter)
    crossed_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    wasted_results: collections.Counter[tuple[str, str, str]] = attrs.field(
        factory=collections.Counter
    )
    not_made: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )


def find_losses(lines: Sequence[LogLine], *, span_ms: int) -> Losses:
    """Adds up what was lost in spans of `span_ms` milliseconds.

    Args:
        lines: Log lines of all daemons in the order of time.
        span_ms: Length of a span.
    """
    losses = Losses()
    usual = _usual_parts(lines)
    first_ms: int | None = None
    for line in lines:
        if line.code not in _CODES:
            continue
        first_ms = line.at_ms if first_ms is None else first_ms
        begins_ms = (line.at_ms - first_ms) // span_ms * span_ms
        _count_call(losses, line)
        loss = _loss(line, begins_ms, usual)
        if loss is not None:
            losses.counts[loss] += 1
            _count_waste(losses, line, loss)
    return losses


_ANSWERED = Event.REQUEST_ANSWERED.code
_FAILED = Event.REQUEST_FAILED.code
_UNFINISHED = {
    Event.REQUEST_LEFT.code: "left",
    Event.REQUEST_CUT.code: "cut",
}
_CALL = Event.STAGE_CALL_ENDED.code
_CODES = {_ANSWERED, _FAILED, _CALL, *_UNFINISHED}


def _usual_parts(lines: Iterable[LogLine]) -> dict[str, dict[str, float]]:
    """Returns the median of each part of each route's answers on time."""
    seen: dict[str, dict[str, list[float]]] = {}
    for line in lines:
        fields = line.fields
        if line.code != _ANSWERED or fields.get("outcome") != "on_time":
            continue
        route = seen.setdefault(str(fields.get("route")), {})
        for part, took_ms in _parts(fields).items():
            route.setdefault(part, []).append(took_ms)
    return {
        route: {part: statistics.median(took) for part, took in parts.items()}
        for route, parts in seen.items()
    }


def _parts(fields: dict[str, Any]) -> dict[str, float]:
    parts = fields.get("parts_ms")
    if not isinstance(parts, dict):
        return {}
    return {str(name): float(took) for name, took in parts.items()}


def _loss(
    line: LogLine, begins_ms: int, usual: dict[str, dict[str, float]]
) -> Loss | None:
    fields = line.fields
    route = str(fields.get("route", "-"))
    if line.code == _ANSWERED and fields.get("outcome") == "late":
        outcome, cause = "late", _why_late(fields, usual.get(route, {}))
    elif line.code == _FAILED:
        refused = int(fields.get("status", 0)) in REFUSAL_STATUSES
        outcome = "refused" if refused else "failed"
        cause = _without_names(fields)
    elif line.code in _UNFINISHED:
        outcome, cause = _UNFINISHED[line.code], _where_unfinished(fields)
    else:
        return None
    return Loss(begins_ms=begins_ms, route=route, outcome=outcome, cause=cause)


def _why_late(fields: dict[str, Any], usual: dict[str, float]) -> str:
    """Returns the part that took most beyond its usual time."""
    first_ms = float(fields.get("first_ms", 0))
    objective_ms = float(fields.get("objective_ms", 0))
    if objective_ms and first_ms <= objective_ms:
        return "a long pause between events"
    parts = _parts(fields)
    if not parts:
        return "not told"
    part, took_ms = max(
        parts.items(), key=lambda item: item[1] - usual.get(item[0], 0.0)
    )
    if took_ms > LONG * usual.get(part, 0.0):
        return f"long in {part}"
    return "every part a little"


def _where_unfinished(fields: dict[str, Any]) -> str:
    if fields.get("events"):
        return "in mid-stream"
    if fields.get("attempts"):
        return "waiting for the first event"
    return "waiting for stages"


def _without_names(fields: dict[str, Any]) -> str:
    detail = str(fields.get("detail", ""))
    service = fields.get("service")
    if service:
        detail = detail.replace(str(service), "its service")
    return re.sub(r"\d[\d.:]*", "#", detail)


def _count_call(losses: Losses, line: LogLine) -> None:
    fields = line.fields
    crossed = float(fields.get("crossed_bytes", 0))
    if line.code == _CALL:
        service = str(fields["service"])
        losses.crossed_bytes[f"calls of {service}"] += int(crossed)
        for failure in fields["failures"]:
            losses.not_made[(service, str(failure))] += 1
    elif line.code == _ANSWERED:
        route = fields.get("route")
        losses.crossed_bytes[f"engines for {route}"] += int(crossed)


def _count_waste(losses: Losses, line: LogLine, loss: Loss) -> None:
    made = line.fields.get("results_made")
    if not isinstance(made, dict):
        return
    for service, count in made.items():
        if count:
            key = (str(service), loss.route, loss.outcome)
            losses.wasted_results[key] += int(count)
