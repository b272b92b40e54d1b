"""Customers over daemons: on all, on a fixed subset, on one that grows."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import attrs

from bench.naive.static_limits import OneBucket, StaticLimits
from cactusdyke.clock import EventLoopClock
from cactusdyke.configuration.model import Customer
from cactusdyke.limits import account, held_quota, subsets
from cactusdyke.limits.limiter import Limiter
from cactusdyke.limits.subsets import rank_daemons
from cactusdyke.routing.prefix_hints import PrefixHints
from features.support import limits_fleet
from features.support.limits_fleet import LimitsFleet
from standins.virtual import run_virtual

PREFIXES = 20
USUAL_LOAD = 0.7
GREEDY_LOAD = 3.0
GREEDY_EVERY = 21
CALLERS = 3


@attrs.frozen(kw_only=True)
class Size:
    """How large a fleet is measured.

    Attributes:
        daemons: Daemons.
        customers: Customers, with demands as 1, 1/2, 1/3 and so on.
        requests_per_second: What all usual customers send together.
        seconds: How long it is measured, after as long to warm up.
    """

    daemons: int = 350
    customers: int = 210
    requests_per_second: float = 920.0
    seconds: int = 15


@attrs.frozen(kw_only=True)
class Column:
    """One way to place customers and to split their limits.

    Attributes:
        name: What the table calls it.
        make: How limits are held where it is not by loans.
        smallest: The smallest subset, 0 for all daemons.
        grows: Whether subsets grow with demand.
    """

    name: str
    make: Callable[[LimitsFleet, Column], Limiter] | None
    smallest: int
    grows: bool


def _equal_shares(fleet: LimitsFleet, column: Column) -> Limiter:
    return StaticLimits(
        clock=fleet.hub.clock,
        daemons=lambda: column.smallest or len(fleet.daemons),
    )


def _one_bucket(fleet: LimitsFleet, column: Column) -> Limiter:
    del column
    return OneBucket(clock=fleet.hub.clock, buckets=fleet.shared)


COLUMNS = (
    Column(name="one bucket, all", make=_one_bucket, smallest=0, grows=False),
    Column(
        name="equal shares, all", make=_equal_shares, smallest=0, grows=False
    ),
    Column(name="equal shares, 6", make=_equal_shares, smallest=6, grows=False),
    Column(name="loans, all", make=None, smallest=0, grows=False),
    Column(name="loans, 6", make=None, smallest=6, grows=False),
    Column(name="loans, growing 3", make=None, smallest=3, grows=True),
    Column(name="loans, growing 6", make=None, smallest=6, grows=True),
    Column(name="loans, growing 12", make=None, smallest=12, grows=True),
)


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each way."""
    size = Size()
    columns = COLUMNS
    if tiny:
        size = Size(
            daemons=12, customers=6, requests_per_second=60.0, seconds=5
        )
        columns = tuple(c for c in COLUMNS if c.smallest in (0, 6))
    return [_measure(column, size) for column in columns]


def _measure(column: Column, size: Size) -> dict[str, Any]:
    with contextlib.ExitStack() as stack:
        for module in (subsets, account, held_quota):
            _set(
                stack,
                module,
                "SMALLEST_SUBSET",
                column.smallest or size.daemons,
            )
        if not column.grows:
            _set(stack, account, "GROW_ABOVE", float("inf"))
        return run_virtual(_run, column, size)


def _set(
    stack: contextlib.ExitStack, module: Any, name: str, value: float
) -> None:
    stack.callback(setattr, module, name, getattr(module, name))
    setattr(module, name, value)


@attrs.define
class _Caller:
    """A caller's list, corrected lazily by whoever it calls."""

    fleet: LimitsFleet
    customer: Customer
    hints: Mapping[str, PrefixHints]
    counts: collections.Counter[str]
    pick: random.Random
    current: Callable[[str, str], tuple[str, ...]]
    addresses: tuple[str, ...] = ()

    async def send(self) -> None:
        """Sends one request and takes over the list it is told."""
        name = self.customer.name
        daemon = self.pick.choice(self.addresses or tuple(self.fleet.daemons))
        prefix = f"{name}/{int(PREFIXES * self.pick.random() ** 2)}"
        admitted = await self.fleet.request(daemon, name)
        self.counts["sent"] += 1
        if admitted:
            hints = self.hints[daemon]
            self.counts["warm"] += bool(hints.likely_servers(prefix))
            self.counts["admitted"] += 1
            hints.record_sent(prefix, "engine")
        current = self.current(daemon, name)
        if current != self.addresses:
            self.counts["corrected"] += 1
            self.addresses = current


async def _run(column: Column, size: Size) -> dict[str, Any]:
    customers = _customers(size)
    fleet = LimitsFleet(
        count=size.daemons,
        customers=list(customers),
        data_centres=10 if size.daemons > 50 else 3,
        regions=3 if size.daemons > 50 else 1,
        make_limiter=_maker(column),
    )
    static_lists = {
        c.name: tuple(
            d.name
            for d in rank_daemons(c.name, tuple(fleet.daemons.values()))[
                : column.smallest or size.daemons
            ]
        )
        for c in customers
    }

    def current(daemon: str, customer: str) -> tuple[str, ...]:
        running = fleet.running[daemon]
        if not column.grows or running.subsets is None:
            return static_lists[customer]
        held = running.limiter.subset_size(customer)
        return tuple(d.name for d in running.subsets.members(customer, held))

    counts: collections.Counter[str] = collections.Counter()
    clock = EventLoopClock()
    hints = {name: PrefixHints(clock=clock) for name in fleet.daemons}
    async with fleet, anyio.create_task_group() as tasks:
        for index, customer in enumerate(customers):
            load = _load(index)
            rate = customer.requests_per_second * load / CALLERS
            for number in range(CALLERS):
                caller = _Caller(
                    fleet=fleet,
                    customer=customer,
                    hints=hints,
                    counts=counts,
                    pick=random.Random(f"{customer.name}/{number}"),
                    current=current,
                )
                tasks.start_soon(_call_forever, fleet, caller, rate)
        await fleet.hub.clock.sleep(size.seconds * 1000.0)
        fleet.log.clear()
        fleet.messages = 0
        corrected = counts["corrected"]
        counts.clear()
        await fleet.hub.clock.sleep(size.seconds * 1000.0)
        tasks.cancel_scope.cancel()
    return _row(column, size, customers, fleet, counts, corrected)


async def _call_forever(
    fleet: LimitsFleet, caller: _Caller, rate: float
) -> None:
    while True:
        await fleet.hub.clock.sleep(caller.pick.expovariate(rate) * 1000.0)
        fleet.hub.start(caller.send)


def _row(
    column: Column,
    size: Size,
    customers: tuple[Customer, ...],
    fleet: LimitsFleet,
    counts: collections.Counter[str],
    corrected_at_first: int,
) -> dict[str, Any]:
    sent: collections.Counter[str] = collections.Counter()
    admitted: collections.Counter[str] = collections.Counter()
    by_daemon: collections.Counter[str] = collections.Counter()
    for entry in fleet.log:
        sent[entry.customer] += 1
        admitted[entry.customer] += entry.admitted
        by_daemon[entry.daemon] += 1
    usual = [c.name for i, c in enumerate(customers) if not _is_greedy(i)]
    greedy = [c for i, c in enumerate(customers) if _is_greedy(i)]
    usual_sent = sum(sent[name] for name in usual)
    limit = sum(c.requests_per_second for c in greedy) * size.seconds
    over = [
        limits_fleet.excess(
            fleet.admitted(c.name), rate=c.requests_per_second, burst=c.burst
        )
        / c.requests_per_second
        for c in greedy
    ]
    mean = len(fleet.log) / size.daemons
    return {
        "column": column.name,
        "below limit, refused": 1
        - sum(admitted[name] for name in usual) / usual_sent,
        "over limit, admitted/limit": sum(admitted[c.name] for c in greedy)
        / limit,
        "worst window over, s of limit": max(over),
        "messages/s/daemon": fleet.messages / size.seconds / size.daemons,
        "warm prefix": counts["warm"] / max(1, counts["admitted"]),
        "busiest daemon/mean": max(by_daemon.values()) / mean,
        "lists corrected, warm-up": corrected_at_first,
        "later": counts["corrected"],
    }


def _customers(size: Size) -> tuple[Customer, ...]:
    weights = [1.0 / (index + 1) for index in range(size.customers)]
    unit = size.requests_per_second / sum(weights)
    return tuple(
        limits_fleet.customers(
            {
                f"customer-{index}": (
                    unit * weight / USUAL_LOAD,
                    max(2.0, 2.0 * unit * weight),
                )
                for index, weight in enumerate(weights)
            }
        )
    )


def _is_greedy(index: int) -> bool:
    return index % GREEDY_EVERY == GREEDY_EVERY // 2 or index == 4


def _load(index: int) -> float:
    return GREEDY_LOAD if _is_greedy(index) else USUAL_LOAD


def _maker(column: Column) -> Callable[[LimitsFleet, str], Limiter] | None:
    make = column.make
    if make is None:
        return None
    return lambda fleet, name: make(fleet, column)
