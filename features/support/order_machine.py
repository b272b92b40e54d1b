"""The state machine of lease and orders, for both kinds of engine."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from features.support.order_fleet import OrderFleet
from standins.virtual import run_virtual

DAEMONS = st.sampled_from(["d-0", "d-1", "d-2"])
QUIET_MS = 150_000.0
STORE_CALLS_A_SECOND = 4.0
SETTINGS = settings(
    max_examples=9,
    stateful_step_count=10,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class Broken(Exception):
    """An invariant that did not hold."""


class OrderMachine(RuleBasedStateMachine):
    """Rules write a script; the end runs it in virtual time and checks."""

    fleet: type = OrderFleet
    checks_fencing = True

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(name=DAEMONS, seconds=st.integers(1, 40))
    def freeze(self, name, seconds):
        self.script.append(("freeze", name, seconds))

    @rule(seconds=st.integers(8, 40))
    def freeze_holder(self, seconds):
        self.script.append(("freeze_holder", seconds))

    @rule(name=DAEMONS)
    def restart(self, name):
        self.script.append(("restart", name))

    @rule(seconds=st.integers(1, 30))
    def store_down(self, seconds):
        self.script.append(("store_down", seconds))

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.script.append(("lose_answers", count))

    @rule(name=DAEMONS, seconds=st.integers(1, 30))
    def cut_from_store(self, name, seconds):
        self.script.append(("cut_from_store", name, seconds))

    @rule(summary=st.integers(0, 40), quote=st.integers(0, 40))
    def demand(self, summary, quote):
        self.script.append(("demand", summary, quote))

    @rule(seconds=st.integers(1, 60))
    def wait(self, seconds):
        self.script.append(("wait", seconds))

    def teardown(self):
        broken = run_virtual(
            _run, self.fleet(checks_fencing=self.checks_fencing), self.script
        )
        if broken:
            raise broken


async def _run(fleet, script):
    async with fleet:
        try:
            await fleet.hub.clock.sleep(20_000)
            for name, *arguments in script:
                await _do(fleet, name, arguments)
            await fleet.hub.clock.sleep(QUIET_MS)
            _check(fleet)
        except Broken as broken:
            return broken
    return None


async def _do(fleet, action, arguments):
    sleep = fleet.hub.clock.sleep
    match action, arguments:
        case "freeze", (name, seconds):
            fleet.hub.freeze(name)
            await sleep(seconds * 1000)
            fleet.hub.wake(name)
        case "freeze_holder", (seconds,):
            for name in fleet.holders():
                fleet.hub.freeze(name)
                await sleep(seconds * 1000)
                fleet.hub.wake(name)
        case "restart", (name,):
            fleet.kill(name)
            fleet.start(name)
        case "store_down", (seconds,):
            fleet.store.faults["down"] = True
            await sleep(seconds * 1000)
            fleet.store.faults["down"] = False
        case "lose_answers", (count,):
            fleet.store.faults["lose_answers"] = count
        case "cut_from_store", (name, seconds):
            fleet.hub.link(name, "store").cut = True
            await sleep(seconds * 1000)
            fleet.hub.link(name, "store").cut = False
        case "demand", (summary, quote):
            fleet.demand = {"summary": summary, "quote": quote}
        case "wait", (seconds,):
            await sleep(seconds * 1000)


def _check(fleet):
    holders = fleet.holders()
    if len(holders) != 1:
        raise Broken(f"{holders} hold the lease at the end")
    if fleet.most_holders > 1:
        raise Broken("two daemons held the lease at once")
    if fleet.cut():
        raise Broken(f"{fleet.cut()} requests in flight were cut by orders")
    wanted = fleet.daemons[holders[0]][1].desired()
    for name, engine in fleet.engines.items():
        numbers = [number for number, _ in engine.orders.applied]
        if fleet.checks_fencing and numbers != sorted(numbers):
            raise Broken(f"{name} applied the orders {numbers}")
        models = tuple(engine.orders.desired["models"])
        if models != wanted[name].models:
            raise Broken(f"{name} has {models}, the holder wants otherwise")
    seconds = fleet.hub.clock.now() / 1000
    calls = sum(fleet.store.counts.values())
    if calls > STORE_CALLS_A_SECOND * seconds:
        raise Broken(f"{calls} calls to the store in {seconds} seconds")
