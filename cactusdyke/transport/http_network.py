"""Calls others over HTTP/1.1 with httpcore."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Self
from urllib.parse import quote, urlencode

import anyio
import httpcore
from result import Err, Ok, Result

from cactusdyke.clock import MS_PER_SECOND, Clock, SystemClock
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.kept_connections import (
    KeptConnection,
    KeptConnections,
)
from cactusdyke.transport.network import CallOptions, Incoming, Network
from cactusdyke.transport.watchdog import Watchdog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping
    from types import TracebackType

    from cactusdyke.transport.messages import Request

CLEAN_EVERY_MS = 1_000.0
HANDED_OVER_EVENT = "http11.send_request_headers.started"

_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
)


class _HttpIncoming(Incoming):
    """An httpcore response under way."""

    def __init__(self, response: httpcore.Response, address: str) -> None:
        self._response = response
        self._address = address
        self._headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Header values by lower-case name."""
        return self._headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except _FAILURES as error:
            raise CactusdykeError(_lost(self._address, error)) from error


class _HandOver:
    """Notes whether a byte of the request was handed to a connection."""

    def __init__(self, may_send: Callable[[], bool] | None) -> None:
        self._may_send = may_send
        self.happened = False

    async def __call__(self, name: str, info: Mapping[str, Any]) -> None:
        if name != HANDED_OVER_EVENT:
            return
        if self._may_send is not None and not self._may_send():
            raise httpcore.LocalProtocolError("the sender may no longer send")
        self.happened = True


class HttpNetwork(Network):
    """Keeps idle connections, and opens fresh ones where asked."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._watchdog = Watchdog(clock=self._clock)
        self._kept = KeptConnections(clock=self._clock, watchdog=self._watchdog)
        self._cleaned_at = self._clock.now()
        self._stack = contextlib.AsyncExitStack()

    @property
    def idle_connections(self) -> int:
        """How many connections wait for their next request."""
        return len(self._kept)

    async def __aenter__(self) -> Self:
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        self._stack.push_async_callback(self._kept.aclose)
        tasks.start_soon(self._watchdog.run, name="connection watchdog")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: Request, options: CallOptions
    ) -> AsyncIterator[Result[Incoming, Failure]]:
        """Sends a request and gives its response while the block runs."""
        await self._clean()
        hand_over = _HandOver(options.may_send)
        outgoing = _to_httpcore(address, request, options, hand_over)
        kept = None if options.fresh else await self._kept.take(address)
        if kept is None:
            kept = self._kept.open(address)
        kept.backend.use(options)
        response: httpcore.Response | None = None
        try:
            opened: Result[Incoming, Failure]
            try:
                response = await kept.connection.handle_async_request(outgoing)
                opened = Ok(_HttpIncoming(response, address))
            except _FAILURES as error:
                if hand_over.happened:
                    opened = Err(_lost(address, error))
                else:
                    opened = Err(_not_sent(address, error))
            yield opened
        finally:
            with anyio.CancelScope(shield=True):
                await self._end(kept, response, hand_over)

    async def _end(
        self,
        kept: KeptConnection,
        response: httpcore.Response | None,
        hand_over: _HandOver,
    ) -> None:
        if response is not None:
            # httpcore closes the connection unless the answer was read whole.
            await response.aclose()
            if kept.connection.is_idle():
                await self._kept.give_back(kept)
                return
        await kept.connection.aclose()
        if hand_over.happened:
            # Sent, and no whole answer: what is between may have lost track
            # of this connection, and then of its neighbours as well.
            await self._kept.doubt(kept.address)

    async def _clean(self) -> None:
        now = self._clock.now()
        if now - self._cleaned_at >= CLEAN_EVERY_MS:
            self._cleaned_at = now
            await self._kept.close_old()


def _to_httpcore(
    address: str,
    request: Request,
    options: CallOptions,
    hand_over: _HandOver,
) -> httpcore.Request:
    target = quote(request.path)
    if request.query:
        target += "?" + urlencode(request.query)
    connect_s = options.connect_timeout_ms / MS_PER_SECOND
    return httpcore.Request(
        request.method,
        f"http://{address}{target}",
        headers=[
            ("host", address),
            ("content-length", str(len(request.body))),
            *request.headers.items(),
        ],
        content=request.body,
        extensions={
            "trace": hand_over,
            "timeout": {"connect": connect_s},
        },
    )


def _lost(address: str, error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.CONNECTION_LOST,
        detail=f"The connection to {address} failed: {_name(error)}",
        ran=Ran.UNKNOWN,
    )


def _not_sent(address: str, error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.NOT_SENT,
        detail=f"No connection to {address}: {_name(error)}",
        ran=Ran.NOT_RUN,
    )


def _name(error: Exception) -> str:
    return f"{type(error).__name__} {error}".strip()
