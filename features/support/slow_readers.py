"""A front, a replica and callers that read slowly, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio

from cactusdyke.clock import SystemClock
from cactusdyke.transport import exchange
from cactusdyke.transport.front import Front
from cactusdyke.transport.front_interface import (
    BrokenOffError,
    FrontHandler,
    Limits,
)
from cactusdyke.transport.memory_budget import MEGABYTE, MemoryBudget
from standins.fleet import free_port

HOST = "127.0.0.1"
SMALL_HOST_MB = 60
"""Leaves the smallest budget, 4 MB."""
BODY = b"".join(b"%07d\n" % n for n in range(MEGABYTE // 8))
"""A byte that is lost or doubled shows."""


class RecordingBudget(MemoryBudget):
    """Remembers the most that was held at a time."""

    most = 0

    def change(self, kind, size):
        super().change(kind, size)
        self.most = max(self.most, self.held_bytes)


class UnlimitedBudget(RecordingBudget):
    """The naive policy that reads ahead whatever is held."""

    def relieve(self):
        pass


class Replica:
    """Sends a megabyte as a stream; tells how long its callers held it."""

    def __init__(self, *, cut_after=None):
        self.cut_after = cut_after
        self.held_ms = []
        self.clock = SystemClock()
        self.writing = 0

    async def serve(self, reader, writer):
        began = self.clock.now()
        self.writing += 1
        try:
            # The kernel would take all of a stream for a replica.
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.set_write_buffer_limits(0)
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for at in range(0, self.cut_after or len(BODY), 16_384):
                writer.write(b"4000\r\n" + BODY[at : at + 16_384] + b"\r\n")
                await writer.drain()
            if self.cut_after is None:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.held_ms.append(self.clock.now() - began)
        except ConnectionError:
            pass
        finally:
            self.writing -= 1
            writer.close()


class Forwarding(FrontHandler):
    """Forwards a replica's stream, or answers with a megabyte at once."""

    def __init__(self, address, clock):
        self.address = address
        self.clock = clock

    async def handle(self, request, reply):
        if request.target == "/fast":
            await reply.whole(200, [], b"ok")
        elif request.target == "/whole":
            await reply.whole(200, [], BODY)
        else:
            await self.forward(reply)

    async def forward(self, reply):
        async with exchange.connect(self.address, clock=self.clock) as backend:
            await backend.send("GET", "/", [(b"host", b"r")], b"")
            await backend.head()
            await reply.begin(200, [])
            try:
                async for chunk in backend.body():
                    await self.part(reply, chunk)
            except exchange.ExchangeError as error:
                raise BrokenOffError from error
            await reply.end()

    async def part(self, reply, chunk):
        await reply.part(chunk)

    def refusal(self, failure):
        return failure.kind.status, [], failure.detail.encode()


class AtCallersPace(Forwarding):
    """The naive policy: reads no further than the caller has."""

    async def part(self, reply, chunk):
        await reply.part(chunk)
        await reply._connection._flush()


class World:
    """A front, a replica, and what slow callers receive."""

    def __init__(
        self,
        *,
        budget,
        handler=Forwarding,
        cut_after=None,
        memory_mb=SMALL_HOST_MB,
    ):
        self.clock = SystemClock()
        self.budget = budget(clock=self.clock, memory_mb=lambda: memory_mb)
        self.replica = Replica(cut_after=cut_after)
        self.handler = handler
        self.fast_ms = []
        self.endings = []
        self.hurry = False

    @contextlib.asynccontextmanager
    async def run(self):
        server = await asyncio.start_server(self.replica.serve, HOST, 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        self.port = free_port()
        self.front = Front(
            host=HOST,
            port=self.port,
            handler=self.handler(address, self.clock),
            clock=self.clock,
            limits=lambda: Limits(
                max_header_bytes=4_096,
                max_body_bytes=8 * MEGABYTE,
                header_timeout_ms=1_000.0,
                idle_timeout_ms=60_000.0,
            ),
            budget=self.budget,
        )
        async with server, anyio.create_task_group() as tasks:
            tasks.start_soon(self.front.serve)
            await anyio.sleep(0.05)
            yield tasks
            tasks.cancel_scope.cancel()

    async def connect(self, target):
        """Connects a caller with a small window, and sends its request."""
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (HOST, self.port))
        head = f"GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        await loop.sock_sendall(raw, head.encode())
        return raw

    async def read_slowly(self, target, slow_s):
        """Reads 1 kB a second, and the rest at once after a while."""
        loop = asyncio.get_running_loop()
        received = b""
        slow_until = self.clock.now() + slow_s * 1_000

        def is_slow():
            return not self.hurry and self.clock.now() < slow_until

        with await self.connect(target) as raw:
            try:
                while data := await loop.sock_recv(
                    raw, 256 if is_slow() else 65_536
                ):
                    received += data
                    if is_slow():
                        await anyio.sleep(0.25)
            except ConnectionError:
                self.endings.append("reset")
                return
        self.endings.append("whole" if is_whole(received) else "cut")

    async def ask_fast(self):
        while True:
            began = self.clock.now()
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(
                b"GET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            await reader.read()
            writer.close()
            self.fast_ms.append(self.clock.now() - began)
            await anyio.sleep(0.05)


def is_whole(received):
    """Returns whether an answer is complete; asserts that it is right then."""
    head, _, body = received.partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        if not body.endswith(b"0\r\n\r\n"):
            return False
        parts = []
        while body != b"0\r\n\r\n":
            size, _, rest = body.partition(b"\r\n")
            parts.append(rest[: int(size, 16)])
            body = rest[int(size, 16) + 2 :]
        body = b"".join(parts)
    elif len(body) < len(BODY):
        return False
    assert body == BODY, "bytes were lost or doubled"
    return True


POLICIES = {
    "as they are": (RecordingBudget, Forwarding),
    "at callers' pace": (UnlimitedBudget, AtCallersPace),
    "without a budget": (UnlimitedBudget, Forwarding),
}
