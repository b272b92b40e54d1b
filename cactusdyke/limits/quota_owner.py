"""The accounts of the customers whose limits this daemon owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.clock import Instant
from cactusdyke.limits.account import Account, QuotaLease, QuotaRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Customer
    from cactusdyke.limits.fleet import FleetView
    from cactusdyke.limits.subsets import Subsets

REVIEW_INTERVAL_MS = 500.0
PAUSE_THRESHOLD_MS = 2_000.0
IDLE_RETENTION_MS = 600_000.0


@attrs.frozen(kw_only=True)
class NotOwner:
    """Another daemon owns this customer's limit.

    Attributes:
        owner: Address of the owner, None if the customer is unknown here.
    """

    owner: str | None


@attrs.define(kw_only=True)
class _Entry:
    account: Account
    used_at: Instant
    owned: bool = True


class QuotaOwner:
    """Grants quota leases for the limits that this daemon owns."""

    def __init__(
        self,
        *,
        clock: Clock,
        view: FleetView,
        subsets: Subsets,
        find_customer: Callable[[str], Customer | None],
    ) -> None:
        self._clock = clock
        self._view = view
        self._subsets = subsets
        self._find_customer = find_customer
        self._entries: dict[str, _Entry] = {}
        self._reviewed_at = clock.now()
        self._seen_version = -1

    def owner_name(self, customer: str) -> str:
        """Returns the name of the daemon that owns the customer's limit."""
        owner = self._subsets.owner(customer)
        return owner.name if owner else self._view.own_name

    def subset_size(self, customer: str) -> int | None:
        """Returns the subset's size, None if this daemon is not the owner."""
        entry = self._entries.get(customer)
        return entry.account.size if entry and entry.owned else None

    def grant(
        self, holder: str, request: QuotaRequest
    ) -> Result[QuotaLease, NotOwner]:
        """Grants a daemon a lease on a part of a customer's limit."""
        self.review()
        customer = self._find_customer(request.customer)
        owner = self._subsets.owner(request.customer)
        if customer is None:
            return Err(NotOwner(owner=None))
        # While every daemon is stopping, none is listed as an owner and each
        # grants leases to itself: callers with an old address are served
        # until the daemon has stopped.
        if owner is not None and owner.name != self._view.own_name:
            return Err(NotOwner(owner=owner.address))
        now = self._clock.now()
        entry = self._entry(customer, now)
        entry.used_at = now
        entry.account.configure(
            rate=customer.requests_per_second * self._view.visible_share,
            burst=customer.burst,
            now=now,
        )
        daemons = len(self._view.serving)
        return Ok(entry.account.grant(holder, request, now, daemons=daemons))

    def review(self) -> None:
        """Detects pauses and owner changes; runs every REVIEW_INTERVAL_MS."""
        now = self._clock.now()
        paused = now - self._reviewed_at > PAUSE_THRESHOLD_MS
        if paused:
            events.log(
                events.Event.LIMIT_OWNER_PAUSED,
                paused_ms=now - self._reviewed_at,
            )
        self._reviewed_at = now
        changed = self._view.serving and (
            self._view.version != self._seen_version
        )
        if not paused and not changed:
            return
        self._seen_version = self._view.version
        for name, entry in list(self._entries.items()):
            self._review_entry(name, entry, now, paused=paused)

    def _review_entry(
        self, name: str, entry: _Entry, now: Instant, *, paused: bool
    ) -> None:
        owned = self.owner_name(name) == self._view.own_name
        if paused or not (entry.owned and owned):
            # While this daemon was paused or not the owner, another daemon
            # may have granted the same refill. It would be admitted twice if
            # the account were refilled for that time.
            entry.account.skip_refill(now)
        entry.owned = owned
        if now - entry.used_at > IDLE_RETENTION_MS:
            del self._entries[name]

    def _entry(self, customer: Customer, now: Instant) -> _Entry:
        entry = self._entries.get(customer.name)
        if entry is None:
            entry = _Entry(
                account=Account(
                    rate=customer.requests_per_second
                    * self._view.visible_share,
                    burst=customer.burst,
                    now=now,
                ),
                used_at=now,
            )
            self._entries[customer.name] = entry
            events.log(
                events.Event.LIMIT_OWNED,
                customer=customer.name,
                daemon=self._view.own_name,
            )
        return entry
