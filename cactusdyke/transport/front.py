"""Listens to callers with h11, where uvicorn can't meet what is promised.

uvicorn offers no time-out for heads, does not say whether a request was read,
and can't break off an answer so that it does not look complete.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from cactusdyke import events
from cactusdyke.transport import sockets
from cactusdyke.transport.connection_limit import ConnectionLimit
from cactusdyke.transport.front_connection import FrontConnection, FrontState
from cactusdyke.transport.listener_shares import (
    MOST_CONNECTIONS,
    RECEIVE_BUFFER_BYTES,
)
from cactusdyke.transport.memory_budget import MemoryBudget
from cactusdyke.transport.request_reader import READ_BYTES
from cactusdyke.transport.slow_readers import SlowReaders
from cactusdyke.transport.tcp_stream import TcpListener, TcpStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream, TaskGroup

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.front_interface import FrontHandler, Limits

IDLE_LOOK_MS = 50.0
ACCEPT_PAUSE_MS = 100.0
"""After an error: descriptors are free again once other connections end."""


class Front:
    """Accepts callers' connections, a task each."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: FrontHandler,
        clock: Clock,
        limits: Callable[[], Limits],
        budget: MemoryBudget | None = None,
        connections: ConnectionLimit | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._clock = clock
        self._limits = limits
        self._state = FrontState()
        self._listener: TcpListener | None = None
        self._connections: set[FrontConnection] = set()
        self._budget = budget or MemoryBudget(
            clock=clock, memory_mb=lambda: None
        )
        self._limit = connections or ConnectionLimit(
            listener="front", most=lambda: MOST_CONNECTIONS, clock=clock
        )
        self._readers = SlowReaders(clock=clock, budget=self._budget)

    @property
    def in_flight(self) -> int:
        """Requests that were read and are not answered."""
        return sum(c.answering for c in self._connections)

    def close_connections(self) -> None:
        """Ends each connection with its next answer."""
        self._state.closing = True

    async def serve(self) -> None:
        """Serves until it is cancelled."""
        listener = self._listener = TcpListener(
            host=self._host,
            port=self._port,
            read_bytes=READ_BYTES,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )
        async with anyio.create_task_group() as connections, listener:
            await self._accept(listener, connections)

    async def _accept(
        self, listener: TcpListener, connections: TaskGroup
    ) -> None:
        while not self._state.ending:
            try:
                await listener.serve(self._connection, connections)
            except* anyio.ClosedResourceError:
                pass
            except* OSError as errors:
                # Callers that are not accepted wait in the listener's queue.
                events.log(events.Event.ACCEPT_FAILED, error=repr(errors))
                await self._clock.sleep(ACCEPT_PAUSE_MS)

    async def finish(self, *, refuse_at: Instant) -> None:
        """Ends `serve`: closes each connection once its requests are answered.

        Args:
            refuse_at: When requests that are still being read are refused.
        """
        with self._clock.timeout(refuse_at - self._clock.now()):
            while any(not c.idle for c in self._connections):
                await self._clock.sleep(IDLE_LOOK_MS)
        self._state.ending = True
        # Cancelled in place of closed, the listener would drop a caller that it
        # has just accepted.
        if self._listener is not None:
            await self._listener.aclose()
        for connection in self._connections:
            connection.close_if_idle()
        with self._clock.timeout(refuse_at - self._clock.now()):
            await self._wait_until_closed()
        self._state.refusing = True
        for connection in self._connections:
            connection.refuse_unread()
        await self._wait_until_closed()

    async def abort(self) -> None:
        """Ends every connection, whatever it is in the middle of."""
        for connection in tuple(self._connections):
            await connection.abort()

    async def _wait_until_closed(self) -> None:
        # A caller that was just accepted has no connection here yet.
        await self._clock.sleep(IDLE_LOOK_MS)
        while self._connections:
            await self._clock.sleep(IDLE_LOOK_MS)

    async def _connection(self, stream: SocketStream) -> None:
        assert isinstance(stream, TcpStream)
        connection = FrontConnection(
            stream=stream,
            handler=self._handler,
            clock=self._clock,
            limits=self._limits,
            state=self._state,
            budget=self._budget,
            readers=self._readers,
            connections=self._limit,
        )
        if not self._limit.admit(connection):
            stream.abort()
            return
        self._connections.add(connection)
        try:
            sockets.guard_reader_against_silence(stream)
            await connection.run()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The caller is gone, which ends what it asked for.
            pass
        except* Exception as errors:
            # A bug met by one request must not end the requests of all other
            # callers with the process.
            events.log(
                events.Event.INTERNAL_ERROR, path="front", error=repr(errors)
            )
        finally:
            self._connections.discard(connection)
            self._limit.remove(connection)
            stream.abort()
