"""Connections that another daemon makes, by HTTP's CONNECT."""

from __future__ import annotations

import abc
import asyncio
import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.transport import sockets
from cactusdyke.transport.exchange import (
    Exchange,
    ExchangeError,
    SocketExchange,
)
from cactusdyke.transport.memory_budget import Held, Kind
from cactusdyke.transport.messages import Response
from cactusdyke.transport.network_address import NetworkAddress
from cactusdyke.transport.tcp_stream import (
    TcpStream,
    connect_protocol,
    connect_tcp,
)
from cactusdyke.transport.tunnel_framing import (
    END_MARK,
    HEADER_NAME,
    HEADER_VALUE,
    TunnelStream,
    frame_header,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager, AbstractContextManager

    from cactusdyke.clock import Clock
    from cactusdyke.transport.memory_budget import MemoryBudget

CONNECT_TIMEOUT_MS = 150.0
"""For the connection to the other end, at the daemon that makes it."""
TUNNEL_TIMEOUT_MS = 400.0
"""For the whole tunnel, at the daemon that asks for it."""
MAX_HEAD_BYTES = 4_096
COPIED_BYTES = 16_384
"""Up to here a copy costs less than a second call of the system."""
ESTABLISHED = b"HTTP/1.1 200 Connection established\r\n\r\n"
FRAMED_ESTABLISHED = (
    "HTTP/1.1 200 Connection established\r\n"
    f"{HEADER_NAME}: {HEADER_VALUE}\r\n\r\n"
).encode()
OK_STATUS = 200
REFUSED_STATUS = 502
UNAVAILABLE_STATUS = 503
NOT_WANTED_STATUS = 429
TIMEOUT_STATUS = 504


class TunnelUnavailableError(Exception):
    """A daemon makes no such connection, which says nothing of its other end.

    Nothing was sent through it.
    """


class TunnelNotWantedError(TunnelUnavailableError):
    """A backend server wants nothing from a daemon, which still relays others.

    Nothing was sent through it.
    """


class Tunnels(abc.ABC):
    """Opens connections to backend servers through other daemons."""

    @abc.abstractmethod
    def connect(
        self, relay: str, address: str
    ) -> AbstractAsyncContextManager[Exchange]:
        """Opens a connection for one exchange, and closes it.

        Args:
            relay: Address of the daemon that makes the connection.
            address: Address of the backend server.

        Raises:
            ExchangeError: The other daemon does not reach the backend server.
            TunnelUnavailableError: The other daemon makes no connection.
        """


class TunnelGate(abc.ABC):
    """Decides which connections a daemon makes for others.

    Attributes:
        budget: Counts what the tunnels hold, if there is one.
    """

    budget: MemoryBudget | None = None

    @abc.abstractmethod
    def admit(self, address: str) -> AbstractContextManager[None]:
        """Counts a tunnel while the block runs.

        Raises:
            TunnelUnavailableError: The tunnel must be asked of another daemon.
        """

    @abc.abstractmethod
    async def reaches_others(self, address: str) -> bool:
        """Returns whether backend servers other than the one are reached.

        If not, a connection that fails says nothing of its other end.
        """

    @abc.abstractmethod
    def record_connected(self, address: str) -> None:
        """Records that the other end of a tunnel was reached."""


class SocketTunnels(Tunnels):
    """Opens tunnels over TCP."""

    def __init__(
        self, *, clock: Clock, budget: MemoryBudget | None = None
    ) -> None:
        self._clock = clock
        self._budget = budget

    @contextlib.asynccontextmanager
    async def connect(
        self, relay: str, address: str
    ) -> AsyncIterator[Exchange]:
        """Opens a connection for one exchange, and closes it.

        Raises:
            ExchangeError: The other daemon does not reach the backend server.
            TunnelUnavailableError: The other daemon makes no connection.
        """
        try:
            target = str(NetworkAddress.parse(address))
        except ValueError as error:
            raise ExchangeError(str(error), sent=False) from error
        stream: TcpStream | None = None
        opened = _Opened(status=0)
        try:
            try:
                with self._clock.timeout(TUNNEL_TIMEOUT_MS):
                    stream = await connect_tcp(relay)
                    opened = await _ask(stream, target)
            except (OSError, anyio.BrokenResourceError) as error:
                raise TunnelUnavailableError(f"{relay}: {error}") from error
            _check(opened.status, relay, address)
            assert stream is not None
            sockets.guard_against_silence(stream)
            yield SocketExchange(
                stream=TunnelStream(stream, framed=opened.framed),
                address=address,
                budget=self._budget,
            )
        finally:
            if stream is not None:
                stream.abort()


@attrs.frozen(kw_only=True)
class _Opened:
    """How a daemon answered that was asked for a tunnel.

    Attributes:
        status: The status of its answer, 0 if it was none.
        framed: Whether it frames what it passes on.
    """

    status: int
    framed: bool = False


async def _ask(stream: TcpStream, address: str) -> _Opened:
    """Asks for a tunnel."""
    head = (
        f"CONNECT {address} HTTP/1.1\r\nhost: {address}\r\n"
        f"{HEADER_NAME}: {HEADER_VALUE}\r\n\r\n"
    )
    await stream.send(head.encode("latin-1"))
    answer = b""
    while b"\r\n\r\n" not in answer and len(answer) < MAX_HEAD_BYTES:
        try:
            answer += await stream.receive()
        except anyio.EndOfStream:
            return _Opened(status=0)
    parts = answer.split(b" ", 2)
    is_status = len(parts) > 1 and parts[1].isdigit()
    status = int(parts[1]) if is_status else 0
    # What follows the head of an accepted tunnel can be no answer yet.
    if status == OK_STATUS and not answer.endswith(b"\r\n\r\n"):
        return _Opened(status=0)
    return _Opened(status=status, framed=answer == FRAMED_ESTABLISHED)


def _check(status: int, relay: str, address: str) -> None:
    if status in {REFUSED_STATUS, TIMEOUT_STATUS}:
        raise ExchangeError(
            f"{address}: not reached from {relay} either",
            sent=False,
            refused=status == REFUSED_STATUS,
        )
    if status == NOT_WANTED_STATUS:
        raise TunnelNotWantedError(f"{relay}: {address} wants nothing from it")
    if status != OK_STATUS:
        raise TunnelUnavailableError(f"{relay}: answered {status}")


class _End(asyncio.Protocol):
    """One end of a tunnel; what it receives is written to the other."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._other: _End | None = None
        self._held: Held | None = None

    def join(
        self,
        transport: asyncio.Transport,
        other: _End,
        budget: MemoryBudget | None,
    ) -> None:
        """Begins to pass bytes on; counts those that the socket has not taken.

        The other end is not read meanwhile, so that there are no more of them
        than one read brings.
        """
        self._transport = transport
        self._other = other
        if budget is not None:
            self._held = Held(budget, Kind.TUNNELS)
            transport.set_write_buffer_limits(0)

    def release(self) -> None:
        """Gives back what was counted."""
        if self._held is not None:
            self._held.release()
            self._held = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the connection; bytes wait in its socket until it is joined."""
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Passes bytes on."""
        if self._other is not None:
            self._other.write(data)

    def pause_writing(self) -> None:
        """Stops the other end from reading."""
        if self._held is not None and self._transport is not None:
            self._held.set(self._transport.get_write_buffer_size())
        if self._other is not None:
            self._other.set_reading(False)

    def resume_writing(self) -> None:
        """Lets the other end read again."""
        if self._held is not None:
            self._held.set(0)
        if self._other is not None:
            self._other.set_reading(True)

    def write(self, data: bytes) -> None:
        """Writes bytes that came at the other end."""
        self._write(data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def set_reading(self, reading: bool) -> None:
        """Stops or resumes reading."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Resets the connection: an answer cut short must not look whole."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        sockets.reset_socket_on_close(transport.get_extra_info("socket"))
        transport.abort()


class _AskerEnd(_End):
    """The end of the daemon that asked for the tunnel.

    That daemon ends its side only as it gives the request up.
    """

    def __init__(self, *, framed: bool) -> None:
        super().__init__()
        self._framed = framed
        self.ended = asyncio.get_running_loop().create_future()

    def write(self, data: bytes) -> None:
        """Writes bytes of the backend server."""
        if not self._framed:
            self._write(data)
            return
        header = frame_header(len(data))
        if len(data) < COPIED_BYTES:
            self._write(header + data)
        else:
            self._write(header)
            self._write(data)

    def finish(self) -> None:
        """Ends the connection in order, as the backend server has done."""
        if self._framed:
            self._write(END_MARK)
        if self._transport is not None:
            self._transport.close()

    def eof_received(self) -> bool:
        """Ends the other connection."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other connection."""
        del exc
        if self._other is not None:
            self._other.abort()
        if not self.ended.done():
            self.ended.set_result(None)


class _ServerEnd(_End):
    """The end of the backend server."""

    def __init__(self) -> None:
        super().__init__()
        self._asker: _AskerEnd | None = None

    def join_asker(
        self,
        transport: asyncio.Transport,
        asker: _AskerEnd,
        budget: MemoryBudget | None,
    ) -> None:
        """Begins to pass bytes on to the asker."""
        self._asker = asker
        self.join(transport, asker, budget)

    def eof_received(self) -> bool:
        """Ends the asker's connection behind all that came."""
        if self._asker is not None:
            self._asker.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Resets the asker's connection unless it has ended in order."""
        del exc
        if self._asker is not None:
            self._asker.reset()


async def serve_tunnel(
    asker: asyncio.Transport,
    address: str,
    gate: TunnelGate,
    *,
    framed: bool = False,
) -> Response | None:
    """Connects to an address and passes bytes on until either side ends.

    Args:
        asker: The connection of the daemon that asks; it reads nothing yet.
        address: Where to connect.
        gate: Decides whether to.
        framed: Whether the asker wants to be told how the tunnel ended.

    Returns:
        Why there is no tunnel, as the answer to send; None once one has ended.
    """
    try:
        with gate.admit(address):
            try:
                transport, end = await _connect_to_server(address)
            except OSError as error:
                return await _failed(error, address, gate)
            gate.record_connected(address)
            await _pass_on(asker, transport, end, gate.budget, framed=framed)
            return None
    except TunnelNotWantedError:
        return Response(status=NOT_WANTED_STATUS)
    except TunnelUnavailableError:
        return Response(status=UNAVAILABLE_STATUS)


async def _failed(error: OSError, address: str, gate: TunnelGate) -> Response:
    if not await gate.reaches_others(address):
        return Response(status=UNAVAILABLE_STATUS)
    is_refused = isinstance(error, ConnectionRefusedError)
    return Response(status=REFUSED_STATUS if is_refused else TIMEOUT_STATUS)


async def _connect_to_server(
    address: str,
) -> tuple[asyncio.Transport, _ServerEnd]:
    async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
        return await connect_protocol(_ServerEnd, address)


async def _pass_on(
    asker: asyncio.Transport,
    server: asyncio.Transport,
    server_end: _ServerEnd,
    budget: MemoryBudget | None,
    *,
    framed: bool,
) -> None:
    asker_end = _AskerEnd(framed=framed)
    for transport in (asker, server):
        raw: socket.socket = transport.get_extra_info("socket")
        sockets.guard_socket_against_silence(raw)
    asker_end.join(asker, server_end, budget)
    server_end.join_asker(server, asker_end, budget)
    asker.set_protocol(asker_end)
    if asker.is_closing():
        server.abort()
        return
    asker.write(FRAMED_ESTABLISHED if framed else ESTABLISHED)
    try:
        asker.resume_reading()
        server.resume_reading()
        await asker_end.ended
    finally:
        asker_end.release()
        server_end.release()
        asker.abort()
        server.abort()
