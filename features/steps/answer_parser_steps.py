"""Steps for the parser of answers."""

from __future__ import annotations

import anyio
import h11
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cactusdyke.transport.answer_parser import (
    AnswerError,
    AnswerParser,
    encode_request,
)
from cactusdyke.transport.exchange import ExchangeError, SocketExchange

MAX_HEAD_BYTES = 4_096
LENGTH = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
)
CLOSE = LENGTH.replace(b"X-A: 1", b"Connection: close")
ANSWERS = {
    "a length": LENGTH,
    "chunks": CHUNKED,
    "a wish to close": CLOSE,
    "another answer behind it": LENGTH + LENGTH,
    "bytes behind a wish to close": CLOSE + b"more",
    "an interim answer before it": b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH,
    "no length and an end": b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nbody",
    "two lengths": LENGTH.replace(b"X-A: 1", b"Content-Length: 3"),
    "a length and chunks": CHUNKED.replace(
        b"chunked", b"chunked\r\nContent-Length: 4"
    ),
    "a head without an end": b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 5_000,
    "other bytes": b"\x00\x01 this is no answer\r\n\r\n",
}


class CarelessParser(AnswerParser):
    """Naive version: each end of the connection ends an answer."""

    def feed_eof(self):
        self._done = self._head is not None


def _read(parser, pieces):
    """Returns status, headers and body, or None if there is no whole answer."""
    for piece in pieces:
        parser.feed(piece)
    parser.feed_eof()
    body = b""
    try:
        while data := parser.take_body():
            body += data
    except AnswerError:
        return None
    if parser.head is None or not parser.done:
        return None
    return parser.head.status, parser.head.headers, body


def _read_by_h11(data):
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("Host", "h")])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    connection.receive_data(b"")
    head, body = None, b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return head.status_code, list(head.headers), body
        elif event in {h11.NEED_DATA, h11.PAUSED} or isinstance(
            event, h11.ConnectionClosed
        ):
            return None


@st.composite
def answers(draw):
    body = draw(st.binary(max_size=40))
    framing = draw(st.sampled_from(("length", "chunked", "none")))
    head = b"HTTP/1.1 %d Answer\r\n" % draw(st.sampled_from((200, 404, 503)))
    for number in range(draw(st.integers(0, 3))):
        value = draw(st.text("abc ,;=", max_size=8)).strip().encode()
        head += b"X-%d: %s\r\n" % (number, value)
    if draw(st.booleans()):
        head += b"Connection: close\r\n"
    if framing == "length":
        head += b"Content-Length: %d\r\n" % len(body)
    elif framing == "chunked":
        head += b"Transfer-Encoding: chunked\r\n"
        cut = draw(st.integers(0, len(body)))
        chunks = [c for c in (body[:cut], body[cut:]) if c]
        body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
        body += b"0\r\n\r\n"
    data = head + b"\r\n" + body
    if draw(st.booleans()):
        data = data[: draw(st.integers(0, len(data)))]
    at = sorted(draw(st.lists(st.integers(0, len(data)), max_size=4)))
    return [
        data[one:other]
        for one, other in zip([0, *at], [*at, len(data)], strict=True)
    ]


def _difference(parser_class):
    """Returns the first answer that a parser reads unlike h11, or None."""
    found = []

    @settings(
        max_examples=400,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(answers())
    def compare(pieces):
        parser = parser_class(method="GET", max_head_bytes=MAX_HEAD_BYTES)
        ours = _read(parser, [piece for piece in pieces if piece])
        if ours != _read_by_h11(b"".join(pieces)):
            found.append(pieces)

    compare()
    return found[0] if found else None


@when("drawn answers are read by our parser and by h11")
def read_both(context):
    context.difference = _difference(AnswerParser)


@then("both find the same head, body and end")
def check_same(context):
    assert context.difference is None, context.difference


@when("drawn answers are read by a parser that overlooks where they are cut")
def read_careless(context):
    context.difference = _difference(CarelessParser)


@then("it differs from h11")
def check_differs(context):
    assert context.difference is not None


@when("an answer with {what} is read")
def read_answer(context, what):
    context.parser = AnswerParser(method="GET", max_head_bytes=MAX_HEAD_BYTES)
    data = ANSWERS[what]
    context.answer = _read(
        context.parser, [data[n : n + 1] for n in range(len(data))]
    )


@then("the answer is whole, the connection is {kept}")
def check_whole(context, kept):
    assert context.answer is not None
    assert context.answer[0] == 200
    assert context.answer[2] == b"body"
    assert context.parser.may_reuse_connection == (kept == "kept")


@then("the answer is refused")
def check_refused(context):
    assert context.answer is None


@when("a request with {what} is sent")
def send_request(context, what):
    target, header = "/a", (b"X-A", b"1")
    match what:
        case "a line end in a header":
            header = (b"X-A", b"1\r\nX-B: 2")
        case "a line end in a header name":
            header = (b"X-A: 1\nX-B", b"2")
        case "a space in its target":
            target = "/a HTTP/1.1 b"
        case "a zero byte in a header":
            header = (b"X-A", b"1\0")
    stream = _RecordingStream()

    async def run():
        exchange = SocketExchange(stream=stream, address="h:1")
        try:
            await exchange.send("GET", target, [header], b"")
        except ExchangeError as error:
            return error
        return None

    context.error = anyio.run(run)
    context.sent = stream.sent


class _RecordingStream:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = b""

    async def send(self, data):
        self.sent += data


@then("sending fails as not sent")
def check_not_sent(context):
    assert context.error is not None
    assert not context.error.sent
    assert not context.sent
    assert encode_request("GET", "/a", [(b"X-A", b"1")], b"") == (
        b"GET /a HTTP/1.1\r\nX-A: 1\r\n\r\n"
    )
