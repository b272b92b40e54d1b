"""TCP connections for httpcore whose waits can be bounded as they go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore

from cactusdyke.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

    from cactusdyke.clock import Clock
    from cactusdyke.transport.network import CallOptions


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens the TCP connection of one `AsyncHTTPConnection`.

    httpcore takes one read time-out for a whole answer. A stream may take long
    for its first token and little for the next, and a deadline comes nearer;
    a time-out around each read instead costs as much again as the read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._inner = httpcore.AnyIOBackend()
        self._options: CallOptions | None = None

    def use(self, options: CallOptions) -> None:
        """Sets whose waits bound the answer that comes next."""
        self._options = options

    def wait_s(self, timeout: float | None) -> float | None:
        """Returns how long the next read may wait, in seconds."""
        if self._options is None or self._options.limit is None:
            return timeout
        return self._options.wait_ms(self._clock) / MS_PER_SECOND

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects; the signature is httpcore's."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _BoundedStream(stream, self)

    async def sleep(self, seconds: float) -> None:
        """Waits; httpcore calls it between its own retries, which are off."""
        await self._inner.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Reads for as long as the backend says."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, backend: BoundedBackend
    ) -> None:
        self._stream = stream
        self._backend = backend

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return await self._stream.read(max_bytes, self._backend.wait_s(timeout))

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)
