"""Fits a line to what was measured at several sizes."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np

GOOD_FIT = 0.15
"""A residual up to this share of the largest value counts as a line."""


@attrs.frozen(kw_only=True)
class Line:
    """A line through measured points.

    Attributes:
        slope: Change for each unit of the size.
        intercept: The value at size 0.
        residual: Root mean square distance from the points.
        fits: Whether the residual is small against the largest value.
    """

    slope: float
    intercept: float
    residual: float
    fits: bool

    def at(self, size: float) -> float:
        """Returns the line's value at a size, never below zero."""
        return max(0.0, self.intercept + self.slope * size)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line through the points."""
    slope, intercept = np.polyfit(sizes, values, 1)
    off = np.asarray(values) - (slope * np.asarray(sizes) + intercept)
    residual = float(np.sqrt(np.mean(off**2)))
    largest = max(abs(value) for value in values)
    return Line(
        slope=float(slope),
        intercept=float(intercept),
        residual=residual,
        fits=residual <= GOOD_FIT * largest,
    )
