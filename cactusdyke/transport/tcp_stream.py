"""TCP connections whose reads and writes return without a turn of the loop.

anyio's own streams stop and start reading around each receive, and let the
loop turn once more after each send. A daemon that passes on thousands of small
events a second spends more on that than on the events.
"""

from __future__ import annotations

import asyncio
import collections
import errno
import socket
from typing import TYPE_CHECKING, TypeVar

import anyio
import anyio.abc
import anyio.lowlevel

from cactusdyke.transport.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import Callable

ProtocolType = TypeVar("ProtocolType", bound=asyncio.Protocol)

BACKLOG = 1_024
READ_BYTES = 65_536
"""Of one read. With more than this unread, nothing more is read from the
socket."""


class _Protocol(asyncio.Protocol):
    """Keeps what has come until it is received."""

    def __init__(self, *, read_bytes: int = READ_BYTES) -> None:
        self._read_bytes = read_bytes
        self._transport: asyncio.Transport | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread = 0
        self._paused = False
        self._at_end = False
        self._lost = False
        self._error: Exception | None = None
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_received: Callable[[], None] | None = None

    @property
    def at_end(self) -> bool:
        """Whether the other side has ended, or the connection is lost."""
        return self._at_end or self._lost

    @property
    def lost(self) -> bool:
        """Whether the connection has ended."""
        return self._lost

    @property
    def error(self) -> Exception | None:
        """What ended the connection, if it was an error."""
        return self._error

    @property
    def writable(self) -> bool:
        """Whether the socket has taken all that was written."""
        return self._writable is None and not self._lost

    @property
    def unread(self) -> int:
        """How many bytes wait to be received."""
        return self._unread

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read; each write counts as waiting until it is sent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.max_size = self._read_bytes  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Keeps what has come."""
        self._chunks.append(data)
        self._unread += len(data)
        if self._unread > self._read_bytes and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        if self.on_received is not None:
            self.on_received()
        _wake(self._readable)

    def eof_received(self) -> bool:
        """Notes that the other side has ended; this side may still write."""
        self._at_end = True
        _wake(self._readable)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all waits."""
        self._lost = True
        self._error = exc
        _wake(self._readable)
        _wake(self._writable)

    def pause_writing(self) -> None:
        """Notes that the socket took only a part of what was written."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Notes that all is written."""
        _wake(self._writable)
        self._writable = None
        if self.on_drained is not None:
            self.on_drained()

    def take(self, most: int) -> bytes:
        """Returns what has come, at most so many bytes; empty for nothing."""
        if not self._chunks:
            return b""
        data = self._chunks.popleft()
        if len(data) > most:
            self._chunks.appendleft(data[most:])
            data = data[:most]
        self._unread -= len(data)
        self._read_on()
        return data

    def drop_unread(self) -> None:
        """Forgets what has come and was not received."""
        self._chunks.clear()
        self._unread = 0
        self._read_on()

    def _read_on(self) -> None:
        if self._paused and self._unread <= self._read_bytes:
            self._paused = False
            if self._transport is not None and not self._lost:
                self._transport.resume_reading()

    async def wait_readable(self) -> None:
        """Returns once something has come, or the connection has ended."""
        self._readable = asyncio.get_running_loop().create_future()
        try:
            await self._readable
        finally:
            self._readable = None

    async def wait_writable(self) -> None:
        """Returns once all is written, or the connection has ended."""
        if self._writable is not None and not self._lost:
            await asyncio.shield(self._writable)


def _wake(waiting: asyncio.Future[None] | None) -> None:
    if waiting is not None and not waiting.done():
        waiting.set_result(None)


class TcpStream(anyio.abc.SocketStream):
    """One TCP connection."""

    def __init__(
        self, transport: asyncio.Transport, protocol: _Protocol
    ) -> None:
        self._transport = transport
        self._protocol = protocol
        self._closed = False
        self._receiving = False

    @property
    def _raw_socket(self) -> socket.socket:
        raw: socket.socket = self._transport.get_extra_info("socket")
        return raw

    @property
    def quiet(self) -> bool:
        """Whether the connection is open and holds nothing to be received."""
        return not (
            self._closed or self._protocol.at_end or self._protocol.unread
        )

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, or was closed here."""
        return self._closed or self._protocol.lost

    @property
    def unread(self) -> int:
        """How many bytes were read from the socket and not received."""
        return self._protocol.unread

    @property
    def unsent(self) -> int:
        """How many written bytes the socket has not taken."""
        return self._transport.get_write_buffer_size()

    def call_when_drained(self, callback: Callable[[], None] | None) -> None:
        """Sets what is called each time the socket has taken all bytes.

        It is called only after a write that the socket took in part.
        """
        self._protocol.on_drained = callback

    def call_when_received(self, callback: Callable[[], None] | None) -> None:
        """Sets what is called each time bytes were read from the socket."""
        self._protocol.on_received = callback

    def drop_unread(self) -> None:
        """Forgets the bytes that were read and not received."""
        self._protocol.drop_unread()

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Returns the next bytes.

        Raises:
            anyio.EndOfStream: The other side has ended.
            anyio.BrokenResourceError: The connection was reset.
            anyio.ClosedResourceError: It was closed here.
            anyio.BusyResourceError: Another task receives already.
        """
        data = self._protocol.take(max_bytes)
        if data:
            return data
        if self._receiving:
            raise anyio.BusyResourceError("reading from")
        # What woke it up may have been dropped.
        while not (data or self._closed or self._protocol.at_end):
            self._receiving = True
            try:
                await self._protocol.wait_readable()
            finally:
                self._receiving = False
            data = self._protocol.take(max_bytes)
        if data:
            return data
        if self._closed:
            raise anyio.ClosedResourceError
        if self._protocol.error is not None:
            raise anyio.BrokenResourceError from self._protocol.error
        raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Returns once the socket has taken all bytes.

        Raises:
            anyio.BrokenResourceError: The connection has ended.
            anyio.ClosedResourceError: It was closed here.
        """
        await self._protocol.wait_writable()
        if not self.write(item):
            await self.drain()

    def write(self, item: bytes) -> bool:
        """Hands bytes to the socket, behind those that it has not taken yet.

        Returns:
            Whether the socket has taken all of them; otherwise `drain` waits
            until it has.

        Raises:
            anyio.BrokenResourceError: The connection has ended.
            anyio.ClosedResourceError: It was closed here.
        """
        self._check_open()
        try:
            self._transport.write(item)
        except RuntimeError as error:
            raise anyio.BrokenResourceError from error
        # The transport drops what it is given after an error, and tells the
        # protocol of the error in a later turn of the loop.
        if self._transport.is_closing():
            raise anyio.BrokenResourceError
        return self._protocol.writable

    async def drain(self) -> None:
        """Returns once the socket has taken all bytes.

        Raises:
            anyio.BrokenResourceError: The connection has ended.
            anyio.ClosedResourceError: It was closed here.
        """
        await self._protocol.wait_writable()
        self._check_open()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._protocol.lost:
            raise anyio.BrokenResourceError from self._protocol.error

    async def send_eof(self) -> None:
        """Ends this side; the other one may still send."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._closed = True
        self._transport.abort()

    async def aclose(self) -> None:
        """Ends the connection at once."""
        self.abort()
        await anyio.lowlevel.checkpoint()


class TcpListener(anyio.abc.SocketListener):
    """Accepts TCP connections on one address.

    Args:
        host: The address to listen on.
        port: The port to listen on.
        read_bytes: How much is read from a connection at a time; twice as much
            is kept unread at most.
        receive_buffer_bytes: What the kernel keeps of each, None for its own
            choice.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        read_bytes: int = READ_BYTES,
        receive_buffer_bytes: int | None = None,
    ) -> None:
        self._socket = listen(
            host, port, receive_buffer_bytes=receive_buffer_bytes
        )
        self._read_bytes = read_bytes
        self._socket.setblocking(False)
        self._closed = False

    @property
    def _raw_socket(self) -> socket.socket:
        return self._socket

    async def accept(self) -> TcpStream:
        """Returns the next connection.

        Raises:
            anyio.ClosedResourceError: The listener was closed.
            OSError: The connection could not be accepted.
        """
        while not self._closed:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                await anyio.wait_readable(self._socket)
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop = asyncio.get_running_loop()
            transport, protocol = await loop.connect_accepted_socket(
                lambda: _Protocol(read_bytes=self._read_bytes), accepted
            )
            return TcpStream(transport, protocol)
        raise anyio.ClosedResourceError

    async def aclose(self) -> None:
        """Accepts nothing more."""
        if not self._closed:
            self._closed = True
            anyio.notify_closing(self._socket)
            self._socket.close()
        await anyio.lowlevel.checkpoint()


async def connect_tcp(address: str) -> TcpStream:
    """Opens a connection to `host:port`.

    Raises:
        OSError: No connection could be made.
    """
    transport, protocol = await connect_protocol(_Protocol, address)
    return TcpStream(transport, protocol)


async def connect_protocol(
    factory: Callable[[], ProtocolType], address: str
) -> tuple[asyncio.Transport, ProtocolType]:
    """Opens a connection to `host:port` that a protocol handles.

    Raises:
        OSError: No connection could be made.
    """
    try:
        parsed = NetworkAddress.parse(address)
    except ValueError as error:
        raise OSError(errno.EINVAL, str(error)) from error
    loop = asyncio.get_running_loop()
    return await loop.create_connection(factory, parsed.host, parsed.port)


def listen(
    host: str, port: int, *, receive_buffer_bytes: int | None = None
) -> socket.socket:
    """Returns a listening TCP socket.

    Args:
        host: The address to listen on.
        port: The port to listen on.
        receive_buffer_bytes: What the kernel keeps of each connection that is
            not read; by itself it lets the buffer grow to megabytes.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only where the protocol is named.
    # Without it an answer in two writes waits for the delayed acknowledgement
    # of the first, which shows as 40 ms on every request.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer_bytes is not None:
        # Set before a connection is made, whose window follows from it. Linux
        # doubles the value.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes // 2
        )
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener
