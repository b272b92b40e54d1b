"""What is known of the load of a data centre's replicas."""

from __future__ import annotations

import base64
import math
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant
from cactusdyke.membership.attachments import Attachment

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.load.replicas import DataCentreReplicas
    from cactusdyke.membership.member import Member

AGE_STEP_MS = 100.0
MAX_BYTE = 255
BYTES_A_REPLICA = 4
NEWER_BY_MS = 2 * AGE_STEP_MS


@attrs.frozen(kw_only=True)
class Reading:
    """One replica's load.

    Attributes:
        running: Requests that it was running.
        waiting: Requests that it had queued.
        model: Place of its busiest model among its pool's, or None.
        measured_at: Instant on this daemon's clock.
    """

    running: int
    waiting: int
    model: int | None
    measured_at: Instant


class Readings(Attachment):
    """The latest reading of each replica, shared inside a data centre.

    A reading travels as four bytes in the order of the replicas' names: the
    counts, the busiest model and its age. Ages are passed on, never times of
    day, because hosts' clocks differ; each passing on rounds an age up.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        replicas: Callable[[], DataCentreReplicas],
        sink: Callable[[str, Reading], None],
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._replicas = replicas
        self._sink = sink
        self._readings: dict[str, Reading] = {}

    def find(self, name: str) -> Reading | None:
        """Returns a replica's latest reading, or None."""
        return self._readings.get(name)

    def age_ms(self, name: str) -> float:
        """Returns how old a replica's latest reading is, or infinity."""
        reading = self._readings.get(name)
        if reading is None:
            return math.inf
        return self._clock.now() - reading.measured_at

    def add(self, name: str, reading: Reading) -> None:
        """Takes a reading that is newer than the one known."""
        known = self._readings.get(name)
        if known and reading.measured_at < known.measured_at + NEWER_BY_MS:
            return
        self._readings[name] = reading
        self._sink(name, reading)

    def forget_removed(self) -> None:
        """Drops replicas that the configuration no longer names."""
        places = self._replicas().places
        for name in [n for n in self._readings if n not in places]:
            del self._readings[name]

    def write(self, receiver: Member | None) -> Any:
        """Returns all readings for a daemon of the same data centre."""
        if receiver is None or receiver.data_centre != self._data_centre:
            return None
        replicas = self._replicas()
        if not self._readings:
            return None
        now = self._clock.now()
        data = bytearray(b"\xff" * (BYTES_A_REPLICA * len(replicas.replicas)))
        for name, reading in self._readings.items():
            place = replicas.places.get(name)
            age = math.ceil((now - reading.measured_at) / AGE_STEP_MS)
            if place is None or age >= MAX_BYTE:
                continue
            start = place * BYTES_A_REPLICA
            data[start : start + BYTES_A_REPLICA] = bytes(
                (
                    min(reading.running, MAX_BYTE),
                    min(reading.waiting, MAX_BYTE),
                    MAX_BYTE if reading.model is None else reading.model,
                    age,
                )
            )
        return [replicas.key, base64.b64encode(data).decode()]

    def read(self, sender: Member, value: Any) -> None:
        """Takes those of a sender's readings that are newer."""
        key, text = value
        replicas = self._replicas()
        # Another revision is in force at the sender; by place its readings
        # would be taken for those of other replicas.
        if key != replicas.key:
            return
        data = base64.b64decode(text)
        now = self._clock.now()
        for place, replica in enumerate(replicas.replicas):
            running, waiting, model, age = data[
                place * BYTES_A_REPLICA : (place + 1) * BYTES_A_REPLICA
            ]
            if age == MAX_BYTE:
                continue
            self.add(
                replica.server.name,
                Reading(
                    running=running,
                    waiting=waiting,
                    model=None if model == MAX_BYTE else model,
                    measured_at=now - age * AGE_STEP_MS,
                ),
            )
