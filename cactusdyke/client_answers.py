"""Reads what daemons answer to a client."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Result

from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import Response, parse_object
from cactusdyke.util.delimited import DelimitedReader, PartTooLongError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cactusdyke.transport.network import Incoming

LAST_EVENTS = frozenset({"end", "error"})
MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen(kw_only=True)
class ServerSentEvent:
    """One event of a streamed answer."""

    name: str
    data: Mapping[str, Any]


def parse(response: Response) -> Result[dict[str, Any], Failure]:
    """Returns a whole answer's value, or the failure that it tells of."""
    assert isinstance(response.body, bytes)
    if response.status == 200:
        return parse_object(response.body).map_err(
            # Somebody answered, so the request may have run.
            lambda failure: attrs.evolve(failure, ran=Ran.UNKNOWN)
        )
    return Err(failure_from(response.body))


def failure_from(body: bytes) -> Failure:
    """Returns the failure that an error body tells of."""
    value = parse_object(body).unwrap_or({}).get("error")
    if not isinstance(value, dict):
        value = {}
    kinds = {kind.code: kind for kind in FailureKind}
    said = {str(ran): ran for ran in Ran}
    return Failure(
        kind=kinds.get(str(value.get("kind")), FailureKind.INTERNAL),
        detail=str(value.get("message", "The answer can't be read")),
        # Only a clear `not_run` counts as one.
        ran=said.get(str(value.get("ran")), Ran.UNKNOWN),
        retry_after_ms=value.get("retry_after_ms"),
    )


async def begun(
    opened: Result[Incoming, Failure],
) -> Result[Incoming, Failure]:
    """Returns a stream that has begun, or why it has not."""
    if isinstance(opened, Err) or opened.ok_value.status == 200:
        return opened
    try:
        body = await opened.ok_value.whole_body()
    except CactusdykeError as error:
        return Err(error.failure)
    return Err(failure_from(body))


def _blocks(reader: DelimitedReader, chunk: bytes) -> list[bytes]:
    try:
        return reader.feed(chunk)
    except PartTooLongError as error:
        raise CactusdykeError(
            Failure(
                kind=FailureKind.CONNECTION_LOST,
                detail=f"An event of the stream has {error}",
                ran=Ran.UNKNOWN,
            )
        ) from error


async def events(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[ServerSentEvent]:
    """Yields a stream's events up to its last, `end` or `error`.

    A daemon that dies in mid-answer can leave a stream that stops between two
    events as if it were whole; only the last event's name tells.
    """
    reader = DelimitedReader(b"\n\n", max_bytes=MAX_EVENT_BYTES)
    async for chunk in chunks:
        for block in _blocks(reader, chunk):
            first, _, second = block.partition(b"\n")
            event = ServerSentEvent(
                name=first.removeprefix(b"event: ").decode(),
                data=orjson.loads(second.removeprefix(b"data: ")),
            )
            yield event
            if event.name in LAST_EVENTS:
                return
    raise CactusdykeError(
        Failure(
            kind=FailureKind.CONNECTION_LOST,
            detail="The stream broke off without its end mark",
            ran=Ran.UNKNOWN,
        )
    )
