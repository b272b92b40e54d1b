"""Makes single attempts and accounts for them."""

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
    from cactusdyke.pipeline.budgets import Budgets
    from cactusdyke.pipeline.timings import Timings
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.messages import LoadReport, StageAnswer
    from cactusdyke.routing.router import Router


@attrs.define(kw_only=True)
class AttemptRecord:
    """How one attempt is going.

    Attributes:
        work: The stage that it is for.
        server: Where it was sent.
        call: What was sent.
        traceparent: Names the attempt's span to the backend server.
        failure: How it failed, None while it has not.
        succeeded: Whether it was answered whole.
        typical_ms: The part of its time that others are held against.
        busy_ms: How long the backend server says it was busy.
    """

    work: StageWork
    server: BackendServer
    call: StageCall
    traceparent: str
    failure: Failure | None = None
    succeeded: bool = False
    typical_ms: float | None = None
    busy_ms: float = 0.0

    def fail(self, failure: Failure) -> None:
        """Notes that the attempt failed."""
        self.failure = failure

    def succeed(self, busy_ms: float) -> None:
        """Notes that the attempt was answered whole."""
        self.succeeded = True
        self.busy_ms = busy_ms


class Attempts:
    """One attempt at a time: span, time-out, cost, metrics, routing."""

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
        budgets: Budgets,
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
        """Calls backend servers."""
        return self._client

    async def whole(
        self,
        work: StageWork,
        server: BackendServer,
        call: StageCall,
        *,
        timeout_ms: float,
        fresh: bool,
    ) -> Result[StageAnswer, Failure]:
        """Makes one attempt at a whole answer."""
        answer: Result[StageAnswer, Failure] = Err(silent(server))
        with self.account(work, server, call) as record:
            with self._clock.timeout(timeout_ms):
                answer = await self._client.call(
                    server,
                    call,
                    progress_timeout_ms=timeout_ms,
                    fresh=fresh,
                    traceparent=record.traceparent,
                )
            match answer:
                case Ok(value):
                    record.succeed(value.busy_ms)
                    self.take_report(server, value.load)
                case Err(failure):
                    record.fail(failure)
        return answer

    def take_report(
        self, server: BackendServer, report: LoadReport | None
    ) -> None:
        """Hands a report that rode on an answer to the load book."""
        if report is not None:
            self._router.load.record_report(
                server.name, report, self._clock.now()
            )

    @contextlib.contextmanager
    def account(
        self, work: StageWork, server: BackendServer, call: StageCall
    ) -> Iterator[AttemptRecord]:
        """Accounts for an attempt made in the block, also a cancelled one."""
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
            self._close(record, self._clock.now() - began)
            span.end()

    def _close(self, record: AttemptRecord, took_ms: float) -> None:
        work, server = record.work, record.server
        if record.succeeded:
            outcome = "ok"
            work.history.add(Ran.RAN)
            self._succeeded(record, took_ms)
        elif record.failure is not None:
            outcome = "failed"
            work.history.add(record.failure.ran)
            self._failed(record, record.failure)
        else:
            outcome = "cancelled"
            work.history.add(Ran.UNKNOWN)
        self._metrics.attempts.labels(work.pool.name, outcome).inc()
        self._cost.add(
            work.pipeline.name,
            work.stage.name,
            busy_ms=record.busy_ms or took_ms,
            price=server.price_per_second,
        )

    def _succeeded(self, record: AttemptRecord, took_ms: float) -> None:
        work, server = record.work, record.server
        self._router.record_success(server)
        self._budgets.succeeded(work.pool.name)
        if record.call.resume_from:
            return
        seen_ms = took_ms if record.typical_ms is None else record.typical_ms
        typical = self._timings.quantile(_pace(record), timings.TYPICAL)
        if typical:
            self._router.slowdown.observe(server.name, seen_ms / typical)
        self._timings.record(_pace(record), seen_ms)
        if record.typical_ms is not None:
            self._timings.record(work.timing, took_ms)

    def _failed(self, record: AttemptRecord, failure: Failure) -> None:
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


def first_part(work: StageWork) -> tuple[str, str, str]:
    """Returns the name under which times to the first token are kept."""
    return (*work.timing, "first")


def gap(work: StageWork) -> tuple[str, str, str]:
    """Returns the name under which times between tokens are kept."""
    return (*work.timing, "gap")


def _pace(record: AttemptRecord) -> tuple[str, ...]:
    if record.typical_ms is None:
        return record.work.timing
    return first_part(record.work)


def silent(server: BackendServer) -> Failure:
    """Returns the failure of an attempt that timed out."""
    return Failure(
        kind=FailureKind.CONNECTION_LOST,
        detail=f"{server.name} did not answer in time",
        ran=Ran.UNKNOWN,
    )
