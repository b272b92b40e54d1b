"""Enforces customers' limits across all daemons with quota leases.

The first daemon in a customer's order owns the customer's limit and leases
parts of it to the daemons that receive the customer's requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.abc
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.background import BackgroundTasks, background_tasks
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.limits.account import QuotaLease, QuotaRequest
from cactusdyke.limits.held_quota import HeldQuota
from cactusdyke.limits.limiter import Limiter
from cactusdyke.limits.quota_owner import REVIEW_INTERVAL_MS, NotOwner

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Customer
    from cactusdyke.limits.fleet import FleetView
    from cactusdyke.limits.quota_leases import QuotaLeaseClient
    from cactusdyke.limits.quota_owner import QuotaOwner
    from cactusdyke.limits.subsets import Subsets
    from cactusdyke.observe.metrics import Metrics

MAX_RETRY_AFTER_MS = 60_000.0
FALLBACK_TERM_MS = 2_000.0
FALLBACK_RETRY_MS = 1_000.0
IDLE_RETENTION_MS = 600_000.0


class CustomerLimits(Limiter):
    """Admits requests within the quota that this daemon holds."""

    def __init__(
        self,
        *,
        clock: Clock,
        view: FleetView,
        subsets: Subsets,
        quota_owner: QuotaOwner,
        lease_client: QuotaLeaseClient,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._subsets = subsets
        self._quota_owner = quota_owner
        self._lease_client = lease_client
        self._metrics = metrics
        self._held_quotas: dict[str, HeldQuota] = {}
        self._tasks: BackgroundTasks | None = None

    async def run(self) -> None:
        """Updates owned limits, and runs lease renewals in the background."""
        async with background_tasks() as tasks:
            self._tasks = tasks
            try:
                while True:
                    self._quota_owner.review()
                    self._evict_idle()
                    await self._clock.sleep(REVIEW_INTERVAL_MS)
            finally:
                self._tasks = None

    def subset_size(self, customer: str) -> int:
        """Returns the number of daemons the customer's callers should use."""
        owned = self._quota_owner.subset_size(customer)
        return owned or self._held_quota(customer).size

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from a customer's limit, or refuses it."""
        held = self._held_quota(customer.name)
        now = self._clock.now()
        held.demand.count(now)
        if held.is_renewal_due(now):
            self._renew_in_background(customer, held)
        admitted = held.take(now) or await self._wait_for_tokens(customer, held)
        self._count_decision(customer, admitted=admitted)
        if admitted:
            return Ok(None)
        return Err(self._refusal(customer, held))

    async def _wait_for_tokens(
        self, customer: Customer, held: HeldQuota
    ) -> bool:
        """Waits for a token; concurrent requests share one lease request."""
        held.waiting += 1
        try:
            while True:
                now = self._clock.now()
                if held.take(now):
                    return True
                if held.is_refused(now):
                    return False
                if held.owner_unreachable:
                    # Each lease request to an unresponsive owner costs a
                    # time-out, for which callers would wait; only background
                    # renewals keep trying.
                    self._use_fallback(customer, held)
                    self._renew_in_background(customer, held)
                elif held.renewal is not None:
                    await held.renewal.wait()
                else:
                    await self._renew(customer, held)
        finally:
            held.waiting -= 1

    def _renew_in_background(self, customer: Customer, held: HeldQuota) -> None:
        if held.renewal is not None or self._tasks is None:
            return
        held.postpone_renewal(self._clock.now())
        self._tasks.start_soon(self._renew, customer, held)

    async def _renew(self, customer: Customer, held: HeldQuota) -> None:
        if held.renewal is not None:
            return
        held.renewal = anyio.Event()
        requested_at = self._clock.now()
        try:
            lease = await self._request_lease(customer, held)
            self._count_lease_request(granted=lease is not None)
            if lease is None:
                self._on_owner_unreachable(customer, held)
            else:
                held.owner_unreachable = False
                now = self._clock.now()
                held.add(lease, requested_at=requested_at, now=now)
        finally:
            held.renewal.set()
            held.renewal = None

    async def _request_lease(
        self, customer: Customer, held: HeldQuota
    ) -> QuotaLease | None:
        now = self._clock.now()
        request = QuotaRequest(
            customer=customer.name,
            waiting=held.waiting,
            demand=held.demand.per_second(now),
            size=held.size,
        )
        own_name = self._view.own_name
        owner = self._subsets.owner(customer.name)
        if owner is None or owner.name == own_name:
            return self._quota_owner.grant(own_name, request).unwrap_or(None)
        answer = await self._lease_client.request_lease(
            owner.address, own_name, request
        )
        match answer:
            case Ok(NotOwner(owner=str(address))):
                # Two daemons can see different fleets for a moment. Following
                # the redirect ensures that only a daemon that considers
                # itself the owner grants leases. It is followed once, as
                # differing views may redirect in a loop.
                answer = await self._lease_client.request_lease(
                    address, own_name, request
                )
        match answer:
            case Ok(QuotaLease() as lease):
                return lease
            case _:
                return None

    def _on_owner_unreachable(
        self, customer: Customer, held: HeldQuota
    ) -> None:
        if not held.owner_unreachable:
            events.log(
                events.Event.LIMIT_OWNER_UNREACHABLE, customer=customer.name
            )
        held.owner_unreachable = True
        self._use_fallback(customer, held)

    def _use_fallback(self, customer: Customer, held: HeldQuota) -> None:
        """Grants itself an equal share while the owner is unreachable.

        The shares of all members add up to the limit a second time; this
        excess ends once the membership has determined another owner.
        """
        members = self._subsets.members(customer.name, held.size)
        is_member = any(d.name == self._view.own_name for d in members)
        share_count = len(members) if is_member else len(self._view.serving)
        now = self._clock.now()
        rate = customer.requests_per_second * self._view.visible_share
        lease = QuotaLease(
            customer=customer.name,
            # For a customer with few requests the rate alone would not have
            # accumulated a token yet.
            tokens=int(is_member and held.take_fallback_token(now)),
            rate=rate / max(1, share_count),
            term_ms=FALLBACK_TERM_MS,
            size=held.size,
            retry_after_ms=FALLBACK_RETRY_MS,
        )
        held.add(lease, requested_at=now, now=now)

    def _refusal(self, customer: Customer, held: HeldQuota) -> Failure:
        wait_ms = held.retry_after_ms(
            self._clock.now(), customer.requests_per_second
        )
        return Failure(
            kind=FailureKind.LIMITED,
            detail=f"The customer {customer.name} is over its limit",
            retry_after_ms=int(min(wait_ms, MAX_RETRY_AFTER_MS)) + 1,
        )

    def _held_quota(self, customer: str) -> HeldQuota:
        if customer not in self._held_quotas:
            now = self._clock.now()
            self._held_quotas[customer] = HeldQuota(now=now)
        return self._held_quotas[customer]

    def _evict_idle(self) -> None:
        now = self._clock.now()
        self._held_quotas = {
            name: held
            for name, held in self._held_quotas.items()
            if held.waiting or held.idle_ms(now) < IDLE_RETENTION_MS
        }

    def _count_lease_request(self, *, granted: bool) -> None:
        if self._metrics is not None:
            outcome = "lent" if granted else "unreachable"
            self._metrics.limit_questions.labels(outcome).inc()

    def _count_decision(self, customer: Customer, *, admitted: bool) -> None:
        if self._metrics is not None:
            decision = "admitted" if admitted else "limited"
            self._metrics.limit_decisions.labels(customer.name, decision).inc()
