"""Latest load readings of a data centre's replicas."""

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
BYTES_PER_REPLICA = 4
MIN_NEWER_MS = 2 * AGE_STEP_MS


@attrs.frozen(kw_only=True)
class Reading:
    """One replica's load.

    Attributes:
        running: Requests running.
        waiting: Requests queued.
        model_index: Index of its busiest model in the pool's models, or None.
        measured_at: Instant on this daemon's clock.
    """

    running: int
    waiting: int
    model_index: int | None
    measured_at: Instant


class Readings(Attachment):
    """The latest reading of each replica, shared inside a data centre.

    A reading is encoded as four bytes, in the order of the replicas' names:
    the counts, the busiest model and the reading's age. Ages are sent instead
    of times of day, because hosts' clocks differ; each send rounds them up.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        replicas: Callable[[], DataCentreReplicas],
        on_reading: Callable[[str, Reading], None],
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._replicas = replicas
        self._on_reading = on_reading
        self._readings: dict[str, Reading] = {}

    def find(self, name: str) -> Reading | None:
        """Returns a replica's latest reading, or None."""
        return self._readings.get(name)

    def age_ms(self, name: str) -> float:
        """Returns the age of a replica's latest reading, or infinity."""
        reading = self._readings.get(name)
        if reading is None:
            return math.inf
        return self._clock.now() - reading.measured_at

    def add(self, name: str, reading: Reading) -> None:
        """Records a reading if it is newer than the known one."""
        known = self._readings.get(name)
        if known and reading.measured_at < known.measured_at + MIN_NEWER_MS:
            return
        self._readings[name] = reading
        self._on_reading(name, reading)

    def drop_removed(self) -> None:
        """Drops the readings of replicas that are no longer configured."""
        positions = self._replicas().positions
        for name in [n for n in self._readings if n not in positions]:
            del self._readings[name]

    def write(self, receiver: Member | None) -> Any:
        """Returns all readings for a daemon of the same data centre."""
        if receiver is None or receiver.data_centre != self._data_centre:
            return None
        replicas = self._replicas()
        if not self._readings:
            return None
        now = self._clock.now()
        data = bytearray(b"\xff" * (BYTES_PER_REPLICA * len(replicas.replicas)))
        for name, reading in self._readings.items():
            position = replicas.positions.get(name)
            age = math.ceil((now - reading.measured_at) / AGE_STEP_MS)
            if position is None or age >= MAX_BYTE:
                continue
            start = position * BYTES_PER_REPLICA
            data[start : start + BYTES_PER_REPLICA] = bytes(
                (
                    min(reading.running, MAX_BYTE),
                    min(reading.waiting, MAX_BYTE),
                    MAX_BYTE
                    if reading.model_index is None
                    else reading.model_index,
                    age,
                )
            )
        return [replicas.key, base64.b64encode(data).decode()]

    def read(self, sender: Member, value: Any) -> None:
        """Merges newer readings reported by another daemon."""
        key, text = value
        replicas = self._replicas()
        # The sender uses another revision, whose order of replicas differs; its
        # readings would be attributed to the wrong replicas.
        if key != replicas.key:
            return
        data = base64.b64decode(text)
        now = self._clock.now()
        for index, replica in enumerate(replicas.replicas):
            running, waiting, model, age = data[
                index * BYTES_PER_REPLICA : (index + 1) * BYTES_PER_REPLICA
            ]
            if age == MAX_BYTE:
                continue
            self.add(
                replica.server.name,
                Reading(
                    running=running,
                    waiting=waiting,
                    model_index=None if model == MAX_BYTE else model,
                    measured_at=now - age * AGE_STEP_MS,
                ),
            )
