"""Draws a report's spans as a picture, where matplotlib is installed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.report.summary import Summary

MS_PER_SECOND = 1_000


def draw(summary: Summary, path: str) -> None:
    """Writes a PNG: outcomes above, waiting pieces by stage below.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: The file can't be written.
    """
    import matplotlib as mpl  # noqa: PLC0415  (a tool's, not the product's)

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    seconds = [span.begins_ms / MS_PER_SECOND for span in summary.spans]
    figure, (above, below) = pyplot.subplots(2, 1, sharex=True)
    names = sorted({name for span in summary.spans for name in span.outcomes})
    counts = [[span.outcomes[name] for span in summary.spans] for name in names]
    above.stackplot(seconds, counts, labels=names)
    above.set_ylabel("requests")
    above.legend(fontsize="x-small")
    for stage in sorted({s for span in summary.spans for s in span.stages}):
        waiting = [
            span.stages[stage].most_waiting if stage in span.stages else 0
            for span in summary.spans
        ]
        below.plot(seconds, waiting, label=stage)
    below.set_ylabel("pieces waiting")
    below.set_xlabel("seconds")
    below.legend(fontsize="x-small")
    figure.savefig(path)
    pyplot.close(figure)
