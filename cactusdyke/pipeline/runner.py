"""Runs the stages of a pipeline one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import model
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.kernel import Service
from cactusdyke.routing.messages import (
    StageAnswer,
    StageCall,
    StreamEnd,
    TokenBatch,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from opentelemetry.trace import Span

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import (
        BackendServer,
        Pipeline,
        PlainService,
        Pool,
        Stage,
    )
    from cactusdyke.observe.cost import CostBook
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.pipeline.request import RequestContext
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.router import Router

MAX_ATTEMPTS = 3
PROGRESS_TIMEOUT_MS = 2_000.0


class PipelineRunner(Service):
    """Runs pipelines; every stage call may be repeated."""

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        client: BackendClient,
        tracing: Tracing,
        metrics: Metrics,
        cost: CostBook,
    ) -> None:
        self._clock = clock
        self._router = router
        self._client = client
        self._tracing = tracing
        self._metrics = metrics
        self._cost = cost

    async def run_whole(
        self, context: RequestContext, pipeline: Pipeline
    ) -> Result[Any, Failure]:
        """Runs every stage and returns the last one's output."""
        value = context.input
        for stage in pipeline.stages:
            answer = await self._run_stage(context, pipeline, stage, value)
            if isinstance(answer, Err):
                return answer
            value = answer.ok_value.output
        return Ok(value)

    async def run_service(
        self, context: RequestContext, service: PlainService
    ) -> Result[Any, Failure]:
        """Calls an idempotent plain service, as a pipeline of one stage."""
        stage = model.Stage(name=service.name, pool=service.pool)
        pipeline = model.Pipeline(
            name=service.name, stages=(stage,), deadline_ms=service.deadline_ms
        )
        return await self.run_whole(context, pipeline)

    async def run_stream(
        self, context: RequestContext, pipeline: Pipeline
    ) -> AsyncIterator[TokenBatch | StreamEnd]:
        """Runs every stage and yields the tokens of the last.

        Raises:
            CactusdykeError: A stage failed for good.
        """
        value = context.input
        for stage in pipeline.stages[:-1]:
            answer = await self._run_stage(context, pipeline, stage, value)
            if isinstance(answer, Err):
                raise CactusdykeError(answer.err_value)
            value = answer.ok_value.output
        async for part in self._stream_stage(
            context, pipeline, pipeline.stages[-1], value
        ):
            yield part

    async def _run_stage(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        stage: Stage,
        value: Any,
    ) -> Result[StageAnswer, Failure]:
        pool = context.configuration.pools[stage.pool]
        span = self._tracing.start(f"stage {stage.name}", context.span)
        failure = _no_server(pool)
        tried: list[str] = []
        try:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                remaining = context.remaining_ms(self._clock)
                if remaining <= 0:
                    return Err(_late(stage))
                server = self._router.choose(pool, exclude=tried)
                if server is None:
                    return Err(failure)
                tried.append(server.name)
                call = _call(
                    context, pipeline, stage, value, attempt, remaining
                )
                answer = await self._attempt(server, pool, pipeline, call, span)
                if isinstance(answer, Ok):
                    return answer
                failure = answer.err_value
            return Err(failure)
        finally:
            span.end()

    async def _attempt(
        self,
        server: BackendServer,
        pool: Pool,
        pipeline: Pipeline,
        call: StageCall,
        parent: Span,
    ) -> Result[StageAnswer, Failure]:
        span = self._tracing.start(
            f"attempt {call.attempt}", parent, backend_server=server.name
        )
        began = self._clock.now()
        answer: Result[StageAnswer, Failure] = Err(_silent(server))
        with (
            self._router.in_flight(server),
            self._clock.timeout(call.remaining_ms),
        ):
            answer = await self._client.call(
                server,
                call,
                progress_timeout_ms=min(PROGRESS_TIMEOUT_MS, call.remaining_ms),
            )
        self._account(server, pool, pipeline, call, began, answer.is_ok())
        if isinstance(answer, Err):
            _log_failure(server, call, answer.err_value)
        span.end()
        return answer

    async def _stream_stage(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        stage: Stage,
        value: Any,
    ) -> AsyncIterator[TokenBatch | StreamEnd]:
        span = self._tracing.start(f"stage {stage.name}", context.span)
        try:
            async for part in self._stream_attempts(
                context, pipeline, stage, value, span
            ):
                yield part
        finally:
            span.end()

    async def _stream_attempts(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        stage: Stage,
        value: Any,
        parent: Span,
    ) -> AsyncIterator[TokenBatch | StreamEnd]:
        pool = context.configuration.pools[stage.pool]
        failure = _no_server(pool)
        position = 0
        tried: list[str] = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            remaining = context.remaining_ms(self._clock)
            if remaining <= 0:
                raise CactusdykeError(_late(stage))
            server = self._router.choose(pool, exclude=tried)
            if server is None:
                raise CactusdykeError(failure)
            tried.append(server.name)
            call = _call(
                context,
                pipeline,
                stage,
                value,
                attempt,
                remaining,
                stream=True,
                resume_from=position,
            )
            span = self._tracing.start(
                f"attempt {attempt}", parent, backend_server=server.name
            )
            began = self._clock.now()
            try:
                with self._router.in_flight(server):
                    async for part in self._client.stream(
                        server, call, progress_timeout_ms=PROGRESS_TIMEOUT_MS
                    ):
                        if isinstance(part, TokenBatch):
                            position = part.tokens[-1].position + 1
                        yield part
                self._account(server, pool, pipeline, call, began, True)
                return
            except CactusdykeError as error:
                self._account(server, pool, pipeline, call, began, False)
                _log_failure(server, call, error.failure)
                failure = error.failure
            finally:
                span.end()
        raise CactusdykeError(failure)

    def _account(
        self,
        server: BackendServer,
        pool: Pool,
        pipeline: Pipeline,
        call: StageCall,
        began: float,
        succeeded: bool,
    ) -> None:
        outcome = "ok" if succeeded else "failed"
        self._metrics.attempts.labels(pool.name, outcome).inc()
        self._cost.add(
            pipeline.name,
            call.stage,
            busy_ms=self._clock.now() - began,
            price=server.price_per_second,
        )


def _call(
    context: RequestContext,
    pipeline: Pipeline,
    stage: Stage,
    value: Any,
    attempt: int,
    remaining_ms: float,
    *,
    stream: bool = False,
    resume_from: int = 0,
) -> StageCall:
    return StageCall(
        request_id=context.request_id,
        stage=stage.name,
        attempt=attempt,
        model=stage.model,
        input=value,
        remaining_ms=remaining_ms,
        priority=pipeline.priority,
        stream=stream,
        resume_from=resume_from,
    )


def _log_failure(
    server: BackendServer, call: StageCall, failure: Failure
) -> None:
    events.log(
        events.Event.ATTEMPT_FAILED,
        request_id=call.request_id,
        stage=call.stage,
        attempt=call.attempt,
        backend_server=server.name,
        detail=failure.detail,
    )


def _no_server(pool: Pool) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"No backend server of the pool {pool.name} is left to try",
        retry_after_ms=1_000,
    )


def _late(stage: Stage) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"The deadline passed in the stage {stage.name}",
        ran=Ran.UNKNOWN,
    )


def _silent(server: BackendServer) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE,
        detail=f"{server.name} did not answer in time",
        ran=Ran.UNKNOWN,
    )
