"""`report`: where requests lost their worth, from daemons' logs."""

from __future__ import annotations

import sys
from typing import Any

from cactusdyke.cmd import output
from cactusdyke.cmd.action import Action
from cactusdyke.report import plot as plotting
from cactusdyke.report import reading
from cactusdyke.report.summary import Span, Summary, summarize

MOST_REASONS = 20


def report(
    *files: str, seconds: float = 2.0, plot: str = "", json: bool = False
) -> Action:
    """Adds up daemons' logs by time, reason and stage.

    Args:
        *files: Log files of daemons; `-` for standard input.
        seconds: Length of one span.
        plot: Where to write a picture, if wanted.
        json: Whether to print JSON.
    """

    def work() -> None:
        if not files:
            output.usage("name log files, or - for standard input")
        if not isinstance(seconds, int | float) or seconds <= 0:
            output.usage("--seconds takes a length above 0")
        summary = summarize(_lines(files), span_ms=int(seconds * 1_000))
        if not summary.spans:
            output.usage("the files hold no line of a served request")
        if plot:
            plotting.draw(summary, plot)
        _show(summary, as_json=json)

    return Action(work=work)


def _lines(files: tuple[str, ...]) -> list[reading.LogLine]:
    lines: list[reading.LogLine] = []
    for name in files:
        if name == "-":
            lines.extend(reading.read(sys.stdin))
            continue
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                lines.extend(reading.read(file))
        except OSError as error:
            output.usage(f"{name} can't be read: {error.strerror}")
    return sorted(lines, key=lambda line: line.at_ms)


def _show(summary: Summary, *, as_json: bool) -> None:
    spans = [_span_row(span) for span in summary.spans]
    reasons = [
        {"requests": count, "route": route, "status": status, "reason": reason}
        for (route, status, reason), count in summary.reasons.most_common(
            MOST_REASONS
        )
    ]
    parts = [
        {
            "route": route,
            "answered": int(count),
            "stages ms": round(stages / count),
            "then first event ms": round(rest / count),
        }
        for route, (stages, rest, count) in sorted(summary.slow_parts.items())
    ]
    if as_json:
        output.show_json({"spans": spans, "reasons": reasons, "parts": parts})
        return
    for rows in (spans, reasons, parts):
        output.show_table(rows)
        print()


def _span_row(span: Span) -> dict[str, Any]:
    row: dict[str, Any] = {"from s": span.begins_ms / 1_000}
    for name in ("on_time", "late", "left", "503", "502", "504"):
        row[name] = span.outcomes[name]
    row["stages: calls/pieces/made/waiting/deciders"] = "  ".join(
        f"{name} {t.calls}/{t.pieces}/{t.made}/{t.most_waiting}"
        f"/{len(t.deciders)}"
        for name, t in sorted(span.stages.items())
    )
    return row
