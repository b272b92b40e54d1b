"""Runs single attempts at backend servers and records their outcome."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration.model import BackendServer
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.observe import tracing
from cactusdyke.pipeline import timings
from cactusdyke.pipeline.work import StageWork
from cactusdyke.routing.messages import StageCall

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.clock import Clock
    from cactusdyke.observe.cost import CostBook
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.pipeline.budgets import AttemptBudgets
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.messages import LoadReport, StageAnswer
    from cactusdyke.routing.router import Router
    from cactusdyke.transport.network import ProgressLimit


@attrs.define(kw_only=True)
class AttemptRecord:
    """State of one attempt at a stage.

    Attributes:
        work: The stage that the attempt is for.
        server: The backend server that is called.
        call: The call that is sent.
        traceparent: Trace context header of the attempt's span.
        failure: Why the attempt failed, None while it has not.
        succeeded: Whether a complete answer arrived.
        typical_ms: Time to the first token of a stream, which is compared
            with other attempts in place of the whole duration; None for an
            answer that is not streamed.
        busy_ms: Busy time that the backend server reported.
    """

    work: StageWork
    server: BackendServer
    call: StageCall
    traceparent: str
    failure: Failure | None = None
    succeeded: bool = False
    typical_ms: float | None = None
    busy_ms: float = 0.0

    def set_failed(self, failure: Failure) -> None:
        """Records that the attempt failed."""
        self.failure = failure

    def set_succeeded(self, busy_ms: float) -> None:
        """Records that a complete answer arrived."""
        self.succeeded = True
        self.busy_ms = busy_ms


class Attempts:
    """Runs attempts, with their span, time-out, cost, metrics and routing."""

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        client: BackendClient,
        tracing: Tracing,
        metrics: Metrics,
        cost: CostBook,
        timings: Timings,
        budgets: AttemptBudgets,
    ) -> None:
        self._clock = clock
        self._router = router
        self._client = client
        self._tracing = tracing
        self._metrics = metrics
        self._cost = cost
        self._timings = timings
        self._budgets = budgets

    @property
    def client(self) -> BackendClient:
        """The client that calls backend servers."""
        return self._client

    async def run_whole(
        self,
        work: StageWork,
        server: BackendServer,
        call: StageCall,
        *,
        limit: ProgressLimit,
        fresh: bool,
    ) -> Result[StageAnswer, Failure]:
        """Makes one attempt at an answer that is not streamed."""
        now = self._clock.now()
        answer: Result[StageAnswer, Failure] = Err(timeout_failure(server))
        with self.track(work, server, call) as record:
            with self._clock.timeout(limit.latest - now):
                answer = await self._client.call(
                    server,
                    call,
                    progress_timeout_ms=limit.latest - now,
                    limit=limit,
                    connect_timeout_ms=limit.until - now,
                    fresh=fresh,
                    traceparent=record.traceparent,
                )
            match answer:
                case Ok(value):
                    record.set_succeeded(value.busy_ms)
                    self.record_load(server, value.load)
                case Err(failure):
                    record.set_failed(failure)
        return answer

    def record_load(
        self, server: BackendServer, report: LoadReport | None
    ) -> None:
        """Records a load report that came with an answer, if there is one."""
        if report is not None:
            self._router.load.record_report(
                server.name, report, self._clock.now()
            )

    @contextlib.contextmanager
    def track(
        self, work: StageWork, server: BackendServer, call: StageCall
    ) -> Iterator[AttemptRecord]:
        """Records the attempt made in the block, even if it is cancelled."""
        span = self._tracing.start(
            f"attempt {call.attempt}", work.span, backend_server=server.name
        )
        record = AttemptRecord(
            work=work,
            server=server,
            call=call,
            traceparent=tracing.traceparent(span),
        )
        began = self._clock.now()
        try:
            with self._router.in_flight(server):
                yield record
        finally:
            self._finish(record, self._clock.now() - began)
            span.end()

    def _finish(self, record: AttemptRecord, took_ms: float) -> None:
        work, server = record.work, record.server
        if record.succeeded:
            outcome = "ok"
            work.history.record_ran(Ran.RAN)
            self._on_success(record, took_ms)
        elif record.failure is not None:
            outcome = "failed"
            work.history.record_ran(record.failure.ran)
            self._on_failure(record, record.failure)
        else:
            outcome = "cancelled"
            work.history.record_ran(Ran.UNKNOWN)
        self._metrics.attempts.labels(work.pool.name, outcome).inc()
        self._cost.add(
            work.pipeline.name,
            work.stage.name,
            busy_ms=record.busy_ms or took_ms,
            price=server.price_per_second,
        )

    def _on_success(self, record: AttemptRecord, took_ms: float) -> None:
        work, server = record.work, record.server
        self._router.record_success(server)
        self._budgets.record_success(work.pool.name)
        if record.call.resume_from:
            return
        seen_ms = took_ms if record.typical_ms is None else record.typical_ms
        typical = self._timings.quantile(_timing_key(record), timings.P50)
        if typical:
            self._router.slowdown.observe(server.name, seen_ms / typical)
        self._timings.record(_timing_key(record), seen_ms)
        if record.typical_ms is not None:
            self._timings.record(work.timing_key, took_ms)

    def _on_failure(self, record: AttemptRecord, failure: Failure) -> None:
        work, server, call = record.work, record.server, record.call
        self._router.record_failure(work.pool, server, failure)
        dropped = failure.kind is FailureKind.BROKEN_ANSWER
        if dropped:
            self._metrics.dropped_answers.labels(work.pool.name).inc()
        events.log(
            events.Event.ANSWER_DROPPED
            if dropped
            else events.Event.ATTEMPT_FAILED,
            request_id=call.request_id,
            stage=call.stage,
            attempt=call.attempt,
            backend_server=server.name,
            detail=failure.detail,
        )


def first_token_timing(work: StageWork) -> tuple[str, str, str]:
    """Returns the key of the stage's times to the first token."""
    return (*work.timing_key, "first")


def token_gap_timing(work: StageWork) -> tuple[str, str, str]:
    """Returns the key of the stage's times between tokens."""
    return (*work.timing_key, "gap")


def _timing_key(record: AttemptRecord) -> tuple[str, ...]:
    if record.typical_ms is None:
        return record.work.timing_key
    return first_token_timing(record.work)


def timeout_failure(server: BackendServer) -> Failure:
    """Returns the failure of an attempt that timed out."""
    return Failure(
        kind=FailureKind.CONNECTION_LOST,
        detail=f"{server.name} did not answer in time",
        ran=Ran.UNKNOWN,
    )
