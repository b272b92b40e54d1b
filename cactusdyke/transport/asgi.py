"""Serves a handler over ASGI, with bounds on what a caller may send."""

from __future__ import annotations

import contextlib
import urllib.parse
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    MutableMapping,
)
from typing import TYPE_CHECKING, Any, TypeAlias

import anyio
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.memory_budget import (
    Held,
    Kind,
    MemoryBudget,
    NoMemoryError,
)
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    failure_response,
)
from cactusdyke.transport.safe_handler import respond

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]

MAX_BODY_BYTES = 1 << 20
BODY_TIMEOUT_MS = 5_000.0
DISCARDED_BODIES = 4
"""How much of a body that is too large is read on, in largest bodies."""
NO_MEMORY_RETRY_AFTER_MS = 1_000
SINGLE_HEADERS = frozenset(
    {"authorization", "idempotency-key", "traceparent", "content-length"}
)


class AsgiAdapter:
    """An ASGI application around one of our handlers."""

    def __init__(
        self,
        *,
        handler: Handler,
        clock: Clock,
        max_body_bytes: int = MAX_BODY_BYTES,
        body_timeout_ms: float = BODY_TIMEOUT_MS,
        budget: MemoryBudget | None = None,
        is_draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._body_timeout_ms = body_timeout_ms
        self._budget = budget or MemoryBudget(
            clock=clock, memory_mb=lambda: None
        )
        self._is_draining = is_draining

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Answers one HTTP exchange; the signature is ASGI's."""
        if scope["type"] != "http":
            return
        with self._budget.hold(Kind.BODIES) as held:
            await self._exchange(scope, receive, send, held)

    async def _exchange(
        self, scope: Message, receive: Receive, send: Send, held: Held
    ) -> None:
        closing = False
        match await self._read(scope, receive, held):
            case Ok(request):
                response = await respond(self._handler, request)
            case Err(failure):
                # The rest of a refused body is still on its way; a kept
                # connection would take it for the next request.
                closing = True
                response = failure_response(failure)
        closing = closing or self._is_draining()
        await _send_head(response, send, closing=closing)
        if isinstance(response.body, bytes):
            await send({"type": "http.response.body", "body": response.body})
        else:
            await _send_stream(response.body, receive, send)

    async def _read(
        self, scope: Message, receive: Receive, held: Held
    ) -> Result[Request, Failure]:
        headers: dict[str, str] = {}
        for raw_name, raw_value in scope["headers"]:
            name = raw_name.decode("latin-1").lower()
            if name in headers and name in SINGLE_HEADERS:
                return Err(_bad_request(f"The header {name!r} was sent twice"))
            headers[name] = raw_value.decode("latin-1")
        body: Result[bytes, Failure] = Err(
            _bad_request("The body was not sent in time")
        )
        with self._clock.timeout(self._body_timeout_ms):
            body = await self._read_body(receive, held)
        if isinstance(body, Err):
            return body
        query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
        return Ok(
            Request(
                method=scope["method"],
                path=scope["path"],
                query=dict(query),
                headers=headers,
                body=body.ok_value,
            )
        )

    async def _read_body(
        self, receive: Receive, held: Held
    ) -> Result[bytes, Failure]:
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(_bad_request("The caller left while sending"))
            part = message.get("body", b"")
            try:
                await held.add(len(part))
            except NoMemoryError:
                self._budget.record_refusal()
                return Err(_no_memory())
            body += part
            if len(body) > self._max_body_bytes:
                if message.get("more_body", False):
                    await self._discard_body(receive)
                return Err(
                    Failure(
                        kind=FailureKind.TOO_LARGE,
                        detail=f"The body is over {self._max_body_bytes} bytes",
                    )
                )
            if not message.get("more_body", False):
                return Ok(bytes(body))

    async def _discard_body(self, receive: Receive) -> None:
        """Reads on for a while, so that the caller can read the refusal.

        Closing a connection with unread bytes resets it, and the caller sees
        the reset instead of the answer that was sent before.
        """
        left = DISCARDED_BODIES * self._max_body_bytes
        while left > 0:
            message = await receive()
            left -= len(message.get("body", b""))
            if not message.get("more_body", False):
                return


def _no_memory() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail="No memory for the body became free",
        retry_after_ms=NO_MEMORY_RETRY_AFTER_MS,
    )


def _bad_request(detail: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, detail=detail)


async def _send_head(response: Response, send: Send, *, closing: bool) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    whole = isinstance(response.body, bytes)
    if whole:
        length = str(len(response.body)).encode()  # type: ignore[arg-type]
        headers.append((b"content-length", length))
    if closing:
        headers.append((b"connection", b"close"))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )


async def _send_stream(
    body: AsyncIterator[bytes], receive: Receive, send: Send
) -> None:
    """Sends a stream, and ends it at once when its caller has left.

    The server takes what is sent to a caller that has left and drops it
    (seen as an engine that generates to the end for nobody).
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
        async with contextlib.aclosing(body) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})
        tasks.cancel_scope.cancel()


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
