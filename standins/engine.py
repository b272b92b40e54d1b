"""Stands in for a model engine, an encoder, a retriever or a reranker.

POST /v1/run runs one stage call, whole or streamed.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from cactusdyke.transport.messages import (
    EVENT_STREAM_TYPE,
    Request,
    Response,
    json_response,
)
from standins.base import StandIn
from standins.engine_orders import EngineOrders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from cactusdyke.clock import Clock

TOKEN_COUNT = 16


class Engine(StandIn):
    """Answers stage calls; what it says follows from its input alone.

    With `models` it takes orders to load others, see `EngineOrders`.
    Further faults: `crossed` (how many of the next answers are another
    request's), `die_after_tokens` (streams end early), `slow_factor`,
    `fail_after_run` (answers 500).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        name: str = "engine",
        stage_ms: float = 5.0,
        token_ms: float = 1.0,
        slots: int = 8,
        tokens: int = TOKEN_COUNT,
        load_lag_ms: float = 0.0,
        prefill_ms: float = 0.0,
        cached_prefixes: int = 0,
        models: Sequence[str] | None = None,
        checks_fencing: bool = True,
        load_ms: float = 2_000.0,
    ) -> None:
        super().__init__(clock=clock)
        self.name = name
        self.stage_ms = stage_ms
        self.token_ms = token_ms
        self.token_count = tokens
        self.load_lag_ms = load_lag_ms
        self.prefill_ms = prefill_ms
        self.cached_prefixes = cached_prefixes
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )
        self.leaving = False
        self.running = 0
        self.waiting = 0
        self.executions: dict[str, int] = {}
        self.executions_by_input: dict[bytes, int] = {}
        self._slots = anyio.Semaphore(slots)
        self.orders = EngineOrders(
            clock=clock,
            models=models or (),
            checks_fencing=checks_fencing,
            load_ms=load_ms,
            in_flight=lambda: self.running + self.waiting,
        )
        if models is not None:
            self.routes.add("GET", "/v1/state", self.orders.state)
            self.serve("POST", "/v1/orders", self.orders.take)
        self.serve("POST", "/v1/run", self._run)
        self.routes.add("GET", "/v1/load", self._load_report)

    def stats(self) -> dict[str, Any]:
        """Returns executions by request id and stage."""
        return {"counts": dict(self.counts), "executions": self.executions}

    async def _run(self, request: Request) -> Response:
        call = request.json().unwrap()
        self.counts["calls"] += 1
        if self.leaving or self.faults.get("leaving"):
            return json_response(
                {"error": "leaving", "ran": "not_run"}, status=503
            )
        if call.get("stream"):
            return Response(
                headers={"content-type": EVENT_STREAM_TYPE},
                body=self._stream(call),
            )
        return await self._whole(call)

    async def _whole(self, call: dict[str, Any]) -> Response:
        began = self.clock.now()
        await self._work(call, self.stage_ms)
        if self.faults.get("fail_after_run"):
            return json_response({"error": "broken"}, status=500)
        call = self._crossed(call)
        output = self.output(call["input"])
        busy = self.clock.now() - began
        return json_response(
            {
                **_echo(call),
                "output": output,
                "busy_ms": busy,
                "load": self.load(),
            }
        )

    async def _stream(self, call: dict[str, Any]) -> AsyncIterator[bytes]:
        ended = False
        try:
            async for event in self._tokens(call):
                yield event
            ended = True
        finally:
            self.counts["streams_ended" if ended else "streams_left"] += 1

    async def _tokens(self, call: dict[str, Any]) -> AsyncIterator[bytes]:
        began = self.clock.now()
        await self._work(call, self.stage_ms)
        words = generate(call["input"], self.token_count)
        die_after = self.faults.get("die_after_tokens")
        for position in range(call.get("resume_from", 0), len(words)):
            if die_after is not None and position >= die_after:
                return
            await self.clock.sleep(self.token_ms * self._slow())
            answered = self._crossed(call)
            if answered is not call:
                words = generate(answered["input"], self.token_count)
                call = answered
            yield _event(
                {
                    **_echo(call),
                    "position": position,
                    "text": words[position],
                }
            )
        yield _event(
            {
                **_echo(call),
                "end": True,
                "tokens": len(words),
                "busy_ms": self.clock.now() - began,
                "load": self.load(),
            }
        )

    async def _work(self, call: dict[str, Any], duration_ms: float) -> None:
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            self._note_load()
            try:
                prefill_ms = self._prefill(call.get("prefix", ""))
                await self.clock.sleep(
                    (prefill_ms + duration_ms) * self._slow()
                )
            finally:
                self.running -= 1
                self._note_load()
        key = f"{call['request_id']}/{call['stage']}"
        self.executions[key] = self.executions.get(key, 0) + 1
        name = orjson.dumps(call["input"])
        self.executions_by_input[name] = (
            self.executions_by_input.get(name, 0) + 1
        )

    def output(self, value: Any) -> Any:
        """Returns what the stage makes of its input."""
        digest = hashlib.sha256(
            orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
        )
        return {"by": self.name.split("-")[0], "of": digest.hexdigest()[:16]}

    def load(self) -> dict[str, Any]:
        """Returns the load report, as it was `load_lag_ms` ago."""
        if not self.load_lag_ms:
            return {"running": self.running, "waiting": self.waiting}
        then = self.clock.now() - self.load_lag_ms
        while len(self._loads) > 1 and self._loads[1][0] <= then:
            self._loads.popleft()
        running, waiting = 0, 0
        if self._loads and self._loads[0][0] <= then:
            _, running, waiting = self._loads[0]
        return {
            "running": running,
            "waiting": waiting,
            "age_ms": self.load_lag_ms,
        }

    def _note_load(self) -> None:
        if self.load_lag_ms:
            now = self.clock.now()
            self._loads.append((now, self.running, self.waiting))

    def _prefill(self, prefix: str) -> float:
        """Returns what reading the prefix costs, and caches it."""
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            self.counts["cache_hits"] += 1
            return 0.0
        self._cache[prefix] = None
        while len(self._cache) > self.cached_prefixes:
            self._cache.popitem(last=False)
        return self.prefill_ms

    def _slow(self) -> float:
        return float(self.faults.get("slow_factor", 1.0))

    def _crossed(self, call: dict[str, Any]) -> dict[str, Any]:
        """Returns the call to answer: another one, where answers cross."""
        if self.faults.get("crossed", 0) <= 0:
            return call
        self.faults["crossed"] -= 1
        return {**call, "request_id": "another-request", "input": "another"}

    async def _load_report(self, request: Request) -> Response:
        leaving = bool(self.leaving or self.faults.get("leaving"))
        return json_response(
            {"name": self.name, "leaving": leaving, **self.load()}
        )


def generate(value: Any, count: int) -> list[str]:
    """Returns the tokens that any engine generates for an input."""
    seed = hashlib.sha256(
        orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    ).hexdigest()
    return [f"{seed[i % 60 : i % 60 + 4]} " for i in range(count)]


def _echo(call: dict[str, Any]) -> dict[str, Any]:
    return {
        "request_id": call["request_id"],
        "stage": call["stage"],
        "attempt": call["attempt"],
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(value) + b"\n\n"
