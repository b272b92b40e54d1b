"""Plays one scenario with one seed and one policy."""

from __future__ import annotations

import collections
import importlib
import math
import random
import warnings
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from cactusdyke import background
from emulator import deployment
from emulator.arrivals import PartArrivals, draw, draw_crashing
from emulator.callers import Callers, Outcome
from emulator.daemons import EmulatedDaemon
from emulator.links import Links
from emulator.world import CRASHES, MB, SETTLED_MS, Crashing, World
from standins.virtual import run_virtual

if TYPE_CHECKING:
    from emulator.links import Backend
    from emulator.retries import ServiceTraffic
    from emulator.scenario import Fault, Policy, Scenario

MS_PER_SECOND = 1_000.0
WARM_UP_MS = 3_000.0
"""Daemons find one another before the first request comes."""
WINDOW_MS = 2_000.0
LOOK_EVERY_MS = 50.0
DRAIN_MS = 2_000.0
LAPSE_MS = 600.0
"""How long an entry is missing that lapses and returns unchanged."""
RESTART_MS = 400.0
LISTED_MS = 300.0
"""From a start to the new entry of a replica that keeps its name."""
"""A replica that leaves serves for this long after it has said so."""


@attrs.define(kw_only=True)
class PlayResult:
    """What one play brought.

    Attributes:
        worth: Earned of what was owed, over the whole play.
        windows: The same by spans of two seconds, by when requests came.
        kinds: The same by kind.
        customers: The same by customer.
        hows: Requests by how they ended.
        crossed_mb: Fetched between data centres.
        unused: Part of the results that nobody used.
        no_room: Pieces that found no room.
        disagreed_ms: Time in which daemons named different deciders, from the
            first fault on.
        sent_on: How often a request was sent to replicas once it had crashed
            three and all daemons could know; of several the most.
        sent_after_third: The same from the third crash on.
        crashes: Crashes under such requests.
        traffic: Requests and retries by service.
        retries_pending: Retries that daemons still hold as charged at the end.
        counts: Whatever else was counted.
    """

    worth: float
    windows: dict[int, float]
    kinds: dict[str, float]
    customers: dict[str, float]
    hows: dict[str, int]
    crossed_mb: float
    unused: float
    no_room: int
    disagreed_ms: float
    sent_on: int
    sent_after_third: int
    crashes: int
    traffic: dict[str, ServiceTraffic]
    retries_pending: int
    counts: dict[str, int]

    @property
    def worst_windows(self) -> float:
        """Mean of the two worst windows."""
        worst = sorted(self.windows.values())[:2]
        return sum(worst) / max(1, len(worst))


def play(scenario: Scenario, seed: int, policy: Policy | None) -> PlayResult:
    """Plays a scenario; a policy changes this process for good.

    Raises:
        RuntimeError: A background task of a daemon has failed. The daemon goes
            on after that, which must not hide it.
    """
    if policy is not None:
        apply_policy(policy)
    # A process that is killed leaves what it would have begun; in one process
    # with all others that shows as coroutines that nobody awaits.
    warnings.filterwarnings("ignore", "coroutine .* was never awaited")
    failures = background.failure_count()
    result = run_virtual(_play, scenario, seed, seed=seed)
    if background.failure_count() > failures:
        raise RuntimeError(f"a background task has failed, seed {seed}")
    return result


def apply_policy(policy: Policy) -> None:
    """Sets constants and replaces classes of the product.

    Raises:
        AttributeError, ImportError: A name is not there.
    """
    for name, value in policy.constants.items():
        module, attribute, now = _find(name)
        setattr(module, attribute, type(now)(value))
    for name, other in policy.replace.items():
        module, attribute, _ = _find(name)
        setattr(module, attribute, _find(other)[2])


def check_policy(policy: Policy) -> None:
    """Finds every name that a policy changes.

    Raises:
        AttributeError, ImportError, ValueError: A name is not there, or is no
            number.
    """
    for name in policy.constants:
        if not isinstance(_find(name)[2], int | float):
            raise ValueError(f"{name} is no number")
    for name, other in policy.replace.items():
        _find(name)
        _find(other)


def _find(name: str) -> tuple[Any, str, Any]:
    module_name, _, attribute = name.rpartition(".")
    module = importlib.import_module(module_name)
    return module, attribute, getattr(module, attribute)


async def _play(scenario: Scenario, seed: int) -> PlayResult:
    arrivals = draw(scenario, random.Random(seed))
    world = World(scenario=scenario, seed=seed + 1)
    disagreed = [0.0]
    async with world.hub:
        links = Links(world=world)
        deployment.add_backends(world, links)
        daemons = [
            EmulatedDaemon(
                world=world, links=links, number=n, count=scenario.daemons
            )
            for n in range(scenario.daemons)
        ]
        for daemon in daemons:
            daemon.start()
        await world.clock.sleep(WARM_UP_MS)
        callers = Callers(world=world, daemons=daemons, links=links)
        async with anyio.create_task_group() as tasks:
            for fault in scenario.faults:
                struck = (world, fault, daemons, links, callers)
                tasks.start_soon(_strike, *struck)
            tasks.start_soon(_watch_deciders, world, daemons, disagreed)
            await callers.run(arrivals)
            tasks.cancel_scope.cancel()
        world.counts["retries pending"] = sum(
            daemon.core.pending_retries
            for daemon in daemons
            if daemon.core is not None
        )
    return _result(world, callers.outcomes, disagreed[0])


async def _strike(
    world: World,
    fault: Fault,
    daemons: list[EmulatedDaemon],
    links: Links,
    callers: Callers,
) -> None:
    await world.clock.sleep(fault.at_s * MS_PER_SECOND)
    for_ms = fault.for_s * MS_PER_SECOND
    count = round(fault.share * len(daemons))
    struck = world.rng.sample(daemons, count)
    if fault.service and fault.what == "daemons_killed":
        struck = _choose_cut(world, fault, daemons)
    match fault.what:
        case "daemons_killed" | "daemons_lose_power":
            powerless = fault.what == "daemons_lose_power"
            for daemon in struck:
                daemon.kill(powerless=powerless)
            await world.clock.sleep(for_ms)
            for daemon in struck:
                daemon.break_open()
                daemon.start()
        case "daemons_restarted":
            for daemon in struck:
                daemon.kill(powerless=False)
                daemon.start()
                await world.clock.sleep(for_ms)
        case "daemons_cut_off":
            await _cut_off(world, struck, daemons, for_ms)
        case "daemons_out_of_step":
            for daemon in struck:
                daemon.follows_list = False
            await _cut_off(world, struck, daemons, for_ms)
            for daemon in struck:
                daemon.follows_list = True
        case "daemons_cut_from_replicas":
            struck = _choose_cut(world, fault, daemons)
            for daemon in struck:
                links.cut(daemon.name, fault.how)
            await world.clock.sleep(for_ms)
            for daemon in struck:
                links.heal(daemon.name)
        case "crashing_request":
            number = len(world.crashing)
            arrival = draw_crashing(world.scenario, fault, number, world.rng)
            world.crashing[f"crashing-{number}"] = Crashing()
            every_ms = fault.every_s * MS_PER_SECOND
            await callers.repeat(
                lambda: arrival, every_ms=every_ms, for_ms=for_ms
            )
        case "crashing_part":
            await _send_crashing_part(world, fault, callers, for_ms)
        case "replica_crashed":
            if any(_serving(links, fault.service)):
                await _choose(world, links, fault.service).crash(down_ms=for_ms)
        case "data_centre_cold":
            async with anyio.create_task_group() as tasks:
                for backend in _in_data_centre(links, fault.data_centre):
                    tasks.start_soon(partial(backend.crash, down_ms=for_ms))
        case "data_centre_evacuated":
            await _evacuate(world, links, fault.data_centre, for_ms)
        case "replica_silent":
            backend = _choose(world, links, fault.service)
            backend.silent_until = world.clock.now() + for_ms
        case "release":
            await _release(world, fault, links)
        case "replica_reinstalled":
            await _choose(world, links, fault.service).crash(
                down_ms=for_ms,
                version=fault.version,
                listed_late_ms=fault.listed_late_s * MS_PER_SECOND,
            )
        case "replicas_limited":
            await _limit_replicas(world, fault, links)
        case "replicas_brittle":
            brittle = _choose_share(world, fault, links)
            for backend in brittle:
                backend.brittleness.set(fault.most_refused)
            await world.clock.sleep(for_ms)
            for backend in brittle:
                backend.brittleness.set(None)
        case "replicas_share_machines":
            await _share_machines(world, fault, links)
        case "replicas_leave":
            await _leave_unlisted(world, fault, links)
        case "replicas_rest":
            resting = _choose_share(world, fault, links)
            for backend in resting:
                backend.statements.rest_ms = fault.rest_s * MS_PER_SECOND
                backend.statements.refuses = fault.refuses
            await world.clock.sleep(for_ms)
            for backend in resting:
                backend.statements.refuses = 0.0
        case "replica_gone" | "replica_slow":
            backend = _choose(world, links, fault.service)
            backend.gone = fault.what == "replica_gone"
            backend.slow = fault.times
            if for_ms:
                await world.clock.sleep(for_ms)
                backend.gone, backend.slow = False, 1.0
        case _:
            raise ValueError(f"no fault is called {fault.what}")


async def _send_crashing_part(
    world: World, fault: Fault, callers: Callers, for_ms: float
) -> None:
    """Sends requests that share a part which crashes replicas."""
    name = f"crashing-part-{len(world.crashing)}"
    now = world.clock.now()
    harmless_until = now + fault.harmless_s * MS_PER_SECOND
    world.crashing[name] = Crashing(kind=fault.kind, ends_at=now + for_ms)
    arrivals = PartArrivals(
        scenario=world.scenario, fault=fault, name=name, rng=world.rng
    )
    await callers.repeat(
        lambda: arrivals.draw(harmless=world.clock.now() < harmless_until),
        every_ms=fault.every_s * MS_PER_SECOND,
        for_ms=for_ms,
    )


def _in_data_centre(links: Links, data_centre: str) -> list[Backend]:
    return [b for b in links.backends.values() if b.data_centre == data_centre]


async def _evacuate(
    world: World, links: Links, data_centre: str, for_ms: float
) -> None:
    """Evacuates a data centre; its replicas turn cold just before its end."""
    world.evacuated |= {data_centre}
    world.evacuated_at[data_centre] = world.clock.now()
    await world.clock.sleep(for_ms)
    for backend in _in_data_centre(links, data_centre):
        backend.turn_cold()
    world.evacuated -= {data_centre}
    del world.evacuated_at[data_centre]


async def _cut_off(
    world: World,
    struck: list[EmulatedDaemon],
    daemons: list[EmulatedDaemon],
    for_ms: float,
) -> None:
    """Cuts daemons off from all others for a while."""
    links = [
        world.hub.link(*pair)
        for one in struck
        for other in daemons
        if one is not other
        for pair in ((one.name, other.name), (other.name, one.name))
    ]
    for link in links:
        link.cut = True
    for daemon in struck:
        daemon.disturbed_until = math.inf
    await world.clock.sleep(for_ms)
    for link in links:
        link.cut = False
    for daemon in struck:
        daemon.disturbed_until = world.clock.now()


def _choose_cut(
    world: World, fault: Fault, daemons: list[EmulatedDaemon]
) -> list[EmulatedDaemon]:
    """Returns the daemons of a cut, a service's decider among them."""
    there = [d for d in daemons if fault.data_centre in {"", d.data_centre}]
    count = math.ceil(fault.share * len(there))
    struck = world.rng.sample(there, count)
    core = next(d.core for d in daemons if d.core is not None)
    if fault.service and core is not None:
        name = core.decider_of(fault.service)
        decider = next(d for d in daemons if d.name == name)
        if decider not in struck:
            struck[0] = decider
    return struck


async def _release(world: World, fault: Fault, links: Links) -> None:
    """Replaces a share of a service's engines in turn by another version."""
    leaving = [
        backend
        for backend in _choose_share(world, fault, links)
        if backend.version != fault.version
    ]
    numbers = sum(b.service == fault.service for b in links.backends.values())
    late_ms = fault.listed_late_s * MS_PER_SECOND
    for number, backend in enumerate(leaving, start=numbers):
        started = deployment.add_engine(
            world, links, fault.service, number, version=fault.version
        )
        started.list_late(late_ms, None)
        await world.clock.sleep(fault.for_s * MS_PER_SECOND)
        world.hub.start(partial(backend.leave, after_ms=DRAIN_MS))


async def _limit_replicas(world: World, fault: Fault, links: Links) -> None:
    """Lets a share of a service's replicas state a limit for a while."""
    limited = _choose_share(world, fault, links)
    for backend in limited:
        backend.state_limit(fault.limit_per_s)
    await world.clock.sleep(fault.for_s * MS_PER_SECOND)
    for backend in limited:
        backend.state_limit(None)


async def _share_machines(world: World, fault: Fault, links: Links) -> None:
    """Slows a share of a service's replicas down, and in turn other ones."""
    # A generator of its own: the draws don't depend on what daemons do.
    rng = random.Random(world.rng.random())
    ends_at = world.clock.now() + fault.for_s * MS_PER_SECOND
    slow: list[Backend] = []
    while (left_ms := ends_at - world.clock.now()) > 0:
        serving = _serving(links, fault.service)
        others = [backend for backend in serving if backend not in slow]
        for backend in slow:
            backend.slow = 1.0
        count = max(1, round(fault.share * len(serving)))
        slow = rng.sample(others, min(count, len(others)))
        for backend in slow:
            backend.slow = fault.times
        await world.clock.sleep(min(left_ms, fault.every_s * MS_PER_SECOND))
    for backend in slow:
        backend.slow = 1.0


async def _leave_unlisted(world: World, fault: Fault, links: Links) -> None:
    """Lets replicas say that they leave, while the list has them as before.

    In the middle their entries lapse for a moment and return unchanged. Each
    ends, and is back as another process: half of them under the same name.
    """
    leaving = _choose_share(world, fault, links)
    for backend in leaving:
        backend.statements.leaves = True
    await world.clock.sleep(fault.for_s * MS_PER_SECOND / 2)
    for backend in leaving:
        backend.list_late(LAPSE_MS, None)
    await world.clock.sleep(fault.for_s * MS_PER_SECOND / 2)
    for number, backend in enumerate(leaving):
        crash = partial(
            backend.crash,
            down_ms=RESTART_MS,
            listed_late_ms=LISTED_MS if number % 2 else None,
        )
        world.hub.start(crash)


def _choose_share(world: World, fault: Fault, links: Links) -> list[Backend]:
    """Returns a share of a service's replicas that are there."""
    present = [
        backend
        for backend in links.backends.values()
        if backend.service == fault.service and backend.serves
    ]
    count = math.ceil(fault.share * len(present))
    return world.rng.sample(present, count)


def _choose(world: World, links: Links, service: str) -> Backend:
    """Returns one of a service's replicas that are there."""
    return world.rng.choice(_serving(links, service))


def _serving(links: Links, service: str) -> list[Backend]:
    return [
        backend
        for backend in links.backends.values()
        if backend.service == service and backend.serves
    ]


async def _watch_deciders(
    world: World, daemons: list[EmulatedDaemon], disagreed: list[float]
) -> None:
    first_s = min((fault.at_s for fault in world.scenario.faults), default=0.0)
    await world.clock.sleep(first_s * MS_PER_SECOND)
    while True:
        await world.clock.sleep(LOOK_EVERY_MS)
        for service in world.scenario.stage_services:
            names = {
                daemon.core.decider_of(service)
                for daemon in daemons
                if daemon.core is not None
            }
            if len(names) > 1:
                disagreed[0] += LOOK_EVERY_MS
                break


def _result(
    world: World, outcomes: list[Outcome], disagreed_ms: float
) -> PlayResult:
    owed: collections.Counter[Any] = collections.Counter()
    earned: collections.Counter[Any] = collections.Counter()
    hows: collections.Counter[str] = collections.Counter()
    for outcome in outcomes:
        kind = outcome.arrival.kind
        window = int(outcome.arrival.at_ms // WINDOW_MS)
        customer = ("customer", outcome.arrival.customer)
        for key in ("all", window, kind.name, customer):
            owed[key] += kind.worth
            earned[key] += outcome.earned
        hows[outcome.how] += 1
    shares = {key: earned[key] / owed[key] for key in owed}
    made = world.counts["results"]
    return PlayResult(
        worth=shares.pop("all"),
        windows={k: v for k, v in shares.items() if isinstance(k, int)},
        kinds={k: v for k, v in shares.items() if isinstance(k, str)},
        customers={
            k[1]: v for k, v in shares.items() if isinstance(k, tuple) and k[1]
        },
        hows=dict(hows),
        crossed_mb=world.crossed_bytes / MB,
        unused=world.counts["results unused"] / max(1, made),
        no_room=world.counts["pieces room"],
        disagreed_ms=disagreed_ms,
        sent_on=_most_sent(world, SETTLED_MS),
        sent_after_third=_most_sent(world, 0.0),
        crashes=sum(len(c.crashes) for c in world.crashing.values()),
        traffic=dict(world.traffic),
        retries_pending=world.counts["retries pending"],
        counts=dict(world.counts),
    )


def _most_sent(world: World, settled_ms: float) -> int:
    """Returns the most often that a request was sent after three crashes."""
    return max(
        (c.sent_after(CRASHES, settled_ms) for c in world.crashing.values()),
        default=0,
    )
