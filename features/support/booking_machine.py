"""A state machine that books under faults, together and twice."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from features.support.booking_world import STEPS, BookingWorld
from standins.virtual import run_virtual

DAEMONS = st.sampled_from(("entry-1", "entry-2", "entry-3"))
SERVERS = st.sampled_from(("plain-1", "plain-2"))
PAUSES_MS = st.sampled_from((0.0, 5.0, 30.0, 400.0, 2_500.0))
DURATIONS_MS = st.sampled_from((50.0, 1_200.0, 1_800.0, 2_600.0, 8_000.0))
STEP_FAULTS = (
    "kill",
    "freeze",
    "lose",
    "late",
    "cut",
    "one_way",
    "store_down",
)
FAULTS = ("kill", "freeze", "cut", "one_way", "store_down", "store_slow")


class BookingMachine(RuleBasedStateMachine):
    """Collects a schedule; it runs in virtual time when it is complete."""

    replacements: Mapping[str, str] | None = None
    worlds = 0

    def __init__(self) -> None:
        super().__init__()
        self.schedule: list[tuple[Any, ...]] = []
        self.clients = 0
        self.pairs = 0

    @rule(
        daemon=DAEMONS,
        key=st.integers(1, 3),
        other=st.sampled_from((0, 0, 0, 1)),
        pause_ms=PAUSES_MS,
    )
    def book(self, daemon, key, other, pause_ms):
        self.schedule.append(("book", daemon, f"k{key}", other, pause_ms))

    @rule(key=st.integers(1, 3), pair=st.permutations([1, 2, 3]))
    def book_at_two(self, key, pair):
        for daemon in pair[:2]:
            action = ("book", f"entry-{daemon}", f"k{key}", 0, 0.0)
            self.schedule.append(action)

    @rule(pause_ms=PAUSES_MS)
    def book_with_client(self, pause_ms):
        self.clients += 1
        self.schedule.append(("client", f"c{self.clients}", pause_ms))

    @rule(
        step=st.sampled_from(STEPS),
        fault=st.sampled_from(STEP_FAULTS),
        duration_ms=DURATIONS_MS,
    )
    def fault_at_step(self, step, fault, duration_ms):
        self.schedule.append(("arm", step, fault, duration_ms))

    @rule(
        step=st.sampled_from(STEPS),
        fault=st.sampled_from(STEP_FAULTS),
        duration_ms=DURATIONS_MS,
        pair=st.permutations([1, 2, 3]),
        pause_ms=PAUSES_MS,
    )
    def fault_between_two(self, step, fault, duration_ms, pair, pause_ms):
        self.pairs += 1
        key = f"p{self.pairs}"
        first, second = (f"entry-{number}" for number in pair[:2])
        self.schedule += [
            ("arm", step, fault, duration_ms),
            ("book", first, key, 0, pause_ms),
            ("book", second, key, 0, 0.0),
        ]

    @rule(
        fault=st.sampled_from((*FAULTS, "stop")),
        daemon=DAEMONS,
        duration_ms=DURATIONS_MS,
    )
    def fault_now(self, fault, daemon, duration_ms):
        self.schedule.append(("strike", fault, daemon, duration_ms))

    @rule(
        fault=st.sampled_from(("refuse", "slow", "lose", "kill", "freeze")),
        server=SERVERS,
        duration_ms=DURATIONS_MS,
    )
    def fault_at_server(self, fault, server, duration_ms):
        self.schedule.append(("server", fault, server, duration_ms))

    @rule(pause_ms=st.sampled_from((100.0, 3_000.0)))
    def wait(self, pause_ms):
        self.schedule.append(("wait", pause_ms))

    def teardown(self):
        if any(action[0] in {"book", "client"} for action in self.schedule):
            type(self).worlds += 1
            run_virtual(play, self.schedule, self.replacements)


async def play(
    schedule: list[tuple[Any, ...]], replacements: Mapping[str, str] | None
) -> None:
    """Runs a schedule and lets the oracle judge it."""
    async with BookingWorld(replacements=replacements) as world:
        for action in schedule:
            match action:
                case ("book", daemon, key, content, pause_ms):
                    world.book(daemon, key, content)
                    await world.hub.clock.sleep(pause_ms)
                case ("client", key, pause_ms):
                    world.book_with_client(key, 0)
                    await world.hub.clock.sleep(pause_ms)
                case ("arm", step, fault, duration_ms):
                    world.arm(step, fault, duration_ms)
                case ("strike", fault, daemon, duration_ms):
                    await world.strike(fault, daemon, duration_ms)
                case ("server", fault, server, duration_ms):
                    world.strike_server(fault, server, duration_ms)
                case ("wait", pause_ms):
                    await world.hub.clock.sleep(pause_ms)
        await world.heal()
        world.check()
        await world.check_keys()


def run_machine(
    *,
    examples: int,
    steps: int,
    replacements: Mapping[str, str] | None = None,
    shrink: bool = False,
) -> int:
    """Runs the machine; returns how many schedules were played.

    Raises:
        BrokenPromise: The oracle found a promise broken.
    """

    class Machine(BookingMachine):
        pass

    Machine.replacements = replacements
    phases = [Phase.generate, *([Phase.shrink] if shrink else [])]
    run_state_machine_as_test(
        Machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
    return Machine.worlds
