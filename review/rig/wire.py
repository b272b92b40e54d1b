"""Reads and writes HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

READ_BYTES = 65_536
PHRASES = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or an answer.

    Attributes:
        start: The first line, as text.
        headers: Values by lower-case name.
        body: What came of the body.
        complete: Whether the body came to its end.
        took_ms: Time until the last byte came, for answers.
    """

    start: str = ""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    took_ms: float = 0.0

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of an answer, 0 if there was none."""
        parts = self.start.split(" ")
        return int(parts[1]) if len(parts) > 1 else 0


async def read_message(
    reader: asyncio.StreamReader, *, to_end: bool = False
) -> Message | None:
    """Reads one message, None if the connection ends before one.

    Args:
        reader: Where it comes from.
        to_end: Whether a body without a length ends with the connection.
    """
    message = Message()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message.start = lines[0]
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    try:
        await _read_body(reader, message, to_end=to_end)
        message.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, *, to_end: bool
) -> None:
    length = message.headers.get("content-length")
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    elif to_end:
        while data := await reader.read(READ_BYTES):
            message.body += data


def encode(
    start: str, headers: dict[str, str], body: bytes | None = b""
) -> bytes:
    """Returns a message; without a length if its body is None."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns a whole answer."""
    phrase = PHRASES.get(status, "Answer")
    return encode(f"HTTP/1.1 {status} {phrase}", headers or {}, body)


def json_answer(value: Any, status: int = 200) -> bytes:
    """Returns an answer with a JSON body."""
    told = {"Content-Type": "application/json"}
    return answer(status, told, json.dumps(value).encode())
