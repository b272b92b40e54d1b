"""Answers callers' question for addresses, and the platform's for readiness."""

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
"""Short: a daemon that dies is in callers' answers for so long; each question
costs a millisecond of a processor."""


class Addresses:
    """The two small interfaces beside the front."""

    def __init__(self, *, view: MemberView, ready: Callable[[], bool]) -> None:
        self._view = view
        self._ready = ready

    async def resolve(self, request: Request) -> Response:
        """Returns where callers may connect."""
        zone = request.query.get("zone", "")
        daemons = daemons_for_caller(
            self._view.daemons_for_callers(), zone, max_count=MOST_ADDRESSES
        )
        addresses = [d.public_address for d in daemons]
        if not addresses:
            return json_response({}, status=503)
        return json_response({"addresses": addresses, "ttl_s": TTL_S})

    async def ready(self, request: Request) -> Response:
        """Returns 200 while callers may be sent here."""
        del request
        return json_response({}, status=200 if self._ready() else 503)
