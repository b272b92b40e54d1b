"""Keeps strangers off the paths that daemons use among themselves.

A daemon listens to callers and to other daemons on one port. Whoever could
post gossip could name itself a daemon and be given callers, and the
configuration among peers carries token hashes.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    failure_response,
)
from cactusdyke.transport.network import Network

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from result import Result

    from cactusdyke.transport.network import CallOptions, Incoming

INTERNAL_PREFIX = "/internal/"
PEER_HEADER = "x-cactusdyke-peer"


class PeerNetwork(Network):
    """Adds the peers' token to requests on the daemons' own paths."""

    def __init__(self, *, network: Network, token: str) -> None:
        self._network = network
        self._token = token

    def open(
        self, address: str, request: Request, options: CallOptions
    ) -> AbstractAsyncContextManager[Result[Incoming, Failure]]:
        """Sends a request and gives its response while the block runs."""
        return self._network.open(address, self._with_token(request), options)

    async def fetch(
        self, address: str, request: Request, options: CallOptions
    ) -> Result[Response, Failure]:
        """Sends a request and returns its whole response."""
        return await self._network.fetch(
            address, self._with_token(request), options
        )

    def _with_token(self, request: Request) -> Request:
        if not request.path.startswith(INTERNAL_PREFIX):
            return request
        headers = {**request.headers, PEER_HEADER: self._token}
        return attrs.evolve(request, headers=headers)


def guarded(handler: Handler, *, token: str) -> Handler:
    """Returns a handler that refuses requests without the peers' token."""
    expected = token.encode()

    async def handle(request: Request) -> Response:
        given = request.headers.get(PEER_HEADER, "").encode()
        if not hmac.compare_digest(given, expected):
            return failure_response(_stranger())
        return await handler(request)

    return handle


def _stranger() -> Failure:
    return Failure(
        kind=FailureKind.FORBIDDEN,
        detail="This path is for the deployment's own daemons",
    )
