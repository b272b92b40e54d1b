"""The requests of one play, drawn before it, the same for every policy."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    import random

    from emulator.scenario import Burst, Fault, Kind, Scenario

MS_PER_SECOND = 1_000.0
FIRST_NUMBER = 1_000
CRASHING_TOKENS = 200
"""Tokens of a part that crashes replicas."""
SPREAD = 0.6
"""Of sizes around their mean, as the standard deviation of their logarithm."""
LEAST_PATIENCE = 0.85
"""Callers of a kind wait between this share of its time and all of it."""


@attrs.frozen(kw_only=True)
class Arrival:
    """One request as its caller makes it.

    Attributes:
        number: Names it among all.
        at_ms: When it comes, from the first on.
        kind: Its kind.
        pieces: How many pieces each of its stages has.
        parts: Its prompt, as (name, tokens).
        events: Events of its answer, 0 for a whole one.
        patience_ms: How long its caller waits.
        crash: What it does to replicas that run it, if it crashes them.
        customer: Who sends it, empty if the scenario has no customers.
    """

    number: int
    at_ms: float
    kind: Kind
    pieces: tuple[int, ...]
    parts: tuple[tuple[str, int], ...]
    events: int
    patience_ms: float
    crash: dict[str, Any] | None = None
    customer: str = ""


def draw(scenario: Scenario, rng: random.Random) -> list[Arrival]:
    """Returns all requests of a play in the order in which they come."""
    times: list[tuple[float, Kind]] = []
    for kind in scenario.kinds:
        at_ms = 0.0
        clumps_per_s = kind.per_s / scenario.clump
        while True:
            times_now = _times(scenario.bursts, kind.name, at_ms)
            pause_s = rng.expovariate(clumps_per_s * times_now)
            at_ms += pause_s * MS_PER_SECOND
            if at_ms >= scenario.seconds * MS_PER_SECOND:
                break
            together = 1 + _geometric(rng, scenario.clump)
            times += [(at_ms, kind)] * together
    times.sort(key=lambda one: one[0])
    arrivals = [
        _arrival(number, at_ms, kind, rng)
        for number, (at_ms, kind) in enumerate(times)
    ]
    # Drawn last, so that requests are the same whoever sends them.
    return [_with_customer(arrival, scenario, rng) for arrival in arrivals]


def draw_crashing(
    scenario: Scenario, fault: Fault, number: int, rng: random.Random
) -> Arrival:
    """Returns a request of a fault's kind that crashes replicas."""
    kind = next(kind for kind in scenario.kinds if kind.name == fault.kind)
    arrival = _arrival(-1 - number, 0.0, kind, rng)
    arrival = _with_customer(arrival, scenario, rng)
    return attrs.evolve(arrival, crash=_crash(fault, f"crashing-{number}"))


class PartArrivals:
    """Draws requests that share a part of their prompts which crashes replicas.

    The part stands at any place but the last. Whatever else they hold is drawn
    like that of any request of their kind.
    """

    def __init__(
        self, *, scenario: Scenario, fault: Fault, name: str, rng: random.Random
    ) -> None:
        self._kind = next(k for k in scenario.kinds if k.name == fault.kind)
        self._scenario = scenario
        self._fault = fault
        self._name = name
        self._rng = rng
        self._numbers = itertools.count(FIRST_NUMBER)

    def draw(self, *, harmless: bool) -> Arrival:
        """Returns the next request."""
        number = next(self._numbers)
        arrival = _arrival(-number, 0.0, self._kind, self._rng)
        parts = list(arrival.parts)
        # Others draw the names of their own parts by the same numbers.
        parts[-1] = (f"{self._name}/own/{number}", parts[-1][1])
        for n in range(self._fault.parts):
            place = self._rng.randrange(len(parts))
            parts.insert(place, (f"{self._name}/{n}", CRASHING_TOKENS))
        return attrs.evolve(
            _with_customer(arrival, self._scenario, self._rng),
            parts=tuple(parts),
            crash=None if harmless else _crash(self._fault, self._name),
        )


def _crash(fault: Fault, name: str) -> dict[str, Any]:
    return {
        "name": name,
        "after_ms": fault.crash_after_ms,
        "down_ms": fault.down_s * MS_PER_SECOND,
    }


def _times(bursts: tuple[Burst, ...], kind: str, at_ms: float) -> float:
    times = 1.0
    for burst in bursts:
        begins_ms = burst.from_s * MS_PER_SECOND
        ends_ms = begins_ms + burst.for_s * MS_PER_SECOND
        if burst.kind in {"", kind} and begins_ms <= at_ms < ends_ms:
            times *= burst.times
    return times


def _geometric(rng: random.Random, mean: float) -> int:
    """Draws how many come with the first of a clump."""
    if mean <= 1:
        return 0
    return int(math.log(rng.random()) / math.log(1 - 1 / mean))


def _arrival(
    number: int, at_ms: float, kind: Kind, rng: random.Random
) -> Arrival:
    pieces = tuple(
        _sized(rng, stage.pieces, stage.most)
        if rng.random() < stage.share
        else 0
        for stage in kind.stages
    )
    parts = []
    for depth, part in enumerate(kind.shared):
        subject = int(part.subjects * rng.random() ** 1.3)
        parts.append((f"{kind.name}/{depth}/{subject}", part.tokens))
    own = _sized(rng, kind.own_tokens, 10 * kind.own_tokens)
    parts.append((f"{kind.name}/own/{number}", own))
    events = _sized(rng, kind.events, int(4 * kind.events) + 1)
    return Arrival(
        number=number,
        at_ms=at_ms,
        kind=kind,
        pieces=pieces,
        parts=tuple(parts) if kind.events else (),
        events=events if kind.events else 0,
        patience_ms=kind.patience_ms * rng.uniform(LEAST_PATIENCE, 1.0),
    )


def _with_customer(
    arrival: Arrival, scenario: Scenario, rng: random.Random
) -> Arrival:
    """Draws the customer of a request, if the scenario has any."""
    customers = scenario.customers
    if not customers:
        return arrival
    demands = [customer.demand for customer in customers]
    (drawn,) = rng.choices(customers, demands)
    return attrs.evolve(arrival, customer=drawn.name)


def _sized(rng: random.Random, mean: float, most: int) -> int:
    """Draws a size of this mean, 1 at least."""
    if mean <= 1:
        return 1
    drawn = rng.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD)
    return max(1, min(most, round(drawn)))
