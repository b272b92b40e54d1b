"""A crowd of clients that misbehave, as a process of its own.

Each client does what its behaviour says until the time is over, and connects
again as often as its connection is closed. All that is sent comes from a few
shared buffers, so that the crowd itself needs little memory.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import random
import signal
import socket
import struct
import sys
from typing import TYPE_CHECKING

import attrs

from features.support.platform_rig import HOST, KEY

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
LARGE = b"x" * 65_536
LAST = b"0\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000
RECONNECT_S = 0.05


def head(*headers: str, method: str = "POST", path: str = "/look/a") -> bytes:
    lines = (f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers)
    return "\r\n".join((*lines, "", "")).encode()


def request_head(*headers: str, key: str = KEY) -> bytes:
    return head(
        "X-Attempt-Id: crowd",
        "X-Deadline-Ms: 8000",
        f"Authorization: Bearer {key}",
        *headers,
    )


@attrs.frozen(kw_only=True)
class Behaviour:
    """What one client sends on each connection.

    Attributes:
        pieces: What it sends, in order; some go on without end.
        reads: Whether it reads what comes back.
    """

    pieces: Callable[[], Iterator[bytes]]
    reads: bool = True


def _chunked(*parts: bytes, endless: bool = False, key: str = KEY) -> Behaviour:
    start = request_head("Transfer-Encoding: chunked", key=key)

    def pieces() -> Iterator[bytes]:
        body = itertools.cycle(parts) if endless else iter(parts)
        return itertools.chain([start], body)

    return Behaviour(pieces=pieces)


def _sized(length: int, *parts: bytes, path: str = "") -> Behaviour:
    start = request_head(f"Content-Length: {length}")
    if path:
        start = head(f"Content-Length: {length}", path=path)
    return Behaviour(pieces=lambda: itertools.chain([start], parts))


def _pipelined(size: int) -> Behaviour:
    request = request_head(f"Content-Length: {size}") + b"x" * size
    return Behaviour(pieces=lambda: itertools.repeat(request), reads=False)


def _endless(start: bytes) -> Behaviour:
    return Behaviour(
        pieces=lambda: itertools.chain([start], itertools.repeat(LARGE))
    )


BEHAVIOURS = {
    "nothing": Behaviour(pieces=lambda: iter(())),
    "chunked bodies that stop short of their end": _chunked(*[CHUNK] * 15),
    "the same with an unknown key": _chunked(*[CHUNK] * 15, key="none"),
    "chunks of a byte that stop short of their end": _chunked(
        *[TINY_CHUNKS] * 6
    ),
    "chunks of a byte without end": _chunked(TINY_CHUNKS, endless=True),
    "chunks without end": _chunked(CHUNK, endless=True),
    "bodies that lack their last byte": _sized(1_000_000, b"x" * 999_999),
    "whole bodies whose answers nobody reads": _pipelined(900_000),
    "a length of 9 GB, and on after the refusal": _endless(
        request_head("Content-Length: 9000000000")
    ),
    "requests of 60 kB behind each other": _pipelined(60_000),
    "bodies for a path that takes none": _sized(
        900_000, b"x" * 899_999, path="/-/resolve"
    ),
    "chunks without end for a path of daemons": Behaviour(
        pieces=lambda: itertools.chain(
            [
                head(
                    "Transfer-Encoding: chunked",
                    path="/internal/v1/membership/gossip",
                )
            ],
            itertools.repeat(CHUNK),
        )
    ),
    "a header line without end": _endless(b"GET / HTTP/1.1\r\nX-Long: "),
    "a request line without end": _endless(b"GET /"),
    "requests, and read no answer": _pipelined(0),
    "a call of 900 kB that lacks its last byte": Behaviour(
        pieces=lambda: iter(
            [
                head("Content-Length: 900000", path="/v1/pipelines/none"),
                b"x" * 899_999,
            ]
        )
    ),
}


GENERATED = "generated steps of seed "
MOST_STEPS = 12
STALL_S = 0.3
PATHS = ("/look/a", "/-/resolve", "/-/ready", "/internal/v1/membership/gossip")


def generated_steps(rng: random.Random) -> Iterator[bytes | float | str]:
    """Yields what one client does on a connection: bytes, waits and ends."""
    chunked = rng.random() < 0.6
    length = rng.choice([10, 60_000, 999_999, 9_000_000_000])
    framing = "Transfer-Encoding: chunked"
    if not chunked:
        framing = f"Content-Length: {length}"
    key = rng.choice([KEY, "none"])
    start = request_head(framing, key=key)
    if rng.random() < 0.3:
        start = head(framing, path=rng.choice(PATHS))
    if rng.random() < 0.2:
        yield start[: rng.randrange(len(start))]
    else:
        yield start
    for _ in range(rng.randrange(MOST_STEPS)):
        yield rng.choice(
            [
                CHUNK if chunked else LARGE,
                CHUNK if chunked else LARGE,
                TINY_CHUNKS if chunked else LARGE[:100],
                LAST if chunked else start,
                rng.random() * STALL_S,
            ]
        )
    yield rng.choice(["stay", "half-close", "reset", "close"])


class Crowd:
    """Clients of one behaviour, and what became of their connections."""

    def __init__(
        self, *, address: str, behaviour: Behaviour | None, seed: int = 0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._behaviour = behaviour
        self._rng = random.Random(seed)
        self.connections = 0
        self.sent_bytes = 0

    async def run(self, count: int, seconds: float) -> None:
        """Runs so many clients for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(self._client() for _ in range(count)))

    async def _client(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._connection()
            await asyncio.sleep(RECONNECT_S)

    async def _connection(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setblocking(False)
            await loop.sock_connect(client, self._address)
            self.connections += 1
            if self._behaviour is None:
                await self._generated(client)
            else:
                await self._behave(client, self._behaviour)

    async def _behave(
        self, client: socket.socket, behaviour: Behaviour
    ) -> None:
        reader = asyncio.ensure_future(self._read(client, behaviour.reads))
        try:
            for piece in behaviour.pieces():
                await self._send(client, piece)
            await reader
        finally:
            reader.cancel()

    async def _generated(self, client: socket.socket) -> None:
        rng = self._rng
        reader = asyncio.ensure_future(
            self._read(client, reads=rng.random() < 0.5)
        )
        try:
            for step in list(generated_steps(rng)):
                if isinstance(step, bytes):
                    await self._send(client, step)
                elif isinstance(step, float):
                    await asyncio.sleep(step)
                elif step == "half-close":
                    client.shutdown(socket.SHUT_WR)
                    await reader
                elif step == "reset":
                    linger = struct.pack("ii", 1, 0)
                    client.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                elif step == "stay":
                    await reader
        finally:
            reader.cancel()

    async def _send(self, client: socket.socket, piece: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(client, piece)
        self.sent_bytes += len(piece)
        # A loop of sends that all succeed would starve the others.
        await asyncio.sleep(0)

    async def _read(self, client: socket.socket, reads: bool) -> None:
        if not reads:
            await asyncio.Event().wait()
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(client, 65_536):
            pass


def main() -> int:
    """Runs a crowd and prints what became of it, as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("behaviour")
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float)
    chosen = parser.parse_args()
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    if chosen.behaviour.startswith(GENERATED):
        seed = int(chosen.behaviour.removeprefix(GENERATED))
        crowd = Crowd(address=chosen.address, behaviour=None, seed=seed)
    else:
        crowd = Crowd(
            address=chosen.address, behaviour=BEHAVIOURS[chosen.behaviour]
        )
    asyncio.run(crowd.run(chosen.count, chosen.seconds))
    print(
        json.dumps(
            {
                "connections": crowd.connections,
                "sent_mb": crowd.sent_bytes // (1 << 20),
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
