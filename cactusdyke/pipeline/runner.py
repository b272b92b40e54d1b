"""Runs the stages of a pipeline in sequence."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.configuration import model
from cactusdyke.errors import CactusdykeError, Failure
from cactusdyke.kernel import Service
from cactusdyke.pipeline.work import ExecutionHistory, StageWork
from cactusdyke.routing.messages import StreamEnd, TokenBatch
from cactusdyke.routing.prefix_hints import prefix_of

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator

    from cactusdyke.configuration.model import Pipeline, PlainService
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.pipeline.request import RequestContext
    from cactusdyke.pipeline.streamed_stage import StreamedStage
    from cactusdyke.pipeline.token_meter import TokenMeters
    from cactusdyke.pipeline.whole_stage import WholeStage


class PipelineRunner(Service):
    """Runs pipelines, and idempotent plain services as single stages."""

    def __init__(
        self,
        *,
        whole_stage: WholeStage,
        streamed_stage: StreamedStage,
        meters: TokenMeters,
        tracing: Tracing,
    ) -> None:
        self._whole_stage = whole_stage
        self._streamed_stage = streamed_stage
        self._meters = meters
        self._tracing = tracing

    async def run_whole(
        self, context: RequestContext, pipeline: Pipeline
    ) -> Result[Any, Failure]:
        """Runs every stage and returns the last one's output."""
        return await self._run_stages(
            context, pipeline, ExecutionHistory(), len(pipeline.stages)
        )

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
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        """Runs every stage and streams the tokens of the last one.

        Raises:
            CactusdykeError: A stage failed and may not be retried.
        """
        history = ExecutionHistory()
        last = len(pipeline.stages) - 1
        value = await self._run_stages(context, pipeline, history, last)
        if isinstance(value, Err):
            raise CactusdykeError(value.err_value)
        with self._stage_work(
            context, pipeline, history, last, value.ok_value
        ) as work:
            meter = self._meters.start(work)
            stream = self._streamed_stage.run(work)
            try:
                async with contextlib.aclosing(stream) as parts:
                    async for part in parts:
                        if isinstance(part, TokenBatch):
                            meter.count(len(part.tokens))
                        yield part
            finally:
                meter.flush()

    async def _run_stages(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        history: ExecutionHistory,
        count: int,
    ) -> Result[Any, Failure]:
        value = context.input
        for number in range(count):
            with self._stage_work(
                context, pipeline, history, number, value
            ) as work:
                answer = await self._whole_stage.run(work)
            if isinstance(answer, Err):
                return answer
            value = answer.ok_value.output
        return Ok(value)

    @contextlib.contextmanager
    def _stage_work(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        history: ExecutionHistory,
        number: int,
        value: Any,
    ) -> Iterator[StageWork]:
        stage = pipeline.stages[number]
        pool = context.configuration.pools[stage.pool]
        prefix = ""
        if pool.kind is model.PoolKind.ENGINE:
            prefix = prefix_of(stage.model, value) or prefix_of(
                stage.model, context.input
            )
        span = self._tracing.start(f"stage {stage.name}", context.span)
        try:
            yield StageWork(
                context=context,
                history=history,
                pipeline=pipeline,
                stage=stage,
                later=pipeline.stages[number + 1 :],
                pool=pool,
                input=value,
                prefix=prefix,
                span=span,
            )
        finally:
            span.end()
