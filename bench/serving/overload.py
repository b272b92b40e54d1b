"""A deployment in virtual time under more requests than it can serve."""

from __future__ import annotations

import collections
import random
from collections.abc import Mapping
from typing import Any

import anyio
import attrs
import orjson

from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions
from features.support.deployment import Deployment, answers
from standins.fleet import OPERATOR_TOKEN, token_hash

OPEN = {"cactusdyke.limits.overload": "bench.naive.open_admission"}
NO_LIMIT = 100_000
PATIENCE_MS = 60_000.0


@attrs.frozen(kw_only=True)
class Size:
    """How large a deployment is measured.

    Attributes:
        daemons: Entry daemons.
        engines: Replicas of the last stage, the bottleneck.
        slots: Requests that each replica runs at once.
        engine_ms: How long the last stage takes.
        deadline_ms: The pipeline's deadline.
    """

    daemons: int = 6
    engines: int = 10
    slots: int = 4
    engine_ms: float = 800.0
    deadline_ms: float = 4_000.0

    @property
    def capacity(self) -> float:
        """Requests a second that the last stage can run."""
        return self.engines * self.slots / self.engine_ms * 1000.0


@attrs.define(kw_only=True)
class Tally:
    """How one customer's requests ended.

    Attributes:
        sent: Requests sent.
        kept: Whole answers within the deadline, by when they came.
        kinds: Failures by kind.
        late: Whole answers after the deadline.
        took_ms: How long each whole answer took.
        refused_after_ms: How long each refusal took.
    """

    sent: int = 0
    kept: list[float] = attrs.field(factory=list)
    kinds: collections.Counter[str] = attrs.field(factory=collections.Counter)
    late: int = 0
    took_ms: list[float] = attrs.field(factory=list)
    refused_after_ms: list[float] = attrs.field(factory=list)
    without_retry_after: int = 0

    @property
    def attainment(self) -> float:
        """The share of requests answered whole in time."""
        return len(self.kept) / max(1, self.sent)

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the times of whole answers."""
        ordered = sorted(self.took_ms) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


class OverloadRun:
    """Offers load to a deployment and tallies how it ends."""

    def __init__(
        self,
        *,
        size: Size,
        customers: Mapping[str, Mapping[str, Any]],
        replacements: Mapping[str, str] | None = None,
        seed: int = 0,
    ) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.tallies = {name: Tally() for name in customers}
        self._not_run: list[str] = []
        self._customers = customers
        self._replacements = replacements
        self.deployment = Deployment(seed=seed, replacements=replacements)

    async def __aenter__(self) -> OverloadRun:
        deployment = self.deployment
        await deployment.__aenter__()
        for kind in ("encoder", "retriever", "reranker"):
            for number in range(3):
                deployment.engine(f"{kind}-{number}", stage_ms=30.0, slots=16)
        for number in range(self.size.engines):
            deployment.engine(
                f"engine-{number}",
                stage_ms=self.size.engine_ms,
                slots=self.size.slots,
            )
        await deployment.start_daemons(self.size.daemons)
        await deployment.submit(self._answers(), submission="overload")
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self.deployment.__aexit__(*error)

    @property
    def now(self) -> float:
        """Milliseconds of virtual time."""
        return self.deployment.hub.clock.now()

    def refused(self) -> collections.Counter[str]:
        """Returns failures of all customers by kind."""
        total: collections.Counter[str] = collections.Counter()
        for tally in self.tallies.values():
            total.update(tally.kinds)
        return total

    def kept_between(self, since: float, until: float) -> int:
        """Returns whole answers in time that came in an interval."""
        return sum(
            since <= at < until
            for tally in self.tallies.values()
            for at in tally.kept
        )

    async def offer(
        self,
        customer: str,
        *,
        rate: float,
        duration_ms: float,
        daemons: int | None = None,
    ) -> None:
        """Sends requests at a rate, and waits until the last has ended."""
        names = list(self.deployment.daemons)[:daemons]
        end = self.now + duration_ms
        async with anyio.create_task_group() as tasks:
            while True:
                gap_ms = self.rng.expovariate(rate) * 1000.0
                await self.deployment.hub.clock.sleep(gap_ms)
                if self.now >= end:
                    return
                tasks.start_soon(self._send, customer, self.rng.choice(names))

    async def _send(self, customer: str, daemon: str) -> None:
        tally = self.tallies[customer]
        tally.sent += 1
        number = sum(t.sent for t in self.tallies.values())
        request = Request(
            method="POST",
            path="/v1/pipelines/summary",
            headers={
                "authorization": f"Bearer {customer}",
                "content-type": JSON_TYPE,
            },
            body=orjson.dumps({"input": {"plan": number}}),
        )
        began = self.now
        answer = await self.deployment.hub.network("caller").fetch(
            f"{daemon}:1", request, CallOptions(progress_timeout_ms=PATIENCE_MS)
        )
        took = self.now - began
        response = answer.unwrap()
        if response.status == 200:
            tally.took_ms.append(took)
            if took <= self.size.deadline_ms:
                tally.kept.append(self.now)
            else:
                tally.late += 1
            return
        body = response.body
        assert isinstance(body, bytes)
        error = parse_object(body).unwrap()["error"]
        tally.kinds[error["kind"]] += 1
        if error["kind"] == "overloaded":
            tally.refused_after_ms.append(took)
            tally.without_retry_after += "retry_after_ms" not in error
        if error["ran"] == "not_run":
            self._not_run.append(error.get("request_id", ""))

    def false_not_run(self) -> int:
        """Returns how many requests said to be not run had run."""
        ran = {
            key.split("/")[0]
            for server in self.deployment.servers.values()
            for key in getattr(server, "executions", {})
        }
        return sum(request_id in ran for request_id in self._not_run)

    def _answers(self) -> dict[str, Any]:
        value = answers(self.deployment)
        value["customers"] = [
            {
                "name": name,
                "token_hashes": [token_hash(name)],
                "requests_per_second": NO_LIMIT,
                "burst": NO_LIMIT,
                **options,
            }
            for name, options in self._customers.items()
        ]
        value["operators"] = [
            {"name": "operator", "token_hashes": [token_hash(OPERATOR_TOKEN)]}
        ]
        for pool in value["pools"]:
            for server in pool["backend_servers"]:
                is_engine = pool["name"] == "engine"
                server["slots"] = self.size.slots if is_engine else 16
        job = value["jobs"][0]
        job["deadline_ms"] = self.size.deadline_ms
        for stage in job["stages"]:
            is_engine = stage["pool"] == "engine"
            stage["usually_takes_ms"] = (
                self.size.engine_ms if is_engine else 30.0
            )
        return value
