"""What the stand-ins share: routes, faults and counts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import anyio

from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
)
from cactusdyke.transport.routes import Routes

if TYPE_CHECKING:
    from cactusdyke.clock import Clock


class StandIn:
    """A fake outside system whose faults are switched over HTTP.

    `POST /faults` takes an object of fault names and values, `GET /stats`
    gives what was counted, and requests by path as they came in. Faults that
    all stand-ins know: `down` (answers 503), `delay_ms` (answers late),
    `lose_answers` (how many of the next answers never come, although the work
    was done).
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.faults: dict[str, Any] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.routes = Routes()
        self.routes.add("POST", "/faults", self._set_faults)
        self.routes.add("GET", "/stats", self._stats)

    def serve(self, method: str, path: str, handler) -> None:
        """Registers a handler that the common faults apply to."""

        async def faulty(request: Request) -> Response:
            if self.faults.get("down"):
                return json_response({"error": "down"}, status=503)
            self.received[path] += 1
            if delay := self.faults.get("delay_ms"):
                await self.clock.sleep(delay)
            response = await handler(request)
            if self.faults.get("lose_answers", 0) > 0:
                self.faults["lose_answers"] -= 1
                await anyio.sleep_forever()
            return response

        self.routes.add(method, path, faulty)

    def stats(self) -> dict[str, Any]:
        """Returns what was counted."""
        return {"counts": dict(self.counts), "received": dict(self.received)}

    async def _set_faults(self, request: Request) -> Response:
        self.faults.update(request.json().unwrap())
        return json_response(self.faults)

    async def _stats(self, request: Request) -> Response:
        return json_response(self.stats())
