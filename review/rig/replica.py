"""Stands in for replicas: plain answers, streams and pieces of stages."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import time
from typing import TYPE_CHECKING, Any

from review.rig import wire

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

_numbers = itertools.count(1)
NOT_RUN = {"X-Not-Executed": "1"}
BACKLOG = 128
QUEUE_FILLERS = 2


class Replica:
    """One replica; a sound one unless a case changes it.

    Attributes:
        name: Its id.
        address: Where it listens.
        work_ms: Time to answer, or to compute a call's pieces.
        rest_ms: Time between the halves of a whole answer.
        events: How many events a stream has.
        event_ms: Time between two events.
        unframed: Whether its answers have no length and end with their
            connection.
        body: Body of whole answers.
        runs: Ids of the requests that it ran, in order.
        left: Ids of those whose connection ended before their answer did.
        spoil: Returns what is written to a stream in place of an event; a
            sound replica writes the event.
    """

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.work_ms = 60.0
        self.rest_ms = 0.0
        self.events = 20
        self.event_ms = 50.0
        self.unframed = False
        self.body = b"x" * 800
        self.runs: list[str] = []
        self.left: list[str] = []
        self.spoil: Callable[[str, int], bytes] = lambda _, number: event(
            number
        )
        self._born = round(time.time() * 1e3)
        self._seq = 0
        self._listener = socket.socket()
        self._accepting: asyncio.Task[None] | None = None
        self._waiting: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._listener.setblocking(False)
        self._listener.bind((host, 0))
        self._listener.listen(BACKLOG)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._accepting = asyncio.create_task(self._accept())

    async def fill_queue(self) -> None:
        """Lets the queue of new connections fill up.

        The kernel then drops the opening packets of further ones, which are
        sent again after a second.
        """
        assert self._accepting is not None
        self._accepting.cancel()
        self._listener.listen(0)
        host, _, port = self.address.rpartition(":")
        for _ in range(QUEUE_FILLERS):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex((host, int(port)))
            self._waiting.append(waiting)
        await asyncio.sleep(0.02)

    def accept_again(self) -> None:
        """Accepts the connections in the queue, and further ones."""
        for waiting in self._waiting:
            waiting.close()
        self._waiting.clear()
        self._listener.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(sock=accepted)
            task = asyncio.create_task(self._connection(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns what it writes to the list of replicas."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 6,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await wire.read_message(reader)) is not None:
                if not request.complete:
                    break
                if not await self._answer(request, reader, writer):
                    break
        writer.close()

    async def _answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        if request.headers.get("x-expect-replica", self.name) != self.name:
            told = {"X-Replica-Id": self.name, **NOT_RUN}
            writer.write(wire.answer(421, told))
            return True
        if request.target == "/-/report":
            report = {
                "born": self._born,
                "queued": 0,
                "active": False,
                "free_mb": 40,
            }
            writer.write(wire.json_answer(report))
            return True
        if request.target == "/-/stage-run":
            items = json.loads(request.body)["items"]
            await asyncio.sleep(self.work_ms / 1e3)
            made = [
                {"handle": f"{self.address}/h{next(_numbers)}"} for _ in items
            ]
            writer.write(wire.json_answer({"items": made}))
            return True
        if request.target == "/-/stage-free":
            writer.write(wire.json_answer({}))
            return True
        if "x-attempt-id" not in request.headers:
            writer.write(wire.answer(400, NOT_RUN))
            return True
        await self._run(request, reader, writer)
        return not self.unframed

    async def _run(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.headers["x-attempt-id"]
        self.runs.append(request_id)
        headers = {
            "X-Attempt-Id": request_id,
            "X-Response-Stamp": f"stamp-of-{self.name}",
        }
        gone = asyncio.create_task(reader.read(1))
        try:
            if request.target.endswith("/stream"):
                parts = self._stream(request)
                headers["Content-Type"] = "text/event-stream"
            else:
                parts = self._whole()
            if not self.unframed:
                headers["Transfer-Encoding"] = "chunked"
            head = wire.encode("HTTP/1.1 200 OK", headers, None)
            async for part in parts:
                if gone.done():
                    raise ConnectionResetError
                framed = b"%x\r\n%b\r\n" % (len(part), part)
                writer.write(head + (part if self.unframed else framed))
                head = b""
                await writer.drain()
            writer.write(head + (b"" if self.unframed else b"0\r\n\r\n"))
            await writer.drain()
        except ConnectionError:
            self.left.append(request_id)
            raise
        finally:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone

    async def _whole(self) -> AsyncIterator[bytes]:
        await asyncio.sleep(self.work_ms / 1e3)
        half = len(self.body) // 2
        yield self.body[:half]
        await asyncio.sleep(self.rest_ms / 1e3)
        yield self.body[half:]

    async def _stream(self, request: wire.Message) -> AsyncIterator[bytes]:
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_ms / 1e3)
            written = self.spoil(request.headers["x-attempt-id"], number)
            if written:
                yield written


def event(number: int) -> bytes:
    """Returns an event of a stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)
