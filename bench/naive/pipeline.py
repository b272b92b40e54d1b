"""A naive runner: random backend server, retry everything, check nothing."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any

import orjson
from result import Err, Ok, Result

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.configuration import model
from cactusdyke.errors import CactusdykeError, Failure, FailureKind
from cactusdyke.observe.cost import CostBook
from cactusdyke.observe.metrics import Metrics
from cactusdyke.pipeline.request import RequestContext
from cactusdyke.pipeline.runner import PipelineRunner
from cactusdyke.pipeline.timings import Timings
from cactusdyke.routing.messages import StreamEnd, Token, TokenBatch
from cactusdyke.routing.prefix_hints import prefix_of
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions

MAX_ATTEMPTS = 5
TIMEOUT_MS = 2_000.0


class NaiveRunner(PipelineRunner):
    """What a first version often looks like."""

    def __init__(self, *, app: Application) -> None:
        self._app = app
        self._metrics = app.service("metrics", Metrics)
        self._cost = app.service("cost", CostBook)

    async def run_whole(
        self, context: RequestContext, pipeline: model.Pipeline
    ) -> Result[Any, Failure]:
        """Runs every stage and returns the last one's output."""
        value = context.input
        for stage in pipeline.stages:
            answer = await self._stage(context, pipeline, stage, value)
            if answer is None:
                return Err(_failed())
            value = answer
        return Ok(value)

    async def run_stream(
        self, context: RequestContext, pipeline: model.Pipeline
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        """Runs every stage and yields the tokens of the last."""
        value = context.input
        for stage in pipeline.stages[:-1]:
            value = await self._stage(context, pipeline, stage, value)
            if value is None:
                raise CactusdykeError(_failed())
        stage = pipeline.stages[-1]
        position = 0
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                async for part in self._stream(
                    context, pipeline, stage, value, attempt, position
                ):
                    if isinstance(part, TokenBatch):
                        position += len(part.tokens)
                    yield part
                return
            except CactusdykeError:
                continue
        raise CactusdykeError(_failed())

    async def _stage(
        self,
        context: RequestContext,
        pipeline: model.Pipeline,
        stage: model.Stage,
        value: Any,
    ) -> Any:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            server = self._server(context, stage)
            began = self._app.clock.now()
            answer = await self._app.network.fetch(
                server.address,
                _request(context, stage, value, attempt),
                CallOptions(progress_timeout_ms=TIMEOUT_MS),
            )
            good = isinstance(answer, Ok) and answer.ok_value.status == 200
            self._account(pipeline, stage, server, began, good)
            if good:
                assert isinstance(answer, Ok)
                return orjson.loads(answer.ok_value.body)["output"]
        return None

    async def _stream(
        self,
        context: RequestContext,
        pipeline: model.Pipeline,
        stage: model.Stage,
        value: Any,
        attempt: int,
        position: int,
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        server = self._server(context, stage)
        began = self._app.clock.now()
        request = _request(context, stage, value, attempt, position)
        options = CallOptions(progress_timeout_ms=TIMEOUT_MS)
        async with self._app.network.open(
            server.address, request, options
        ) as opened:
            good = isinstance(opened, Ok) and opened.ok_value.status == 200
            if not good:
                self._account(pipeline, stage, server, began, False)
                raise CactusdykeError(_failed())
            tokens = position
            try:
                async for chunk in opened.ok_value.chunks():
                    for event in _events(chunk):
                        if not event.get("end"):
                            tokens += 1
                            yield _token(event)
            finally:
                self._account(pipeline, stage, server, began, True)
            yield StreamEnd(tokens=tokens, busy_ms=0.0)

    def _server(
        self, context: RequestContext, stage: model.Stage
    ) -> model.BackendServer:
        servers = context.configuration.pools[stage.pool].backend_servers
        return self._app.rng.choice(servers)

    def _account(
        self,
        pipeline: model.Pipeline,
        stage: model.Stage,
        server: model.BackendServer,
        began: float,
        good: bool,
    ) -> None:
        outcome = "ok" if good else "failed"
        self._metrics.attempts.labels(stage.pool, outcome).inc()
        self._cost.add(
            pipeline.name,
            stage.name,
            busy_ms=self._app.clock.now() - began,
            price=server.price_per_second,
        )


def _request(
    context: RequestContext,
    stage: model.Stage,
    value: Any,
    attempt: int,
    position: int | None = None,
) -> Request:
    call = {
        "request_id": context.request_id,
        "stage": stage.name,
        "attempt": attempt,
        "model": stage.model,
        "input": value,
        "remaining_ms": 0,
        "stream": position is not None,
        "resume_from": position or 0,
        "prefix": prefix_of(stage.model, value),
    }
    return Request(method="POST", path="/v1/run", body=orjson.dumps(call))


def _events(chunk: bytes) -> list[dict[str, Any]]:
    return [
        orjson.loads(line[5:])
        for line in chunk.split(b"\n")
        if line.startswith(b"data:")
    ]


def _token(event: dict[str, Any]) -> TokenBatch:
    token = Token(position=event["position"], text=event["text"])
    return TokenBatch(tokens=(token,))


def _failed() -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_FAILED, detail="The attempts failed"
    )


def setup(app: Application) -> ExtensionMetadata:
    """Registers the naive runner in the pipeline's place."""
    app.setup_extension("cactusdyke.observe.extension")
    app.setup_extension("cactusdyke.routing")
    app.add_service("timings", Timings(clock=app.clock))
    app.add_service("pipeline", NaiveRunner(app=app))
    return ExtensionMetadata(version="1")
