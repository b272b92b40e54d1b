"""One request and its answer on one connection.

A client library hides what decides whether an answer may be used: bytes behind
its end, whether the end was a close or a reset, the exact moment of the first
byte sent.
"""

from __future__ import annotations

import abc
import contextlib
from typing import TYPE_CHECKING

import anyio

from cactusdyke.transport import sockets
from cactusdyke.transport.answer_parser import (
    AnswerError,
    AnswerHead,
    AnswerParser,
    Headers,
    encode_request,
)
from cactusdyke.transport.memory_budget import (
    LARGE_BYTES,
    Kind,
    NoMemoryError,
)
from cactusdyke.transport.tcp_stream import connect_tcp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import ByteStream

    from cactusdyke.clock import Clock
    from cactusdyke.transport.memory_budget import Held, MemoryBudget
    from cactusdyke.transport.tcp_stream import TcpStream

READ_BYTES = 65_536
SLICE_BYTES = 16_384
MAX_HEAD_BYTES = 65_536
CONNECT_TIMEOUT_MS = 400.0
"""The opening packet is sent again after a second only; another replica, or
the same one anew, answers sooner than that."""


class ExchangeError(Exception):
    """The exchange ended without a whole answer.

    Attributes:
        sent: Whether a byte of the request was handed to the connection.
        refused: Whether the host is there and nothing listens at the address.
    """

    def __init__(
        self, detail: str, *, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class Exchange(abc.ABC):
    """Sends one request to a backend server and reads its answer."""

    @property
    @abc.abstractmethod
    def sent(self) -> bool:
        """Whether a byte of the request was handed over."""

    @property
    @abc.abstractmethod
    def ends_with_connection(self) -> bool:
        """Whether the answer has neither a length nor chunks.

        Its end then looks the same as the end of the backend server's process.
        """

    @abc.abstractmethod
    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Sends a request.

        Raises:
            ExchangeError: The connection broke.
        """

    @abc.abstractmethod
    async def head(self) -> AnswerHead:
        """Returns the head of the answer.

        Raises:
            ExchangeError: The connection broke, or no answer came.
        """

    @abc.abstractmethod
    def body(self) -> AsyncIterator[bytes]:
        """Yields the answer's body; ends only at its real end.

        Raises:
            ExchangeError: The body was cut short.
        """

    async def whole_body(
        self,
        *,
        most: int,
        held: Held | None = None,
        must_finish: bool = False,
    ) -> bytes:
        """Returns the whole body.

        Args:
            most: The most bytes that it may have.
            held: Counts the body of a large answer, if given.
            must_finish: Whether it is read also if no memory becomes free.

        Raises:
            ExchangeError: It was cut short, is longer than `most` bytes, or no
                memory for it became free.
        """
        parts = bytearray()
        async with contextlib.aclosing(self.body()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                parts += chunk
                if len(parts) > most:
                    raise ExchangeError(
                        "the answer is too long to be checked", sent=self.sent
                    )
                if held is not None and len(parts) >= LARGE_BYTES:
                    await self._hold(len(parts), held, must_finish=must_finish)
        return bytes(parts)

    async def _hold(self, size: int, held: Held, *, must_finish: bool) -> None:
        try:
            await held.receive(size, must_finish=must_finish)
        except NoMemoryError as error:
            raise ExchangeError(
                "no memory for the answer became free", sent=self.sent
            ) from error


class BackendConnections(abc.ABC):
    """Opens connections to backend servers, one for each exchange."""

    @abc.abstractmethod
    def connect(self, address: str) -> AbstractAsyncContextManager[Exchange]:
        """Opens a connection for one exchange, and closes it.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """

    def is_path_lost(self, address: str) -> bool:
        """Returns whether only other daemons reach the backend server."""
        del address
        return False

    def is_path_in_doubt(self, address: str) -> bool:
        """Returns whether a failure just now may have been the path's fault.

        The backend server is not to blame for it then.
        """
        del address
        return False


class SocketExchange(Exchange):
    """An exchange on a TCP connection, and the next one if all was read.

    To backend servers each exchange has a connection of its own: at 1 ms a
    connection it costs less than what kept ones cost here in answers crossed by
    late or doubled ones, in idle connections that went silent, and in doubt
    whether a request ran.
    """

    def __init__(
        self,
        *,
        stream: ByteStream,
        address: str,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._stream = stream
        self._budget = budget
        self._address = address
        self._parser = AnswerParser(method="", max_head_bytes=MAX_HEAD_BYTES)
        self._sent = False
        self._is_request_cut = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the request was handed over."""
        return self._sent

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._parser.may_reuse_connection

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer has neither a length nor chunks."""
        return self._parser.ends_with_connection

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Sends a request.

        Raises:
            ExchangeError: The request cannot be encoded; nothing was sent.
        """
        self._sent = False
        self._is_request_cut = False
        self._parser = AnswerParser(
            method=method, max_head_bytes=MAX_HEAD_BYTES
        )
        try:
            begin = encode_request(method, target, headers, body[:SLICE_BYTES])
        except ValueError as error:
            raise self._error(str(error)) from error
        self._sent = True
        try:
            await self._send(begin, body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # It may have answered before it read all, and closed then. What
            # it said is still to be read, if it says where it ends.
            self._is_request_cut = True

    async def _send(self, begin: bytes, body: bytes) -> None:
        """Sends a request in slices; counts a large one until it is taken.

        What the socket does not take is copied: of one slice, not of a body.
        """
        with contextlib.ExitStack() as stack:
            if self._budget is not None and len(body) >= LARGE_BYTES:
                held = stack.enter_context(self._budget.hold(Kind.REPLICAS))
                held.set(len(body))
            await self._stream.send(begin)
            for start in range(SLICE_BYTES, len(body), SLICE_BYTES):
                await self._stream.send(body[start : start + SLICE_BYTES])

    async def head(self) -> AnswerHead:
        """Returns the head of the answer.

        Raises:
            ExchangeError: The connection broke, or no answer came.
        """
        while self._parser.head is None:
            await self._receive()
            if self._parser.head is None:
                self._check()
        return self._parser.head

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the answer's body; ends only at its real end.

        Raises:
            ExchangeError: The body was cut short.
        """
        while True:
            try:
                data = self._parser.take_body()
            except AnswerError as error:
                raise self._error(str(error)) from error
            if data:
                yield data
            elif self._parser.done:
                return
            else:
                await self._receive()

    def _check(self) -> None:
        try:
            self._parser.check()
        except AnswerError as error:
            raise self._error(str(error)) from error

    async def _receive(self) -> None:
        try:
            self._parser.feed(await self._stream.receive(READ_BYTES))
        except anyio.EndOfStream:
            if self._is_request_cut:
                raise self._error(
                    "the connection broke while the request was sent"
                ) from None
            self._parser.feed_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._error("the connection was reset") from error

    def _error(self, detail: str) -> ExchangeError:
        return ExchangeError(f"{self._address}: {detail}", sent=self._sent)


@contextlib.asynccontextmanager
async def connect(
    address: str,
    *,
    clock: Clock,
    timeout_ms: float = CONNECT_TIMEOUT_MS,
    budget: MemoryBudget | None = None,
) -> AsyncIterator[Exchange]:
    """Opens a connection for one exchange, and closes it.

    Raises:
        ExchangeError: No connection could be made; nothing was sent.
    """
    stream: TcpStream | None = None
    try:
        with clock.timeout(timeout_ms):
            stream = await connect_tcp(address)
    except OSError as error:
        raise ExchangeError(
            f"{address}: {error}",
            sent=False,
            refused=isinstance(error, ConnectionRefusedError),
        ) from error
    if stream is None:
        raise ExchangeError(f"{address}: no connection in time", sent=False)
    try:
        sockets.guard_against_silence(stream)
        yield SocketExchange(stream=stream, address=address, budget=budget)
    finally:
        stream.abort()


class SocketConnections(BackendConnections):
    """Opens TCP connections."""

    def __init__(
        self, *, clock: Clock, budget: MemoryBudget | None = None
    ) -> None:
        self._clock = clock
        self._budget = budget

    def connect(self, address: str) -> AbstractAsyncContextManager[Exchange]:
        """Opens a connection for one exchange, and closes it."""
        return connect(address, clock=self._clock, budget=self._budget)
