"""Which model each engine of a pool should have: a pure decision."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CHANGE_SHARE = 0.2
MIN_STAY_MS = 120_000.0
HEADROOM = 0.5
SURPLUS_KEPT = 0.25
USUAL_SLOTS = 8


@attrs.frozen(kw_only=True)
class EngineView:
    """One engine as the decision sees it.

    Attributes:
        name: The engine's name.
        model: The model it has, or gets.
        speed: Relative speed.
        price: What a busy second costs.
        slots: Requests that it runs at once.
        stayed_ms: How long it has had its model.
        changing: Whether a change is under way.
    """

    name: str
    model: str
    speed: float = 1.0
    price: float = 0.0
    slots: int = USUAL_SLOTS
    stayed_ms: float = math.inf
    changing: bool = False


@attrs.frozen(kw_only=True)
class Change:
    """One engine that is to get another model."""

    engine: str
    model: str


def plan(
    engines: Sequence[EngineView],
    demand: Mapping[str, float],
    models: Sequence[str],
    *,
    attainment_weight: float,
) -> list[Change]:
    """Returns the changes to begin now, most needed first.

    A model needs capacity for its requests in flight, with headroom as far as
    attainment counts, and one engine at the least. An engine is taken from a
    model only if that keeps what it needs and a margin, so that demand that
    swings about a border moves nothing.

    Args:
        engines: All engines of one pool.
        demand: Requests running and waiting by model, smoothed.
        models: The models that the pool may have.
        attainment_weight: 1 if only attainment counts, 0 if only cost.
    """
    limit = max(1, math.floor(CHANGE_SHARE * len(engines)))
    limit -= sum(engine.changing for engine in engines)
    view = list(engines)
    changes: list[Change] = []
    while len(changes) < limit:
        change = _next(view, demand, models, attainment_weight)
        if change is None:
            break
        changes.append(change)
        view = [
            attrs.evolve(e, model=change.model, stayed_ms=0.0, changing=True)
            if e.name == change.engine
            else e
            for e in view
        ]
    return changes


def needed(demand: float, attainment_weight: float) -> float:
    """Returns the slots that a model's demand calls for."""
    return demand * (1 + HEADROOM * attainment_weight)


def _next(
    engines: Sequence[EngineView],
    demand: Mapping[str, float],
    models: Sequence[str],
    weight: float,
) -> Change | None:
    missing = {
        model: _missing(engines, demand, model, weight) for model in models
    }
    for model in sorted(models, key=lambda m: -missing[m]):
        if missing[model] <= 0:
            return None
        donors = [
            engine
            for engine in engines
            if _may_give(engine, engines, demand, models, weight)
            and engine.model != model
        ]
        if donors:
            best = max(donors, key=lambda e: (_worth(e, weight), e.name))
            return Change(engine=best.name, model=model)
    return None


def _missing(
    engines: Sequence[EngineView],
    demand: Mapping[str, float],
    model: str,
    weight: float,
) -> float:
    """Returns a model's lack of capacity in engines; none if under one."""
    holders = [engine for engine in engines if engine.model == model]
    if not holders:
        return math.inf
    capacity = sum(engine.slots * engine.speed for engine in holders)
    lack = needed(demand.get(model, 0.0), weight) - capacity
    return lack if lack > 0 else 0.0


def _may_give(
    engine: EngineView,
    engines: Sequence[EngineView],
    demand: Mapping[str, float],
    models: Sequence[str],
    weight: float,
) -> bool:
    if engine.changing:
        return False
    if engine.model not in models:
        return True
    if engine.stayed_ms < MIN_STAY_MS:
        return False
    rest = [
        e for e in engines if e.model == engine.model and e.name != engine.name
    ]
    capacity = sum(e.slots * e.speed for e in rest)
    need = needed(demand.get(engine.model, 0.0), weight)
    return bool(rest) and capacity >= need * (1 + SURPLUS_KEPT)


def _worth(engine: EngineView, weight: float) -> float:
    return weight * engine.speed - (1 - weight) * engine.price
