"""Stands in for a plain service whose calls may not be repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
)
from standins.base import StandIn

if TYPE_CHECKING:
    from cactusdyke.clock import Clock


class PlainServer(StandIn):
    """Books what it is asked to, and counts bookings by request id and key.

    Further faults: `refuse` (how many of the next calls it says it did not
    run), `output_bytes` (how much longer its answers are).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        name: str = "plain",
        work_ms: float = 5.0,
        receipts: bool = False,
    ) -> None:
        super().__init__(clock=clock)
        self._receipts = receipts
        self.name = name
        self.work_ms = work_ms
        self.executions: dict[str, int] = {}
        self.executions_by_input: dict[bytes, int] = {}
        self.executions_by_key: dict[str, int] = {}
        self.outputs_by_key: dict[str, Any] = {}
        self.serve("POST", "/v1/run", self._run)
        self.serve("GET", "/v1/outcomes", self._outcome)

    def stats(self) -> dict[str, Any]:
        """Returns executions by request id and by idempotency key."""
        return {
            **super().stats(),
            "executions": self.executions,
            "executions_by_key": self.executions_by_key,
        }

    async def _run(self, request: Request) -> Response:
        call = request.json().unwrap()
        self.counts["calls"] += 1
        if self.faults.get("leaving"):
            return json_response(
                {"error": "leaving", "ran": "not_run"}, status=503
            )
        if self.faults.get("refuse", 0) > 0:
            self.faults["refuse"] -= 1
            return json_response(
                {"error": "busy", "ran": "not_run"}, status=503
            )
        await self.clock.sleep(self.work_ms)
        key = call["request_id"]
        self.executions[key] = self.executions.get(key, 0) + 1
        value = orjson.dumps(call["input"])
        self.executions_by_input[value] = (
            self.executions_by_input.get(value, 0) + 1
        )
        name = call.get("idempotency_key", "")
        self.executions_by_key[name] = self.executions_by_key.get(name, 0) + 1
        output = self._output(call["input"])
        self.outputs_by_key[name] = output
        if self.faults.get("crossed", 0) > 0:
            self.faults["crossed"] -= 1
            key, output = "another-request", {"booked": "another's"}
        return json_response(
            {
                "request_id": key,
                "stage": call["stage"],
                "attempt": call["attempt"],
                "output": output,
                "busy_ms": self.work_ms,
            }
        )

    async def _outcome(self, request: Request) -> Response:
        key = request.query["idempotency_key"]
        if key not in self.outputs_by_key:
            return json_response({"error": "unknown key"}, status=404)
        return json_response(
            {
                "idempotency_key": key,
                "ran": "ran",
                "output": self.outputs_by_key[key],
            }
        )

    def _output(self, value: Any) -> dict[str, Any]:
        output: dict[str, Any] = {"booked": value}
        if extra := self.faults.get("output_bytes", 0):
            output["form"] = "x" * extra
        if self._receipts:
            output["receipt"] = f"{self.name}/{sum(self.executions.values())}"
        return output
