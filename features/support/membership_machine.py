"""State machine of membership; its oracle is a dictionary of states."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from cactusdyke.membership.members import Members
from features.support.member_fleet import MemberFleet
from standins.virtual import run_virtual

COUNT = 7
QUIET_MS = 45_000.0
LEAVE_SPREAD_MS = 3_000.0
# A probe, a retry, a pull, three requests for indirect probes, four indirect
# probes for others, two urgent updates to three daemons each, and once the six
# messages of a leaving daemon.
MAX_MESSAGES_PER_SECOND = 22
MAX_MEAN_MESSAGES_PER_SECOND = 4.0
NAMES = st.sampled_from([f"d-{i}" for i in range(COUNT)])
SETTINGS = settings(
    max_examples=30,
    stateful_step_count=12,
    derandomize=True,
    database=None,
    deadline=None,
    # A script runs for a second; shrinking it would take minutes.
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class InvariantViolation(Exception):
    """A violated invariant of membership."""


class MembershipMachine(RuleBasedStateMachine):
    """Rules write a script; teardown runs it in virtual time and checks it."""

    kind: type = Members

    def __init__(self):
        super().__init__()
        self.script = []
        self.states = {f"d-{i}": "live" for i in range(COUNT)}
        self.disturbed = False

    def _is(self, state):
        return [n for n, s in self.states.items() if s == state]

    @rule(name=NAMES)
    def kill(self, name):
        if self.states[name] in {"live", "leaving"} and (
            len(self._is("live")) > 2
        ):
            self.states[name] = "gone"
            self.script.append(("kill", name))

    @rule(name=NAMES)
    def restart(self, name):
        if self.states[name] == "gone":
            self.states[name] = "live"
            self.script.append(("start", name))

    @rule(name=NAMES, seconds=st.integers(2, 25))
    def freeze(self, name, seconds):
        if self.states[name] == "live":
            self.script.append(("freeze", name, seconds))

    @rule(source=NAMES, destination=NAMES)
    def cut_one_way(self, source, destination):
        self.disturbed = True
        self.script.append(("cut", source, destination))

    @rule()
    def cut_region(self):
        self.disturbed = True
        self.script.append(("cut_region",))

    @precondition(lambda self: self.disturbed)
    @rule()
    def heal(self):
        self.script.append(("heal",))

    @rule()
    def restart_all(self):
        for name in self._is("live") + self._is("leaving"):
            self.script.append(("kill", name))
        for name in self.states:
            self.states[name] = "live"
            self.script.append(("start", name))

    @rule(name=NAMES)
    def leave(self, name):
        if self.states[name] == "live" and len(self._is("live")) > 2:
            self.states[name] = "leaving"
            # Updates must arrive within seconds only if there are no faults.
            self.script.append(("leave", name, not self.disturbed))

    @rule(seconds=st.integers(1, 20))
    def wait(self, seconds):
        self.script.append(("wait", seconds))

    def teardown(self):
        violation = run_virtual(_run, self.kind, self.script, self.states)
        if violation:
            raise violation


async def _run(kind, script, states):
    async with MemberFleet(kind=kind) as fleet:
        try:
            await _run_script(fleet, script, states)
        except InvariantViolation as violation:
            return violation
    return None


async def _run_script(fleet, script, states):
    fleet.start_all(COUNT)
    await fleet.hub.clock.sleep(10_000)
    monitor = _InvariantMonitor(fleet)
    frozen = False
    for name, *arguments in script:
        frozen = frozen or name == "freeze"
        await _run_action(monitor, name, arguments, frozen)
    fleet.heal()
    await monitor.sleep(QUIET_MS)
    monitor.check_agreement(states)


async def _run_action(monitor, action, arguments, frozen):
    fleet = monitor.fleet
    match action, arguments:
        case "freeze", (name, seconds):
            fleet.hub.freeze(name)
            monitor.frozen_names.add(name)
            await monitor.sleep(seconds * 1000.0)
            fleet.hub.wake(name)
            monitor.frozen_names.discard(name)
        case "leave", (name, calm):
            await fleet.leave(name)
            if calm and not frozen:
                await monitor.sleep(LEAVE_SPREAD_MS)
                monitor.check_unlisted(name)
        case "wait", (seconds,):
            await monitor.sleep(seconds * 1000.0)
        case _:
            getattr(fleet, action)(*arguments)


class _InvariantMonitor:
    """Checks the invariants at every daemon each second."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.frozen_names = set()
        self.sent = {}
        self.seconds = 0
        self.total = 0

    async def sleep(self, duration_ms):
        for _ in range(int(duration_ms // 1000)):
            await self.fleet.hub.clock.sleep(1000)
            self._check()

    def _check(self):
        for name, daemon in self.fleet.daemons.items():
            sent = daemon.traffic.messages_sent
            key = (name, id(daemon))
            increase = sent - self.sent.get(key, sent)
            self.sent[key] = sent
            self.total += increase
            self.seconds += 1
            if increase > MAX_MESSAGES_PER_SECOND:
                raise InvariantViolation(
                    f"{name} sent {increase} messages in a second"
                )
            if name not in self.frozen_names and not self.fleet.listed(name):
                raise InvariantViolation(f"{name} lists no address")
            present = [m for m in daemon.members.all() if m.state != "leaving"]
            if 2 * len(self.fleet.listed(name)) < len(present):
                raise InvariantViolation(
                    f"{name} lists less than half of the daemons it knows"
                )

    def check_unlisted(self, leaving):
        for name in self.fleet.daemons:
            if leaving in self.fleet.listed(name):
                raise InvariantViolation(
                    f"{name} still lists {leaving}, which is leaving"
                )

    def check_agreement(self, states):
        live = {n for n, s in states.items() if s == "live"}
        present = live | {n for n, s in states.items() if s == "leaving"}
        for name in sorted(present):
            if self.fleet.known(name) != present:
                raise InvariantViolation(
                    f"{name} knows {sorted(self.fleet.known(name))}"
                )
            if self.fleet.listed(name) != live:
                raise InvariantViolation(
                    f"{name} lists {sorted(self.fleet.listed(name))}"
                )
        if self.total > MAX_MEAN_MESSAGES_PER_SECOND * self.seconds:
            raise InvariantViolation("mean message rate exceeds the limit")
