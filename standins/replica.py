"""Stands in for a replica of the users' platform, with faults on its wire.

It speaks raw sockets with h11, as the faults that matter are in the bytes: an
answer of another request, one cut short, bytes behind its end, a silence.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
from typing import TYPE_CHECKING, Any, Self

import anyio
import h11
import orjson
from anyio.abc import SocketAttribute, SocketListener

from standins.fleet import free_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

CUT_BYTES = 4
SIGNATURE = b"signed-by-the-replica"
HEALTH_PATH = "/h"
EVENT = "id: {number}\ndata: token-{number}\n\n"


class PlatformReplica:
    """One replica: its id, its address, what it was sent, and its faults.

    Attributes:
        runs: Ids of the requests that it ran, in order.
        heads: The headers of each request, by lower-case name.
        faults: Names of faults that strike from now on.
        left: Ids of requests whose connection ended before their answer.
        events: How many events a stream has.
        event_ms: Time between events.
        break_at: Number of the event within which the fault "break" strikes,
            or with which the fault "spoil" begins.
        pause_at: Number of the event before which a stream pauses; None for no
            pause.
        pause_ms: How long it pauses.
        work_ms: Time to answer.
        padding: What whole answers carry beyond the request's id.
        stage_calls: How many pieces each stage call held.
        freed: Handles that were freed.
        free_mb: What it says of its memory for results.
        reports: How often it was asked for it.
        born: Start that it tells then, None to tell none; grows with each.
        crashes_on: A request with these bytes in its path, body or prompt ends
            the process soon after it begins to run; None for no such request.
        crash_after_ms: How long after.
        closes_ms: How long it still listens once its connections have broken.
        down_ms: How long the process is down; it comes back under a new id.
        keeps_listener: Whether its listener outlives its process, as that of a
            supervisor does.
        keeps_name: Whether it comes back under its id.
        crashing_arrivals: When it was sent such a request.
        crashes: When it crashed, and with which requests under way.
        on_start: Called after it has come back, with the id that it had.
        limit: Requests per second that it states in its answers; None for no
            limit.
        arrivals: When it was sent requests and stage calls.
        leaves: Whether it says in all answers that it leaves.
        rest: Seconds of rest that it asks for as it refuses every request;
            None to refuse none.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.runs: list[str] = []
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.faults: set[str] = set()
        self.left: list[str] = []
        self.events = 5
        self.event_ms = 5.0
        self.break_at = 2
        self.pause_at: int | None = None
        self.pause_ms = 0.0
        self.work_ms = 5.0
        self.padding = b""
        self.stage_calls: list[int] = []
        self.freed: list[str] = []
        self.free_mb = 10
        self.reports = 0
        self.born: int | None = None
        self.crashes_on: bytes | None = None
        self.crash_after_ms = 30.0
        self.closes_ms = 0.0
        self.down_ms = 300.0
        self.keeps_listener = False
        self.keeps_name = False
        self.crashing_arrivals: list[float] = []
        self.crashes: list[tuple[float, list[str]]] = []
        self.on_start: Callable[[str], None] = lambda before: None
        self.limit: str | None = None
        self.arrivals: list[float] = []
        self.leaves = False
        self.rest: str | None = None
        self._under_way: list[str] = []
        self._process = anyio.CancelScope()
        self._handles = 0
        self._stack = contextlib.AsyncExitStack()
        self.address = ""

    async def __aenter__(self) -> Self:
        port = free_port()
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        self.address = f"127.0.0.1:{port}"
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        self._tasks.start_soon(self._live, listener, port)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(kind, error, trace)

    async def _live(self, listener: Any, port: int) -> None:
        """Serves; starts again under a new id after each crash."""
        for start in itertools.count(1):
            kept: socket.socket | None = None
            async with listener:
                with anyio.CancelScope() as self._process:
                    await listener.serve(self._connection)
                if self.closes_ms:
                    await anyio.sleep(self.closes_ms / 1000.0)
                if self.keeps_listener:
                    kept = listener.extra(SocketAttribute.raw_socket).dup()
            await anyio.sleep(self.down_ms / 1000.0)
            if kept is None:
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=port
                )
            else:
                listener = await SocketListener.from_socket(kept)
            before = self.name
            if self.born is not None:
                self.born += 1
            if not self.keeps_name:
                self.name = f"{before.partition('~')[0]}~{start}"
            self.on_start(before)

    def _is_crashing(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> bool:
        prompt = headers.get("x-prompt-prefix", "")
        places = (body, path.encode(), prompt.encode())
        mark = self.crashes_on
        return mark is not None and any(mark in place for place in places)

    @property
    def under_way(self) -> int:
        """How many requests it runs."""
        return len(self._under_way)

    def crash(self) -> None:
        """Ends the process; it comes back under a new id."""
        self.crashes.append((anyio.current_time(), list(self._under_way)))
        self._process.cancel()

    async def _crash_now(self) -> None:
        """Ends the process; does not return."""
        # What was sent is read before the end of the connection.
        await anyio.sleep(self.crash_after_ms / 1000.0)
        self.crash()
        await anyio.sleep_forever()

    async def _crash_soon(self) -> None:
        await anyio.sleep(self.crash_after_ms / 1000.0)
        self.crash()

    async def _connection(self, stream: Any) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await self._serve(stream, connection)

    async def _serve(self, stream: Any, connection: h11.Connection) -> None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    connection.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    return
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                await self._answer(stream, head, body)
                return
            else:
                return

    async def _answer(
        self, stream: Any, head: h11.Request, body: bytes
    ) -> None:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in head.headers
        }
        path = head.target.decode()
        if self.leaves:
            stream = _LeavingStream(stream=stream)
        self.heads.append(headers)
        self.bodies.append(body)
        if self._is_crashing(path, body, headers):
            self.crashing_arrivals.append(anyio.current_time())
        if path != "/-/report":
            self.arrivals.append(anyio.current_time())
        expected = headers.get("x-expect-replica", self.name)
        if expected != self.name:
            await stream.send(_plain(421, b"", {"X-Replica-Id": self.name}))
            return
        if self.rest is not None and path != "/-/report":
            told = {
                "X-Not-Executed": "1",
                "X-Attempt-Id": headers.get("x-attempt-id", ""),
                "Retry-After": self.rest,
            }
            await stream.send(_plain(503, b"", told))
        elif path == "/-/stage-run":
            await self._run_pieces(stream, body)
        elif path == "/-/report":
            self.reports += 1
            told = {"queued": 0, "active": 0, "free_mb": self.free_mb}
            if self.born is not None:
                told["born"] = self.born
            await stream.send(_plain(200, orjson.dumps(told)))
        elif path == HEALTH_PATH:
            await stream.send(_plain(200, b"", {"X-Replica-Id": self.name}))
        elif path == "/-/stage-free":
            self.freed += orjson.loads(body)["handles"]
            await stream.send(_plain(200, b""))
        else:
            await self._run(stream, headers, path)

    async def _run_pieces(self, stream: Any, body: bytes) -> None:
        items = orjson.loads(body)["items"]
        self.stage_calls.append(len(items))
        if "full" in self.faults:
            await stream.send(_plain(503, b"", {"X-Not-Executed": "1"}))
            return
        await anyio.sleep(self.work_ms / 1000.0)
        answers: list[dict[str, str]] = []
        for _ in items:
            self._handles += 1
            answers.append({"handle": f"{self.address}/h{self._handles}"})
        if "gone" in self.faults:
            self.faults.discard("gone")
            answers = [{"reason": "gone"} for _ in items]
        body = orjson.dumps({"items": answers})
        await stream.send(_plain(200, body, self._stated()))

    def _stated(self) -> dict[str, str]:
        """Returns the headers that state the limit."""
        return {} if self.limit is None else {"Server-Limit": self.limit}

    async def _run(
        self, stream: Any, headers: dict[str, str], path: str
    ) -> None:
        request_id = headers.get("x-attempt-id", "")
        for status, fault in ((503, "full"), (409, "inputs_gone")):
            if fault in self.faults:
                if fault == "inputs_gone":
                    self.faults.discard(fault)
                answer = {"X-Not-Executed": "1", "X-Attempt-Id": request_id}
                await stream.send(_plain(status, b"", answer))
                return
        self.runs.append(request_id)
        self._under_way.append(request_id)
        try:
            await self._run_begun(stream, headers, path, request_id)
        finally:
            self._under_way.remove(request_id)

    async def _run_begun(
        self, stream: Any, headers: dict[str, str], path: str, request_id: str
    ) -> None:
        if self._is_crashing(path, self.bodies[-1], headers):
            self._tasks.start_soon(self._crash_soon)
        try:
            await self._work(stream)
        except anyio.EndOfStream:
            self.left.append(request_id)
            return
        if "hang" in self.faults:
            with contextlib.suppress(anyio.EndOfStream):
                await stream.receive()
            self.left.append(request_id)
            return
        if path.endswith("/stream"):
            await self._stream(stream, headers, request_id)
        elif "crash_within" in self.faults:
            self.faults.discard("crash_within")
            await stream.send(self._whole(request_id)[:-CUT_BYTES])
            await self._crash_now()
        else:
            await stream.send(self._whole(request_id))

    async def _work(self, stream: Any) -> None:
        with anyio.move_on_after(self.work_ms / 1000.0):
            await stream.receive()

    def _whole(self, request_id: str) -> bytes:
        body = f"answer to {request_id}".encode() + self.padding
        told = "another" if "foreign" in self.faults else request_id
        status = 500 if "errors" in self.faults else 200
        headers = {
            "X-Attempt-Id": told,
            "X-Response-Stamp": SIGNATURE.decode(),
            "X-Replica-Load": "3,1,6",
            **self._stated(),
        }
        answer = _plain(status, body, headers)
        if "cut" in self.faults:
            return answer[:-CUT_BYTES]
        if "unsigned" in self.faults:
            return answer.replace(b"X-Response-Stamp", b"X-Other")
        if "not_http" in self.faults:
            return b"\x00\x01 this is no answer\r\n\r\n"
        if "extra" in self.faults:
            return answer + answer
        if "unframed" in self.faults:
            return answer.replace(
                b"Content-Length: " + str(len(body)).encode() + b"\r\n", b""
            )
        return answer

    async def _stream(
        self, stream: Any, headers: dict[str, str], request_id: str
    ) -> None:
        first = int(headers.get("last-event-id", "-1")) + 1
        framed = "unframed" not in self.faults
        await stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + (b"Transfer-Encoding: chunked\r\n" if framed else b"")
            + b"X-Attempt-Id: "
            + request_id.encode()
            + b"\r\nX-Response-Stamp: "
            + SIGNATURE
            + b"\r\n"
            + _lines(self._stated())
            + b"\r\n"
        )
        for number in range(first, self.events):
            await anyio.sleep(self.event_ms / 1000.0)
            if number == self.pause_at:
                await anyio.sleep(self.pause_ms / 1000.0)
            if "skip" in self.faults and number == 2:
                continue
            if "crash_within" in self.faults and number == self.break_at:
                self.faults.discard("crash_within")
                await self._crash_now()
            data = EVENT.format(number=number).encode()
            if not framed:
                await stream.send(data)
                continue
            if "spoil" in self.faults and number == self.break_at:
                # The number of the third of three events in one write.
                self.faults.discard("spoil")
                together = "".join(
                    EVENT.format(number=number + i) for i in (0, 1, 9)
                )
                await stream.send(_chunk(together.encode()))
                continue
            if "break" in self.faults and number == self.break_at:
                await stream.send(_chunk(data[:7], whole=len(data)))
                self.faults.discard("break")
                return
            await stream.send(_chunk(data))
        if "half_event" in self.faults:
            await stream.send(_chunk(b"id: 99\ndata: to"))
        if framed:
            await stream.send(b"0\r\n\r\n")


class _LeavingStream:
    """Adds to the head of an answer that its replica leaves."""

    def __init__(self, *, stream: Any) -> None:
        self._stream = stream
        self._head_sent = False

    async def send(self, data: bytes) -> None:
        """Sends bytes of the answer."""
        if not self._head_sent:
            self._head_sent = True
            data = data.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
        await self._stream.send(data)

    async def receive(self) -> bytes:
        """Receives bytes of the request."""
        received: bytes = await self._stream.receive()
        return received


def _plain(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _lines(headers: dict[str, str]) -> bytes:
    return "".join(f"{n}: {v}\r\n" for n, v in headers.items()).encode()


def _chunk(data: bytes, *, whole: int | None = None) -> bytes:
    size = f"{whole or len(data):x}\r\n".encode()
    return size + data + (b"\r\n" if whole is None else b"")
