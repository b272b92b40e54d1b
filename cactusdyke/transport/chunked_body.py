"""Parses a request's chunked body with httptools.

h11 takes thirty times as long for a chunk of one byte: a few megabytes of them
would hold up all other connections for many seconds.
"""

from __future__ import annotations

import re

import httptools

from cactusdyke.transport.framing_limit import FramingLimit

_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
_BEHIND_EMPTY_LINE = re.compile(rb"(?<=\r\n\r\n)")
_EMPTY_LINE_BYTES = 4


class ChunkedBodyError(Exception):
    """The bytes are no chunked body, or one with too much around its chunks."""


class ChunkedBody:
    """Takes the chunks of one body; what follows its end is left.

    Args:
        max_framing_bytes: The most that chunk headers and trailers may have
            beyond what chunks need.
    """

    def __init__(self, *, max_framing_bytes: int) -> None:
        self._data = bytearray()
        self._done = False
        self._chunks = 0
        self._last_bytes = b""
        self._framing = FramingLimit(most_bytes=max_framing_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    @property
    def done(self) -> bool:
        """Whether the body has come whole."""
        return self._done

    def take(self) -> bytearray:
        """Returns the bytes of the body since the last call."""
        data, self._data = self._data, bytearray()
        return data

    def feed(self, data: bytes) -> bytes:
        """Parses bytes; returns those behind the end of the body.

        Raises:
            ChunkedBodyError: They are no chunked body.
        """
        self._chunks = 0
        body_bytes = len(self._data)
        # A body ends with an empty line. The parser does not tell where it has
        # found the end, and would take what follows for another request.
        behind = len(self._last_bytes)
        searched = self._last_bytes + data
        begin = 0
        for match in _BEHIND_EMPTY_LINE.finditer(searched):
            end = match.end() - behind
            if end > begin:
                self._parse(data[begin:end])
                begin = end
            if self._done:
                return data[begin:]
        self._parse(data[begin:])
        self._last_bytes = searched[1 - _EMPTY_LINE_BYTES :]
        framing_bytes = len(data) - (len(self._data) - body_bytes)
        if not self._framing.allows(framing_bytes, chunks=self._chunks):
            raise ChunkedBodyError("too many bytes around the body's chunks")
        return b""

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body; called by the parser."""
        self._data += data

    def on_chunk_header(self) -> None:
        """Takes the begin of a chunk; called by the parser."""
        self._chunks += 1

    def on_message_complete(self) -> None:
        """Takes the end of the body; called by the parser."""
        self._done = True

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise ChunkedBodyError(f"no chunked body: {error}") from error
