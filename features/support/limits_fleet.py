"""Daemons that share customers' limits, on a simulated network.

The membership is simulated too: a daemon lists another one until no message
from it has arrived, directly or through others, for `SUSPECT_MS`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import attrs

from cactusdyke.configuration.model import Customer
from cactusdyke.limits.customer_limits import CustomerLimits
from cactusdyke.limits.fleet import Daemon, Fleet, FleetView
from cactusdyke.limits.limiter import Limiter
from cactusdyke.limits.quota_leases import (
    HttpQuotaLeaseClient,
    QuotaLeaseHandler,
)
from cactusdyke.limits.quota_owner import QuotaOwner
from cactusdyke.limits.subsets import Subsets
from standins.hub import Hub

SUSPECT_MS = 5_000.0
EXCHANGE_INTERVAL_MS = 500.0


@attrs.frozen(kw_only=True)
class AdmissionRecord:
    """The outcome of one request at a daemon."""

    at: float
    customer: str
    daemon: str
    admitted: bool


class _VisibleFleet(Fleet):
    def __init__(self, *, world: LimitsFleet, name: str) -> None:
        self._world = world
        self._name = name

    @property
    def own_name(self) -> str:
        return self._name

    def serving(self) -> tuple[Daemon, ...]:
        return self._world.seen_by(self._name)

    def leaving(self) -> frozenset[str]:
        return frozenset(self._world.leaving)


@attrs.define(kw_only=True)
class Running:
    """The limits service of one running daemon."""

    limiter: Limiter
    subsets: Subsets | None
    quota_owner: QuotaOwner | None
    scope: anyio.CancelScope


class LimitsFleet:
    """A fleet of daemons that run only the limits service."""

    def __init__(
        self,
        *,
        count: int,
        customers: Sequence[Customer],
        data_centres: int = 3,
        regions: int = 1,
        delay_ms: float = 1.0,
        make_limiter: Callable[[LimitsFleet, str], Limiter] | None = None,
        subsets: type[Subsets] = Subsets,
        seed: int = 0,
    ) -> None:
        self.hub = Hub()
        self.rng = random.Random(seed)
        self.customers = {customer.name: customer for customer in customers}
        self.daemons = {
            f"entry-{i}": Daemon(
                name=f"entry-{i}",
                address=f"entry-{i}:1",
                data_centre=f"data-centre-{i % data_centres}",
                region=f"region-{i % data_centres % regions}",
            )
            for i in range(count)
        }
        self._all = tuple(self.daemons.values())
        self.running: dict[str, Running] = {}
        self.leaving: set[str] = set()
        self.frozen: set[str] = set()
        self.hidden: set[tuple[str, str]] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.log: list[AdmissionRecord] = []
        self.messages = 0
        self.shared: dict[str, Any] = {}
        self._delay_ms = delay_ms
        self._make_limiter = make_limiter
        self._subsets = subsets
        self._last_seen: dict[str, dict[str, float]] = {}
        self._faulty = False

    async def __aenter__(self) -> LimitsFleet:
        await self.hub.__aenter__()
        for name in self.daemons:
            self.start(name)
        self.hub.start(self._exchange_forever)
        return self

    async def __aexit__(self, *error: Any) -> None:
        for running in self.running.values():
            running.scope.cancel()
        await self.hub.__aexit__(*error)

    @property
    def now(self) -> float:
        """Virtual time in milliseconds."""
        return self.hub.clock.now()

    def start(self, name: str) -> None:
        """Starts a daemon without any state."""
        now = self.hub.clock.now()
        self._last_seen[name] = dict.fromkeys(self.daemons, now)
        scope = anyio.CancelScope()
        if self._make_limiter is not None:
            limiter = self._make_limiter(self, name)
            self.running[name] = Running(
                limiter=limiter, subsets=None, quota_owner=None, scope=scope
            )
        else:
            self.running[name] = self._start_project(name, scope)
        self.hub.start(self._run, self.running[name])

    def _start_project(self, name: str, scope: anyio.CancelScope) -> Running:
        clock = self.hub.clock_of(name)
        view = FleetView(
            clock=clock, fleet=_VisibleFleet(world=self, name=name)
        )
        subsets = self._subsets(view=view)
        quota_owner = QuotaOwner(
            clock=clock,
            view=view,
            subsets=subsets,
            find_customer=self.customers.get,
        )
        limiter = CustomerLimits(
            clock=clock,
            view=view,
            subsets=subsets,
            quota_owner=quota_owner,
            lease_client=HttpQuotaLeaseClient(network=self.hub.network(name)),
        )
        handler = QuotaLeaseHandler(quota_owner=quota_owner)

        async def counted(request: Any) -> Any:
            self.messages += 1
            return await handler.handle(request)

        self.hub.listen(self.daemons[name].address, counted, owner=name)
        return Running(
            limiter=limiter,
            subsets=subsets,
            quota_owner=quota_owner,
            scope=scope,
        )

    def kill(self, name: str) -> None:
        """Kills a daemon."""
        self._faulty = True
        if name in self.running:
            self.hub.kill(name)
            self.running.pop(name).scope.cancel()

    def freeze(self, name: str) -> None:
        """Suspends a daemon, as SIGSTOP does."""
        self._faulty = True
        self.frozen.add(name)
        self.hub.freeze(name)

    def wake(self, name: str) -> None:
        """Resumes a suspended daemon."""
        self.frozen.discard(name)
        self.hub.wake(name)

    def cut(self, sources: Sequence[str], targets: Sequence[str]) -> None:
        """Cuts the links from one set of daemons to another, one way."""
        self._faulty = True
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                self.hub.link(source, target).cut = True

    def heal(self) -> None:
        """Restores all cut links."""
        for source, target in self.cuts:
            self.hub.link(source, target).cut = False
        self.cuts.clear()

    def seen_by(self, name: str) -> tuple[Daemon, ...]:
        """Returns the daemons that one daemon sees as serving."""
        if not self._faulty and not self.hidden and not self.leaving:
            return self._all
        last_seen = self._last_seen[name]
        now = self.now
        return tuple(
            daemon
            for other, daemon in self.daemons.items()
            if (name, other) not in self.hidden
            and other not in self.leaving
            and (
                not self._faulty
                or other == name
                or now - last_seen[other] <= SUSPECT_MS
            )
        )

    def owner(self, customer: str, seen_by: str = "entry-0") -> str:
        """Returns the owner of a customer's limit as seen by one daemon."""
        subsets = self.running[seen_by].subsets
        assert subsets is not None
        owner = subsets.owner(customer)
        assert owner is not None
        return owner.name

    async def request(self, name: str, customer: str) -> bool | None:
        """Sends a request to a daemon; None if it is not running."""
        await self.hub.awake(name)
        running = self.running.get(name)
        if running is None:
            return None
        answer = await running.limiter.admit(self.customers[customer])
        await self.hub.awake(name)
        if self.running.get(name) is not running:
            return None
        self.log.append(
            AdmissionRecord(
                at=self.now,
                customer=customer,
                daemon=name,
                admitted=answer.is_ok(),
            )
        )
        return answer.is_ok()

    def send(self, name: str, customer: str) -> None:
        """Sends a request without waiting for its outcome."""
        self.hub.start(self.request, name, customer)

    async def offer(
        self,
        customer: str,
        *,
        rate: float,
        duration_ms: float,
        choose: Callable[[], str],
        poisson: bool = True,
    ) -> None:
        """Sends requests at a rate to daemons returned by `choose`."""
        end = self.now + duration_ms
        while True:
            gap = self.rng.expovariate(rate) if poisson else 1.0 / rate
            await self.hub.clock.sleep(gap * 1000.0)
            if self.now > end:
                return
            self.send(choose(), customer)

    def admitted(self, customer: str) -> list[float]:
        """Returns the times at which a customer's requests were admitted."""
        return [
            entry.at
            for entry in self.log
            if entry.customer == customer and entry.admitted
        ]

    def refused(self, customer: str, since: float = 0.0) -> int:
        """Returns the number of a customer's refused requests."""
        return sum(
            entry.customer == customer
            and not entry.admitted
            and entry.at >= since
            for entry in self.log
        )

    async def _run(self, running: Running) -> None:
        with running.scope:
            await running.limiter.run()

    async def _exchange_forever(self) -> None:
        while True:
            if self._faulty:
                self._exchange()
            else:
                now = self.now
                for last_seen in self._last_seen.values():
                    last_seen.update(dict.fromkeys(last_seen, now))
            await self.hub.clock.sleep(EXCHANGE_INTERVAL_MS)

    def _exchange(self) -> None:
        awake = [n for n in self.running if n not in self.frozen]
        for name in awake:
            last_seen = self._last_seen[name]
            reached = [name]
            for target in reached:
                for source in awake:
                    if (
                        source not in reached
                        and (
                            source,
                            target,
                        )
                        not in self.cuts
                    ):
                        reached.append(source)
            last_seen.update(dict.fromkeys(reached, self.now))


def excess(times: Sequence[float], *, rate: float, burst: float) -> float:
    """Returns the largest excess of any time window over its allowance.

    The allowance of a window is the burst plus the rate times its length.

    Args:
        times: Times of admitted requests, in milliseconds.
        rate: The limit in requests per second.
        burst: The customer's burst, in requests.
    """
    worst = -burst
    lowest = float("inf")
    for index, at in enumerate(sorted(times)):
        level = index - rate * at / 1000.0
        lowest = min(lowest, level)
        worst = max(worst, level + 1.0 - lowest - burst)
    return worst


def longest_refusal_ms(log: Sequence[AdmissionRecord], customer: str) -> float:
    """Returns the longest period in which every request was refused."""
    longest = 0.0
    since: float | None = None
    for entry in log:
        if entry.customer != customer:
            continue
        if entry.admitted:
            since = None
        else:
            since = entry.at if since is None else since
            longest = max(longest, entry.at - since)
    return longest


def customers(
    limits: Mapping[str, tuple[float, float]],
) -> list[Customer]:
    """Returns customers with the given rates and bursts."""
    return [
        Customer(
            name=name,
            token_hashes=(),
            requests_per_second=rate,
            burst=burst,
        )
        for name, (rate, burst) in limits.items()
    ]
