"""Counts messages and bytes at a daemon's edges, by what they are for."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import prometheus_client
from result import Ok, Result

from cactusdyke.transport.network import Network

if TYPE_CHECKING:
    from collections.abc import Mapping
    from contextlib import AbstractAsyncContextManager

    from cactusdyke.errors import Failure
    from cactusdyke.transport.messages import Handler, Request, Response
    from cactusdyke.transport.network import CallOptions, Incoming

START_LINE_BYTES = 24
HEADER_OVERHEAD_BYTES = 4
COMMON_HEADER_BYTES = 45
"""About what host, length and type headers take that libraries add."""


class Purpose(enum.StrEnum):
    """What a message is for."""

    PEERS = "peers"
    STORE = "store"
    HOST_LIST = "host_list"
    LOAD = "load"
    ORDERS = "orders"
    SERVING = "serving"


_PREFIXES = (
    ("/internal/", Purpose.PEERS),
    ("/objects/", Purpose.STORE),
    ("/watch/", Purpose.STORE),
    ("/list", Purpose.STORE),
    ("/hosts", Purpose.HOST_LIST),
    ("/v1/load", Purpose.LOAD),
    ("/v1/cache_events", Purpose.LOAD),
    ("/v1/orders", Purpose.ORDERS),
    ("/v1/state", Purpose.ORDERS),
)


def purpose_of(path: str) -> Purpose:
    """Returns what a request to a path is for."""
    for prefix, purpose in _PREFIXES:
        if path.startswith(prefix):
            return purpose
    return Purpose.SERVING


class Traffic:
    """Counters of exchanges and bytes, by purpose and by who began them."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._exchanges = prometheus_client.Counter(
            "cactusdyke_exchanges",
            "Requests with their answers, by purpose and who began them.",
            ("purpose", "began"),
            registry=registry,
        )
        self._bytes = prometheus_client.Counter(
            "cactusdyke_exchange_bytes",
            "Bytes by purpose and direction; heads in part estimated.",
            ("purpose", "direction"),
            registry=registry,
        )

    def count(
        self, *, purpose: Purpose, began: str, sent: int, received: int
    ) -> None:
        """Counts one exchange; `began` is `here` or `there`."""
        self._exchanges.labels(purpose, began).inc()
        self._bytes.labels(purpose, "sent").inc(sent)
        self._bytes.labels(purpose, "received").inc(received)

    def metered(self, handler: Handler) -> Handler:
        """Returns a handler whose control exchanges are counted."""

        async def handle(request: Request) -> Response:
            response = await handler(request)
            purpose = purpose_of(request.path)
            if purpose is not Purpose.SERVING:
                self.count(
                    purpose=purpose,
                    began="there",
                    sent=response_bytes(response),
                    received=request_bytes(request),
                )
            return response

        return handle


class MeteredNetwork(Network):
    """Counts the exchanges that another network makes.

    Streams pass uncounted: a token must not pay for a counter.
    """

    def __init__(self, *, network: Network, traffic: Traffic) -> None:
        self._network = network
        self._traffic = traffic

    def open(
        self, address: str, request: Request, options: CallOptions
    ) -> AbstractAsyncContextManager[Result[Incoming, Failure]]:
        """Sends a request and gives its response while the block runs."""
        return self._network.open(address, request, options)

    async def fetch(
        self, address: str, request: Request, options: CallOptions
    ) -> Result[Response, Failure]:
        """Sends a request, returns its whole response and counts both."""
        answer = await self._network.fetch(address, request, options)
        received = 0
        if isinstance(answer, Ok):
            received = response_bytes(answer.ok_value)
        self._traffic.count(
            purpose=purpose_of(request.path),
            began="here",
            sent=request_bytes(request),
            received=received,
        )
        return answer


def request_bytes(request: Request) -> int:
    """Returns about how many bytes a request takes on the wire."""
    target = len(request.path) + sum(
        len(name) + len(value) + 2 for name, value in request.query.items()
    )
    return target + _message_bytes(request.headers, request.body)


def response_bytes(response: Response) -> int:
    """Returns about how many bytes a whole response takes on the wire."""
    body = response.body if isinstance(response.body, bytes) else b""
    return _message_bytes(response.headers, body)


def _message_bytes(headers: Mapping[str, str], body: bytes) -> int:
    named = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in headers.items()
    )
    return START_LINE_BYTES + COMMON_HEADER_BYTES + named + len(body)
