"""Serves the directory of daemons for callers, and the readiness check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.caller_addresses import daemons_for_caller
from cactusdyke.transport.messages import Request, Response, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.serving.member_view import MemberView

RESOLVE_PATH = "/-/resolve"
READY_PATH = "/-/ready"
MOST_ADDRESSES = 64
TTL_S = 2
"""Callers keep the address of a dead daemon for this long. Each request for
addresses costs a millisecond of processor time."""


class Addresses:
    """Handlers of the directory and of the readiness check."""

    def __init__(self, *, view: MemberView, ready: Callable[[], bool]) -> None:
        self._view = view
        self._ready = ready

    async def resolve(self, request: Request) -> Response:
        """Returns the addresses that a caller may connect to."""
        zone = request.query.get("zone", "")
        daemons = daemons_for_caller(
            self._view.daemons_for_callers(), zone, max_count=MOST_ADDRESSES
        )
        addresses = [d.public_address for d in daemons]
        if not addresses:
            return json_response({}, status=503)
        return json_response({"addresses": addresses, "ttl_s": TTL_S})

    async def ready(self, request: Request) -> Response:
        """Returns 200 while this daemon accepts new callers."""
        del request
        return json_response({}, status=200 if self._ready() else 503)
