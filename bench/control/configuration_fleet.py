"""A fleet in virtual time for the measurements of configuration."""

from __future__ import annotations

import collections
import statistics
from collections.abc import Callable, Mapping
from typing import Any

from features.support.configuration_world import Sent, World
from features.support.deployment import STORE, Deployment
from standins.virtual import run_virtual

STORE_MS = 2.0
BETWEEN_DATA_CENTRES_MS = 1.5
WITHIN_DATA_CENTRE_MS = 0.2
SETTLE_MS = 20_000.0

KINDS = {
    ("GET", "objects"): "read",
    ("PUT", "objects"): "write",
    ("DELETE", "objects"): "delete",
    ("GET", "list"): "list",
    ("GET", "watch"): "watch",
}

NAIVE = {"cactusdyke.configuration": "bench.naive.configuration"}
COLUMNS: Mapping[str, Mapping[str, str] | None] = {
    "naive": NAIVE,
    "project": None,
}


class FleetWorld(World):
    """A world with latencies, whose calls to the store are counted."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self.calls: collections.Counter[str] = collections.Counter()
        self.by_second: collections.Counter[int] = collections.Counter()
        self.bytes_read = 0

    async def begin(self, daemons: int) -> None:
        """Starts daemons, lets them settle, and puts revision 1 in force."""
        self.connect(daemons)
        await self.deployment.start_daemons(daemons)
        sent = await self.submit("entry-1", marker=1.0)
        assert sent.told == [("accepted", 1)], sent
        await self.until_shown(1.0)
        await self.hub.clock.sleep(SETTLE_MS)

    async def change(self, daemon: str = "entry-1") -> float:
        """Has a change accepted; returns ms until it is in force everywhere."""
        marker = float(len(self.sent) + 1)
        sent = await self.submit(daemon, marker=marker)
        assert sent.told[-1][0] == "accepted", sent
        return await self.until_shown(marker)

    async def change_one(self) -> None:
        """Has a change of one customer accepted and in force everywhere."""
        number = len(self.sent) + 1
        body = self.body(f"submission-{number}", 1.0)
        changed = body["answers"]["customers"][0]
        changed["burst"] = 1_000 + number
        self.sent.append(Sent(id=body["id"], marker=None, base=None))
        status, _ = await self.post("entry-1", "/v1/submissions", body)
        assert status == 200
        while any(
            self.in_force(name).current.customers[changed["name"]].burst
            != changed["burst"]
            for name in self.revisions()
        ):
            await self.hub.clock.sleep(1)

    async def until_shown(self, marker: float) -> float:
        """Waits until every daemon has all customers at a marker."""
        began = self.hub.clock.now()
        while not all(self._shows(name, marker) for name in self.revisions()):
            await self.hub.clock.sleep(1)
        return self.hub.clock.now() - began

    def reset(self) -> None:
        """Begins counting anew."""
        self.calls.clear()
        self.by_second.clear()
        self.bytes_read = 0

    def _shows(self, name: str, marker: float) -> bool:
        customers = self.in_force(name).current.customers.values()
        rates = {customer.requests_per_second for customer in customers}
        return rates == {marker}

    def connect(self, daemons: int) -> None:
        """Sets latencies, and counts calls to the store from now on."""
        self.hub.listen(STORE, self._count, owner="store")
        names = [f"entry-{number}" for number in range(1, daemons + 1)]
        for i, a in enumerate(names):
            self.hub.link(a, "store").delay_ms = STORE_MS
            self.hub.link("store", a).delay_ms = STORE_MS
            for j, b in enumerate(names):
                near = i % 3 == j % 3
                self.hub.link(a, b).delay_ms = (
                    WITHIN_DATA_CENTRE_MS if near else BETWEEN_DATA_CENTRES_MS
                )

    async def _count(self, request: Any) -> Any:
        first = request.path.split("/")[1]
        self.calls[KINDS[request.method, first]] += 1
        self.by_second[int(self.hub.clock.now() // 1_000)] += 1
        answer = await self.deployment.store.routes.handle(request)
        self.bytes_read += len(answer.body)
        return answer


def play(
    story: Callable[[FleetWorld], Any],
    *,
    daemons: int,
    column: str,
    guarded: bool = True,
) -> Any:
    """Runs a story on a settled fleet and returns what it returns."""

    async def run() -> Any:
        async with Deployment(
            replacements=COLUMNS[column], guarded=guarded
        ) as deployment:
            world = FleetWorld(deployment)
            await world.begin(daemons)
            return await story(world)

    return run_virtual(run)


def spread(values: list[float]) -> dict[str, float]:
    """Returns the median and worst of some durations."""
    return {
        "median_ms": statistics.median(values),
        "worst_ms": max(values),
    }
