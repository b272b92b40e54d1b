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
    from cactusdyke.serving.dialect import Dialect, MemoryReport
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.stage_queue import StageQueue
    from cactusdyke.transport.exchange import BackendConnections

ASK_EVERY_MS = 200.0
"""Reports are a few hundred milliseconds old; oftener they say the same."""
MOST_QUESTIONS = 30
"""Six seconds: longer than a forgotten result was seen to lie."""
ANSWER_WITHIN_MS = 250.0
MOST_ANSWER_BYTES = 1 << 16
LITTLE_SHARE = 0.03
"""Of a replica's memory; less that is not known here makes no difference."""
CALM_REPORTS = 2


class MakerReports:
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
        told: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._queue = queue
        self._tasks = tasks
        self._told = told
        self._followed: set[str] = set()

    def follow(self, names: Iterable[str]) -> None:
        """Asks replicas until nothing unknown is left in their memory."""
        for name in names:
            replica = self._deployment.replica(name)
            if replica is not None and name not in self._followed:
                self._followed.add(name)
                self._tasks.start_soon(self._follow, replica)

    async def _follow(self, replica: Replica) -> None:
        calm = 0
        try:
            for _ in range(MOST_QUESTIONS):
                told = await self._ask(replica)
                if told is None:
                    return
                share = self._queue.told_free(replica.name, told)
                self._told()
                calm = calm + 1 if share < LITTLE_SHARE else 0
                if calm >= CALM_REPORTS:
                    return
                await self._clock.sleep(ASK_EVERY_MS)
        finally:
            self._followed.discard(replica.name)

    async def _ask(self, replica: Replica) -> MemoryReport | None:
        """Returns the memory that a replica says is free, None if it doesn't.

        Without its word it is found out by pieces that find no room.
        """
        call = self._dialect.encode_memory_query(replica)
        try:
            with self._clock.timeout(ANSWER_WITHIN_MS):
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    await exchange.send(
                        call.method, call.target, call.headers, call.body
                    )
                    head = await exchange.head()
                    body = await exchange.whole_body(most=MOST_ANSWER_BYTES)
                return self._dialect.decode_memory_report(head, body)
        except ExchangeError as error:
            events.log(
                events.Event.STAGE_REPORT_FAILED,
                service=replica.service,
                backend_server=replica.name,
                detail=str(error),
            )
        return None
