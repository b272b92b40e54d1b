"""An emulated replica of a stage service: calls, memory, results."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Any

import anyio

from emulator.links import Answering, Backend, Call
from emulator.world import MB, StageResult, World

if TYPE_CHECKING:
    from emulator.scenario import StageService

WAITING_CALLS = 2
REPORT_AGE_MS = 200.0


class EmulatedStageReplica(Backend):
    """Works on one call at a time and keeps its results for a while."""

    def __init__(self, *, world: World, spec: StageService, **place: Any):
        super().__init__(world=world, **place)
        self._spec = spec
        self._turn = anyio.Lock()
        self._waiting = 0
        self._numbers = 0
        self._held: dict[str, float] = {}
        self._promised = 0.0
        self._free_log: collections.deque[tuple[float, float]] = (
            collections.deque([(-math.inf, spec.room_mb * MB)])
        )

    async def _serve(self, call: Call, answer: Answering) -> None:
        if call.path == "/make":
            await self._make(call, answer)
        elif call.path == "/free":
            for handle in call.body["handles"]:
                self._drop(handle)
            answer.whole(200, {})
        else:
            told = {"born": self.born}
            told["free_mb"] = math.floor(self._told_free() / MB)
            answer.whole(200, told)

    def _load(self) -> tuple[int, int, int]:
        running = min(self._waiting, 1)
        return running, self._waiting - running, 1

    async def _make(self, call: Call, answer: Answering) -> None:
        if self._waiting > WAITING_CALLS:
            self.world.counts["calls refused"] += 1
            answer.whole(503, {})
            return
        self._waiting += 1
        try:
            async with self._turn:
                if call.left.is_set():
                    return
                items = await self._work(call.body["items"])
        finally:
            self._waiting -= 1
        if not self.gone:
            answer.whole(200, {"items": items})

    async def _work(self, items: list[dict[str, Any]]) -> list[dict[str, str]]:
        world = self.world
        answers: list[dict[str, str]] = []
        made: list[tuple[dict[str, Any], float]] = []
        fetched = 0.0
        work_ms = 0.0
        for item in items:
            reason = self._why_not(item)
            if reason:
                answers.append({"reason": reason})
                world.counts[f"pieces {reason}"] += 1
                continue
            fetched += self._fetch(item)
            size = item["size"]
            self._promised += size
            work_ms += self._spec.piece_ms * item["work"]
            made.append((item, size))
            answers.append({})
        self._note_free()
        if made:
            took_ms = (self._spec.call_ms + work_ms) * self.slow
            took_ms += fetched / MB / self._spec.link_mb_per_ms
            await world.clock.sleep(took_ms)
            world.busy_ms += took_ms
            world.counts["calls"] += 1
            world.counts["pieces"] += len(made)
        handles = iter([self._keep(item, size) for item, size in made])
        return [one or next(handles) for one in answers]

    def _why_not(self, item: dict[str, Any]) -> str:
        if item["remaining_ms"] <= 0:
            return "late"
        if any(h not in self.world.results for h in item["inputs"]):
            return "gone"
        if self._free() < item["size"]:
            return "room"
        return ""

    def _fetch(self, item: dict[str, Any]) -> float:
        fetched = 0.0
        for handle in item["inputs"]:
            result = self.world.results[handle]
            result.used = True
            fetched += result.size
            if result.data_centre != self.data_centre:
                self.world.crossed_bytes += result.size
        return fetched

    def _keep(self, item: dict[str, Any], size: float) -> dict[str, str]:
        self._promised -= size
        if self.world.rng.random() < self._spec.failing_share:
            self.world.counts["pieces error"] += 1
            self._note_free()
            return {"reason": "error"}
        self._numbers += 1
        handle = f"{self.address}/{self._numbers}"
        self._held[handle] = size
        self.world.results[handle] = StageResult(
            request_id=item["id"], data_centre=self.data_centre, size=size
        )
        self.world.hub.start(self._expire, handle)
        return {"handle": handle}

    async def _expire(self, handle: str) -> None:
        await self.world.clock.sleep(self._spec.lifetime_s * 1_000)
        self._drop(handle)

    def _drop(self, handle: str) -> None:
        if self._held.pop(handle, None) is None:
            return
        result = self.world.results.pop(handle)
        self.world.counts["results"] += 1
        self.world.counts["results unused"] += not result.used
        self._note_free()

    def _free(self) -> float:
        taken = sum(self._held.values()) + self._promised
        return self._spec.room_mb * MB - taken

    def _note_free(self) -> None:
        self._free_log.append((self.world.clock.now(), self._free()))

    def _told_free(self) -> float:
        until = self.world.clock.now() - REPORT_AGE_MS
        while len(self._free_log) > 1 and self._free_log[1][0] <= until:
            self._free_log.popleft()
        return self._free_log[0][1]
