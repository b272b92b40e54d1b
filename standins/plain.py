"""Stands in for a plain service whose calls may not be repeated."""

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


class PlainServer(StandIn):
    """Books what it is asked to, and counts bookings by request id."""

    def __init__(
        self, *, clock: Clock, name: str = "plain", work_ms: float = 5.0
    ) -> None:
        super().__init__(clock=clock)
        self.name = name
        self.work_ms = work_ms
        self.executions: dict[str, int] = {}
        self.serve("POST", "/v1/run", self._run)

    def stats(self) -> dict[str, Any]:
        """Returns executions by request id."""
        return {"counts": dict(self.counts), "executions": self.executions}

    async def _run(self, request: Request) -> Response:
        call = request.json().unwrap()
        self.counts["calls"] += 1
        if self.faults.get("leaving"):
            return json_response(
                {"error": "leaving", "ran": "not_run"}, status=503
            )
        await self.clock.sleep(self.work_ms)
        key = call["request_id"]
        self.executions[key] = self.executions.get(key, 0) + 1
        return json_response(
            {
                "request_id": key,
                "stage": call["stage"],
                "attempt": call["attempt"],
                "output": {"booked": call["input"]},
                "busy_ms": self.work_ms,
            }
        )
