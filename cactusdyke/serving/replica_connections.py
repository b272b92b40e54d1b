"""Connects to replicas and records which of them are reached."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from cactusdyke.transport.exchange import (
    BackendConnections,
    Exchange,
    ExchangeError,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cactusdyke.serving.replica_paths import ReplicaPaths


class ReplicaConnections(BackendConnections):
    """Connections to replicas over this daemon's own paths."""

    def __init__(
        self, *, direct: BackendConnections, paths: ReplicaPaths
    ) -> None:
        self._direct = direct
        self._paths = paths

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[Exchange]:
        """Opens a connection for one exchange, and closes it.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        async with contextlib.AsyncExitStack() as stack:
            try:
                exchange = await stack.enter_async_context(
                    self._direct.connect(address)
                )
            except ExchangeError as error:
                self._paths.record_failed(address, detail=str(error))
                raise
            self._paths.record_connected(address)
            yield exchange
