"""Callers for which bytes are pending; observed only as long as any are."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from typing import TYPE_CHECKING

import anyio.abc

from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.transport import sockets
from cactusdyke.transport.memory_budget import Held, Kind, Pace, Reader

if TYPE_CHECKING:
    import socket

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.memory_budget import MemoryBudget
    from cactusdyke.transport.tcp_stream import TcpStream

OBSERVE_INTERVAL_MS = 1_000.0


class PendingReader(Reader):
    """A caller whose socket has not taken all that was written."""

    def __init__(
        self,
        *,
        stream: TcpStream,
        budget: MemoryBudget,
        now: Instant,
        last_resort: bool,
    ) -> None:
        self._stream = stream
        self._socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._held = Held(budget, Kind.UNSENT)
        self._last_resort = last_resort
        self._written = 0
        self._pace = Pace(since=now, taken=self._taken)
        sockets.set_reader_patience(stream, unlimited=True)

    @property
    def held(self) -> Held:
        """The bytes that the socket has not taken."""
        return self._held

    @property
    def pace(self) -> Pace:
        """How fast the caller acknowledges bytes."""
        return self._pace

    @property
    def last_resort(self) -> bool:
        """Whether its response is to a request that may run only once."""
        return self._last_resort

    @property
    def _taken(self) -> int:
        """Bytes that the caller has acknowledged, up to a constant.

        What the kernel holds is not read yet. It takes bytes in large steps,
        which say nothing of the caller.
        """
        return (
            self._written - self._stream.unsent - _unacknowledged(self._socket)
        )

    def count(self, written: int = 0) -> None:
        """Counts what is held, after further bytes were written."""
        self._written += written
        self._held.set(self._stream.unsent)

    def observe(self, now: Instant) -> None:
        """Records how much the caller has read."""
        if not self._stream.closed:
            self._pace.record(now, self._taken)
        self.count()

    def disconnect(self) -> None:
        """Resets the connection."""
        if not self._stream.closed:
            sockets.reset_on_close(self._stream)
        self._stream.abort()


class SlowReaders:
    """Observes pending readers once a second, with one timer for all."""

    def __init__(self, *, clock: Clock, budget: MemoryBudget) -> None:
        self._clock = clock
        self._budget = budget
        self._timer: asyncio.TimerHandle | None = None

    def add(self, stream: TcpStream, *, last_resort: bool) -> PendingReader:
        """Begins to observe a caller for which bytes are pending.

        `remove` ends it.
        """
        reader = PendingReader(
            stream=stream,
            budget=self._budget,
            now=self._clock.now(),
            last_resort=last_resort,
        )
        self._budget.add_reader(reader)
        if self._timer is None:
            self._start_timer()
        reader.count()
        return reader

    def remove(self, reader: PendingReader) -> None:
        """Ends to observe a caller, and gives back what was held for it."""
        self._budget.remove_reader(reader)
        reader.held.release()

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            OBSERVE_INTERVAL_MS / MS_PER_SECOND, self._observe
        )

    def _observe(self) -> None:
        self._timer = None
        self._budget.observe_readers()
        if self._budget.readers:
            self._start_timer()


def _unacknowledged(raw: socket.socket) -> int:
    """Returns how many bytes the kernel holds until the caller has them."""
    try:
        answer = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every network stack tells it. What it has taken then counts as
        # read, and a slow caller is known by what it does not take.
        return 0
    size: int = struct.unpack("i", answer)[0]
    return size
