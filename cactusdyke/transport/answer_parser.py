"""Parses the answer to one HTTP/1.1 request with httptools."""

from __future__ import annotations

import attrs
import httptools

from cactusdyke.transport.framing_limit import FramingLimit

Headers = list[tuple[bytes, bytes]]

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
SPACES_IN_REQUEST_LINE = 2
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})


class AnswerError(Exception):
    """The bytes received are not a complete HTTP answer."""


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of an answer; header names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first header of that name."""
        return next((value for key, value in self.headers if key == name), None)


class AnswerParser:
    """Parses the answer to one request, as its bytes arrive.

    Bytes behind the end of the answer belong to no request and are dropped;
    `has_trailing_data` tells that there were any.
    """

    def __init__(self, *, method: str, max_head_bytes: int) -> None:
        self._has_body = method != "HEAD"
        self._max_head_bytes = max_head_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._received_bytes = 0
        self._body_bytes = 0
        self._chunk_count = 0
        self._framing = FramingLimit(most_bytes=max_head_bytes)
        self._headers: Headers = []
        self._head: AnswerHead | None = None
        self._chunks: list[bytes] = []
        self._done = False
        self._keep_alive = False
        self._has_trailing_data = False
        self._ends_with_connection = False
        self._error: str = ""

    @property
    def head(self) -> AnswerHead | None:
        """The head of the answer, None until it is complete."""
        return self._head

    @property
    def done(self) -> bool:
        """Whether the answer is complete."""
        return self._done

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes were received behind the end of the answer."""
        return self._has_trailing_data

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the answer."""
        return self._ends_with_connection

    @property
    def may_reuse_connection(self) -> bool:
        """Whether another request may follow on the connection."""
        return (
            self._done
            and self._has_body
            and not self._has_trailing_data
            and self._keep_alive
        )

    def feed(self, data: bytes) -> None:
        """Parses bytes; an error is raised by `check` or `take_body`."""
        if self._done:
            self._has_trailing_data = True
            return
        if self._error:
            return
        self._received_bytes += len(data)
        head_was_complete = self._head is not None
        self._body_bytes = 0
        self._chunk_count = 0
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if self._done:
                self._has_trailing_data = True
            else:
                self._error = f"no HTTP answer: {error}"
        if self._head is None and self._received_bytes > self._max_head_bytes:
            self._error = f"a head of over {self._max_head_bytes} bytes"
        if (
            head_was_complete
            and not self._done
            and not self._framing.allows(
                len(data) - self._body_bytes, chunks=self._chunk_count
            )
        ):
            self._error = (
                f"over {self._max_head_bytes} bytes of chunk headers or"
                " trailers"
            )

    def feed_eof(self) -> None:
        """Handles the end of the connection."""
        if self._done or self._error:
            return
        if self._head is None:
            self._error = "the connection ended before an answer"
        elif any(name in _FRAMING for name, _ in self._head.headers):
            self._error = "the answer was cut short"
        else:
            # Without a length an answer ends with its connection.
            self._done = True
            self._ends_with_connection = True

    def check(self) -> None:
        """Raises the error that was met, if any.

        Raises:
            AnswerError: The bytes received are no answer, or an incomplete one.
        """
        if self._error:
            raise AnswerError(self._error)

    def take_body(self) -> bytes:
        """Returns the bytes of the body parsed since the last call.

        Raises:
            AnswerError: Nothing is left, and what followed is no answer.
        """
        if not self._chunks:
            self.check()
            return b""
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; called by the parser."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Takes the end of a head; called by the parser."""
        status = self._parser.get_status_code()
        if self._done or self._error:
            return
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._error = f"no HTTP answer: its status is {status}"
            return
        if status < FIRST_FINAL_STATUS:
            return
        self._head = AnswerHead(status=status, headers=self._headers)
        self._done = not self._has_body

    def on_body(self, data: bytes) -> None:
        """Takes a part of a body; called by the parser."""
        if self._head is not None and not self._done:
            self._chunks.append(data)
            self._body_bytes += len(data)

    def on_chunk_header(self) -> None:
        """Takes the begin of a chunk; called by the parser."""
        self._chunk_count += 1

    def on_message_begin(self) -> None:
        """Takes the begin of a message; called by the parser."""
        self._headers = []
        if self._done:
            self._has_trailing_data = True

    def on_message_complete(self) -> None:
        """Takes the end of a message; called by the parser."""
        self._done = self._head is not None
        # Only known within this callback.
        self._keep_alive = bool(self._parser.should_keep_alive())


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns the bytes of a request, or its begin with that of its body.

    The headers must state the length of the whole body.

    Raises:
        ValueError: A part would end its line, and begin another header.
    """
    start = f"{method} {target} HTTP/1.1".encode("latin-1")
    lines = [start, *(name + b": " + value for name, value in headers)]
    head = b"\r\n".join(lines)
    line_ends = len(lines) - 1
    if (
        head.count(b"\r") != line_ends
        or head.count(b"\n") != line_ends
        or b"\0" in head
        or start.count(b" ") != SPACES_IN_REQUEST_LINE
    ):
        raise ValueError("a space or control character in a request's head")
    return head + b"\r\n\r\n" + body
