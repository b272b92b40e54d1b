"""A hypothesis state machine that breaks a deployment's configuration.

Its rules write a program, a list of steps. The program runs in virtual time
when the machine ends, so that a failing one shrinks and repeats exactly.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from features.support.configuration_world import Violation, World
from features.support.deployment import Deployment
from standins.virtual import run_virtual

DAEMONS = 5
STEPS = 14
DAEMON = st.integers(1, DAEMONS).map(lambda number: f"entry-{number}")
OWNER = st.one_of(DAEMON, st.just("store"))

Step = tuple[str, dict[str, Any]]


class Program(RuleBasedStateMachine):
    """Writes steps; what they did is checked when the program has run."""

    replacements: Mapping[str, str] | None = None

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []

    @rule(
        daemon=DAEMON,
        base=st.sampled_from(["any", "seen", "old"]),
        wait=st.booleans(),
    )
    def submit(self, **step: Any) -> None:
        self.steps.append(("submit", step))

    @rule(first=DAEMON, second=DAEMON)
    def race(self, **step: Any) -> None:
        self.steps.append(("race", step))

    @rule(daemon=DAEMON, back=st.integers(0, 3))
    def submit_again(self, **step: Any) -> None:
        self.steps.append(("submit_again", step))

    @rule(daemon=DAEMON, back=st.integers(1, 3))
    def go_back(self, **step: Any) -> None:
        self.steps.append(("go_back", step))

    @rule(down=st.booleans(), delay_ms=st.sampled_from([0, 700, 3_000]))
    def store(self, **step: Any) -> None:
        self.steps.append(("store", step))

    @rule(
        fault=st.sampled_from(["lost_write", "late_write"]),
        late_ms=st.sampled_from([1_000, 4_000, 20_000]),
    )
    def head_write(self, **step: Any) -> None:
        self.steps.append(("head_write", step))

    @rule(count=st.integers(1, 6))
    def lose_answers(self, **step: Any) -> None:
        self.steps.append(("lose_answers", step))

    @rule(daemon=DAEMON, other=OWNER)
    def silence(self, **step: Any) -> None:
        self.steps.append(("silence", step))

    @rule(near=OWNER, far=OWNER, cut=st.booleans())
    def cut(self, **step: Any) -> None:
        self.steps.append(("cut", step))

    @rule(cut=st.booleans(), store_side=st.booleans())
    def cut_group(self, **step: Any) -> None:
        self.steps.append(("cut_group", step))

    @rule(daemon=DAEMON)
    def replace(self, **step: Any) -> None:
        self.steps.append(("replace", step))

    @rule(daemon=DAEMON, frozen=st.booleans())
    def freeze(self, **step: Any) -> None:
        self.steps.append(("freeze", step))

    @rule(duration_ms=st.sampled_from([50, 1_000, 6_000, 35_000]))
    def wait(self, **step: Any) -> None:
        self.steps.append(("wait", step))

    def teardown(self) -> None:
        violation = run_virtual(run_program, self.steps, self.replacements)
        if violation:
            raise violation


class Runner:
    """Carries out a program's steps on a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.marker = 1.0

    def _next_marker(self) -> float:
        self.marker += 1.0
        return self.marker

    async def submit(self, daemon: str, base: str, wait: bool) -> None:
        fields: dict[str, Any] = {}
        if base != "any":
            seen = self.world.revisions().get(daemon, 0)
            fields["base_revision"] = seen if base == "seen" else seen - 1
            if fields["base_revision"] < 0:
                return
        marker = self._next_marker()
        if wait:
            await self.world.submit(daemon, marker=marker, **fields)
            return
        self._background(
            lambda: self.world.submit(daemon, marker=marker, **fields)
        )

    async def race(self, first: str, second: str) -> None:
        for daemon in (first, second):
            await self.submit(daemon, base="seen", wait=False)

    async def submit_again(self, daemon: str, back: int) -> None:
        sent = self.world.sent[-1 - back % len(self.world.sent)]
        self._background(lambda: self.world.send(sent, daemon))

    async def go_back(self, daemon: str, back: int) -> None:
        revision = max(1, self.world.revisions().get(daemon, 0) - back)
        self._background(
            lambda: self.world.submit(
                daemon, marker=None, from_revision=revision
            )
        )

    async def store(self, down: bool, delay_ms: float) -> None:
        self.world.deployment.store.faults.update(down=down, delay_ms=delay_ms)

    async def head_write(self, fault: str, late_ms: float) -> None:
        self.world.deployment.store.faults.update(
            {fault: "configuration/head", "late_ms": late_ms}
        )

    async def lose_answers(self, count: int) -> None:
        self.world.deployment.store.faults["lose_answers"] = count

    async def silence(self, daemon: str, other: str) -> None:
        self.world.hub.silence_open(daemon, other)

    async def cut(self, near: str, far: str, cut: bool) -> None:
        self.world.hub.link(near, far).cut = cut

    async def cut_group(self, cut: bool, store_side: bool) -> None:
        near = {"entry-1", "entry-4"}
        far = {f"entry-{i}" for i in range(1, DAEMONS + 1)} - near
        if store_side:
            far.add("store")
        for a in near:
            for b in far:
                self.world.hub.link(a, b).cut = cut
                self.world.hub.link(b, a).cut = cut

    async def replace(self, daemon: str) -> None:
        deployment = self.world.deployment
        self.world.hub.wake(daemon)
        deployment.kill_daemon(daemon)
        names = tuple(f"entry-{i + 1}" for i in range(DAEMONS))
        await deployment.start_daemon(daemon, names)

    async def freeze(self, daemon: str, frozen: bool) -> None:
        if frozen:
            self.world.hub.freeze(daemon)
        else:
            self.world.hub.wake(daemon)

    async def wait(self, duration_ms: float) -> None:
        await self.world.hub.clock.sleep(duration_ms)

    def _background(self, action: Callable[[], Any]) -> None:
        self.world.hub.start(action)


async def run_program(
    steps: list[Step], replacements: Mapping[str, str] | None
) -> Violation | None:
    """Runs a program; returns which promise was broken, if one was."""
    async with Deployment(replacements=replacements) as deployment:
        world = World(deployment)
        await world.start(DAEMONS)
        runner = Runner(world)
        for name, arguments in steps:
            await getattr(runner, name)(**arguments)
            await world.hub.clock.sleep(20)
        try:
            await world.settle()
        except Violation as violation:
            return violation
    return None


def find_violation(
    *, examples: int, replacements: Mapping[str, str] | None = None
) -> Violation | None:
    """Runs programs until one breaks a promise; returns which."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate],
    )
    machine = type("Program", (Program,), {"replacements": replacements})
    try:
        run_state_machine_as_test(machine, settings=settings)
    except Violation as violation:
        return violation
    return None
