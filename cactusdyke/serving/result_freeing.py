"""Frees results in the memory of stage replicas, several in one call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.background import background_tasks
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request_limits import RequestLimits
    from cactusdyke.serving.stage_queue import StageQueue
    from cactusdyke.transport.answer_parser import AnswerHead
    from cactusdyke.transport.exchange import BackendConnections

FREE_TIMEOUT_MS = 500.0
FREE_INTERVAL_MS = 15.0
"""Time for which handles are collected, to be freed in one call a replica."""
LIMITED_FREE_INTERVAL_MS = 2_000.0
"""The same for a replica that states how few requests it takes."""


class ResultFreeing:
    """Frees the results of one stage service.

    Args:
        service: Name of the service.
        clock: The clock.
        deployment: The replicas and what they state of themselves.
        dialect: Encodes the calls.
        connections: Connections to the replicas.
        queue: Accounts for the replicas' memory.
        request_limits: Counts the calls to replicas that state a limit.
        tasks: Runs the calls.
        record_load: Records the load in an answer of a replica.
        on_freed: Called when memory may have become free.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        queue: StageQueue,
        request_limits: RequestLimits,
        tasks: BackgroundTasks,
        record_load: Callable[[Replica, AnswerHead], None],
        on_freed: Callable[[], None],
    ) -> None:
        self._service = service
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._queue = queue
        self._request_limits = request_limits
        self._tasks = tasks
        self._record_load = record_load
        self._on_freed = on_freed
        self._to_free: dict[str, list[str]] = {}
        self._freeing = False
        self._next_free_at: dict[str, Instant] = {}

    def free(self, handles: Sequence[str]) -> None:
        """Frees results that are no longer needed."""
        if not handles:
            return
        if not self._freeing:
            self._freeing = True
            self._tasks.start_soon(self._send_frees)
        for handle in handles:
            address = self._dialect.replica_address_of(handle)
            self._to_free.setdefault(address, []).append(handle)

    async def _send_frees(self) -> None:
        try:
            while self._to_free:
                await self._clock.sleep(FREE_INTERVAL_MS)
                due = self._take_due_frees()
                if due:
                    self._tasks.start_soon(self._send_due_frees, due)
        finally:
            self._freeing = False

    async def _send_due_frees(self, due: dict[str, list[str]]) -> None:
        async with background_tasks() as tasks:
            for address, handles in due.items():
                tasks.start_soon(self._send_free, address, handles)
        self._on_freed()

    def _take_due_frees(self) -> dict[str, list[str]]:
        """Removes the handles to free now from the queue, by address.

        A replica that states a limit is sent one call in a while, which counts
        like any other request.
        """
        now = self._clock.now()
        due: dict[str, list[str]] = {}
        for address in list(self._to_free):
            replica = self._deployment.replica_at(address)
            if replica is not None and (
                self._deployment.statements.rest_left_ms(replica)
            ):
                continue
            if replica is not None and self._request_limits.states_limit(
                replica
            ):
                if now < self._next_free_at.get(address, 0.0):
                    continue
                self._next_free_at[address] = now + LIMITED_FREE_INTERVAL_MS
                self._request_limits.record(replica)
            due[address] = self._to_free.pop(address)
        return due

    async def _send_free(self, address: str, handles: list[str]) -> None:
        replica = next(
            (
                candidate
                for candidate in self._deployment.usable_replicas(self._service)
                if candidate.address == address
            ),
            None,
        )
        if replica is None:
            return
        call = self._dialect.encode_free(address, handles)
        try:
            with self._clock.timeout(FREE_TIMEOUT_MS):
                async with self._connections.connect(address) as exchange:
                    if not self._deployment.statements.accepts(replica):
                        self.free(handles)
                        return
                    await exchange.send(
                        call.method, call.target, call.headers, call.body
                    )
                    head = await exchange.head()
                self._record_load(replica, head)
                statement = self._dialect.decode_statement(head)
                if self._deployment.statements.record_refusal(
                    replica, statement
                ):
                    self.free(handles)
                    return
        except ExchangeError as error:
            # The results occupy memory until they expire.
            events.log(
                events.Event.STAGE_FREE_FAILED,
                service=self._service,
                backend_server=replica.name,
                detail=str(error),
            )
            return
        self._queue.results_freed(replica.name, handles)
