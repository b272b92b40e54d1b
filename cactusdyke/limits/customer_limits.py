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
from cactusdyke.limits.account import Ask, Loan
from cactusdyke.limits.holding import Holding
from cactusdyke.limits.ledger import REVIEW_MS, NotOwner
from cactusdyke.limits.limiter import Limiter

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Customer
    from cactusdyke.limits.fleet import FleetView
    from cactusdyke.limits.ledger import Ledger
    from cactusdyke.limits.lending import Lender
    from cactusdyke.limits.subsets import Subsets
    from cactusdyke.observe.metrics import Metrics

MAX_RETRY_AFTER_MS = 60_000.0
FALLBACK_TERM_MS = 2_000.0
FALLBACK_PAUSE_MS = 1_000.0
FORGET_AFTER_MS = 600_000.0


class CustomerLimits(Limiter):
    """Admits requests from what this daemon holds of each limit."""

    def __init__(
        self,
        *,
        clock: Clock,
        view: FleetView,
        subsets: Subsets,
        ledger: Ledger,
        lender: Lender,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._subsets = subsets
        self._ledger = ledger
        self._lender = lender
        self._metrics = metrics
        self._holdings: dict[str, Holding] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Reviews what is owned, and runs renewals in the background."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    self._ledger.review()
                    self._forget_idle()
                    await self._clock.sleep(REVIEW_MS)
            finally:
                self._tasks = None

    def subset_size(self, customer: str) -> int:
        """Returns how many daemons the customer's callers should use."""
        owned = self._ledger.size(customer)
        return owned or self._holding(customer).size

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from a customer's limit, or refuses it."""
        holding = self._holding(customer.name)
        now = self._clock.now()
        holding.demand.count(now)
        if holding.is_due(now):
            self._renew(customer, holding)
        admitted = holding.take(now) or await self._wait(customer, holding)
        self._count(customer, admitted=admitted)
        if admitted:
            return Ok(None)
        return Err(self._refusal(customer, holding))

    async def _wait(self, customer: Customer, holding: Holding) -> bool:
        """Asks for more, together with the others that wait for it."""
        holding.waiting += 1
        try:
            while True:
                now = self._clock.now()
                if holding.take(now):
                    return True
                if holding.is_refused(now):
                    return False
                if holding.owner_lost:
                    # Each question to a frozen owner costs a time-out, which
                    # callers would wait out; only the background asks on.
                    self._fall_back(customer, holding)
                    self._renew(customer, holding)
                elif holding.asking is not None:
                    await holding.asking.wait()
                else:
                    await self._ask(customer, holding)
        finally:
            holding.waiting -= 1

    def _renew(self, customer: Customer, holding: Holding) -> None:
        if holding.asking is not None or self._tasks is None:
            return
        holding.put_off(self._clock.now())
        self._tasks.start_soon(self._ask, customer, holding)

    async def _ask(self, customer: Customer, holding: Holding) -> None:
        if holding.asking is not None:
            return
        holding.asking = anyio.Event()
        asked_at = self._clock.now()
        try:
            loan = await self._borrow(customer, holding)
            self._count_question(lent=loan is not None)
            if loan is None:
                self._lose_owner(customer, holding)
            else:
                holding.owner_lost = False
                now = self._clock.now()
                holding.add(loan, asked_at=asked_at, now=now)
        finally:
            holding.asking.set()
            holding.asking = None

    async def _borrow(
        self, customer: Customer, holding: Holding
    ) -> Loan | None:
        now = self._clock.now()
        ask = Ask(
            customer=customer.name,
            waiting=holding.waiting,
            demand=holding.demand.per_second(now),
            size=holding.size,
        )
        own_name = self._view.own_name
        owner = self._subsets.owner(customer.name)
        if owner is None or owner.name == own_name:
            return self._ledger.lend(own_name, ask).unwrap_or(None)
        answer = await self._lender.borrow(owner.address, own_name, ask)
        match answer:
            case Ok(NotOwner(owner=str(address))):
                # Two daemons see different fleets for a moment. Following
                # the word of the one asked keeps the owners to those that
                # believe it of themselves; once, as views may form a ring.
                answer = await self._lender.borrow(address, own_name, ask)
        match answer:
            case Ok(Loan() as loan):
                return loan
            case _:
                return None

    def _lose_owner(self, customer: Customer, holding: Holding) -> None:
        if not holding.owner_lost:
            events.log(
                events.Event.LIMIT_OWNER_UNREACHABLE, customer=customer.name
            )
        holding.owner_lost = True
        self._fall_back(customer, holding)

    def _fall_back(self, customer: Customer, holding: Holding) -> None:
        """Lends itself an equal part while the owner can't be reached.

        All members' parts together make up the limit once more, so that the
        error lasts only until the membership has found another owner.
        """
        members = self._subsets.members(customer.name, holding.size)
        is_member = any(d.name == self._view.own_name for d in members)
        sharers = len(members) if is_member else len(self._view.serving)
        now = self._clock.now()
        rate = customer.requests_per_second * self._view.scale
        loan = Loan(
            customer=customer.name,
            # A customer that asks rarely would find nothing grown yet.
            tokens=int(is_member and holding.may_start_fallback(now)),
            rate=rate / max(1, sharers),
            term_ms=FALLBACK_TERM_MS,
            size=holding.size,
            retry_after_ms=FALLBACK_PAUSE_MS,
        )
        holding.add(loan, asked_at=now, now=now)

    def _refusal(self, customer: Customer, holding: Holding) -> Failure:
        wait_ms = holding.retry_after_ms(
            self._clock.now(), customer.requests_per_second
        )
        return Failure(
            kind=FailureKind.LIMITED,
            detail=f"The customer {customer.name} is over its limit",
            retry_after_ms=int(min(wait_ms, MAX_RETRY_AFTER_MS)) + 1,
        )

    def _holding(self, customer: str) -> Holding:
        if customer not in self._holdings:
            now = self._clock.now()
            self._holdings[customer] = Holding(now=now)
        return self._holdings[customer]

    def _forget_idle(self) -> None:
        now = self._clock.now()
        self._holdings = {
            name: holding
            for name, holding in self._holdings.items()
            if holding.waiting or holding.idle_ms(now) < FORGET_AFTER_MS
        }

    def _count_question(self, *, lent: bool) -> None:
        if self._metrics is not None:
            outcome = "lent" if lent else "unreachable"
            self._metrics.limit_questions.labels(outcome).inc()

    def _count(self, customer: Customer, *, admitted: bool) -> None:
        if self._metrics is not None:
            decision = "admitted" if admitted else "limited"
            self._metrics.limit_decisions.labels(customer.name, decision).inc()
