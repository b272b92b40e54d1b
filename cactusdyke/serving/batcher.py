"""Runs a stage service's calls, each with the pieces of several requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import PieceFailure, PieceResult
from cactusdyke.serving.dispatch_messages import StageOutcome
from cactusdyke.serving.input_locations import InputLocations
from cactusdyke.serving.memory_reports import MemoryReports
from cactusdyke.serving.result_freeing import ResultFreeing
from cactusdyke.serving.shares_log import SharesLog
from cactusdyke.serving.stage_queue import StageQueue
from cactusdyke.serving.stage_refusals import StageRefusals
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.model import BatchSpec, Replica
    from cactusdyke.serving.request_limits import RequestLimits
    from cactusdyke.serving.resource_tracker import StoredResult
    from cactusdyke.serving.return_questions import (
        ReturnAnswer,
        ReturnQuestion,
    )
    from cactusdyke.serving.return_times import ReturnTimes
    from cactusdyke.serving.stage_pieces import Batch, PieceGroup
    from cactusdyke.transport.answer_parser import AnswerHead
    from cactusdyke.transport.exchange import BackendConnections

FreeInputs: TypeAlias = "Callable[[str, Sequence[str]], bool]"
"""Frees results of a service if that is useful and safe; returns whether."""
MAX_ANSWER_BYTES = 1 << 20
MAX_CALL_SLOWDOWN = 4.0
"""Multiple of its expected duration after which a call counts as lost."""
MIN_CALL_TIMEOUT_MS = 900.0
FIRST_REPORT_MS = 50.0
"""Wait for the first memory report before a replica is called without one."""
FETCH_OVERHEAD_MS = 40.0
"""Time to connect and read the call, with a margin for a slow replica."""
FETCH_BYTES_PER_MS = 250_000.0
"""A fifth of the bandwidth of replicas, which serve several fetches at once."""
CHECK_INTERVAL_MS = 50.0
"""How often queued pieces are checked, to be sent or abandoned."""


class StageBatcher:
    """Runs the calls of one stage service in this daemon."""

    def __init__(
        self,
        *,
        service: str,
        spec: BatchSpec,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        tasks: BackgroundTasks,
        free_inputs: FreeInputs,
        request_limits: RequestLimits,
    ) -> None:
        self._free_inputs = free_inputs
        self._request_limits = request_limits
        self._connections = connections
        self._service = service
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._tasks = tasks
        self._queue = StageQueue(
            clock=clock, spec=spec, reported_slowdown=self._reported_slowdown
        )
        self._refusals = StageRefusals(
            service=service,
            clock=clock,
            deployment=deployment,
            queue=self._queue,
            usable_replicas=self._usable_replicas,
        )
        self._shares_log = SharesLog(
            service=service, clock=clock, queue=self._queue
        )
        self._freeing = ResultFreeing(
            service=service,
            clock=clock,
            deployment=deployment,
            dialect=dialect,
            connections=connections,
            queue=self._queue,
            request_limits=request_limits,
            tasks=tasks,
            record_load=self._record_load,
            on_freed=self._start_calls,
        )
        self._input_locations = InputLocations(
            deployment=deployment, dialect=dialect
        )
        self._done_events: dict[int, anyio.Event] = {}
        self._checking = False
        self._memory_reports = MemoryReports(
            clock=clock,
            deployment=deployment,
            dialect=dialect,
            connections=connections,
            queue=self._queue,
            tasks=tasks,
            on_report=self._start_calls,
        )

    def take_over(self) -> None:
        """Requests memory reports of the replicas before the first call.

        The results of a previous decider, which may have died, are unknown
        here.
        """
        names = self._usable_replicas()
        until = self._clock.now() + FIRST_REPORT_MS
        self._queue.require_reports(names, until)
        self._memory_reports.poll(names)

    @property
    def returns(self) -> ReturnTimes:
        """The times at which refused callers return."""
        return self._refusals.returns

    @property
    def queue(self) -> StageQueue:
        """The queued pieces, and the estimated state of the replicas."""
        return self._queue

    def update(self, spec: BatchSpec) -> None:
        """Applies a new configuration of the service."""
        self._queue.spec = spec

    async def run(
        self, group: PieceGroup, *, may_refuse: bool
    ) -> Result[StageOutcome, Failure]:
        """Computes the results of a group.

        Args:
            group: The pieces.
            may_refuse: Whether to refuse the group at once if its deadline
                cannot be met.
        """
        group.queued_at = self._clock.now()
        self._shares_log.log_change()
        group.reserved = self.returns.claim(group.digest)
        if may_refuse:
            refusal = self._refusals.refusal(group)
            if refusal is not None:
                return Err(refusal)
        self._input_locations.prefer_data_centre(group)
        done = self._done_events[id(group)] = anyio.Event()
        self._queue.add(group)
        self._start_calls()
        try:
            await done.wait()
        finally:
            del self._done_events[id(group)]
            if not group.done:
                self._queue.cancel(group)
                self._free_results(group)
        return self._outcome(group)

    def return_time(self, question: ReturnQuestion) -> ReturnAnswer | None:
        """Returns when a request should return that a daemon would refuse."""
        return self._refusals.return_time(question)

    def record_held_results(self, results: Sequence[StoredResult]) -> None:
        """Records results that requests of another daemon hold."""
        for result in results:
            address = self._dialect.replica_address_of(result.handle)
            replica = self._deployment.replica_at(address)
            if replica is not None:
                self._queue.record_held_result(
                    replica.name, result.handle, result.size, result.age_ms
                )

    def free(self, handles: Sequence[str]) -> None:
        """Frees results that are no longer needed."""
        self._freeing.free(handles)

    def _outcome(self, group: PieceGroup) -> Result[StageOutcome, Failure]:
        failures = [
            task.result.failure
            for task in group.tasks
            if task.result is not None and task.result.failure is not None
        ]
        if failures:
            self._refusals.log_abandoned(group, str(failures[0]))
        if set(failures) <= {PieceFailure.INPUT_GONE}:
            return Ok(
                StageOutcome(
                    handles=tuple(
                        t.result.handle for t in group.tasks if t.result
                    ),
                    inputs_freed=group.inputs_freed,
                )
            )
        self._free_results(group)
        late = set(failures) == {PieceFailure.LATE}
        return Err(
            Failure(
                kind=FailureKind.OVERLOADED,
                detail=f"a piece of {self._service} has no result:"
                f" {failures[0]}",
                retry_after_ms=self._refusals.return_after_ms(group)
                if late
                else self._refusals.retry_after_ms(),
            )
        )

    def _free_results(self, group: PieceGroup) -> None:
        results = [task.result for task in group.tasks if task.result]
        self.free([result.handle for result in results if result.handle])

    def _reported_slowdown(self, replica_name: str) -> float:
        replica = self._deployment.replica(replica_name)
        return self._deployment.loads.slowdown(replica) if replica else 1.0

    def _record_load(self, replica: Replica, head: AnswerHead) -> None:
        load = self._dialect.decode_load(head, replica.name)
        # With 421 another replica answers, which has the address now.
        if load is not None and head.status != 421:
            self._deployment.loads.record(replica, load.slowdown)

    def _usable_replicas(self) -> list[str]:
        usable = self._deployment.usable_replicas(self._service)
        for replica in usable:
            self._queue.set_data_centre(replica.name, replica.data_centre)
        return [replica.name for replica in usable]

    def _callable_replicas(self) -> list[str]:
        """Returns the usable replicas without those that need a pause."""
        usable = self._deployment.usable_replicas(self._service)
        exhausted = self._request_limits.exhausted(usable)
        accepting = {
            replica.name
            for replica in usable
            if self._deployment.statements.accepts(replica)
        }
        return [
            name
            for name in self._usable_replicas()
            if name in accepting and name not in exhausted
        ]

    def _start_calls(self) -> None:
        """Starts all calls that can be made now; schedules further checks."""
        while True:
            batch = self._queue.next_batch(self._callable_replicas())
            if batch is None:
                break
            replica = self._deployment.replica(batch.replica_name)
            if replica is not None:
                self._request_limits.record(replica)
            self._tasks.start_soon(self._call, batch)
        # No event signals that a replica's pause is over, that results in its
        # memory have expired, or that another replica has joined.
        if self._queue.queued_count:
            self._ensure_checks()

    async def _call(self, batch: Batch) -> None:
        replica = self._deployment.replica(batch.replica_name)
        results: list[PieceResult] | None = None
        detail = "the replica is gone"
        refused = False
        stated: dict[str, object] = {}
        if replica is not None:
            timeout_ms = max(
                MIN_CALL_TIMEOUT_MS, MAX_CALL_SLOWDOWN * batch.expected_ms
            )
            try:
                with self._clock.timeout(timeout_ms) as scope:
                    results = await self._exchange(replica, batch, stated)
                    refused = results is None
                    detail = "the replica refused the call"
                if scope.cancelled_caught:
                    detail = f"no answer in {timeout_ms:.0f} ms"
            except ExchangeError as error:
                detail = str(error)
            except Exception as error:
                # The batch has to end: its pieces and its place at the replica
                # are held until then.
                detail = repr(error)
                events.log(
                    events.Event.INTERNAL_ERROR, path="stage call", error=detail
                )
        batch.ended = True
        took_ms = self._clock.now() - batch.started_at
        if results is None:
            events.log(
                events.Event.STAGE_CALL_FAILED,
                service=self._service,
                backend_server=batch.replica_name,
                pieces=len(batch.tasks),
                took_ms=round(took_ms),
                detail=detail,
                **stated,
            )
        else:
            computed = sum(1 for result in results if result.handle)
            events.log(
                events.Event.STAGE_CALL_ENDED,
                service=self._service,
                backend_server=batch.replica_name,
                pieces=len(batch.tasks),
                made=computed,
                failures=[str(r.failure) for r in results if r.failure],
                took_ms=round(took_ms),
                expected_ms=round(batch.expected_ms),
                waiting=self._queue.queued_count,
                without_memory=batch.without_memory,
                held_bytes=round(self._queue.held_bytes(batch.replica_name)),
                crossed_bytes=round(
                    self._input_locations.transferred_bytes(batch)
                ),
                **stated,
            )
        if refused or (results is None and self._is_path_in_doubt(replica)):
            settled = self._queue.call_refused(batch)
        else:
            settled = self._queue.call_ended(batch, results)
            if any(r.failure is PieceFailure.NO_ROOM for r in results or ()):
                self._memory_reports.poll([batch.replica_name])
        for task in batch.tasks:
            if task.group.cancelled and _has_result(task.result):
                assert task.result is not None
                self.free([task.result.handle])
        self._settle([task.group for task in settled])
        self._start_calls()

    def _is_path_in_doubt(self, replica: Replica | None) -> bool:
        """Returns whether a failed call may not be the replica's fault."""
        return replica is not None and self._connections.is_path_in_doubt(
            replica.address
        )

    async def _free_when_fetched(self, batch: Batch) -> None:
        """Frees the inputs of a call once it has had time to fetch them.

        A call fetches its inputs at its start and computes for some hundred
        milliseconds. Inputs that are kept until its end occupy memory of the
        previous stage, which limits its throughput: its calls were two thirds
        full while pieces were queued.
        """
        total_bytes = sum(
            task.group.transfer_bytes
            for task in batch.tasks
            if task.piece.inputs
        )
        if not total_bytes:
            return
        await self._clock.sleep(
            FETCH_OVERHEAD_MS + total_bytes / FETCH_BYTES_PER_MS
        )
        if batch.ended:
            return
        for task in batch.tasks:
            task.inputs_fetched = True
        for group in {id(t.group): t.group for t in batch.tasks}.values():
            if not group.inputs_in_scarce_memory:
                continue
            if group.inputs_fetched and not group.inputs_freed:
                freed = [
                    self._free_inputs(inputs.service, inputs.handles)
                    for inputs in group.last_use_of
                ]
                group.inputs_freed = any(freed)

    async def _exchange(
        self, replica: Replica, batch: Batch, stated: dict[str, object]
    ) -> list[PieceResult] | None:
        """Makes a call; adds what the replica states to `stated`."""
        now = self._clock.now()
        call = self._dialect.encode_pieces(
            replica, [(t.piece, t.group.deadline_at - now) for t in batch.tasks]
        )
        async with self._connections.connect(replica.address) as exchange:
            if not self._deployment.statements.accepts(replica):
                return None
            sent_at = self._clock.now()
            await exchange.send(
                call.method, call.target, call.headers, call.body
            )
            if any(task.piece.inputs for task in batch.tasks):
                self._tasks.start_soon(self._free_when_fetched, batch)
            head = await exchange.head()
            statement = self._dialect.decode_statement(head)
            stated.update(statement.fields)
            body = await exchange.whole_body(most=MAX_ANSWER_BYTES)
        if head.status == 421:
            self._deployment.mark_leaving(
                replica, reason="another has its address"
            )
            return None
        self._deployment.statements.record(replica, statement)
        self._record_load(replica, head)
        results = self._dialect.decode_pieces(head, body, len(batch.tasks))
        limit = self._dialect.decode_stated_limit(head)
        refusals = self._dialect.decode_stated_refusals(head)
        if not (limit is None and refusals is None and results is None):
            self._request_limits.record_answer(
                replica, limit, refusals_per_s=refusals, sent_at=sent_at
            )
        return results

    def _settle(self, groups: Sequence[PieceGroup]) -> None:
        for group in groups:
            done = self._done_events.get(id(group))
            if done is not None and group.done:
                done.set()

    def _ensure_checks(self) -> None:
        if not self._checking:
            self._checking = True
            self._tasks.start_soon(self._check_periodically)

    async def _check_periodically(self) -> None:
        try:
            while self._queue.queued_count:
                await self._clock.sleep(CHECK_INTERVAL_MS)
                self._settle([task.group for task in self._queue.expire()])
                self._start_calls()
        finally:
            self._checking = False


def _has_result(result: PieceResult | None) -> bool:
    return result is not None and bool(result.handle)
