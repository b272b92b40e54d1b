"""Records what replicas state in their answers of how much they take."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke import events
from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import Replica

ENDED_KEPT_MS = 10_000.0
"""How long the end of a limit is remembered: older answers arrive meanwhile."""
DELIVERY_MS = 1_000.0
"""Longest time that a report takes from one daemon to another."""
OWN_ANSWER = "own answer"
MAX_SHARED_REPORTS = 64
"""Most reports in one message. The newest are sent; the decider of a service
knows all of its limits from the daemons that ask it."""


@attrs.frozen(kw_only=True)
class LimitReport:
    """What answers of a replica showed of its limit.

    Attributes:
        replica: Name of the replica.
        service: Its service.
        born: Start of the replica, in Unix milliseconds; 0 if it is not known.
        requests_per_s: Requests per second that it takes from all daemons
            together; None if it states no limit.
        refusals_per_s: Requests that it may refuse in a second before it falls
            over; None if it does not say that it is brittle.
        at: For a limit, when an answer that stated it arrived. For an end, when
            the request was sent whose answer stated none.
    """

    replica: str
    service: str
    born: int
    requests_per_s: float | None
    refusals_per_s: float | None = None
    at: Instant

    @property
    def has_ended(self) -> bool:
        """Whether the replica no longer states anything."""
        return self.requests_per_s is None and self.refusals_per_s is None

    def supersedes(self, other: LimitReport) -> bool:
        """Returns whether this report is about a later moment.

        If that cannot be told, a limit supersedes an end.
        """
        if self.born != other.born:
            return self.born > other.born
        if self.has_ended:
            return self.at > other.at
        return self.at >= other.at


class StatedLimits:
    """The limits that replicas state, as far as this daemon knows them.

    A limit holds until the replica answers a request that was sent after its
    last statement, and states none.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, LimitReport] = {}
        self._brittle_since: dict[str, Instant] = {}
        self._version = 0
        self._answer_hook: Callable[[LimitReport], None] = _ignore
        self._change_hook: Callable[[LimitReport], None] = _ignore

    @property
    def count(self) -> int:
        """Number of replicas that state a limit."""
        reports = self._reports.values()
        return sum(r.requests_per_s is not None for r in reports)

    @property
    def brittle_count(self) -> int:
        """Number of replicas that say that they are brittle."""
        reports = self._reports.values()
        return sum(r.refusals_per_s is not None for r in reports)

    @property
    def version(self) -> int:
        """Grows with every change of a limit."""
        return self._version

    def on_answer(self, hook: Callable[[LimitReport], None]) -> None:
        """Sets the hook for each report that an answer to this daemon gave."""
        self._answer_hook = hook

    def on_change(self, hook: Callable[[LimitReport], None]) -> None:
        """Sets the hook for each report that changed a limit."""
        self._change_hook = hook

    def limit_of(self, replica: Replica) -> float | None:
        """Returns the requests per second that a replica takes, or None."""
        report = self._report_of(replica)
        return report.requests_per_s if report else None

    def brittle_since(self, replica: Replica) -> Instant | None:
        """Returns since when a replica is known to be brittle, None if not."""
        report = self._report_of(replica)
        if report is None or report.refusals_per_s is None:
            return None
        return self._brittle_since.get(replica.name)

    def _report_of(self, replica: Replica) -> LimitReport | None:
        report = self._reports.get(replica.name)
        if report is None or report.born != replica.born:
            return None
        return report

    def record_answer(
        self,
        replica: Replica,
        requests_per_s: float | None,
        *,
        refusals_per_s: float | None = None,
        sent_at: Instant,
    ) -> None:
        """Records what an answer said of how much its replica takes.

        Args:
            replica: The replica that answered.
            requests_per_s: The limit that the answer states, None if it states
                none.
            refusals_per_s: How many refusals in a second the replica says that
                it bears, None if it says nothing of it.
            sent_at: When the request was sent.
        """
        ended = requests_per_s is None and refusals_per_s is None
        if ended and replica.name not in self._reports:
            return
        now = self._clock.now()
        report = LimitReport(
            replica=replica.name,
            service=replica.service,
            born=replica.born,
            requests_per_s=requests_per_s,
            refusals_per_s=refusals_per_s,
            at=sent_at if ended else now,
        )
        self._apply(report, source=OWN_ANSWER)
        self._answer_hook(report)

    def reports_of(self, service: str) -> list[LimitReport]:
        """Returns the reports on a service's replicas, recent ends included."""
        return [r for r in self._reports.values() if r.service == service]

    def encode_all(self) -> list[list[Any]]:
        """Encodes the newest reports on all services."""
        newest = sorted(self._reports.values(), key=lambda r: -r.at)
        return self.encode(newest[:MAX_SHARED_REPORTS])

    def encode(self, reports: Iterable[LimitReport]) -> list[list[Any]]:
        """Encodes reports as JSON arrays, with their ages in milliseconds."""
        now = self._clock.now()
        values: list[list[Any]] = []
        for r in reports:
            age_ms = round(now - r.at)
            value = [r.replica, r.service, r.born, r.requests_per_s, age_ms]
            # Releases that know nothing of brittle replicas read five fields.
            if r.refusals_per_s is not None:
                value.append(r.refusals_per_s)
            values.append(value)
        return values

    def merge(self, values: Iterable[Any], *, source: str) -> None:
        """Merges another daemon's reports.

        Args:
            values: The reports as `encode` made them.
            source: The daemon that sent them, for the log.

        Raises:
            TypeError, ValueError: The reports are malformed.
        """
        now = self._clock.now()
        for replica, service, born, requests_per_s, age_ms, *rest in values:
            refusals_per_s = rest[0] if rest else None
            ended = requests_per_s is None and refusals_per_s is None
            # Age does not include the delivery: a report is about an earlier
            # moment than it seems. An end must not be taken for a later one.
            at = now - float(age_ms) - (DELIVERY_MS if ended else 0.0)
            report = LimitReport(
                replica=str(replica),
                service=str(service),
                born=int(born),
                requests_per_s=_optional_float(requests_per_s),
                refusals_per_s=_optional_float(refusals_per_s),
                at=at,
            )
            self._apply(report, source=source)

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._reports.keys() - known_names:
            del self._reports[name]
            self._brittle_since.pop(name, None)

    def _apply(self, report: LimitReport, *, source: str) -> None:
        self._remove_old_ends()
        known = self._reports.get(report.replica)
        if known is None and report.has_ended:
            return
        if known is not None and not report.supersedes(known):
            return
        self._reports[report.replica] = report
        before = known.requests_per_s if known else None
        was_brittle = known is not None and known.refusals_per_s is not None
        is_brittle = report.refusals_per_s is not None
        if before == report.requests_per_s and was_brittle == is_brittle:
            return
        self._version += 1
        if is_brittle:
            self._brittle_since.setdefault(report.replica, self._clock.now())
        else:
            self._brittle_since.pop(report.replica, None)
        events.log(
            events.Event.REPLICA_LIMIT_CHANGED,
            backend_server=report.replica,
            service=report.service,
            before=before,
            requests_per_s=report.requests_per_s,
            refusals_per_s=report.refusals_per_s,
            source=source,
        )
        self._change_hook(report)

    def _remove_old_ends(self) -> None:
        oldest = self._clock.now() - ENDED_KEPT_MS
        for name, report in list(self._reports.items()):
            if report.has_ended and report.at < oldest:
                del self._reports[name]


def _optional_float(value: Any) -> float | None:
    return None if value is None else float(value)


def _ignore(report: LimitReport) -> None:
    """Does nothing; the default of the hooks."""
    del report
