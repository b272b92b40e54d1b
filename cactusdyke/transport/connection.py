"""Bounds what a caller's connection may take, and for how long."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cactusdyke.transport.connection_limit import LimitedConnection
from cactusdyke.transport.uploads import STALL_MS

if TYPE_CHECKING:
    import asyncio

    from cactusdyke.transport.connection_limit import ConnectionLimit

READ_BYTES = 16_384
MAX_HEAD_BYTES = 65_536

HEAD_TIMEOUT_S = 10.0
"""Longest time for a request's head, from the connection's first byte."""
WRITE_STALL_S = 15.0
"""Longest time for a caller to take in what is written to it."""


class Connection(HttpToolsProtocol, LimitedConnection):
    """A caller's connection, ended when it makes no progress.

    uvicorn waits for ever on a caller that sends half a head, or that stops
    reading (seen as a planned stop that never ends, for one stalled reader).
    The transport is aborted, for a plain close waits until all is written.
    It has no bound on a head either.
    """

    def __init__(self, *, limit: ConnectionLimit, **options: Any) -> None:
        super().__init__(**options)
        self._limit = limit
        self._head_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._receiving = False
        self._head_is_whole = False
        self._head_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""
        return self._is_idle() and not self._receiving

    @property
    def grace_ms(self) -> float:
        """How long the caller may take before it makes way for another."""
        return 0.0 if self.idle else STALL_MS

    def free_slot(self) -> None:
        """Ends the connection."""
        self.transport.abort()

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begins to wait for the first request's head."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        if not self._limit.admit(self):
            transport.abort()
            return
        self._wait_for_head()

    def data_received(self, data: bytes) -> None:
        """Takes in what the caller sends."""
        if self._head_timer is None and self._is_idle():
            self._wait_for_head()
        super().data_received(data)
        if not self._is_idle():
            self._stop_waiting_for_head()
        if self._receiving and not self._head_is_whole:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self.send_400_response("The request's head is too large.")

    def on_message_begin(self) -> None:
        """Takes the begin of a request; called by the parser."""
        super().on_message_begin()
        self._receiving = True
        self._head_is_whole = False
        self._head_bytes = 0
        if self._is_idle():
            self._limit.wait_for_caller(self)

    def on_headers_complete(self) -> None:
        """Takes the end of a head; called by the parser."""
        self._head_is_whole = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body; called by the parser.

        It is read on once the application has taken it.
        """
        super().on_body(body)
        if len(self.cycle.body) > READ_BYTES:
            self.flow.pause_reading()

    def on_message_complete(self) -> None:
        """Takes the end of a request; called by the parser."""
        self._receiving = False
        self._limit.stop_waiting(self)
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Notes that a request is answered; called by uvicorn."""
        super().on_response_complete()
        if self._is_idle():
            self._limit.wait_for_caller(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits for the connection."""
        self._limit.remove(self)
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
