"""A TCP connection whose waits are bounded by a watchdog."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from cactusdyke.transport.tcp_stream import READ_BYTES
from cactusdyke.transport.watchdog import Watchdog, Watched

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.network import CallOptions
    from cactusdyke.transport.tcp_stream import TcpStream


class NoProgressError(anyio.BrokenResourceError):
    """A wait has taken too long, and the connection was ended."""


class BoundedStream(anyio.abc.ByteStream, Watched):
    """A connection that ends where a wait takes longer than a call allows."""

    def __init__(
        self,
        *,
        stream: TcpStream,
        options: CallOptions,
        watchdog: Watchdog,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._options = options
        self._watchdog = watchdog
        self._clock = clock
        self._began: Instant = 0.0
        self._waits = False
        self._given_up = False

    @property
    def quiet(self) -> bool:
        """Whether the connection is open and nothing has come on it."""
        return self._stream.quiet

    @property
    def readable(self) -> bool:
        """Whether the kernel has something to be read, or its end."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def wait_until(self) -> Instant:
        """Instant at which the present wait has taken too long."""
        if self._options.limit is not None:
            return self._options.limit.until
        return self._began + self._options.progress_timeout_ms

    @property
    def is_adjustable(self) -> bool:
        """Whether the instant may be moved during the wait."""
        return self._options.limit is not None

    def use(self, options: CallOptions) -> None:
        """Sets whose limits bound the waits from now on."""
        self._options = options

    async def give_up(self) -> None:
        """Closes the connection, which ends the wait, unless it may go on."""
        if not self._waits:
            return
        limit = self._options.limit
        if limit is not None and not limit.is_over(self._clock.now()):
            self._watchdog.begin(self)
            return
        self._given_up = True
        await anyio.aclose_forcefully(self._stream)

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Returns the next bytes.

        Raises:
            NoProgressError: None came in time.
            anyio.EndOfStream: The other side has ended.
            anyio.BrokenResourceError: The connection was reset.
        """
        self._begin()
        try:
            return await self._stream.receive(max_bytes)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._broken() from error
        finally:
            self._end()

    async def send(self, item: bytes) -> None:
        """Returns once the socket has taken all bytes.

        Raises:
            NoProgressError: It took none in time.
            anyio.BrokenResourceError: The connection was reset.
        """
        self._begin()
        try:
            await self._stream.send(item)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._broken() from error
        finally:
            self._end()

    async def send_eof(self) -> None:
        """Ends this side of the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Ends the connection at once."""
        await self._stream.aclose()

    def _begin(self) -> None:
        self._began = self._clock.now()
        self._waits = True
        self._watchdog.begin(self)

    def _end(self) -> None:
        self._waits = False
        self._watchdog.end(self)

    def _broken(self) -> anyio.BrokenResourceError:
        if self._given_up:
            return NoProgressError("no progress")
        return anyio.BrokenResourceError("the connection was reset")
