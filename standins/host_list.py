"""Stands in for the platform's list of live and leaving hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
)
from standins.base import StandIn

if TYPE_CHECKING:
    from cactusdyke.clock import Clock


class HostListService(StandIn):
    """A list that shows changes only after `lag_ms`."""

    def __init__(self, *, clock: Clock, lag_ms: float = 0.0) -> None:
        super().__init__(clock=clock)
        self.lag_ms = lag_ms
        self._changes: list[tuple[float, dict[str, Any]]] = []
        self.serve("GET", "/hosts", self._hosts)
        self.routes.add("POST", "/hosts", self._change)

    def change(self, host: dict[str, Any]) -> None:
        """Sets one host's entry, visible after the lag."""
        self._changes.append((self.clock.now() + self.lag_ms, host))

    async def _change(self, request: Request) -> Response:
        self.change(request.json().unwrap())
        return json_response({})

    async def _hosts(self, request: Request) -> Response:
        self.counts["reads"] += 1
        now = self.clock.now()
        hosts = {
            host["name"]: host
            for visible_at, host in self._changes
            if visible_at <= now
        }
        listed = [h for h in hosts.values() if h["state"] != "gone"]
        return json_response({"hosts": listed})
