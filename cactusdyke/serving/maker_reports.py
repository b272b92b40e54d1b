"""Asks a stage service's replicas how much memory they have left.

A daemon that takes a service over after others have died knows nothing of the
results that those had made. They lie there until they expire, and calls for
pieces that find no room take their time and bring nothing: after a loss of all
daemons the memory was full of them for four seconds, and then believed full for
four more. What replicas say of themselves lags, so it is asked for only while
something is there that is not known here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect, MemoryTold
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stage_queue import StageQueue
    from cactusdyke.transport.exchange import BackendConnections

POLL_INTERVAL_MS = 200.0
"""Reports are a few hundred milliseconds old; oftener they say the same."""
MOST_QUESTIONS = 30
"""Six seconds: longer than a forgotten result was seen to lie."""
POLL_TIMEOUT_MS = 250.0
MAX_ANSWER_BYTES = 1 << 16
NEGLIGIBLE_SHARE = 0.03
"""Of a replica's memory; less that is not known here makes no difference."""
MIN_NEGLIGIBLE_REPORTS = 2


class MemoryReports:
    """Follows replicas' own word for as long as it says something new."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        queue: StageQueue,
        tasks: TaskGroup,
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
        """Asks replicas until nothing unknown is left in their memory."""
        for name in names:
            replica = self._deployment.replica(name)
            if replica is not None and name not in self._polled:
                self._polled.add(name)
                self._tasks.start_soon(self._poll, replica)

    async def _poll(self, replica: Replica) -> None:
        calm = 0
        try:
            for _ in range(MOST_QUESTIONS):
                told = await self._request_report(replica)
                if told is None:
                    return
                share = self._queue.apply_report(replica.name, told)
                self._on_report()
                calm = calm + 1 if share < NEGLIGIBLE_SHARE else 0
                if calm >= MIN_NEGLIGIBLE_REPORTS:
                    return
                await self._clock.sleep(POLL_INTERVAL_MS)
        finally:
            self._polled.discard(replica.name)

    async def _request_report(self, replica: Replica) -> MemoryTold | None:
        """Returns the memory that a replica says is free, None if it doesn't.

        Without its word it is found out by pieces that find no room.
        """
        call = self._dialect.encode_report(replica)
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
                return self._dialect.decode_report(head, body)
        except ExchangeError as error:
            events.log(
                events.Event.STAGE_REPORT_FAILED,
                service=replica.service,
                backend_server=replica.name,
                detail=str(error),
            )
        return None
