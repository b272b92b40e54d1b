"""Holds customers to their limits over all daemons, by loans from owners.

The first daemon of a customer's order owns its limit and lends parts of it
to whichever daemons its requests arrive at.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.abc
from result import Err, Ok, Result

from cactusdyke import events
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
    """Admits requests from what this daemon holds of each limit."""

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
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Reviews what is owned, and runs renewals in the background."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    self._quota_owner.review()
                    self._forget_idle()
                    await self._clock.sleep(REVIEW_INTERVAL_MS)
            finally:
                self._tasks = None

    def subset_size(self, customer: str) -> int:
        """Returns how many daemons the customer's callers should use."""
        owned = self._quota_owner.subset_size(customer)
        return owned or self._held_quota(customer).size

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from a customer's limit, or refuses it."""
        holding = self._held_quota(customer.name)
        now = self._clock.now()
        holding.demand.count(now)
        if holding.is_renewal_due(now):
            self._renew_in_background(customer, holding)
        admitted = holding.take(now) or await self._wait_for_tokens(
            customer, holding
        )
        self._count_decision(customer, admitted=admitted)
        if admitted:
            return Ok(None)
        return Err(self._refusal(customer, holding))

    async def _wait_for_tokens(
        self, customer: Customer, holding: HeldQuota
    ) -> bool:
        """Asks for more, together with the others that wait for it."""
        holding.waiting += 1
        try:
            while True:
                now = self._clock.now()
                if holding.take(now):
                    return True
                if holding.is_refused(now):
                    return False
                if holding.owner_unreachable:
                    # Each question to a frozen owner costs a time-out, which
                    # callers would wait out; only the background asks on.
                    self._use_fallback(customer, holding)
                    self._renew_in_background(customer, holding)
                elif holding.renewal is not None:
                    await holding.renewal.wait()
                else:
                    await self._renew(customer, holding)
        finally:
            holding.waiting -= 1

    def _renew_in_background(
        self, customer: Customer, holding: HeldQuota
    ) -> None:
        if holding.renewal is not None or self._tasks is None:
            return
        holding.postpone_renewal(self._clock.now())
        self._tasks.start_soon(self._renew, customer, holding)

    async def _renew(self, customer: Customer, holding: HeldQuota) -> None:
        if holding.renewal is not None:
            return
        holding.renewal = anyio.Event()
        asked_at = self._clock.now()
        try:
            loan = await self._request_lease(customer, holding)
            self._count_lease_request(lent=loan is not None)
            if loan is None:
                self._on_owner_unreachable(customer, holding)
            else:
                holding.owner_unreachable = False
                now = self._clock.now()
                holding.add(loan, requested_at=asked_at, now=now)
        finally:
            holding.renewal.set()
            holding.renewal = None

    async def _request_lease(
        self, customer: Customer, holding: HeldQuota
    ) -> QuotaLease | None:
        now = self._clock.now()
        ask = QuotaRequest(
            customer=customer.name,
            waiting=holding.waiting,
            demand=holding.demand.per_second(now),
            size=holding.size,
        )
        own_name = self._view.own_name
        owner = self._subsets.owner(customer.name)
        if owner is None or owner.name == own_name:
            return self._quota_owner.grant(own_name, ask).unwrap_or(None)
        answer = await self._lease_client.request_lease(
            owner.address, own_name, ask
        )
        match answer:
            case Ok(NotOwner(owner=str(address))):
                # Two daemons see different fleets for a moment. Following
                # the word of the one asked keeps the owners to those that
                # believe it of themselves; once, as views may form a ring.
                answer = await self._lease_client.request_lease(
                    address, own_name, ask
                )
        match answer:
            case Ok(QuotaLease() as loan):
                return loan
            case _:
                return None

    def _on_owner_unreachable(
        self, customer: Customer, holding: HeldQuota
    ) -> None:
        if not holding.owner_unreachable:
            events.log(
                events.Event.LIMIT_OWNER_UNREACHABLE, customer=customer.name
            )
        holding.owner_unreachable = True
        self._use_fallback(customer, holding)

    def _use_fallback(self, customer: Customer, holding: HeldQuota) -> None:
        """Lends itself an equal part while the owner can't be reached.

        All members' parts together make up the limit once more, so that the
        error lasts only until the membership has found another owner.
        """
        members = self._subsets.members(customer.name, holding.size)
        is_member = any(d.name == self._view.own_name for d in members)
        sharers = len(members) if is_member else len(self._view.serving)
        now = self._clock.now()
        rate = customer.requests_per_second * self._view.visible_share
        loan = QuotaLease(
            customer=customer.name,
            # A customer that asks rarely would find nothing grown yet.
            tokens=int(is_member and holding.take_fallback_token(now)),
            rate=rate / max(1, sharers),
            term_ms=FALLBACK_TERM_MS,
            size=holding.size,
            retry_after_ms=FALLBACK_RETRY_MS,
        )
        holding.add(loan, requested_at=now, now=now)

    def _refusal(self, customer: Customer, holding: HeldQuota) -> Failure:
        wait_ms = holding.retry_after_ms(
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

    def _forget_idle(self) -> None:
        now = self._clock.now()
        self._held_quotas = {
            name: holding
            for name, holding in self._held_quotas.items()
            if holding.waiting or holding.idle_ms(now) < IDLE_RETENTION_MS
        }

    def _count_lease_request(self, *, lent: bool) -> None:
        if self._metrics is not None:
            outcome = "lent" if lent else "unreachable"
            self._metrics.limit_questions.labels(outcome).inc()

    def _count_decision(self, customer: Customer, *, admitted: bool) -> None:
        if self._metrics is not None:
            decision = "admitted" if admitted else "limited"
            self._metrics.limit_decisions.labels(customer.name, decision).inc()
