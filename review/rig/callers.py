"""Callers: they send requests and keep what was answered."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
import time

from review.rig import wire

KEY = "key-of-council"
HOST = "signals.example"
_numbers = itertools.count(1)


def new_id() -> str:
    """Returns an id for one attempt."""
    return f"{next(_numbers):04x}{secrets.token_hex(6)}"


async def call(
    front: tuple[str, int],
    target: str,
    *,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 4_000,
    headers: dict[str, str] | None = None,
) -> wire.Message:
    """Sends one request on a connection of its own; returns what came."""
    began = time.monotonic()
    answered = wire.Message()
    head = {**_head(request_id, deadline_ms), **(headers or {})}
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(deadline_ms / 1e3 + 1):
            reader, writer = await asyncio.open_connection(*front)
            try:
                start = f"{method} {target} HTTP/1.1"
                writer.write(wire.encode(start, head, body))
                found = await wire.read_message(reader, to_end=True)
                answered = found or answered
            finally:
                writer.close()
    answered.took_ms = (time.monotonic() - began) * 1e3
    return answered


class Caller:
    """A caller that keeps its connection for further requests.

    Attributes:
        answered: How many requests its present connection has answered.
    """

    def __init__(self, front: tuple[str, int]) -> None:
        self.answered = 0
        self._front = front
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(
        self, target: str, *, request_id: str, deadline_ms: int = 4_000
    ) -> wire.Message:
        """Sends a request; an answer without a status is a closed channel.

        Raises:
            OSError: No connection could be made; nothing was sent.
        """
        if self._streams is None:
            self.answered = 0
            self._streams = await asyncio.open_connection(*self._front)
        reader, writer = self._streams
        head = _head(request_id, deadline_ms)
        answered: wire.Message | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1e3 + 1):
                writer.write(wire.encode(f"GET {target} HTTP/1.1", head))
                answered = await wire.read_message(reader, to_end=True)
        if (
            answered is None
            or not answered.complete
            or answered.headers.get("connection") == "close"
        ):
            self.close()
        else:
            self.answered += 1
        return answered or wire.Message()

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def _head(request_id: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
