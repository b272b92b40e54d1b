"""Sends one attempt to a backend server and validates the answer.

A backend server echoes the request id, stage and attempt number. An answer
with other values belongs to another request, and a stream without its end
event is truncated; both count as failed attempts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from result import Err, Ok, Result

from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.routing.messages import (
    LoadReport,
    StageAnswer,
    StageCall,
    StreamEnd,
    Token,
    TokenBatch,
)
from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions, ProgressLimit
from cactusdyke.util.delimited import DelimitedReader, PartTooLongError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.transport.network import Incoming, Network

RUN_PATH = "/v1/run"
CONNECT_TIMEOUT_MS = 500.0
MAX_LINE_BYTES = 1024 * 1024
LEAVING = "leaving"


class BackendClient:
    """Sends stage calls to backend servers."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def call(
        self,
        server: BackendServer,
        call: StageCall,
        *,
        progress_timeout_ms: float,
        limit: ProgressLimit | None = None,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        fresh: bool = False,
        traceparent: str = "",
    ) -> Result[StageAnswer, Failure]:
        """Makes one attempt and returns its complete answer."""
        options = CallOptions(
            connect_timeout_ms=min(connect_timeout_ms, CONNECT_TIMEOUT_MS),
            progress_timeout_ms=progress_timeout_ms,
            fresh=fresh,
            limit=limit,
        )
        answer = await self._network.fetch(
            server.address, _run_request(call, traceparent), options
        )
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value.body
        assert isinstance(body, bytes)
        if answer.ok_value.status != 200:
            return Err(_status_failure(server, answer.ok_value.status, body))
        value = parse_object(body)
        if isinstance(value, Err):
            return Err(_protocol_failure(server, "answer is not valid JSON"))
        return _validated_answer(server, call, value.ok_value)

    async def stream(
        self,
        server: BackendServer,
        call: StageCall,
        *,
        limit: ProgressLimit,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        fresh: bool = False,
        traceparent: str = "",
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        """Makes one attempt and yields its tokens, then its end event.

        Raises:
            CactusdykeError: The connection failed, the stream was truncated, or
                it belongs to another request.
        """
        options = CallOptions(
            connect_timeout_ms=min(connect_timeout_ms, CONNECT_TIMEOUT_MS),
            progress_timeout_ms=call.remaining_ms,
            fresh=fresh,
            limit=limit,
        )
        async with self._network.open(
            server.address, _run_request(call, traceparent), options
        ) as opened:
            if isinstance(opened, Err):
                raise CactusdykeError(opened.err_value)
            incoming = opened.ok_value
            if incoming.status != 200:
                body = await incoming.whole_body()
                raise CactusdykeError(
                    _status_failure(server, incoming.status, body)
                )
            reader = _StreamReader(server, call)
            async for part in reader.read(incoming):
                yield part


class _StreamReader:
    """Validates the events of one stream as they arrive."""

    def __init__(self, server: BackendServer, call: StageCall) -> None:
        self._server = server
        self._call = call
        self._next_position = call.resume_from

    async def read(
        self, incoming: Incoming
    ) -> AsyncGenerator[TokenBatch | StreamEnd, None]:
        """Yields the tokens of each chunk, then the end event."""
        reader = DelimitedReader(b"\n", max_bytes=MAX_LINE_BYTES)
        async for chunk in incoming.chunks():
            try:
                lines = reader.feed(chunk)
            except PartTooLongError as error:
                raise self._protocol_error(f"a line of {error}") from error
            tokens: list[Token] = []
            end: StreamEnd | None = None
            for line in lines:
                if not line.startswith(b"data:"):
                    continue
                if end is not None:
                    raise self._protocol_error(
                        "stream has events after its end event"
                    )
                part = self._parse_event(line[5:])
                if isinstance(part, StreamEnd):
                    end = part
                else:
                    tokens.append(part)
            if tokens:
                yield TokenBatch(tokens=tuple(tokens))
            if end is not None:
                yield end
                return
        raise self._protocol_error("stream ended without its end event")

    def _parse_event(self, data: bytes) -> Token | StreamEnd:
        try:
            value = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise self._protocol_error(
                "stream event is not valid JSON"
            ) from error
        if not isinstance(value, dict):
            raise self._protocol_error("stream event is not a JSON object")
        if not _matches_call(self._call, value):
            raise self._protocol_error(
                "stream event belongs to another request"
            )
        if value.get("end"):
            if value.get("tokens") != self._next_position:
                raise self._protocol_error(
                    "token count in the end event does not match"
                )
            return StreamEnd(
                tokens=value["tokens"],
                busy_ms=value.get("busy_ms", 0.0),
                load=_load_report(value),
            )
        if value.get("position") != self._next_position:
            raise self._protocol_error("token is out of sequence")
        if not isinstance(value.get("text"), str):
            raise self._protocol_error("token has no text")
        self._next_position += 1
        return Token(position=value["position"], text=value["text"])

    def _protocol_error(self, detail: str) -> CactusdykeError:
        return CactusdykeError(_protocol_failure(self._server, detail))


def _run_request(call: StageCall, traceparent: str) -> Request:
    headers = {"content-type": JSON_TYPE}
    if traceparent:
        headers["traceparent"] = traceparent
    return Request(
        method="POST",
        path=RUN_PATH,
        headers=headers,
        body=orjson.dumps(
            {
                "request_id": call.request_id,
                "stage": call.stage,
                "attempt": call.attempt,
                "model": call.model,
                "input": call.input,
                "remaining_ms": call.remaining_ms,
                "priority": call.priority,
                "stream": call.stream,
                "resume_from": call.resume_from,
                "prefix": call.prefix,
                "idempotency_key": call.idempotency_key,
            }
        ),
    )


def _matches_call(call: StageCall, value: dict[str, Any]) -> bool:
    return (
        value.get("request_id") == call.request_id
        and value.get("stage") == call.stage
        and value.get("attempt") == call.attempt
    )


def _validated_answer(
    server: BackendServer, call: StageCall, value: dict[str, Any]
) -> Result[StageAnswer, Failure]:
    if not _matches_call(call, value):
        return Err(
            _protocol_failure(server, "answer belongs to another request")
        )
    if "output" not in value:
        return Err(_protocol_failure(server, "answer has no output"))
    return Ok(
        StageAnswer(
            output=value["output"],
            busy_ms=value.get("busy_ms", 0.0),
            load=_load_report(value),
        )
    )


def _load_report(value: dict[str, Any]) -> LoadReport | None:
    load = value.get("load")
    if load is None:
        return None
    return LoadReport(
        running=load["running"],
        waiting=load["waiting"],
        age_ms=load.get("age_ms", 0.0),
    )


def _status_failure(server: BackendServer, status: int, body: bytes) -> Failure:
    value = parse_object(body).unwrap_or({})
    not_run = value.get("ran") == Ran.NOT_RUN
    leaving = not_run and value.get("error") == LEAVING
    return Failure(
        kind=FailureKind.BACKEND_LEAVING
        if leaving
        else FailureKind.BACKEND_FAILED,
        detail=f"{server.name} answered {status} {value.get('error', '')}",
        # Only the backend server itself can state that the call did not run.
        ran=Ran.NOT_RUN if not_run else Ran.UNKNOWN,
        retry_after_ms=value.get("retry_after_ms"),
    )


def _protocol_failure(server: BackendServer, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.BROKEN_ANSWER,
        detail=f"{server.name}: {detail}",
        ran=Ran.UNKNOWN,
    )
