"""TCP connections for httpcore whose waits are bounded by a watchdog."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import httpcore

from cactusdyke.clock import MS_PER_SECOND, Clock, Instant
from cactusdyke.transport.sockets import guard_against_silence
from cactusdyke.transport.watchdog import Watchdog, Watched

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

    from cactusdyke.transport.network import CallOptions


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens the TCP connection of one `AsyncHTTPConnection`."""

    def __init__(self, *, clock: Clock, watchdog: Watchdog) -> None:
        self._clock = clock
        self._watchdog = watchdog
        self._options: CallOptions | None = None

    def use(self, options: CallOptions) -> None:
        """Sets whose limits bound the waits from now on."""
        self._options = options

    def wait_until(self, began: Instant) -> Instant:
        """Returns when a wait that began then has taken too long."""
        if self._options is None:
            return began
        if self._options.limit is not None:
            return self._options.limit.until
        return began + self._options.progress_timeout_ms

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects; the signature is httpcore's."""
        del local_address, socket_options
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        guard_against_silence(stream)
        return _BoundedStream(stream, self, self._watchdog, self._clock)

    async def sleep(self, seconds: float) -> None:
        """Waits; httpcore calls it between its own retries, which are off."""
        await self._clock.sleep(seconds * MS_PER_SECOND)


class _BoundedStream(httpcore.AsyncNetworkStream, Watched):
    """An anyio stream as httpcore wants it."""

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        backend: BoundedBackend,
        watchdog: Watchdog,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._backend = backend
        self._watchdog = watchdog
        self._clock = clock
        self._began = 0.0
        self._given_up = False

    @property
    def wait_until(self) -> Instant:
        return self._backend.wait_until(self._began)

    async def give_up(self) -> None:
        self._given_up = True
        await anyio.aclose_forcefully(self._stream)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        del timeout
        self._began = self._clock.now()
        self._watchdog.begin(self)
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            if self._given_up:
                raise httpcore.ReadTimeout("no progress") from error
            raise httpcore.ReadError(str(error)) from error
        finally:
            self._watchdog.end(self)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        del timeout
        if not buffer:
            return
        self._began = self._clock.now()
        self._watchdog.begin(self)
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            if self._given_up:
                raise httpcore.WriteTimeout("no progress") from error
            raise httpcore.WriteError(str(error)) from error
        finally:
            self._watchdog.end(self)

    async def aclose(self) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise httpcore.UnsupportedProtocol("only plain TCP is spoken here")

    def get_extra_info(self, info: str) -> Any:
        if info != "is_readable":
            return None
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        return _is_readable(raw)


def _is_readable(raw: Any) -> bool:
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
