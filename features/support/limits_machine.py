"""A state machine of bursts, kills, suspensions, partitions and limit changes.

The rules write a script. The end of an example runs it in virtual time and
compares the admitted requests with a simple count by customer and time window.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import attrs
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from cactusdyke.limits.account import INITIAL_REFILL_MS, LEASE_TERM_MS
from cactusdyke.limits.fleet import LOSS_RETENTION_MS
from cactusdyke.limits.limiter import Limiter
from features.support import limits_fleet
from features.support.limits_fleet import SUSPECT_MS, LimitsFleet
from standins.virtual import run_virtual

DAEMONS = 6
LIMITS = {"large": (10.0, 20.0), "small": (2.0, 4.0), "quiet": (4.0, 4.0)}
QUIET_GAP_MS = 1_000.0
# Error after a fault: each daemon may use its fallback until the membership has
# detected the fault, plus one term of the last owner's leases and two refreshes
# of the view of the fleet.
UNDETECTED_FAULT_MS = SUSPECT_MS + LEASE_TERM_MS + 1_000.0
RECOVERY_MS = SUSPECT_MS + LOSS_RETENTION_MS + 5_000.0

daemon_numbers = st.integers(0, DAEMONS - 1)
customer_names = st.sampled_from(["large", "small"])
MakeLimiter = Callable[[LimitsFleet, str], Limiter]


@attrs.define
class Oracle:
    """The limits of each customer over time, and the times of faults."""

    world: LimitsFleet
    rates: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    faults: list[float] = attrs.field(factory=list)

    def record_limit(self, customer: str, rate: float) -> None:
        """Records a limit that applies from now on."""
        entry = (self.world.now, rate)
        self.rates.setdefault(customer, []).append(entry)

    def record_fault(self) -> None:
        """Records that a fault began or ended."""
        self.faults.append(self.world.now)

    def refilled(self, customer: str, at: float) -> float:
        """Returns the number of requests that the rate allows up to `at`."""
        total = 0.0
        steps = self.rates[customer]
        for index, (since, rate) in enumerate(steps):
            last = index + 1 == len(steps)
            until = at if last else min(at, steps[index + 1][0])
            total += rate * max(0.0, until - since) / 1000.0
        return total

    def allowance(self, customer: str) -> float:
        """Returns the permitted error over the whole run."""
        rate = max(rate for _, rate in self.rates[customer])
        per_fault = (
            rate * (UNDETECTED_FAULT_MS + INITIAL_REFILL_MS) / 1000.0 + DAEMONS
        )
        changes = len(self.rates[customer])
        term = rate * LEASE_TERM_MS / 1000.0
        return term * changes + per_fault * len(self.faults) + 1.0

    def check(self) -> None:
        """Raises AssertionError if a window exceeds the permitted error."""
        for name, (_, burst) in LIMITS.items():
            lowest = float("inf")
            for index, at in enumerate(self.world.admitted(name)):
                level = index - self.refilled(name, at)
                lowest = min(lowest, level)
                over = level + 1.0 - lowest - burst
                assert over <= self.allowance(name), (name, at, over)

    def check_quiet(self, began: float, admitted: bool | None) -> None:
        """Raises AssertionError on a refusal below the limit without faults."""
        no_faults = not self.world.cuts and all(
            began - at > RECOVERY_MS for at in self.faults
        )
        assert not no_faults or admitted is not False, ("quiet refused", began)


class LimitsMachine(RuleBasedStateMachine):
    """Writes a script and runs it at the end of the example."""

    make_limiter: MakeLimiter | None = None

    def __init__(self) -> None:
        super().__init__()
        self._script: list[tuple[Any, ...]] = []

    @rule(customer=customer_names, at=daemon_numbers, count=st.integers(1, 60))
    def burst(self, customer: str, at: int, count: int) -> None:
        self._script.append(("burst", customer, at, count))

    @rule(customer=customer_names, rate=st.sampled_from([1.0, 8.0, 40.0]))
    def load(self, customer: str, rate: float) -> None:
        self._script.append(("load", customer, rate))

    @rule(name=daemon_numbers)
    def kill(self, name: int) -> None:
        self._script.append(("kill", name))

    @rule(name=daemon_numbers)
    def start(self, name: int) -> None:
        self._script.append(("start", name))

    @rule(name=daemon_numbers, duration=st.sampled_from([1_000, 9_000]))
    def freeze(self, name: int, duration: int) -> None:
        self._script.append(("freeze", name, duration))

    @rule(sender=daemon_numbers, receiver=daemon_numbers)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        self._script.append(("cut", [sender], [receiver]))

    @rule(first=st.integers(1, DAEMONS - 1))
    def partition(self, first: int) -> None:
        side = list(range(first))
        rest = list(range(first, DAEMONS))
        self._script.append(("partition", side, rest))

    @rule(customer=customer_names, rate=st.sampled_from([1.0, 5.0, 12.0]))
    def change(self, customer: str, rate: float) -> None:
        self._script.append(("change", customer, rate))

    @rule(duration=st.sampled_from([500, 5_000, 45_000]))
    def wait(self, duration: int) -> None:
        self._script.append(("wait", duration))

    def teardown(self) -> None:
        if self._script:
            run_virtual(self._run)

    async def _run(self) -> None:
        world = LimitsFleet(
            count=DAEMONS,
            customers=limits_fleet.customers(LIMITS),
            make_limiter=self.make_limiter,
        )
        oracle = Oracle(world)
        async with world, anyio.create_task_group() as tasks:
            for name, (rate, _) in LIMITS.items():
                oracle.record_limit(name, rate)
            tasks.start_soon(_quiet_customer, world, oracle)
            for step in self._script:
                await _run_step(world, oracle, step)
            await world.hub.clock.sleep(3_000)
            tasks.cancel_scope.cancel()
        oracle.check()


async def _quiet_customer(world: LimitsFleet, oracle: Oracle) -> None:
    while True:
        await world.hub.clock.sleep(QUIET_GAP_MS)
        began = world.now
        if "entry-0" in world.running and "entry-0" not in world.frozen:
            oracle.check_quiet(began, await world.request("entry-0", "quiet"))


async def _run_step(
    world: LimitsFleet, oracle: Oracle, step: tuple[Any, ...]
) -> None:
    names = list(world.daemons)
    match step:
        case ("burst", customer, at, count):
            for _ in range(count):
                world.send(names[at], customer)
        case ("load", customer, rate):
            await world.offer(
                customer,
                rate=rate,
                duration_ms=5_000,
                choose=lambda: world.rng.choice(names),
            )
        case ("kill", name) if len(world.running) > 1:
            oracle.record_fault()
            world.kill(names[name])
        case ("start", name) if names[name] not in world.running:
            oracle.record_fault()
            world.start(names[name])
        case ("freeze", name, duration) if names[name] in world.running:
            oracle.record_fault()
            world.freeze(names[name])
            await world.hub.clock.sleep(duration)
            world.wake(names[name])
            oracle.record_fault()
        case ("cut" | "partition", sources, targets):
            await _cut(world, oracle, step[0], sources, targets)
        case ("change", customer, rate):
            oracle.record_limit(customer, rate)
            world.customers[customer] = attrs.evolve(
                world.customers[customer], requests_per_second=rate
            )
        case ("wait", duration):
            await world.hub.clock.sleep(duration)


async def _cut(
    world: LimitsFleet,
    oracle: Oracle,
    kind: str,
    sources: list[int],
    targets: list[int],
) -> None:
    names = list(world.daemons)
    here = [names[i] for i in sources]
    there = [names[i] for i in targets if i not in sources]
    oracle.record_fault()
    world.cut(here, there)
    if kind == "partition":
        world.cut(there, here)
    await world.offer(
        "large",
        rate=30.0,
        duration_ms=15_000,
        choose=lambda: world.rng.choice(names),
    )
    world.heal()
    oracle.record_fault()


def run(make_limiter: MakeLimiter | None, *, examples: int) -> None:
    """Runs the machine; raises AssertionError on a violation."""
    machine = type(
        "Machine",
        (LimitsMachine,),
        {"make_limiter": staticmethod(make_limiter) if make_limiter else None},
    )
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=12,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
