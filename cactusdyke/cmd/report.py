"""`report`: where requests lost their worth, from daemons' logs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from cactusdyke.cmd import output
from cactusdyke.cmd.action import Action
from cactusdyke.report import kinds as kinds_of_requests
from cactusdyke.report import plot as plotting
from cactusdyke.report import reading
from cactusdyke.report.customers import OUTCOMES, count_customers
from cactusdyke.report.losses import Losses, find_losses
from cactusdyke.report.retries import count_retries
from cactusdyke.report.summary import Span, Summary, summarize

if TYPE_CHECKING:
    from collections.abc import Sequence

MOST_REASONS = 20
MS_PER_SECOND = 1_000
BYTES_PER_MB = 1_000_000


def report(
    *files: str, seconds: float = 2.0, plot: str = "", json: bool = False
) -> Action:
    """Adds up daemons' logs by time, reason, stage, kind, customer and retries.

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
        lines = _lines(files)
        span_ms = int(seconds * 1_000)
        summary = summarize(lines, span_ms=span_ms)
        if not summary.spans:
            output.usage("the files hold no line of a served request")
        if plot:
            plotting.draw(summary, plot)
        tables = {
            **_summary_tables(summary),
            **_loss_tables(find_losses(lines, span_ms=span_ms)),
            "kinds": _kind_rows(lines, span_ms),
            "customers": _customer_rows(lines),
            "retries": _retry_rows(lines, span_ms),
        }
        if json:
            output.show_json(tables)
            return
        for name, rows in tables.items():
            print(f"{name}:")
            output.show_table(rows)
            print()

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


def _summary_tables(summary: Summary) -> dict[str, list[dict[str, Any]]]:
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
    return {
        "spans": [_span_row(span) for span in summary.spans],
        "reasons": reasons,
        "parts": parts,
    }


def _loss_tables(losses: Losses) -> dict[str, list[dict[str, Any]]]:
    lost = [
        {
            "from s": loss.begins_ms / MS_PER_SECOND,
            "route": loss.route,
            "outcome": loss.outcome,
            "requests": count,
            "cause": loss.cause,
        }
        for loss, count in sorted(
            losses.counts.items(),
            key=lambda item: (item[0].begins_ms, -item[1]),
        )
    ]
    crossed = [
        {"fetched by": name, "MB": round(size / BYTES_PER_MB, 1)}
        for name, size in losses.crossed_bytes.most_common()
        if size
    ]
    wasted = [
        {"results": count, "service": service, "route": route, "request": how}
        for (service, route, how), count in losses.wasted_results.most_common()
    ]
    not_made = [
        {"pieces": count, "service": service, "why": why}
        for (service, why), count in losses.not_made.most_common()
    ]
    return {
        "lost": lost,
        "crossed": crossed,
        "wasted": wasted,
        "not made": not_made,
    }


def _kind_rows(
    lines: list[reading.LogLine], span_ms: int
) -> list[dict[str, Any]]:
    found = kinds_of_requests.count_kinds(lines, span_ms=span_ms)
    return [
        {
            "from s": span.begins_ms / MS_PER_SECOND,
            "priority": span.priority,
            "pipeline": ", ".join(span.pipeline),
            **{
                outcome: totals.outcomes[outcome]
                for outcome in kinds_of_requests.OUTCOMES
            },
            "results wasted": totals.wasted_results,
            "not on time, longest in": "  ".join(
                f"{part} {count}"
                for part, count in totals.longest_parts.most_common()
            ),
        }
        for span, totals in sorted(found.items())
    ]


def _customer_rows(lines: list[reading.LogLine]) -> list[dict[str, Any]]:
    return [
        {
            "customer": customer or "(unknown)",
            **{outcome: totals.outcomes[outcome] for outcome in OUTCOMES},
            "median first event ms": totals.median_first_ms,
        }
        for customer, totals in sorted(count_customers(lines).items())
    ]


def _retry_rows(
    lines: list[reading.LogLine], span_ms: int
) -> list[dict[str, Any]]:
    return [
        {
            "service": service,
            "from s": begins_ms / MS_PER_SECOND,
            "requests": totals.requests,
            "charged": totals.charged,
            "refused": totals.refused,
            "sent": totals.sent,
            "shares": _span_of(totals.shares),
            "daemons": _span_of(totals.daemons),
            "unchanged for ms": _span_of(totals.ages_ms),
        }
        for (service, begins_ms), totals in sorted(
            count_retries(lines, span_ms=span_ms).items()
        )
        if totals.charged or totals.refused or totals.sent
    ]


def _span_of(values: Sequence[float]) -> str:
    """Returns the smallest and the largest value, empty without any."""
    return f"{min(values):g} to {max(values):g}" if values else ""


def _span_row(span: Span) -> dict[str, Any]:
    row: dict[str, Any] = {"from s": span.begins_ms / 1_000}
    for name in ("on_time", "late", "left", "503", "502", "504"):
        row[name] = span.outcomes[name]
    row["stages: calls/pieces/made/waiting/deciders (changed)"] = "  ".join(
        f"{name} {t.calls}/{t.pieces}/{t.made}/{t.most_waiting}"
        f"/{len(t.deciders)} ({t.deciders_changed})"
        for name, t in sorted(span.stages.items())
    )
    return row
