"""Asks a plain service what became of a call, by its idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok

from cactusdyke.errors import Ran
from cactusdyke.transport.messages import Request, parse_object
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from cactusdyke.booking.call import Call
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.transport.network import Network

OUTCOMES_PATH = "/v1/outcomes"
ASK_TIMEOUT_MS = 500.0
SERVERS_ASKED = 3


@attrs.frozen(kw_only=True)
class Found:
    """A call that the service knows it made, and its answer."""

    output: Any


class Asker:
    """Finds calls that ran although their answer was lost.

    Only `ran` counts. A server that knows nothing of a key may still be about
    to get the call, so `not_run` is never concluded from its silence.
    """

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def find(self, call: Call) -> Found | None:
        """Returns a call's answer, if its service can be asked and has it."""
        if not call.service.answers_by_key:
            return None
        pool = call.context.configuration.pools[call.service.pool]
        for server in pool.backend_servers[:SERVERS_ASKED]:
            found = await self._ask(server, call.service_key)
            if found is not None:
                return found
        return None

    async def _ask(self, server: BackendServer, key: str) -> Found | None:
        request = Request(
            method="GET", path=OUTCOMES_PATH, query={"idempotency_key": key}
        )
        options = CallOptions(
            connect_timeout_ms=ASK_TIMEOUT_MS,
            progress_timeout_ms=ASK_TIMEOUT_MS,
        )
        answer = await self._network.fetch(server.address, request, options)
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return None
        assert isinstance(answer.ok_value.body, bytes)
        match parse_object(answer.ok_value.body):
            case Ok({"idempotency_key": echoed, "ran": Ran.RAN, **rest}):
                if echoed == key and "output" in rest:
                    return Found(output=rest["output"])
        return None
