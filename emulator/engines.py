"""An emulated model engine, and a plain service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import anyio

from emulator.links import Answering, Backend, Call
from emulator.world import World

if TYPE_CHECKING:
    from emulator.scenario import EngineService, PlainService


class Engine(Backend):
    """Reads prompts one after the other, and generates for all at once."""

    def __init__(self, *, world: World, spec: EngineService, **place: Any):
        super().__init__(world=world, **place)
        self._spec = spec
        self._reading = anyio.Lock()
        self._running = 0
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    async def _serve(self, call: Call, answer: Answering) -> None:
        body = call.body
        if call.path == "/report":
            answer.whole(200, {"born": self.born})
            return
        if self._running >= self._spec.slots:
            answer.whole(503, {}, ran="no")
            return
        if any(h not in self.world.results for h in body["inputs"]):
            answer.whole(409, {}, ran="no")
            return
        self._fetch(body["inputs"])
        self._running += 1
        try:
            async with self._reading:
                if call.left.is_set():
                    return
                await self._read(body["parts"])
            await self._generate(call, answer)
        finally:
            self._running -= 1

    def _load(self) -> tuple[int, int, int]:
        return self._running, 0, self._spec.slots

    def _forget(self) -> None:
        self._cached.clear()

    def _fetch(self, handles: list[str]) -> None:
        for handle in handles:
            result = self.world.results[handle]
            result.used = True
            if result.data_centre != self.data_centre:
                self.world.crossed_bytes += result.size

    async def _read(self, parts: list[tuple[str, int]]) -> None:
        unread = 0
        known = True
        for name, tokens in parts:
            known = known and name in self._cached
            if known:
                self._cached.move_to_end(name)
                continue
            unread += tokens
            self._cached[name] = tokens
            self._cached.move_to_end(name)
        self.world.counts["tokens read"] += unread
        while sum(self._cached.values()) > self._spec.kv_tokens:
            self._cached.popitem(last=False)
        await self.world.clock.sleep(
            unread / self._spec.read_tokens_per_ms * self.slow
        )

    async def _generate(self, call: Call, answer: Answering) -> None:
        self.begun(call)
        await self.world.clock.sleep(self._spec.first_ms)
        framing = {"unframed": "yes"} if self._spec.unframed else {}
        answer.head(200, events="yes", **framing)
        first, end = call.body["after"] + 1, call.body["events"]
        breaks_at = end
        share = self._spec.breaking_share
        if share and self.world.rng.random() < share:
            breaks_at = self.world.rng.randrange(first, end + 1)
        for number in range(first, end):
            step_ms = (
                self._spec.step_ms
                + self._spec.step_ms_per_request * self._running
            )
            await self.world.clock.sleep(
                step_ms * self._spec.event_tokens * self.slow
            )
            if call.left.is_set() or self.gone or number == breaks_at:
                return
            answer.part(f"id: {number} {self.version}\n\n".encode())
        answer.end()


class PlainServer(Backend):
    """Works on some requests at once and queues as many."""

    def __init__(self, *, world: World, spec: PlainService, **place: Any):
        super().__init__(world=world, **place)
        self._spec = spec
        self.slots = spec.slots
        self._slots = anyio.Semaphore(spec.slots)
        self._present = 0

    async def _serve(self, call: Call, answer: Answering) -> None:
        waiting = 1 if self.brittleness.waits_less else self._spec.slots
        if self._present >= self._spec.slots + waiting:
            answer.whole(503, {}, ran="no")
            return
        self._present += 1
        try:
            async with self._slots:
                if call.left.is_set():
                    return
                self.begun(call)
                await self.world.clock.sleep(self._spec.work_ms * self.slow)
            answer.whole(200, {"id": call.body["id"]})
        finally:
            self._present -= 1

    def _load(self) -> tuple[int, int, int]:
        running = min(self._present, self._spec.slots)
        return running, self._present - running, self._spec.slots
