"""The demonstration: one request from end to end, as separate processes."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import anyio

from cactusdyke.client import Client
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    request_json,
    small_fleet,
)

BUILD = pathlib.Path("build")
BOOKING_KEY = "booking-1"
DAEMONS = ("entry-1", "entry-2", "entry-3")


class Demo:
    """Runs the demonstration and collects what happened."""

    def __init__(self, fleet: Fleet, answers: dict[str, Any]) -> None:
        self._fleet = fleet
        self._answers = answers
        self._seeds = [fleet[name].address for name in DAEMONS]
        self.report: dict[str, Any] = {"problems": []}

    async def run(self) -> None:
        """Submits, asks for addresses, runs a pipeline and a booking."""
        async with (
            Client(seeds=self._seeds, token=OPERATOR_TOKEN) as operator,
            Client(seeds=self._seeds, token=CUSTOMER_TOKEN) as customer,
        ):
            await self._submit(operator)
            addresses = await customer.addresses()
            print("addresses:", ", ".join(addresses))
            self.report["addresses"] = addresses
            trace_id = await self._pipeline(customer)
            await self._booking(customer)
            await self._trace_and_cost(operator, trace_id)
        self._count()

    async def _submit(self, operator: Client) -> None:
        submission = {"id": "demo-1", "answers": self._answers}
        accepted = (await operator.post("/v1/submissions", submission)).unwrap()
        self._fleet.wait_ready(DAEMONS)
        print("configuration in force, revision", accepted["revision"])
        self.report["sent"] = {"submission": submission["id"]}

    async def _pipeline(self, customer: Client) -> str:
        value = {"site_plan": "Lyell Highway, lane closure, two phases"}
        self.report["sent"]["pipeline"] = value
        texts: list[str] = []
        end: dict[str, Any] = {}
        async for event in customer.stream("summary", value):
            if event.name == "token":
                self._check(event.data["position"] == len(texts), "order")
                texts.append(event.data["text"])
            elif event.name == "end":
                end = dict(event.data)
            else:
                self._check(False, f"error event {dict(event.data)}")
        print("streamed answer:", "".join(texts))
        self._check(bool(end), "the streamed answer has no end")
        self._check(end.get("tokens") == len(texts), "tokens are missing")
        whole = await customer.call("/v1/pipelines/summary", value)
        self._check(whole.is_ok(), "the whole answer did not come")
        self.report["answered"] = {"tokens": len(texts), "end": end}
        return str(end.get("trace_id", ""))

    async def _booking(self, customer: Client) -> None:
        value = {"trailer": 7, "site": "Bridgewater"}
        self.report["sent"]["booking"] = value
        answers = []
        for _ in range(2):
            answer = await customer.call(
                "/v1/services/hire-booking", value, idempotency_key=BOOKING_KEY
            )
            self._check(answer.is_ok(), f"booking: {answer}")
            answers.append(answer.unwrap_or({}).get("output"))
        print("booking, asked for twice with one key:", answers)
        self._check(answers[0] == answers[1], "the answers differ")
        self._check(answers[0] == {"booked": value}, "not what was booked")
        self.report["answered"]["booking"] = answers

    async def _trace_and_cost(self, operator: Client, trace_id: str) -> None:
        spans: list[dict[str, Any]] = []
        cost: list[dict[str, Any]] = []
        for address in self._seeds:
            async with Client(seeds=[address], token=OPERATOR_TOKEN) as one:
                one.pin(address)
                found = (await one.get(f"/v1/traces/{trace_id}")).unwrap()
                spans += found["spans"]
                cost += (await one.get("/v1/cost")).unwrap()["stages"]
        print("trace:")
        for span in spans:
            print(f"  {span['duration_ms']:8.2f} ms  {span['name']}")
        self._check(len(spans) >= 9, "the trace lacks spans")
        print("cost by stage:")
        for row in cost:
            print(
                f"  {row['pipeline']}/{row['stage']}:"
                f" {row['attempts']} attempts, {row['cost']:.6f}"
            )
        self.report["trace"] = spans
        self.report["cost"] = cost

    def _count(self) -> None:
        executed = {}
        for name in ("plain-1", "engine-1", "engine-2", "encoder-1"):
            stats = request_json("GET", self._fleet[name].address, "/stats")
            executed[name] = stats["executions"]
        self.report["executed"] = executed
        bookings = list(executed["plain-1"].values())
        self._check(bookings == [1], f"bookings executed: {bookings}")

    def _check(self, holds: bool, problem: str) -> None:
        if not holds:
            self.report["problems"].append(problem)


def main() -> int:
    """Runs the demonstration; returns non-zero if anything was not whole."""
    with small_fleet(BUILD / "demo") as (fleet, answers):
        demo = Demo(fleet, answers)
        anyio.run(demo.run)
        stopped = {name: fleet[name].stop() for name in DAEMONS}
        print("stopped:", stopped)
        if any(stopped.values()):
            demo.report["problems"].append(f"exit statuses {stopped}")
    (BUILD / "demo.json").write_text(json.dumps(demo.report, indent=2))
    for problem in demo.report["problems"]:
        print("PROBLEM:", problem)
    return 1 if demo.report["problems"] else 0


if __name__ == "__main__":
    sys.exit(main())
