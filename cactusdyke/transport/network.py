"""What a daemon needs of the network to call others."""

from __future__ import annotations

import abc
import contextlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.clock import Clock, Instant
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import Request, Response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from contextlib import AbstractAsyncContextManager


MAX_BODY_BYTES = 16 * 1024 * 1024
"""Several times what a daemon knows of 1,800 replicas."""
ASK_AGAIN_MS = 250.0
"""How long after a wait could not be given up it is asked for again."""


class Incoming(abc.ABC):
    """A response whose head has arrived and whose body is on its way."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """The HTTP status."""

    @property
    @abc.abstractmethod
    def headers(self) -> Mapping[str, str]:
        """Header values by lower-case name."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            CactusdykeError: The connection broke or made no progress.
        """

    async def whole_body(self, *, most: int = MAX_BODY_BYTES) -> bytes:
        """Returns the whole body.

        Raises:
            CactusdykeError: The connection broke or made no progress, or the
                body has more than `most` bytes.
        """
        body = bytearray()
        async with contextlib.aclosing(self.chunks()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                body += chunk
                if len(body) > most:
                    raise CactusdykeError(
                        Failure(
                            kind=FailureKind.CONNECTION_LOST,
                            detail=f"The answer has over {most} bytes",
                            ran=Ran.UNKNOWN,
                        )
                    )
        return bytes(body)


@attrs.define(kw_only=True)
class ProgressLimit:
    """How long an answer may take to go on; moved while it arrives.

    Attributes:
        until: Instant by which more of the answer should have come.
        may_give_up: Asked once that has passed; if it says no the wait goes on,
            and it is asked again.
        latest: Instant at which the wait ends in any case.
    """

    until: Instant
    may_give_up: Callable[[], bool] = lambda: True
    latest: Instant = math.inf

    def is_over(self, now: Instant) -> bool:
        """Returns whether to give up the wait; prolongs it if not."""
        if now < self.until:
            return False
        if now >= self.latest or self.may_give_up():
            return True
        self.until = min(now + ASK_AGAIN_MS, self.latest)
        return False


@attrs.frozen(kw_only=True)
class CallOptions:
    """How one call is made.

    Attributes:
        connect_timeout_ms: Longest time to open a connection.
        progress_timeout_ms: Longest time without a byte once connected.
        fresh: Whether to open a connection used by nothing else, so that a
            stale idle one can't make the outcome doubtful.
        limit: Bounds each wait for the answer as well, if given.
        may_send: Asked with the connection open, right before the first byte
            is handed over; if it says no, nothing is sent (NOT_SENT).
        max_body_bytes: Longest body of an answer that is read whole.
    """

    connect_timeout_ms: float = 1_000.0
    progress_timeout_ms: float = 5_000.0
    fresh: bool = False
    limit: ProgressLimit | None = None
    may_send: Callable[[], bool] | None = None
    max_body_bytes: int = MAX_BODY_BYTES

    def wait_ms(self, clock: Clock) -> float:
        """Returns how long the next wait for the answer may be."""
        if self.limit is None:
            return self.progress_timeout_ms
        left = max(0.0, self.limit.until - clock.now())
        return min(left, self.progress_timeout_ms)


class Network(abc.ABC):
    """Sends HTTP requests to addresses `host:port`.

    A failure's `ran` is NOT_RUN only where no byte was handed to a
    connection. A body that is not read to its end closes its connection:
    a late answer must never reach the connection's next request.
    """

    @abc.abstractmethod
    def open(
        self, address: str, request: Request, options: CallOptions
    ) -> AbstractAsyncContextManager[Result[Incoming, Failure]]:
        """Sends a request and gives its response while the block runs."""

    async def fetch(
        self, address: str, request: Request, options: CallOptions
    ) -> Result[Response, Failure]:
        """Sends a request and returns its whole response."""
        async with self.open(address, request, options) as opened:
            if isinstance(opened, Err):
                return opened
            incoming = opened.ok_value
            try:
                body = await incoming.whole_body(most=options.max_body_bytes)
            except CactusdykeError as error:
                return Err(error.failure)
            return Ok(
                Response(
                    status=incoming.status,
                    headers=incoming.headers,
                    body=body,
                )
            )
