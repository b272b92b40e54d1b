"""Bounds how long a caller's connection may make no progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio

HEAD_TIMEOUT_S = 10.0
"""Longest time for a request's head, from the connection's first byte."""
WRITE_STALL_S = 15.0
"""Longest time for a caller to take in what is written to it."""


class Connection(HttpToolsProtocol):
    """A caller's connection, ended when it makes no progress.

    uvicorn waits for ever on a caller that sends half a head, or that stops
    reading (seen as a planned stop that never ends, for one stalled reader).
    The transport is aborted, for a plain close waits until all is written.
    """

    _head_timer: asyncio.TimerHandle | None = None
    _stall_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begins to wait for the first request's head."""
        super().connection_made(transport)
        self._wait_for_head()

    def data_received(self, data: bytes) -> None:
        """Takes in what the caller sends."""
        if self._head_timer is None and self._is_idle():
            self._wait_for_head()
        super().data_received(data)
        if not self._is_idle():
            self._stop_waiting_for_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits for the connection."""
        self._stop_waiting_for_head()
        self._stop_stall_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Notes that the caller does not take in what is written."""
        super().pause_writing()
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(
                WRITE_STALL_S, self.transport.abort
            )

    def resume_writing(self) -> None:
        """Notes that the caller goes on reading."""
        super().resume_writing()
        self._stop_stall_timer()

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _wait_for_head(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_S, self.transport.abort
        )

    def _stop_waiting_for_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
