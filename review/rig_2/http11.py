"""The HTTP/1.1 that the stand-ins speak: heads, sized bodies, kept channels."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import urllib.parse
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MOST_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """One request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The first value of each key of the query."""
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query))


@dataclasses.dataclass
class Answer:
    """One answer as a client received it.

    Attributes:
        status: The status, 0 without a head.
        headers: Header values by lower-case name.
        body: What came of the body.
        complete: Whether the body came to its declared end.
        detail: What ended the exchange, if the answer isn't complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    detail: str = ""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers, None at the channel's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        ConnectionError,
    ):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request, None at the channel's end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method=method, target=target, headers=headers, body=body)


def encode_answer(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """A listener whose channels can be cut like those of a killed process."""

    def __init__(
        self,
        *,
        host: str,
        handle: Callable[
            [Request, asyncio.StreamReader, asyncio.StreamWriter],
            Awaitable[bool],
        ],
        port: int = 0,
    ) -> None:
        self._host = host
        self._port = port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._kept: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Begins to listen; after a first start on the same port again."""
        kept, self._kept = self._kept, None
        if kept is None:
            kept = socket.create_server((self._host, self._port))
        self._server = await asyncio.start_server(
            self._channel, sock=kept, limit=MOST_HEAD_BYTES
        )
        self._port = kept.getsockname()[1]

    def kill(self, *, keep_listener: bool = False) -> None:
        """Cuts all channels at once.

        Args:
            keep_listener: Whether the listening socket outlives the process, as
                a supervisor has it: who connects waits for the next process.
        """
        if self._server is not None:
            if keep_listener:
                self._kept = self._server.sockets[0].dup()
            self._server.close()
            self._server = None
        elif self._kept is not None and not keep_listener:
            self._kept.close()
            self._kept = None
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError, RuntimeError):
                writer.close()


async def call(
    address: str, data: bytes, *, timeout_s: float, head_only: bool = False
) -> Answer:
    """Sends the bytes of one request on a new channel and reads its answer."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await _read_answer(reader, answer, head_only=head_only)
    except TimeoutError:
        answer.detail = "the client's deadline"
    except (ConnectionError, OSError) as error:
        answer.detail = repr(error)
    except asyncio.IncompleteReadError:
        answer.detail = "the channel ended early"
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, *, head_only: bool
) -> None:
    head = await read_head(reader)
    if head is None:
        answer.detail = "the channel ended without an answer"
        return
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if head_only:
        answer.complete = True
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(answer.body) < length:
            data = await reader.read(length - len(answer.body))
            if not data:
                answer.detail = "the channel ended within the body"
                return
            answer.body += data
        answer.complete = True
    elif "chunked" in answer.headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
        answer.complete = True
    else:
        answer.detail = "an answer without a length"
