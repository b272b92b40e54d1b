"""What the stages cost, as this daemon has seen it."""

from __future__ import annotations

import attrs

from cactusdyke.kernel import Service


@attrs.define(kw_only=True)
class StageCost:
    """Sums for one stage of one pipeline.

    Attributes:
        attempts: Attempts made.
        busy_ms: Time that backend servers were busy, in milliseconds.
        cost: Busy seconds times the backend servers' price.
    """

    attempts: int = 0
    busy_ms: float = 0.0
    cost: float = 0.0


class CostBook(Service):
    """Adds up cost by pipeline and stage."""

    def __init__(self) -> None:
        self._costs: dict[tuple[str, str], StageCost] = {}

    def add(
        self, pipeline: str, stage: str, *, busy_ms: float, price: float
    ) -> None:
        """Adds one attempt; `price` is for a busy second."""
        cost = self._costs.setdefault((pipeline, stage), StageCost())
        cost.attempts += 1
        cost.busy_ms += busy_ms
        cost.cost += busy_ms / 1000.0 * price

    def table(self) -> list[dict[str, object]]:
        """Returns a row for each stage."""
        return [
            {"pipeline": pipeline, "stage": stage, **attrs.asdict(cost)}
            for (pipeline, stage), cost in sorted(self._costs.items())
        ]
