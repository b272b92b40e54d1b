"""Runs requests under faults in virtual time and checks their outcomes."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping, Sequence
from typing import Any

import anyio
import attrs
import orjson
from result import Err, Ok

from cactusdyke.client import Client
from cactusdyke.configuration.in_force import InForce
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from features.support.deployment import Deployment, answers
from standins.engine import generate

DEADLINE_MS = 3_000.0
# Code takes no virtual time, so answers exceed the deadline by rounding only.
ANSWER_MARGIN_MS = 60.0
TOKENS = 12
POOLS = {"encoder": 2, "engine": 3, "plain": 2}
DAEMON = "entry-1"


@attrs.define(kw_only=True)
class Outcome:
    """What the caller of one request received."""

    kind: str
    value: dict[str, Any]
    began: float
    ended: float = 0.0
    output: Any = None
    first_token: float = 0.0
    tokens: list[str] = attrs.field(factory=list)
    positions: list[int] = attrs.field(factory=list)
    whole: bool = False
    failure: Failure | None = None


class RequestRig:
    """A small deployment, faults in it and the requests sent to it."""

    def __init__(
        self,
        *,
        replacements: Mapping[str, str] | None = None,
        pools: Mapping[str, int] = POOLS,
        deadline_ms: float = DEADLINE_MS,
        **changes: Any,
    ) -> None:
        self.deployment = Deployment(replacements=replacements)
        self.pools = pools
        self.deadline_ms = deadline_ms
        self.changes = changes
        self.outcomes: list[Outcome] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> RequestRig:
        await self._stack.enter_async_context(self.deployment)
        try:
            await self._set_up()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _set_up(self) -> None:
        for kind, count in self.pools.items():
            for number in range(1, count + 1):
                name = f"{kind}-{number}"
                if kind == "plain":
                    self.deployment.plain(name)
                else:
                    self.deployment.engine(name, tokens=TOKENS, token_ms=20)
        await self.deployment.start_daemons(1)
        submitted = answers(
            self.deployment, jobs=self._jobs(), services=[], **self.changes
        )
        for pool in submitted["pools"]:
            pool["calls_may_be_repeated"] = True
        await self.deployment.submit(submitted, submission="first")
        self._forbid_repeats("plain")
        self.client: Client = await self._stack.enter_async_context(
            self.deployment.client()
        )
        self.client.pin(f"{DAEMON}:1")
        self.tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )

    def _forbid_repeats(self, pool: str) -> None:
        """Marks the calls of a pool as not repeatable.

        The questionnaire rejects such a stage, because bookings are handled
        by other code. The tests check that the runner itself does not repeat
        the calls.
        """
        service = self.deployment.daemons[DAEMON].service(
            "configuration", InForce
        )
        configuration = service.current
        if pool not in configuration.pools:
            return
        pools = {
            **configuration.pools,
            pool: attrs.evolve(
                configuration.pools[pool], calls_repeatable=False
            ),
        }
        service._revisions._snapshot = attrs.evolve(
            service.snapshot,
            configuration=attrs.evolve(configuration, pools=pools),
        )

    async def __aexit__(self, *error: Any) -> None:
        self.tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*error)

    def start(self, kind: str) -> Outcome:
        """Sends a request with a unique input and records its outcome."""
        outcome = Outcome(
            kind=kind,
            value={"request": len(self.outcomes)},
            began=self.deployment.hub.clock.now(),
        )
        self.outcomes.append(outcome)
        self.tasks.start_soon(self._follow, outcome)
        return outcome

    async def request(self, kind: str) -> Outcome:
        """Sends a request and waits for its end."""
        outcome = self.start(kind)
        while not outcome.ended:
            await self.sleep(5)
        return outcome

    async def finish(self) -> None:
        """Waits until every request has ended or is past its deadline."""
        await self.sleep(self.deadline_ms + 1_000)

    async def sleep(self, duration_ms: float) -> None:
        """Lets virtual time pass."""
        await self.deployment.hub.clock.sleep(duration_ms)

    def restart(self, name: str) -> None:
        """Restarts a killed backend server without faults."""
        server = self.deployment.servers[name]
        server.faults.clear()
        self.deployment.hub.listen(
            f"{name}:1", server.routes.handle, owner=name
        )

    def executions(self, outcome: Outcome, pool: str) -> int:
        """Returns how often a pool executed a request's input."""
        key = orjson.dumps(outcome.value)
        return sum(
            server.executions_by_input.get(key, 0)
            for name, server in self.deployment.servers.items()
            if name.startswith(pool)
        )

    def calls(self, pool: str) -> int:
        """Returns how many calls a pool received."""
        return sum(
            server.counts["calls"]
            for name, server in self.deployment.servers.items()
            if name.startswith(pool)
        )

    def metric(self, name: str, **labels: str) -> float:
        """Returns a metric of the daemon, 0 where it has no value yet."""
        registry = self.deployment.daemons[DAEMON].metrics
        return registry.get_sample_value(name, labels) or 0.0

    def violations(self) -> list[str]:
        """Returns every violation of a guarantee by an outcome."""
        return [
            f"request {number}, {outcome.kind}: {problem}"
            for number, outcome in enumerate(self.outcomes)
            for problem in self._problems(outcome)
        ]

    def expected(self, outcome: Outcome) -> Any:
        """Returns the complete answer to the request."""
        if outcome.kind == "once":
            return {"booked": outcome.value}
        encoded = outcome.value
        if "encoder" in self.pools:
            encoded = self.deployment.servers["encoder-1"].output(encoded)
        if outcome.kind == "stream":
            return generate(encoded, TOKENS)
        return self.deployment.servers["engine-1"].output(encoded)

    def _problems(self, outcome: Outcome) -> list[str]:
        if not outcome.ended:
            return ["no answer"]
        problems = []
        took = outcome.ended - outcome.began
        if took > self.deadline_ms + ANSWER_MARGIN_MS:
            problems.append(f"answered after {took:.0f} ms")
        expected = self.expected(outcome)
        if outcome.kind == "stream":
            count = len(outcome.tokens)
            if outcome.tokens != expected[:count]:
                problems.append("tokens of another request, or out of order")
            if outcome.positions != list(range(count)):
                problems.append("tokens lost or repeated")
            if outcome.whole and count != TOKENS:
                problems.append(f"ended after {count} tokens")
        elif outcome.whole and outcome.output != expected:
            problems.append(f"wrong answer {outcome.output}")
        first = "plain" if outcome.kind == "once" else next(iter(self.pools))
        runs = self.executions(outcome, first)
        failure = outcome.failure
        if failure and failure.ran is Ran.NOT_RUN and runs:
            problems.append(f"reported as not run, but ran {runs} times")
        if outcome.kind == "once" and runs > 1:
            problems.append(f"may run at most once, but ran {runs} times")
        return problems

    async def _follow(self, outcome: Outcome) -> None:
        if outcome.kind == "stream":
            await self._follow_stream(outcome)
        else:
            answer = await self.client.call(
                f"/v1/pipelines/{outcome.kind}",
                outcome.value,
                deadline_ms=self.deadline_ms,
            )
            match answer:
                case Ok(body):
                    outcome.whole = True
                    outcome.output = body["output"]
                case Err(failure):
                    outcome.failure = failure
        outcome.ended = self.deployment.hub.clock.now()

    async def _follow_stream(self, outcome: Outcome) -> None:
        try:
            async for event in self.client.stream(
                "whole", outcome.value, deadline_ms=self.deadline_ms
            ):
                if event.name == "token":
                    now = self.deployment.hub.clock.now()
                    outcome.first_token = outcome.first_token or now
                    outcome.tokens.append(event.data["text"])
                    outcome.positions.append(event.data["position"])
                elif event.name == "end":
                    outcome.whole = True
                else:
                    outcome.failure = _failure(event.data["error"])
        except CactusdykeError as error:
            outcome.failure = error.failure

    def _jobs(self) -> Sequence[dict[str, Any]]:
        jobs = []
        stages = [kind for kind in self.pools if kind != "plain"]
        if stages:
            jobs.append(_job("whole", stages, self.deadline_ms))
        if "plain" in self.pools:
            jobs.append(_job("once", ["plain"], self.deadline_ms))
        return jobs


def _job(name: str, pools: Sequence[str], deadline_ms: float) -> dict[str, Any]:
    return {
        "name": name,
        "deadline_ms": deadline_ms,
        "stages": [{"name": f"{pool}-stage", "pool": pool} for pool in pools],
    }


def _failure(body: Mapping[str, Any]) -> Failure:
    return Failure(
        kind=FailureKind[body["kind"].upper()],
        detail=body["message"],
        ran=Ran(body["ran"]),
        retry_after_ms=body.get("retry_after_ms"),
    )
