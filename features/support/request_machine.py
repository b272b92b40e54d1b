"""A state machine that generates plans of requests and faults.

Each plan is run in virtual time when the machine is torn down.
"""

from __future__ import annotations

from typing import Any, ClassVar

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from features.support.request_rig import DAEMON, POOLS, RequestRig
from standins.virtual import run_virtual

SERVERS = [
    f"{k}-{i}" for k, count in POOLS.items() for i in range(1, count + 1)
]
KINDS = ("whole", "stream", "once")
MOST_REQUESTS = 9
BACKGROUND_REQUESTS = 24
BACKGROUND_INTERVAL_MS = 30
PHASES = (Phase.generate, Phase.shrink)

NAME = st.sampled_from(SERVERS)
AFTER_MS = st.sampled_from([0, 2, 4, 8, 20, 60, 150, 400])


class RequestMachine(RuleBasedStateMachine):
    """Collects a plan of requests and faults; any order, together, twice."""

    replacements: ClassVar[dict[str, str] | None] = None

    def __init__(self) -> None:
        super().__init__()
        self.plan: list[tuple[float, str, tuple[Any, ...]]] = []
        self.requests = 0

    @initialize()
    def first(self):
        for kind in KINDS:
            self._plan(0, "send", kind, 1)

    @precondition(lambda self: self.requests < MOST_REQUESTS)
    @rule(after_ms=AFTER_MS, count=st.integers(1, 3))
    def send_whole(self, after_ms, count):
        self._send(after_ms, "whole", count)

    @precondition(lambda self: self.requests < MOST_REQUESTS)
    @rule(after_ms=AFTER_MS, count=st.integers(1, 3))
    def send_stream(self, after_ms, count):
        self._send(after_ms, "stream", count)

    @precondition(lambda self: self.requests < MOST_REQUESTS)
    @rule(after_ms=AFTER_MS, count=st.integers(1, 3))
    def send_once(self, after_ms, count):
        self._send(after_ms, "once", count)

    @rule(after_ms=AFTER_MS, name=NAME, back=st.booleans())
    def kill(self, after_ms, name, back):
        self._plan(after_ms, "kill", name)
        if back:
            self._plan(after_ms, "restart", name)

    @rule(after_ms=AFTER_MS, name=NAME)
    def freeze(self, after_ms, name):
        self._plan(after_ms, "freeze", name)

    @rule(after_ms=AFTER_MS)
    def heal(self, after_ms):
        self._plan(after_ms, "heal")

    @rule(
        after_ms=AFTER_MS,
        name=NAME,
        towards=st.booleans(),
        how=st.sampled_from(["cut", "silent"]),
    )
    def cut(self, after_ms, name, towards, how):
        self._plan(after_ms, "cut", name, towards, how)

    @rule(
        after_ms=AFTER_MS,
        name=NAME,
        towards=st.booleans(),
        delay_ms=st.sampled_from([5, 100, 900]),
    )
    def delay(self, after_ms, name, towards, delay_ms):
        self._plan(after_ms, "delay", name, towards, delay_ms)

    @rule(after_ms=AFTER_MS, name=NAME, count=st.integers(1, 3))
    def cross(self, after_ms, name, count):
        self._plan(after_ms, "fault", name, "crossed", count)

    @rule(after_ms=AFTER_MS, name=NAME, tokens=st.integers(0, 10))
    def break_streams(self, after_ms, name, tokens):
        self._plan(after_ms, "fault", name, "die_after_tokens", tokens)

    @rule(after_ms=AFTER_MS, name=NAME, count=st.integers(1, 2))
    def lose_answers(self, after_ms, name, count):
        self._plan(after_ms, "fault", name, "lose_answers", count)

    @rule(after_ms=AFTER_MS, name=NAME)
    def leave(self, after_ms, name):
        self._plan(after_ms, "fault", name, "leaving", True)

    @rule(after_ms=AFTER_MS, pool=st.sampled_from(sorted(POOLS)))
    def leave_together(self, after_ms, pool):
        for name in SERVERS:
            if name.startswith(pool):
                self._plan(after_ms, "fault", name, "leaving", True)
                after_ms = 0

    def _send(self, after_ms, kind, count):
        self.requests += count
        self._plan(after_ms, "send", kind, count)

    def _plan(self, after_ms, action, *arguments):
        self.plan.append((after_ms, action, arguments))

    def teardown(self):
        violations = run_virtual(_carry_out, self.plan, self.replacements)
        assert not violations, violations


class NaiveMachine(RequestMachine):
    """The same machine on the naive runner."""

    replacements: ClassVar = {"cactusdyke.pipeline": "bench.naive.pipeline"}


def run_machine(
    machine: type[RequestMachine], *, examples: int, shrink: bool = True
) -> None:
    """Runs a machine with the same plans each time.

    The plans are derived from the source of the machine, names included, so an
    edit of its code gives other plans.

    Args:
        machine: The class of the machine.
        examples: Maximum number of plans.
        shrink: Whether to search for a shorter plan that fails.

    Raises:
        AssertionError: The oracle found a violated guarantee.
    """
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=16,
            derandomize=True,
            database=None,
            deadline=None,
            print_blob=False,
            phases=PHASES if shrink else PHASES[:1],
            suppress_health_check=list(HealthCheck),
        ),
    )


async def _carry_out(plan, replacements) -> list[str]:
    async with RequestRig(replacements=replacements) as rig:
        # Without background requests, faults would not affect any request.
        rig.tasks.start_soon(_send_in_background, rig)
        for after_ms, action, arguments in plan:
            await rig.sleep(after_ms)
            await _ACTIONS[action](rig, *arguments)
        await rig.finish()
        return rig.violations()


async def _send_in_background(rig: RequestRig) -> None:
    for number in range(BACKGROUND_REQUESTS):
        rig.start(KINDS[number % len(KINDS)])
        await rig.sleep(BACKGROUND_INTERVAL_MS)


async def _send(rig: RequestRig, kind: str, count: int) -> None:
    for _ in range(count):
        rig.start(kind)


async def _kill(rig: RequestRig, name: str) -> None:
    rig.deployment.hub.kill(name)


async def _restart(rig: RequestRig, name: str) -> None:
    rig.restart(name)


async def _freeze(rig: RequestRig, name: str) -> None:
    rig.deployment.hub.freeze(name)


async def _heal(rig: RequestRig) -> None:
    for name in SERVERS:
        rig.deployment.hub.wake(name)
        rig.restart(name)
        for towards in (True, False):
            link = rig.deployment.hub.link(*_link_ends(name, towards))
            link.cut = link.silent = False
            link.delay_ms = 0.0


async def _cut(rig: RequestRig, name: str, towards: bool, how: str) -> None:
    link = rig.deployment.hub.link(*_link_ends(name, towards))
    link.cut = how == "cut"
    link.silent = how == "silent"


async def _delay(
    rig: RequestRig, name: str, towards: bool, delay_ms: float
) -> None:
    rig.deployment.hub.link(*_link_ends(name, towards)).delay_ms = delay_ms


async def _fault(rig: RequestRig, name: str, fault: str, value: Any) -> None:
    rig.deployment.servers[name].faults[fault] = value


def _link_ends(name: str, towards: bool) -> tuple[str, str]:
    return (DAEMON, name) if towards else (name, DAEMON)


_ACTIONS = {
    "send": _send,
    "kill": _kill,
    "restart": _restart,
    "freeze": _freeze,
    "heal": _heal,
    "cut": _cut,
    "delay": _delay,
    "fault": _fault,
}
