"""What answers callers: requests as they were read, and replies to them."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

import attrs
from result import Ok, Result

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from cactusdyke.errors import Failure

Headers = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on a caller, times in milliseconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@attrs.frozen(kw_only=True)
class ReadRequest:
    """A request that was read whole; header names in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: Instant


class BrokenOffError(Exception):
    """An answer that has begun can't be finished; it must not look whole."""


class Reply(abc.ABC):
    """Where the answer to one request goes.

    Attributes:
        full: Whether the next part waits until the caller has read some.
        last_resort: Whether the answer is to a request that may run only once;
            it is terminated for lack of memory only after all others.
    """

    full: bool = False
    last_resort: bool = False

    @abc.abstractmethod
    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Begins an answer that comes in parts."""

    @abc.abstractmethod
    async def part(self, data: bytes) -> None:
        """Sends a part of it."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Ends it as complete."""


class FrontHandler(abc.ABC):
    """Answers callers' requests."""

    @abc.abstractmethod
    async def handle(self, request: ReadRequest, reply: Reply) -> None:
        """Answers a request; it is cancelled when the caller leaves.

        Raises:
            BrokenOffError: The answer had begun and can't be finished.
        """

    def screen(self, request: ReadRequest) -> Result[Instant, Failure]:
        """Looks at a request of which only the head has come.

        Returns:
            When its body must have come whole, or why it is refused at once.
        """
        del request
        return Ok(math.inf)

    @abc.abstractmethod
    def refusal(self, failure: Failure) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body that refuse what was not read."""
