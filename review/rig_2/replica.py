"""Stands in for the platform's replicas: plain ones and engines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import secrets
import time
from typing import TYPE_CHECKING, Any

from rig_2.http11 import Request, Server, encode_answer

if TYPE_CHECKING:
    from rig_2.store import Store

SERVERS = "servers"
HEARTBEAT_S = 1.2
COLD_S = 3.0
"""How long a replica is cold, on the sheet of dvc-signals-now-grown."""


@dataclasses.dataclass
class Arrival:
    """One request that reached a replica.

    Attributes:
        at: When.
        request_id: Its id.
        replica: The replica that it reached.
        ran: Whether the replica began to work on it.
        ended: How the work ended, empty while it goes on.
    """

    at: float
    request_id: str
    replica: str
    ran: bool = False
    ended: str = ""


def whole_body(request_id: str) -> bytes:
    """Returns the body of the answer to a request."""
    return f"answer to {request_id} ".encode() * 40


class Replica:
    """One replica, which registers itself in the store.

    Attributes:
        arrivals: What reached it, 421 left out.
        work_ms: Time to answer, for an engine to its first event.
        events: How many events a stream of it has; 0 for a plain replica.
        event_ms: Time between two events.
        framed: Whether its answers have a length or chunks.
        cold_until: Until when it is cold.
        crash_per_s: Requests within a second that crash it while it is cold.
        parts: In how many parts it writes an answer without a length.
        part_ms: Time between two of them.
    """

    def __init__(
        self,
        *,
        store: Store,
        service: str,
        zone: str,
        slots: int,
        host: str = "127.0.0.1",
        port: int = 0,
        name: str = "",
    ) -> None:
        self._store = store
        self._server = Server(host=host, handle=self._handle, port=port)
        self._service = service
        self._zone = zone
        self._slots = slots
        self._version = "v1"
        self._born = 0
        self._running = 0
        self.name = name or f"i-{secrets.token_hex(5)}"
        self.arrivals: list[Arrival] = []
        self.work_ms = 60.0
        self.events = 0
        self.event_ms = 40.0
        self.framed = True
        self.cold_until = 0.0
        self.crash_per_s = 0
        self.parts = 1
        self.part_ms = 50.0

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._server.address

    @property
    def _cold_left_ms(self) -> int:
        """For how long it stays cold."""
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    async def start(self) -> None:
        """Begins to serve, as a new process, and registers itself."""
        await self._server.start()
        self._born = int(time.time() * 1000)
        self._running = 0
        self.register("ready")

    def register(self, state: str) -> float:
        """Writes its entry; returns when the store had acknowledged it."""
        return self._store.put(SERVERS, self.name, self.entry(state))

    def entry(self, state: str) -> dict[str, Any]:
        """Returns its entry."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": self._version,
            "capacity": self._slots,
            "state": state,
            "cold_left_ms": self._cold_left_ms,
            "seq": 1,
            "born": self._born,
        }

    def unregister(self) -> float:
        """Removes its entry, as it leaves or has been silent."""
        return self._store.remove(SERVERS, self.name)

    async def restart(self, *, after_s: float) -> None:
        """Starts it again at its address, as a process with another id.

        The entry of the process before stays until three heartbeats of it are
        missing.
        """
        before = self.name
        await asyncio.sleep(after_s)
        self.name = f"i-{secrets.token_hex(5)}"
        await self.start()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._store.remove, SERVERS, before)

    def crash(self, *, keep_listener: bool = False) -> None:
        """Ends the process; its entry stays until it is removed.

        Args:
            keep_listener: Whether a supervisor has its listening socket.
        """
        self._server.kill(keep_listener=keep_listener)

    async def _handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        expected = request.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            told = {"X-Replica-Id": self.name}
            writer.write(encode_answer(421, b"", told))
        elif request.path in {"/healthz", "/-/report"}:
            told = {"X-Replica-Id": self.name}
            if self._cold_left_ms:
                told["X-Cold-Ms"] = str(self._cold_left_ms)
            body = b'{"queued":0,"active":0,"free_mb":40,"born":%d}'
            writer.write(encode_answer(200, body % self._born, told))
        else:
            return await self._serve(request, reader, writer)
        await writer.drain()
        return True

    async def _serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = request.headers.get("x-attempt-id", "")
        arrival = Arrival(
            at=time.monotonic(), request_id=request_id, replica=self.name
        )
        self.arrivals.append(arrival)
        if self.crash_per_s and self._is_overrun():
            self.crash()
        if self._running >= self._slots:
            told = {"X-Not-Executed": "1", "X-Attempt-Id": request_id}
            writer.write(encode_answer(503, b"", told))
            await writer.drain()
            return True
        arrival.ran = True
        self._running += 1
        run = asyncio.ensure_future(self._run(request_id, writer))
        left = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({run, left}, return_when="FIRST_COMPLETED")
            if not run.done():
                arrival.ended = "dropped, as its channel closed"
                return False
            await run
            arrival.ended = "answered"
        finally:
            self._running -= 1
            arrival.ended = arrival.ended or "cut by a crash"
            for task in (run, left):
                task.cancel()
            with contextlib.suppress(BaseException):
                await asyncio.gather(run, left, return_exceptions=True)
        # Its reader has waited for the channel's end, so it isn't kept.
        return False

    def _is_overrun(self) -> bool:
        """Returns whether it is cold and got too much in the last second."""
        now = time.monotonic()
        oldest = max(now - 1, self.cold_until - COLD_S)
        recent = [a for a in self.arrivals if a.at >= oldest]
        return now < self.cold_until and len(recent) > self.crash_per_s

    async def _write_parts(
        self,
        writer: asyncio.StreamWriter,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Writes an answer that ends with its channel."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        size = -(-len(body) // self.parts)
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(self.part_ms / 1000)

    async def _run(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        told = {
            "X-Attempt-Id": request_id,
            "X-Response-Stamp": f"{self.name}.{secrets.token_hex(4)}",
            "X-Replica-Load": f"{min(self._running, self._slots)},0,"
            f"{self._slots}",
            "Connection": "close",
        }
        await asyncio.sleep(self.work_ms / 1000)
        if not self.events:
            body = whole_body(request_id)
            if self.framed:
                writer.write(encode_answer(200, body, told))
                await writer.drain()
            else:
                await self._write_parts(writer, body, told)
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        if self.framed:
            lines.append("Transfer-Encoding: chunked")
        lines += [f"{name}: {value}" for name, value in told.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if self.framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.event_ms / 1000)
        if self.framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
