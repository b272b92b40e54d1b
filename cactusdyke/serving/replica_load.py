"""Remembers how slow replicas say that they are, and for how long it holds.

A report is soft state: it loses weight as it ages, and without a fresh report
a replica is assumed to run at normal speed.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import Replica

MIN_DECAY_MS = 100.0
MAX_DECAY_MS = 1_500.0
INITIAL_DECAY_MS = 500.0
"""Assumed until changes were observed; counts as one observed change."""
LEARNING_SHARE = 0.05
"""Share by which each observed change displaces the earlier ones."""
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
"""Stated figures are limited to this range, so that one replica with a wrong
figure does not get all requests."""
SIGNIFICANT_RATIO = 1.25
"""Ratio of two figures from which they count as different."""
DELIVERY_MS = 20.0
"""Added to the age of another daemon's report, for its delivery."""
MAX_SHARED_REPORTS = 8
PERCENT = 100.0


@attrs.frozen(kw_only=True)
class LoadReport:
    """How slow a replica said that it was.

    Attributes:
        born: Start of the replica's incarnation, Unix milliseconds.
        slowdown: Ratio of the time that work takes to its normal time.
        at: When the replica said so.
    """

    born: int
    slowdown: float
    at: Instant

    def is_same_speed(self, slowdown: float) -> bool:
        """Returns whether a figure hardly differs from the reported one."""
        ratio = slowdown / self.slowdown
        return 1 / SIGNIFICANT_RATIO < ratio < SIGNIFICANT_RATIO


class _ServiceLoads:
    """The reports of one service's replicas, and their learnt decay time.

    Only the time that replicas stay slow, or fast, counts: most replicas run
    at normal speed, and for how long says nothing about the slow ones.
    """

    def __init__(self) -> None:
        self.reports: dict[str, LoadReport] = {}
        self.unsent: dict[str, LoadReport] = {}
        self.latest_at: Instant = -math.inf
        self._observed_ms = INITIAL_DECAY_MS
        self._changes = 1.0
        self.decay_ms = INITIAL_DECAY_MS

    def put(self, name: str, report: LoadReport) -> bool:
        """Stores a report unless a newer one is known; returns whether."""
        before = self.reports.get(name)
        if before is not None:
            if (before.born, before.at) > (report.born, report.at):
                return False
            if before.born == report.born:
                self.observe(before, report)
        self.reports[name] = report
        self.latest_at = max(self.latest_at, report.at)
        return True

    def observe(self, before: LoadReport, after: LoadReport) -> None:
        """Learns from two successive reports of one replica."""
        took_ms = after.at - before.at
        if before.is_same_speed(1.0) or took_ms > 2 * MAX_DECAY_MS:
            return
        self._observed_ms += took_ms
        if before.is_same_speed(after.slowdown):
            return
        self._changes += 1
        self._observed_ms *= 1 - LEARNING_SHARE
        self._changes *= 1 - LEARNING_SHARE
        self.decay_ms = min(
            MAX_DECAY_MS,
            max(MIN_DECAY_MS, self._observed_ms / self._changes),
        )


class ReplicaLoads:
    """The latest report of each replica, own ones and other daemons'."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceLoads] = {}
        self._discarded_count = 0

    @property
    def fresh_count(self) -> int:
        """Number of replicas with a report that still has weight."""
        now = self._clock.now()
        return sum(
            now - report.at < known.decay_ms
            for known in self._services.values()
            for report in known.reports.values()
        )

    @property
    def slow_count(self) -> int:
        """Number of replicas that are known to be slow now."""
        now = self._clock.now()
        return sum(
            _weighted(report, known, now) >= SIGNIFICANT_RATIO
            for known in self._services.values()
            for report in known.reports.values()
        )

    @property
    def discarded_count(self) -> int:
        """Number of other daemons' reports that could not be used."""
        return self._discarded_count

    @property
    def unsent_services(self) -> set[str]:
        """Services with own reports that their deciders were not sent."""
        return {name for name, known in self._services.items() if known.unsent}

    def decay_ms(self, service: str) -> float:
        """Returns the time in which a report on a service loses its weight."""
        known = self._services.get(service)
        return known.decay_ms if known else INITIAL_DECAY_MS

    def is_informed(self, service: str) -> bool:
        """Returns whether any report on a service still has weight."""
        known = self._services.get(service)
        return (
            known is not None
            and self._clock.now() - known.latest_at < known.decay_ms
        )

    def slowdown(self, replica: Replica) -> float:
        """Returns how slow a replica is now; 1 without a fresh report."""
        known = self._services.get(replica.service)
        report = known.reports.get(replica.name) if known else None
        if known is None or report is None or report.born != replica.born:
            return 1.0
        return _weighted(report, known, self._clock.now())

    def record(self, replica: Replica, slowdown: float | None) -> None:
        """Records the figure in an answer of a replica, None if it has none."""
        if slowdown is None:
            return
        known = self._services.get(replica.service)
        if known is None:
            known = self._services[replica.service] = _ServiceLoads()
        report = LoadReport(
            born=replica.born,
            slowdown=bounded(slowdown),
            at=self._clock.now(),
        )
        if not known.put(replica.name, report):
            return
        # Re-inserted, so that the newest reports are the last ones.
        known.unsent.pop(replica.name, None)
        known.unsent[replica.name] = report

    def take_unsent(
        self, service: str, most: int = MAX_SHARED_REPORTS
    ) -> list[list[Any]]:
        """Returns this daemon's own new reports, encoded for the decider.

        Each is sent once. Reports of others are not passed on here, or they
        would go back and forth between daemons and never age.

        Args:
            service: The service that the receiver decides for.
            most: Maximum number of reports; older ones are dropped.
        """
        known = self._services.get(service)
        if known is None or not known.unsent or most <= 0:
            return []
        newest = list(known.unsent.items())[-most:]
        known.unsent = {}
        return self._encode(newest, known)

    def encode_known(self, service: str) -> list[list[Any]]:
        """Encodes the reports that differ most from normal speed."""
        known = self._services.get(service)
        if known is None or not self.is_informed(service):
            return []
        now = self._clock.now()
        weighted = [
            (abs(_weighted(report, known, now) - 1.0), name)
            for name, report in known.reports.items()
            if now - report.at < known.decay_ms
            and not report.is_same_speed(1.0)
        ]
        chosen = heapq.nlargest(MAX_SHARED_REPORTS, weighted)
        return self._encode([(n, known.reports[n]) for _, n in chosen], known)

    def merge(
        self,
        service: str,
        values: Any,
        *,
        find: Callable[[str], Replica | None],
    ) -> None:
        """Merges another daemon's reports; discards those it cannot use.

        Args:
            service: The service of the replicas.
            values: The reports as they were encoded, or anything else.
            find: Returns a replica by its name, None if it is unknown here.
        """
        if not isinstance(values, list):
            self._discarded_count += values is not None
            return
        for value in values[:MAX_SHARED_REPORTS]:
            try:
                self._merge_one(service, value, find)
            except (TypeError, ValueError, OverflowError):
                self._discarded_count += 1

    def keep(self, replicas: Mapping[str, Replica]) -> None:
        """Removes the reports of all but these incarnations, given by name."""
        for known in self._services.values():
            for name, report in list(known.reports.items()):
                replica = replicas.get(name)
                if replica is None or replica.born != report.born:
                    del known.reports[name]
                    known.unsent.pop(name, None)
            known.latest_at = max(
                (report.at for report in known.reports.values()),
                default=-math.inf,
            )

    def _merge_one(
        self, service: str, value: Any, find: Callable[[str], Replica | None]
    ) -> None:
        name, born, percent, age_ms = value
        replica = find(name) if isinstance(name, str) else None
        slowdown, age_ms = float(percent) / PERCENT, float(age_ms)
        if not (0 < slowdown < math.inf and age_ms >= 0):
            raise ValueError(f"no speed or age: {value}")
        if replica is None or (replica.service, replica.born) != (
            service,
            born,
        ):
            self._discarded_count += 1
            return
        known = self._services.setdefault(service, _ServiceLoads())
        age_ms += DELIVERY_MS
        if age_ms >= known.decay_ms:
            self._discarded_count += 1
            return
        at = self._clock.now() - age_ms
        known.put(
            name, LoadReport(born=born, slowdown=bounded(slowdown), at=at)
        )

    def _encode(
        self, reports: Iterable[tuple[str, LoadReport]], known: _ServiceLoads
    ) -> list[list[Any]]:
        now = self._clock.now()
        return [
            [
                name,
                report.born,
                round(report.slowdown * PERCENT),
                math.ceil(now - report.at),
            ]
            for name, report in reports
            if now - report.at < known.decay_ms
        ]


def bounded(slowdown: float) -> float:
    """Returns a stated slowdown, limited to the plausible range."""
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def unexplained(ratio: float, *slowdowns: float) -> float:
    """Returns the part of a measured slowdown that reports don't explain.

    A replica may change its speed during the measurement, so any ratio between
    normal speed and the reported ones is explained.

    Args:
        ratio: Measured duration by the expected one.
        slowdowns: What the replica reported around the measurement.
    """
    least, most = min(1.0, *slowdowns), max(1.0, *slowdowns)
    return ratio / min(max(ratio, least), most)


def _weighted(report: LoadReport, known: _ServiceLoads, now: Instant) -> float:
    # Most reports of a slow replica are from its first moments, as it then gets
    # no requests, so the chance that it is slow falls late. With a linear
    # weight the 99th percentile was 1.17 to 1.21 times that without slow
    # replicas instead of 1.07 to 1.09.
    age = (now - report.at) / known.decay_ms
    if age >= 1.0:
        return 1.0
    return 1.0 + (report.slowdown - 1.0) * (1.0 - age * age)
