"""What a tunnel's frames cost: processor time of both ends and the server."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest import mock

import anyio

from cactusdyke.clock import SystemClock
from cactusdyke.transport import tunnel
from cactusdyke.transport.tunnel import SocketTunnels
from standins.tunnel_relay import open_relay

EVENT = b"id: 1\ndata: " + b"y" * 40 + b"\n\n"
ANSWERS = {"4 MB at once": (4 << 20, 0), "events": (4_000 * len(EVENT), 4_000)}
MAX_BODY_BYTES = 1 << 27
ROUNDS = 40


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Times answers through a tunnel with frames and without, in turns."""
    rounds = 2 if tiny else ROUNDS
    return [anyio.run(_measure, name, rounds) for name in ANSWERS]


async def _measure(name: str, rounds: int) -> dict[str, Any]:
    size, parts = ANSWERS[name]
    relay = open_relay()
    server = await asyncio.start_server(
        lambda reader, writer: _serve(reader, writer, size, parts),
        "127.0.0.1",
        0,
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    framed: list[float] = []
    plain: list[float] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay.serve)
        for _ in range(rounds):
            framed.append(await _ask(relay.port, address))
            with mock.patch.object(tunnel, "HEADER_VALUE", "none"):
                plain.append(await _ask(relay.port, address))
        tasks.cancel_scope.cancel()
    server.close()
    return {
        "column": name,
        "rounds": rounds,
        "framed_ms": 1_000 * min(framed),
        "plain_ms": 1_000 * min(plain),
        "ratio": min(framed) / min(plain),
    }


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    size: int,
    parts: int,
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(parts):
        writer.write(EVENT)
        await asyncio.sleep(0)
    if not parts:
        writer.write(b"x" * size)
    writer.close()


async def _ask(port: int, address: str) -> float:
    began = time.process_time()
    tunnels = SocketTunnels(clock=SystemClock())
    async with tunnels.connect(f"127.0.0.1:{port}", address) as exchange:
        await exchange.send("GET", "/", [(b"host", b"h")], b"")
        await exchange.head()
        await exchange.whole_body(most=MAX_BODY_BYTES)
    return time.process_time() - began
