"""Frames what a tunnel passes on, so that its end shows how it came about.

An answer without a length ends with its connection. Through a tunnel two
connections end, and the asker sees only the second: without a mark the end of
the daemon between looks like the end of the answer.

Each frame is a length of four bytes and as many bytes. A frame of length 0
says that the backend server has ended its side in order; what ends without it
was cut. Only the direction to the asker is framed.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import ByteStream

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.transport.tcp_stream import TcpStream

HEADER_NAME = "tunnel-framing"
"""Asked for, and confirmed, by a header of the head. A daemon of an older
release ignores it, and passes bytes on without frames."""
HEADER_VALUE = "length"
_LENGTH = struct.Struct("!I")
END_MARK = _LENGTH.pack(0)
READ_BYTES = 65_536


def frame_header(size: int) -> bytes:
    """Returns what precedes so many bytes, of which there must be some."""
    return _LENGTH.pack(size)


class TunnelStream(ByteStream):
    """The asker's end of a tunnel.

    It ends only where the backend server's connection has ended in order.
    Without frames nothing shows that, and every end counts as a break.
    """

    def __init__(self, stream: TcpStream, *, framed: bool) -> None:
        self._stream = stream
        self._framed = framed
        self._unparsed = b""
        self._left_in_frame = 0

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Returns the next bytes.

        Raises:
            anyio.EndOfStream: The backend server has ended.
            anyio.BrokenResourceError: The tunnel was cut, or nothing shows that
                it was not.
            anyio.ClosedResourceError: It was closed here.
        """
        if not self._framed:
            return await self._receive_some(max_bytes)
        if not self._left_in_frame:
            await self._begin_frame(max_bytes)
        data = self._unparsed or await self._receive_some(max_bytes)
        size = min(max_bytes, self._left_in_frame)
        self._unparsed = data[size:]
        data = data[:size]
        self._left_in_frame -= len(data)
        return data

    async def _begin_frame(self, max_bytes: int) -> None:
        while len(self._unparsed) < _LENGTH.size:
            self._unparsed += await self._receive_some(max_bytes)
        (self._left_in_frame,) = _LENGTH.unpack_from(self._unparsed)
        self._unparsed = self._unparsed[_LENGTH.size :]
        if not self._left_in_frame:
            raise anyio.EndOfStream

    async def _receive_some(self, max_bytes: int) -> bytes:
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream as error:
            raise anyio.BrokenResourceError from error

    async def send(self, item: bytes) -> None:
        """Returns once the socket has taken all bytes."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Ends this side; the other one may still send."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Ends the connection at once."""
        await self._stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the connection below."""
        return self._stream.extra_attributes
