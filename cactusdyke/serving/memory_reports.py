"""Polls the replicas of a stage service for their free memory.

A daemon that takes over a service after others have died has no record of their
results. These occupy memory until they expire, and calls whose pieces find no
memory take their full time without results. After a loss of all daemons the
memory was full for four seconds, and counted as full for four more. Reports lag
behind, so replicas are polled only while memory is in use that is not accounted
for here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect, MemoryReport
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stage_queue import StageQueue
    from cactusdyke.transport.exchange import BackendConnections

POLL_INTERVAL_MS = 200.0
"""Reports are a few hundred milliseconds old; faster polls repeat them."""
MOST_QUESTIONS = 30
"""Polls in a row. They take six seconds, longer than results of dead daemons
take to expire."""
POLL_TIMEOUT_MS = 250.0
MAX_ANSWER_BYTES = 1 << 16
NEGLIGIBLE_SHARE = 0.03
"""Share of a replica's memory; less unaccounted memory is ignored."""
MIN_NEGLIGIBLE_REPORTS = 2
"""Consecutive reports with negligible unaccounted memory that end polling."""


class MemoryReports:
    """Polls replicas while they have memory in use that is unaccounted for."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        queue: StageQueue,
        tasks: BackgroundTasks,
        on_report: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._queue = queue
        self._tasks = tasks
        self._on_report = on_report
        self._polled: set[str] = set()

    def poll(self, names: Iterable[str]) -> None:
        """Polls replicas until their unaccounted memory is negligible."""
        for name in names:
            replica = self._deployment.replica(name)
            if replica is not None and name not in self._polled:
                self._polled.add(name)
                self._tasks.start_soon(self._poll, replica)

    async def _poll(self, replica: Replica) -> None:
        negligible = 0
        try:
            for _ in range(MOST_QUESTIONS):
                if not self._deployment.statements.accepts(replica):
                    return
                report = await self._request_report(replica)
                if report is None:
                    return
                share = self._queue.apply_report(replica.name, report)
                self._on_report()
                negligible = negligible + 1 if share < NEGLIGIBLE_SHARE else 0
                if negligible >= MIN_NEGLIGIBLE_REPORTS:
                    return
                await self._clock.sleep(POLL_INTERVAL_MS)
        finally:
            self._polled.discard(replica.name)

    async def _request_report(self, replica: Replica) -> MemoryReport | None:
        """Returns a replica's memory report, None if it sends none.

        Without a report, pieces that the replica rejects for lack of memory
        correct the estimate.
        """
        call = self._dialect.encode_memory_query(replica)
        try:
            with self._clock.timeout(POLL_TIMEOUT_MS):
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    await exchange.send(
                        call.method, call.target, call.headers, call.body
                    )
                    head = await exchange.head()
                    body = await exchange.whole_body(most=MAX_ANSWER_BYTES)
                statement = self._dialect.decode_statement(head)
                if self._dialect.decode_born(head, body) == replica.born:
                    self._deployment.statements.record(replica, statement)
                else:
                    self._deployment.statements.record_refusal(
                        replica, statement
                    )
                return self._dialect.decode_memory_report(head, body)
        except ExchangeError as error:
            events.log(
                events.Event.STAGE_REPORT_FAILED,
                service=replica.service,
                backend_server=replica.name,
                detail=str(error),
            )
        return None
