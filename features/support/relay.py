"""A TCP relay that can lose track of the connections through it."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

HOST = "127.0.0.1"
START_TIMEOUT_S = 10.0
STOP_AFTER_S = 0.1


class Relay:
    """Forwards TCP to one address, in a thread; use as a context manager.

    `forget` drops all later bytes of the connections open by then, as a
    middlebox does that lost its table: no end, no reset, only silence. New
    connections work.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._ready = threading.Event()
        self._forgotten: set[int] = set()
        self._opened = 0
        self.address = ""

    @property
    def opened(self) -> int:
        """How many connections were opened through the relay."""
        return self._opened

    def __enter__(self) -> Relay:
        self._thread.start()
        assert self._ready.wait(START_TIMEOUT_S)
        return self

    def __exit__(self, *_: Any) -> None:
        self._loop.call_soon_threadsafe(self._cancel)
        self._thread.join(START_TIMEOUT_S)

    def forget(self) -> None:
        """Lets every connection that is open now go silent."""
        self._forgotten.update(range(self._opened + 1))

    def _cancel(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_later(STOP_AFTER_S, self._loop.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, HOST, 0)
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        self._ready.set()
        self._loop.run_forever()

    async def _serve(self, reader, writer) -> None:
        self._opened += 1
        number = self._opened
        there_reader, there_writer = await asyncio.open_connection(
            *self._target
        )
        await asyncio.gather(
            self._copy(number, reader, there_writer),
            self._copy(number, there_reader, writer),
            return_exceptions=True,
        )

    async def _copy(self, number: int, reader, writer) -> None:
        while data := await reader.read(65_536):
            if number not in self._forgotten:
                writer.write(data)
                await writer.drain()
        if number not in self._forgotten:
            writer.close()
