"""Load by pool and model of whole data centres, passed between them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant
from cactusdyke.membership.attachments import Attachment

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.load.readings import Readings
    from cactusdyke.load.replicas import DataCentreReplicas
    from cactusdyke.membership.member import Member

AGE_STEP_MS = 100.0
LIFETIME_MS = 60_000.0
FRESH_MS = 10_000.0
MAX_CARRIED = 8


@attrs.frozen(kw_only=True)
class Aggregate:
    """The load of one pool's replicas with one model in a data centre.

    Attributes:
        data_centre: Where they stand.
        pool: Their pool.
        model: Their busiest model; empty where they tell of none.
        replicas: How many were read lately.
        running: Requests running there.
        waiting: Requests queued there.
        measured_at: Instant on this daemon's clock.
    """

    data_centre: str
    pool: str
    model: str
    replicas: int
    running: int
    waiting: int
    measured_at: Instant

    @property
    def key(self) -> tuple[str, str, str]:
        """What the aggregate is of."""
        return (self.data_centre, self.pool, self.model)


class Aggregates(Attachment):
    """The latest aggregate of each pool and model in each data centre."""

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        replicas: Callable[[], DataCentreReplicas],
        readings: Readings,
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._replicas = replicas
        self._readings = readings
        self._others: dict[tuple[str, str, str], Aggregate] = {}
        self._turn = 0

    def all(self) -> list[Aggregate]:
        """Returns the aggregates of all data centres."""
        oldest = self._clock.now() - LIFETIME_MS
        self._others = {
            key: aggregate
            for key, aggregate in self._others.items()
            if aggregate.measured_at >= oldest
        }
        return [*self.own(), *self._others.values()]

    def own(self) -> list[Aggregate]:
        """Returns the aggregates of this daemon's data centre."""
        sums: dict[tuple[str, str], list[int]] = {}
        oldest = self._clock.now()
        for replica in self._replicas().replicas:
            reading = self._readings.find(replica.server.name)
            if reading is None or self._is_old(reading.measured_at):
                continue
            model = ""
            if reading.model is not None and reading.model < len(
                replica.models
            ):
                model = replica.models[reading.model]
            total = sums.setdefault((replica.pool, model), [0, 0, 0])
            total[0] += 1
            total[1] += reading.running
            total[2] += reading.waiting
            oldest = min(oldest, reading.measured_at)
        return [
            Aggregate(
                data_centre=self._data_centre,
                pool=pool,
                model=model,
                replicas=count,
                running=running,
                waiting=waiting,
                measured_at=oldest,
            )
            for (pool, model), (count, running, waiting) in sums.items()
        ]

    def write(self, receiver: Member | None) -> Any:
        """Returns a few aggregates, each in its turn."""
        if receiver is None:
            return None
        known = list(self._others.values())
        if receiver.data_centre != self._data_centre:
            known += self.own()
        known = [a for a in known if a.data_centre != receiver.data_centre]
        if not known:
            return None
        self._turn += MAX_CARRIED
        start = self._turn % len(known)
        chosen = (known[start:] + known[:start])[:MAX_CARRIED]
        return [self._to_wire(aggregate) for aggregate in chosen]

    def read(self, sender: Member, value: Any) -> None:
        """Takes aggregates of other data centres that are newer."""
        now = self._clock.now()
        for data_centre, pool, model, replicas, running, waiting, age in value:
            if data_centre == self._data_centre:
                continue
            aggregate = Aggregate(
                data_centre=str(data_centre),
                pool=str(pool),
                model=str(model),
                replicas=int(replicas),
                running=int(running),
                waiting=int(waiting),
                measured_at=now - age * AGE_STEP_MS,
            )
            known = self._others.get(aggregate.key)
            if known is None or aggregate.measured_at > known.measured_at:
                self._others[aggregate.key] = aggregate

    def _is_old(self, measured_at: Instant) -> bool:
        return self._clock.now() - measured_at > FRESH_MS

    def _to_wire(self, aggregate: Aggregate) -> list[Any]:
        age_ms = self._clock.now() - aggregate.measured_at
        return [
            aggregate.data_centre,
            aggregate.pool,
            aggregate.model,
            aggregate.replicas,
            aggregate.running,
            aggregate.waiting,
            math.ceil(age_ms / AGE_STEP_MS),
        ]
