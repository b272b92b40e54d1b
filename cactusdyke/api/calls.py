"""Answers callers: pipelines and plain services."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.api import authentication, body
from cactusdyke.configuration.model import Pipeline, PlainService
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.observe import tracing
from cactusdyke.pipeline.request import RequestContext
from cactusdyke.routing.messages import StreamEnd, TokenBatch
from cactusdyke.transport.messages import (
    EVENT_STREAM_TYPE,
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from cactusdyke.api.in_flight import RequestsInFlight
    from cactusdyke.booking.bookings import Bookings
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.in_force import InForce
    from cactusdyke.configuration.model import Customer
    from cactusdyke.limits.admission import Admission
    from cactusdyke.limits.limiter import Limiter
    from cactusdyke.observe.metrics import Metrics
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.pipeline.runner import PipelineRunner

TargetType = TypeVar("TargetType", Pipeline, PlainService)

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 256


class CallHandlers:
    """The handlers behind /v1/pipelines, /v1/services and /v1/requests."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        in_force: InForce,
        limits: Limiter,
        admission: Admission,
        pipelines: PipelineRunner,
        bookings: Bookings,
        in_flight: RequestsInFlight,
        tracing: Tracing,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._in_force = in_force
        self._limits = limits
        self._admission = admission
        self._pipelines = pipelines
        self._bookings = bookings
        self._in_flight = in_flight
        self._tracing = tracing
        self._metrics = metrics

    async def pipeline(self, request: Request) -> Response:
        """Runs a pipeline and answers whole or as server-sent events."""
        name = request.parameters["name"]
        configuration = self._in_force.current
        opened = await self._open(
            request, configuration.pipelines.get(name), name
        )
        if isinstance(opened, Err):
            return failure_response(opened.err_value)
        context, pipeline, stream = opened.ok_value
        if stream:
            return await self._stream(context, pipeline)
        with self._in_flight.track():
            async with self._admission.enter(context, pipeline) as permit:
                if isinstance(permit, Err):
                    return self._close(context, name, permit)
                answer = await self._pipelines.run_whole(context, pipeline)
        return self._close(context, name, answer)

    async def _stream(
        self, context: RequestContext, pipeline: Pipeline
    ) -> Response:
        """Starts a stream once it is admitted."""
        stack = contextlib.AsyncExitStack()
        stack.enter_context(self._in_flight.track())
        permit = await stack.enter_async_context(
            self._admission.enter(context, pipeline)
        )
        if isinstance(permit, Err):
            await stack.aclose()
            return self._close(context, pipeline.name, permit)
        chunks = self._events(context, pipeline, stack)
        # A caller may leave before it reads anything, and what was never
        # begun cleans up nothing: the permit would be held for good. The
        # first chunk is empty and lets the generator own the stack.
        await anext(chunks)
        return Response(
            headers={
                "content-type": EVENT_STREAM_TYPE,
                "x-request-id": context.request_id,
            },
            body=chunks,
        )

    async def service(self, request: Request) -> Response:
        """Makes one call to a plain service."""
        name = request.parameters["name"]
        configuration = self._in_force.current
        opened = await self._open(
            request, configuration.services.get(name), name
        )
        if isinstance(opened, Err):
            return failure_response(opened.err_value)
        context, service, _ = opened.ok_value
        with self._in_flight.track():
            answer = await self._call_service(context, service)
        return self._close(context, name, answer)

    async def find(self, request: Request) -> Response:
        """Says how the customer's request with a key ended."""
        customer = authentication.customer_of(request, self._in_force.current)
        if isinstance(customer, Err):
            return failure_response(customer.err_value)
        key = request.parameters["key"]
        found = await self._bookings.find(customer.ok_value.name, key)
        match found:
            case Ok(None):
                return failure_response(
                    Failure(
                        kind=FailureKind.NOT_FOUND,
                        detail="No request with this key is known",
                        # One may be on its way, or be long forgotten.
                        ran=Ran.UNKNOWN,
                    )
                )
            case Ok(outcome):
                assert outcome is not None
                return json_response(attrs.asdict(outcome))
            case Err(failure):
                # Reading the record did not run, but the request may have.
                return failure_response(attrs.evolve(failure, ran=Ran.UNKNOWN))

    async def _call_service(
        self, context: RequestContext, service: PlainService
    ) -> Result[Any, Failure]:
        if not service.idempotent:
            return await self._bookings.book(context, service)
        return await self._pipelines.run_service(context, service)

    async def _open(
        self, request: Request, target: TargetType | None, name: str
    ) -> Result[tuple[RequestContext, TargetType, bool], Failure]:
        """Checks who calls, what for and with what, and starts a request."""
        now = self._clock.now()
        configuration = self._in_force.current
        customer = authentication.customer_of(request, configuration)
        if isinstance(customer, Err):
            return customer
        if target is None:
            return Err(_unknown_target(name))
        call = body.parse(request)
        if isinstance(call, Err):
            return call
        key = _idempotency_key(request, target)
        if isinstance(key, Err):
            return key
        admitted = await self._admit(customer.ok_value, target)
        if isinstance(admitted, Err):
            return admitted
        allowed_ms = call.ok_value.deadline_ms or target.deadline_ms
        context = RequestContext(
            request_id=f"{self._rng.getrandbits(128):032x}",
            customer=customer.ok_value,
            configuration=configuration,
            arrived=now,
            deadline=now + allowed_ms,
            span=self._tracing.start(
                f"request {name}",
                tracing.parse_traceparent(request.headers.get("traceparent")),
                customer=customer.ok_value.name,
            ),
            idempotency_key=key.ok_value,
            input=call.ok_value.input,
        )
        return Ok((context, target, call.ok_value.stream))

    async def _admit(
        self, customer: Customer, target: Pipeline | PlainService
    ) -> Result[None, Failure]:
        """Refuses if the daemon is cut off or the customer over its limit."""
        idempotent = isinstance(target, Pipeline) or target.idempotent
        admitted = self._in_force.permit(idempotent=idempotent)
        if admitted.is_ok():
            admitted = await self._limits.admit(customer)
        if isinstance(admitted, Err):
            events.log(
                events.Event.REQUEST_REFUSED,
                customer=customer.name,
                detail=admitted.err_value.detail,
            )
        return admitted

    async def _events(
        self,
        context: RequestContext,
        pipeline: Pipeline,
        stack: contextlib.AsyncExitStack,
    ) -> AsyncIterator[bytes]:
        outcome = "ok"
        async with stack:
            try:
                yield b""
                async for part in self._pipelines.run_stream(context, pipeline):
                    yield _event_bytes(context, part)
            except CactusdykeError as error:
                outcome = error.failure.kind.code
                yield _error_event(context, error.failure)
            finally:
                context.span.end()
                self._metrics.requests.labels(pipeline.name, outcome).inc()

    def _close(
        self,
        context: RequestContext,
        target: str,
        answer: Result[Any, Failure],
    ) -> Response:
        context.span.end()
        match answer:
            case Ok(output):
                self._metrics.requests.labels(target, "ok").inc()
                return json_response(
                    {
                        "request_id": context.request_id,
                        "trace_id": tracing.trace_id(context.span),
                        "output": output,
                    }
                )
            case Err(failure):
                self._metrics.requests.labels(target, failure.kind.code).inc()
                return failure_response(failure, request_id=context.request_id)


def _event_bytes(
    context: RequestContext, part: TokenBatch | StreamEnd
) -> bytes:
    if isinstance(part, StreamEnd):
        end = {
            "request_id": context.request_id,
            "trace_id": tracing.trace_id(context.span),
            "tokens": part.tokens,
        }
        return b"event: end\ndata: " + orjson.dumps(end) + b"\n\n"
    return b"".join(
        b"event: token\ndata: "
        + orjson.dumps({"position": token.position, "text": token.text})
        + b"\n\n"
        for token in part.tokens
    )


def _error_event(context: RequestContext, failure: Failure) -> bytes:
    value = failure.to_body(request_id=context.request_id)
    return b"event: error\ndata: " + orjson.dumps(value) + b"\n\n"


def _unknown_target(name: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        detail=f"Nothing named {name[:100]!r} is configured",
    )


def _idempotency_key(
    request: Request, target: Pipeline | PlainService
) -> Result[str | None, Failure]:
    key = request.headers.get(KEY_HEADER)
    needed = isinstance(target, PlainService) and not target.idempotent
    if key is None and needed:
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"{target.name} may not be repeated and needs the"
                f" header {KEY_HEADER}",
            )
        )
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"The header {KEY_HEADER} is empty or over"
                f" {MAX_KEY_LENGTH} characters",
            )
        )
    return Ok(key)
