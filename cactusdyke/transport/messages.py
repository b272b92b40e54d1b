"""HTTP requests and responses as typed values."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, TypeAlias

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.util.json_nesting import (
    MAX_MESSAGE_NESTING,
    is_nested_deeper,
    may_be_nested_deeper,
)

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


@attrs.frozen(kw_only=True)
class Request:
    """One HTTP request.

    Attributes:
        method: GET, POST, PUT or DELETE.
        path: The decoded path without the query.
        query: Query parameters, the last of each name.
        headers: Header values by lower-case name.
        body: The whole body.
        parameters: What the route's placeholders matched, when received.
    """

    method: str
    path: str
    query: Mapping[str, str] = attrs.field(factory=dict)
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    parameters: Mapping[str, str] = attrs.field(factory=dict)

    def json(self) -> Result[dict[str, Any], Failure]:
        """Returns the body as a JSON object."""
        return parse_object(self.body)


@attrs.frozen(kw_only=True)
class Response:
    """One HTTP response, whole or as a stream of chunks."""

    status: int = 200
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | AsyncIterator[bytes] = b""


Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


def parse_object(body: bytes) -> Result[dict[str, Any], Failure]:
    """Parses a body that must be a JSON object, and not nested too deeply."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"The body is not JSON: {error}",
            )
        )
    if not isinstance(value, dict):
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail="The body is not a JSON object",
            )
        )
    if may_be_nested_deeper(body, MAX_MESSAGE_NESTING) and is_nested_deeper(
        value, MAX_MESSAGE_NESTING
    ):
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"The body is nested over {MAX_MESSAGE_NESTING} levels",
            )
        )
    return Ok(value)


def json_response(value: Any, *, status: int = 200) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        status=status,
        headers={"content-type": JSON_TYPE},
        body=orjson.dumps(value),
    )


def failure_response(
    failure: Failure, *, request_id: str | None = None
) -> Response:
    """Returns the documented error response for a failure."""
    headers = {"content-type": JSON_TYPE}
    if failure.retry_after_ms is not None:
        headers["retry-after"] = str(-(-failure.retry_after_ms // 1000))
    return Response(
        status=failure.kind.status,
        headers=headers,
        body=orjson.dumps(failure.to_body(request_id=request_id)),
    )
