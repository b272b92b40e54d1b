"""A histogram cheap enough to be told of every token."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from prometheus_client.core import Metric


class QuickCounts:
    """What was observed under one label value."""

    def __init__(self, buckets: Sequence[float]) -> None:
        self._buckets = buckets
        self.counts = [0] * (len(buckets) + 1)
        self.sum = 0.0

    def observe(self, value: float) -> None:
        """Takes in one value."""
        self.counts[bisect.bisect_left(self._buckets, value)] += 1
        self.sum += value


class QuickHistogram(Collector):
    """Counts in plain lists, made into a metric when it is read.

    prometheus_client's own histogram takes a lock and several calls for each
    value, which is a tenth of what a forwarded token may cost.
    """

    def __init__(
        self, name: str, text: str, label: str, *, buckets: Sequence[float]
    ) -> None:
        self._name = name
        self._text = text
        self._label = label
        self._buckets = tuple(buckets)
        self._counts: dict[str, QuickCounts] = {}

    def labels(self, value: str) -> QuickCounts:
        """Returns the counts of a label value."""
        return self._counts.setdefault(value, QuickCounts(self._buckets))

    def collect(self) -> Iterable[Metric]:
        """Yields the metric; called by the registry."""
        family = HistogramMetricFamily(
            self._name, self._text, labels=[self._label]
        )
        bounds = [*map(str, self._buckets), "+Inf"]
        for value, counts in self._counts.items():
            total = 0
            cumulative = []
            for bound, count in zip(bounds, counts.counts, strict=True):
                total += count
                cumulative.append((bound, float(total)))
            family.add_metric([value], cumulative, counts.sum)
        yield family
