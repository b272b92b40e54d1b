"""Records the request limits that replicas state in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import Replica

ENDED_KEPT_MS = 10_000.0
"""How long the end of a limit is remembered: older answers arrive meanwhile."""
OWN_ANSWER = "own answer"


@attrs.frozen(kw_only=True)
class LimitReport:
    """What answers of a replica showed of its limit.

    Attributes:
        replica: Name of the replica.
        service: Its service.
        born: Start of the replica, in Unix milliseconds; 0 if it is not known.
        requests_per_s: Requests per second that it takes from all daemons
            together; None if it no longer states a limit.
        at: For a limit, when an answer that stated it arrived. For an end, when
            the request was sent whose answer stated none.
    """

    replica: str
    service: str
    born: int
    requests_per_s: float | None
    at: Instant

    def supersedes(self, other: LimitReport) -> bool:
        """Returns whether this report is about a later moment.

        If that cannot be told, a limit supersedes an end.
        """
        if self.born != other.born:
            return self.born > other.born
        if self.requests_per_s is None:
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

    @property
    def count(self) -> int:
        """Number of replicas that state a limit."""
        reports = self._reports.values()
        return sum(r.requests_per_s is not None for r in reports)

    def limit_of(self, replica: Replica) -> float | None:
        """Returns the requests per second that a replica takes, or None."""
        report = self._reports.get(replica.name)
        if report is None or report.born != replica.born:
            return None
        return report.requests_per_s

    def record_answer(
        self,
        replica: Replica,
        requests_per_s: float | None,
        *,
        sent_at: Instant,
    ) -> None:
        """Records what an answer said of its replica's limit.

        Args:
            replica: The replica that answered.
            requests_per_s: The limit that the answer states, None if it states
                none.
            sent_at: When the request was sent.
        """
        if requests_per_s is None and replica.name not in self._reports:
            return
        now = self._clock.now()
        report = LimitReport(
            replica=replica.name,
            service=replica.service,
            born=replica.born,
            requests_per_s=requests_per_s,
            at=sent_at if requests_per_s is None else now,
        )
        self._apply(report, source=OWN_ANSWER)

    def remove_unknown(self, known_names: set[str]) -> None:
        """Removes replicas that are not in `known_names`."""
        for name in self._reports.keys() - known_names:
            del self._reports[name]

    def _apply(self, report: LimitReport, *, source: str) -> None:
        self._remove_old_ends()
        known = self._reports.get(report.replica)
        if known is None and report.requests_per_s is None:
            return
        if known is not None and not report.supersedes(known):
            return
        self._reports[report.replica] = report
        before = known.requests_per_s if known else None
        if before != report.requests_per_s:
            events.log(
                events.Event.REPLICA_LIMIT_CHANGED,
                backend_server=report.replica,
                service=report.service,
                before=before,
                requests_per_s=report.requests_per_s,
                source=source,
            )

    def _remove_old_ends(self) -> None:
        oldest = self._clock.now() - ENDED_KEPT_MS
        for name, report in list(self._reports.items()):
            if report.requests_per_s is None and report.at < oldest:
                del self._reports[name]
