"""Listens for HTTP with uvicorn, with signals left to the daemon."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING

import anyio
import uvicorn

from cactusdyke.clock import SystemClock
from cactusdyke.transport.connection import Connection
from cactusdyke.transport.connection_limit import ConnectionLimit
from cactusdyke.transport.listener_shares import (
    MOST_CONNECTIONS,
    RECEIVE_BUFFER_BYTES,
)
from cactusdyke.transport.tcp_stream import listen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.transport.asgi import AsgiAdapter

BACKLOG = 128
"""The event loop accepts so many connections in one turn, before any of them
is counted."""
KEEP_ALIVE_S = 75
FLUSH_S = 30
"""How long a stop waits for callers to read answers that are complete."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the process's signals alone.

    uvicorn closes its listener at SIGTERM at once. Callers still hold the
    address then, so the daemon drains first and stops the server at the end.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_asked = anyio.Event()

    def ask_to_exit(self) -> None:
        """Ends `serve` once the answers under way are sent."""
        self.should_exit = True
        self._exit_asked.set()

    async def main_loop(self) -> None:
        """Sleeps until the end; uvicorn's own looks ten times a second."""
        await self.on_tick(0)
        await self._exit_asked.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves one ASGI application on one address until told to stop."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        adapter: AsgiAdapter,
        connections: ConnectionLimit | None = None,
    ) -> None:
        self._socket = listen(
            host, port, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
        )
        limit = connections or ConnectionLimit(
            listener="own", most=lambda: MOST_CONNECTIONS, clock=SystemClock()
        )
        self._stopped = anyio.Event()
        self._server = _Server(
            uvicorn.Config(
                adapter,
                http=functools.partial(Connection, limit=limit),  # type: ignore[arg-type]
                loop="asyncio",
                lifespan="off",
                access_log=False,
                log_level="warning",
                backlog=BACKLOG,
                timeout_keep_alive=KEEP_ALIVE_S,
                timeout_graceful_shutdown=FLUSH_S,
                server_header=False,
                date_header=False,
            )
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._socket.getsockname()[1])

    async def serve(self) -> None:
        """Serves until `stop` is called and the open answers are sent."""
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Ends `serve` once the answers under way are sent."""
        self._server.ask_to_exit()

    async def wait_stopped(self) -> None:
        """Waits until `serve` has ended."""
        await self._stopped.wait()
