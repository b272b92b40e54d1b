"""Calls others over HTTP/1.1, on connections that are kept."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Self
from urllib.parse import quote, urlencode

import anyio
from result import Err, Ok, Result

from cactusdyke.background import keep_running
from cactusdyke.clock import Clock, SystemClock
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport import sockets
from cactusdyke.transport.bounded_stream import BoundedStream
from cactusdyke.transport.exchange import ExchangeError, SocketExchange
from cactusdyke.transport.kept_connections import (
    KeptConnection,
    KeptConnections,
)
from cactusdyke.transport.network import CallOptions, Incoming, Network
from cactusdyke.transport.tcp_stream import TcpStream, connect_tcp
from cactusdyke.transport.watchdog import Watchdog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from types import TracebackType

    from cactusdyke.transport.answer_parser import AnswerHead
    from cactusdyke.transport.messages import Request

CLEAN_EVERY_MS = 1_000.0


class _HttpIncoming(Incoming):
    """An answer under way."""

    def __init__(self, kept: KeptConnection, head: AnswerHead) -> None:
        self._kept = kept
        self._status = head.status
        self._headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> Mapping[str, str]:
        """Header values by lower-case name."""
        return self._headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes."""
        try:
            async for chunk in self._kept.exchange.body():
                yield chunk
        except ExchangeError as error:
            raise CactusdykeError(_lost(error)) from error


class HttpNetwork(Network):
    """Keeps idle connections, and opens fresh ones where asked."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._watchdog = Watchdog(clock=self._clock)
        self._kept = KeptConnections(clock=self._clock)
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
        tasks.start_soon(keep_running, self._watchdog.run)
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
        kept: KeptConnection | None = None
        try:
            opened: Result[Incoming, Failure]
            try:
                kept = await self._connection(address, options)
                if options.may_send is not None and not options.may_send():
                    raise ExchangeError(
                        f"{address}: the sender may no longer send", sent=False
                    )
                await kept.exchange.send(*_message(address, request))
                head = await kept.exchange.head()
                opened = Ok(_HttpIncoming(kept, head))
            except ExchangeError as error:
                opened = Err(_lost(error) if error.sent else _not_sent(error))
            yield opened
        finally:
            if kept is not None and not self._keep(kept):
                with anyio.CancelScope(shield=True):
                    await self._close(kept)

    async def _connection(
        self, address: str, options: CallOptions
    ) -> KeptConnection:
        kept = None if options.fresh else await self._kept.take(address)
        if kept is not None:
            kept.stream.use(options)
            return kept
        epoch = self._kept.epoch(address)
        stream = BoundedStream(
            stream=await self._connect(address, options),
            options=options,
            watchdog=self._watchdog,
            clock=self._clock,
        )
        return KeptConnection(
            stream=stream,
            exchange=SocketExchange(stream=stream, address=address),
            address=address,
            opened_at=self._clock.now(),
            epoch=epoch,
        )

    async def _connect(self, address: str, options: CallOptions) -> TcpStream:
        stream: TcpStream | None = None
        try:
            with self._clock.timeout(options.connect_timeout_ms):
                stream = await connect_tcp(address)
        except OSError as error:
            raise ExchangeError(f"{address}: {error!r}", sent=False) from error
        if stream is None:
            raise ExchangeError(f"{address}: no connection in time", sent=False)
        sockets.guard_against_silence(stream)
        return stream

    def _keep(self, kept: KeptConnection) -> bool:
        """Keeps a connection whose answer was read whole, if there is room."""
        return kept.exchange.is_reusable and self._kept.give_back(kept)

    async def _close(self, kept: KeptConnection) -> None:
        in_doubt = kept.exchange.sent and not kept.exchange.is_reusable
        await kept.aclose()
        if in_doubt:
            # Sent, and no whole answer: what is between may have lost track
            # of this connection, and then of its neighbours as well.
            await self._kept.doubt(kept.address)

    async def _clean(self) -> None:
        now = self._clock.now()
        if now - self._cleaned_at >= CLEAN_EVERY_MS:
            self._cleaned_at = now
            await self._kept.close_old()


def _message(
    address: str, request: Request
) -> tuple[str, str, list[tuple[bytes, bytes]], bytes]:
    target = quote(request.path)
    if request.query:
        target += "?" + urlencode(request.query)
    headers = {
        "host": address,
        "content-length": str(len(request.body)),
        **request.headers,
    }
    encoded = [(k.encode(), v.encode("latin-1")) for k, v in headers.items()]
    return request.method, target, encoded, request.body


def _lost(error: ExchangeError) -> Failure:
    return Failure(
        kind=FailureKind.CONNECTION_LOST,
        detail=f"The connection failed: {error}",
        ran=Ran.UNKNOWN,
    )


def _not_sent(error: ExchangeError) -> Failure:
    return Failure(
        kind=FailureKind.NOT_SENT,
        detail=f"No connection: {error}",
        ran=Ran.NOT_RUN,
    )
