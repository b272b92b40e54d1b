"""Limits how many retries a service receives beyond first attempts.

All daemons share the allowance of a service, and none asks another one. Each
has an equal share of the slack and what its own requests earn. That the sum
stays within the allowance follows from what each process keeps to, in any
window and with any traffic:

- It sends no more retries than it had saved at the begin of the window, than
  its requests earn in the window, and than the rest of its share allows. What
  it may save counts against its share.
- A process that starts has saved nothing, and has no part of the slack for a
  window: its predecessor may have used it up. If the predecessor was stopped
  and has told what it left, the process goes on from there.
- A retry that was charged and not sent yet counts as used until it is sent, and
  for a window from then on.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant
from cactusdyke.serving.retry_handover import RetryHandover, ServiceHandover

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, MachineTime
    from cactusdyke.serving.daemon_count import DaemonCount


@attrs.frozen(kw_only=True)
class RetryAllowance:
    """The retries that all daemons together may send to one service.

    Attributes:
        ratio: Retries allowed per request.
        slack: Additional retries allowed in each window.
        window_ms: Length of the sliding window, in milliseconds.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: float = 10_000.0


SAFETY_FACTOR = 0.97
"""Share of the slack that is used: retries arrive later than they are sent, and
daemons that were just added are not counted everywhere yet."""
SAVED_SHARE = 0.4
"""Share of a daemon's part of the slack that it may have saved from earlier
requests. The rest may be used at any time."""
WHOLE_RETRY = 1.0
HANDOVER_SHARE = 0.5
"""Part of the window in which a predecessor's share may be taken over. For a
window after its end the other daemons divide the slack as if it were there;
before that they have to learn of its successor."""


@attrs.frozen(kw_only=True)
class RetryAccount:
    """What a decision on a retry was based on, for log events.

    Attributes:
        requests: Requests for the service within the window, of this process.
        charged: Its retries within the window, and those not sent yet.
        saved: Retries that its requests have earned and that are left.
        share: Its share of the slack, in retries; 0 if it has none yet.
        daemons: The daemon count that the slack was divided by.
        daemons_unchanged_ms: For how long the count has been the same.
        daemons_known_ms: For how long the count has been known.
    """

    requests: int
    charged: int
    saved: float
    share: float
    daemons: int
    daemons_unchanged_ms: int
    daemons_known_ms: int


class _Charges:
    """The retries that were charged to one part of the budget."""

    def __init__(self) -> None:
        self._pending = 0
        self._sent: collections.deque[Instant] = collections.deque()

    @property
    def pending(self) -> int:
        """Retries that are charged and were neither sent nor returned."""
        return self._pending

    def charge(self) -> None:
        """Charges a retry, which is pending until it is sent or returned."""
        self._pending += 1

    def record_sent(self, now: Instant) -> None:
        """Records that a pending retry was sent."""
        self._pending -= 1
        self._sent.append(now)

    def refund(self) -> None:
        """Returns a pending retry that will not be sent."""
        self._pending -= 1

    def inherit_sent(self, count: int, now: Instant) -> None:
        """Counts retries of a predecessor as if they were sent now."""
        self._sent.extend([now] * count)

    def used_since(self, oldest: Instant) -> int:
        """Returns how many retries are pending or were sent since then."""
        _drop_before(self._sent, oldest)
        return self._pending + len(self._sent)


class _Earnings(_Charges):
    """The retries that requests have earned, as a token bucket."""

    def __init__(self) -> None:
        super().__init__()
        self._saved = 0.0

    @property
    def saved(self) -> float:
        """Retries that are left to be charged."""
        return self._saved

    def add(self, earned: float, *, most: float) -> None:
        """Adds to what is saved; pending retries count as saved."""
        most_saved = max(0.0, most - self._pending)
        self._saved = min(self._saved + earned, most_saved)

    def charge(self) -> None:
        """Charges a retry, which is pending until it is sent or returned."""
        super().charge()
        self._saved -= 1.0

    def refund(self) -> None:
        """Returns a pending retry that will not be sent."""
        super().refund()
        self._saved += 1.0


class RetryPermit:
    """A retry that was charged to the budget, to be sent once or returned."""

    def __init__(self, *, clock: Clock, charges: _Charges) -> None:
        self._clock = clock
        self._charges: _Charges | None = charges
        self._charged_at = clock.now()
        charges.charge()

    @property
    def charged_at(self) -> Instant:
        """When the retry was charged."""
        return self._charged_at

    def mark_sent(self) -> None:
        """Records that the retry is being sent."""
        if self._charges is not None:
            self._charges.record_sent(self._clock.now())
            self._charges = None

    def release(self) -> None:
        """Returns the retry to the budget, unless it was sent."""
        if self._charges is not None:
            self._charges.refund()
            self._charges = None


@attrs.frozen(kw_only=True)
class _Limits:
    """What this process may use of the allowance of any service.

    Attributes:
        share: Its part of the slack.
        most_saved: Retries that it may have saved.
        slack: Whole retries that it may send in any window besides.
        added_per_ms: What is left of its part, as added to what is saved.
    """

    share: float
    most_saved: float = WHOLE_RETRY
    slack: int = 0
    added_per_ms: float = 0.0


@attrs.define(kw_only=True)
class _ServiceBudget:
    """The requests and retries of one service."""

    requests: collections.deque[Instant] = attrs.field(
        factory=collections.deque
    )
    earnings: _Earnings = attrs.field(factory=_Earnings)
    slack: _Charges = attrs.field(factory=_Charges)
    updated_at: Instant


@attrs.frozen(kw_only=True)
class _Inherited:
    """That this process goes on with the share of its predecessor.

    Attributes:
        daemons: The daemon count that the share was divided by.
        at: Since when it goes on with it.
    """

    daemons: int
    at: Instant


class RetryBudget:
    """This process's part of the retry allowance of each service."""

    def __init__(
        self,
        *,
        clock: Clock,
        allowance: Callable[[], RetryAllowance],
        daemon_count: DaemonCount,
    ) -> None:
        self._clock = clock
        self._allowance = allowance
        self._daemon_count = daemon_count
        self._services: dict[str, _ServiceBudget] = {}
        self._inherited: _Inherited | None = None
        self._withheld_until: Instant = -math.inf
        self._closed = False

    @property
    def pending_count(self) -> int:
        """Retries that are charged and were neither sent nor returned."""
        return sum(
            budget.earnings.pending + budget.slack.pending
            for budget in self._services.values()
        )

    def record_request(self, service: str) -> None:
        """Counts a new request for a service."""
        self._update(service, earned=self._allowance().ratio)
        self._services[service].requests.append(self._clock.now())

    def charge(self, service: str) -> RetryPermit | None:
        """Charges a retry, or returns None if it is not within the budget."""
        if self._closed:
            return None
        limits = self._update(service)
        budget = self._services[service]
        if budget.earnings.saved >= 1.0 and self._was_earned(budget, limits):
            return RetryPermit(clock=self._clock, charges=budget.earnings)
        if budget.slack.used_since(self._oldest) < limits.slack:
            return RetryPermit(clock=self._clock, charges=budget.slack)
        return None

    def close(self) -> RetryHandover | None:
        """Ends the sending of retries by this process.

        Returns:
            What its successor may go on with; None if the process has no share
            itself, or a charged retry might still be sent.
        """
        self._closed = True
        closed_at = self._clock.machine_time()
        if closed_at is None or not self._has_share or self.pending_count:
            return None
        services = {}
        for service, budget in self._services.items():
            self._update(service)
            used = budget.slack.used_since(self._oldest)
            saved = budget.earnings.saved
            if used or saved:
                services[service] = ServiceHandover(used=used, saved=saved)
        return RetryHandover(
            closed_at=closed_at, daemons=self._divisor, services=services
        )

    def inherit(self, handover: RetryHandover) -> bool:
        """Goes on with what the predecessor of this process has left.

        The caller makes sure that no other process does so, too.

        Returns:
            Whether the process has the share of its predecessor now.
        """
        self._withheld_until = -math.inf
        now = self._clock.machine_time()
        age_ms = now.since(handover.closed_at) if now is not None else None
        if (
            age_ms is None
            or age_ms > HANDOVER_SHARE * self._allowance().window_ms
            or self._has_share
            or not self._daemon_count.is_known
        ):
            return False
        self._inherited = _Inherited(
            daemons=handover.daemons, at=self._clock.now()
        )
        for service, part in handover.services.items():
            limits = self._update(service)
            budget = self._services[service]
            budget.slack.inherit_sent(part.used, self._clock.now())
            budget.earnings.add(part.saved, most=limits.most_saved)
        return True

    def withhold(self, taken_at: MachineTime | None) -> None:
        """Waits for its share until what another process took is used up.

        If that process is of the same name, and ends within a window from its
        start, this one may get its share no sooner than a window later.

        Args:
            taken_at: When the other one was about to take the share of their
                predecessor; None if unknown.
        """
        now = self._clock.machine_time()
        age_ms = now.since(taken_at) if now and taken_at else None
        left_ms = 2 * self._allowance().window_ms - (age_ms or 0.0)
        self._withheld_until = self._clock.now() + left_ms

    def account(self, service: str) -> RetryAccount:
        """Returns what the next decision for a service is based on."""
        limits = self._update(service)
        budget = self._services[service]
        oldest = self._oldest
        return RetryAccount(
            requests=len(budget.requests),
            charged=budget.earnings.used_since(oldest)
            + budget.slack.used_since(oldest),
            saved=round(budget.earnings.saved, 2),
            share=round(limits.share, 2),
            daemons=self._divisor,
            daemons_unchanged_ms=round(self._daemon_count.unchanged_ms),
            daemons_known_ms=round(self._daemon_count.known_for_ms),
        )

    @property
    def _oldest(self) -> Instant:
        return self._clock.now() - self._allowance().window_ms

    @property
    def _has_share(self) -> bool:
        """Whether this process has a part of the slack.

        The predecessor of a process that starts may have used its part, and a
        daemon that does not know the others could take any part for its own.
        """
        if self._inherited is not None:
            return True
        known_for_ms = self._daemon_count.known_for_ms
        return (
            known_for_ms >= self._allowance().window_ms
            and self._clock.now() >= self._withheld_until
        )

    @property
    def _divisor(self) -> int:
        """The daemon count by which the slack is divided."""
        highest = self._daemon_count.highest()
        inherited = self._inherited
        if inherited is None or inherited.at < self._oldest:
            return highest
        return max(highest, inherited.daemons)

    def _update(self, service: str, *, earned: float = 0.0) -> _Limits:
        """Adds what a service's budget has gained; returns the limits."""
        now = self._clock.now()
        budget = self._services.get(service)
        if budget is None:
            budget = _ServiceBudget(updated_at=now)
            self._services[service] = budget
        limits = self._limits()
        earned += limits.added_per_ms * (now - budget.updated_at)
        budget.earnings.add(earned, most=limits.most_saved)
        budget.updated_at = now
        _drop_before(budget.requests, self._oldest)
        return limits

    def _limits(self) -> _Limits:
        allowance = self._allowance()
        if not self._has_share:
            return _Limits(share=0.0)
        share = SAFETY_FACTOR * allowance.slack / self._divisor
        if share < WHOLE_RETRY:
            return _Limits(share=share)
        most_saved = max(WHOLE_RETRY, SAVED_SHARE * share)
        slack = math.floor(share - most_saved)
        rest = share - most_saved - slack
        return _Limits(
            share=share,
            most_saved=most_saved,
            slack=slack,
            added_per_ms=rest / allowance.window_ms,
        )

    def _was_earned(self, budget: _ServiceBudget, limits: _Limits) -> bool:
        """Returns whether the requests of this window have earned a retry.

        If the share is less than what must be saved for one retry, all daemons
        together could save more than the slack.
        """
        if limits.share >= WHOLE_RETRY:
            return True
        earned = self._allowance().ratio * len(budget.requests)
        return budget.earnings.used_since(self._oldest) + 1 <= earned


def _drop_before(times: collections.deque[Instant], oldest: Instant) -> None:
    while times and times[0] < oldest:
        times.popleft()
