"""Load by pool and model, exchanged between data centres."""

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
AGGREGATE_LIFETIME_MS = 60_000.0
MAX_READING_AGE_MS = 10_000.0
MAX_PER_MESSAGE = 8


@attrs.frozen(kw_only=True)
class Aggregate:
    """The load of a pool's replicas with one busiest model in a data centre.

    Attributes:
        data_centre: Data centre of the replicas.
        pool: Pool of the replicas.
        model: Their busiest model; empty if they report none.
        replicas: Number of replicas with a recent reading.
        running: Requests running at them.
        waiting: Requests queued at them.
        measured_at: Instant of the oldest reading, on this daemon's clock.
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
        """Data centre, pool and model."""
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
        self._remote: dict[tuple[str, str, str], Aggregate] = {}
        self._next_start = 0

    def all(self) -> list[Aggregate]:
        """Returns the aggregates of all data centres."""
        oldest = self._clock.now() - AGGREGATE_LIFETIME_MS
        self._remote = {
            key: aggregate
            for key, aggregate in self._remote.items()
            if aggregate.measured_at >= oldest
        }
        return [*self.local(), *self._remote.values()]

    def local(self) -> list[Aggregate]:
        """Returns the aggregates of this daemon's data centre."""
        sums: dict[tuple[str, str], list[int]] = {}
        oldest = self._clock.now()
        for replica in self._replicas().replicas:
            reading = self._readings.find(replica.server.name)
            if reading is None or self._is_stale(reading.measured_at):
                continue
            model = ""
            if reading.model_index is not None and reading.model_index < len(
                replica.models
            ):
                model = replica.models[reading.model_index]
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
        """Returns up to `MAX_PER_MESSAGE` aggregates, in rotation."""
        if receiver is None:
            return None
        known = list(self._remote.values())
        if receiver.data_centre != self._data_centre:
            known += self.local()
        known = [a for a in known if a.data_centre != receiver.data_centre]
        if not known:
            return None
        self._next_start += MAX_PER_MESSAGE
        start = self._next_start % len(known)
        chosen = (known[start:] + known[:start])[:MAX_PER_MESSAGE]
        return [self._encode(aggregate) for aggregate in chosen]

    def read(self, sender: Member, value: Any) -> None:
        """Merges newer aggregates of other data centres."""
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
            known = self._remote.get(aggregate.key)
            if known is None or aggregate.measured_at > known.measured_at:
                self._remote[aggregate.key] = aggregate

    def _is_stale(self, measured_at: Instant) -> bool:
        return self._clock.now() - measured_at > MAX_READING_AGE_MS

    def _encode(self, aggregate: Aggregate) -> list[Any]:
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
