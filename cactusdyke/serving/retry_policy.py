"""Decides whether a request is retried, and at which replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.errors import Ran
from cactusdyke.serving import balance

if TYPE_CHECKING:
    import random

    from cactusdyke.serving.attempt import AttemptResult
    from cactusdyke.serving.connection_share import ConnectionShare
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.health import ReplicaHealth
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.request_limits import RequestLimits
    from cactusdyke.serving.retry_budget import RetryBudget
    from cactusdyke.serving.stream_continuation import StreamContinuation

MAX_ATTEMPTS = 4
"""Upper bound on every route's own limit: a request that failed this often is
likely to fail again."""


class RetryPolicy:
    """Decides on a request's next attempt from the results of earlier ones."""

    def __init__(
        self,
        *,
        rng: random.Random,
        data_centre: str,
        deployment: Deployment,
        health: ReplicaHealth,
        budget: RetryBudget,
        connection_share: ConnectionShare,
        request_limits: RequestLimits,
        continuation: StreamContinuation,
    ) -> None:
        self._rng = rng
        self._data_centre = data_centre
        self._deployment = deployment
        self._health = health
        self._budget = budget
        self._connection_share = connection_share
        self._request_limits = request_limits
        self._continuation = continuation

    def may_retry(self, context: ServingContext, result: AttemptResult) -> bool:
        """Returns whether to retry, and charges a retry to the budget.

        An attempt that sent nothing is retried without a charge; a retry
        that was charged for it is still to be sent. So is one that was reserved
        while the attempt was silent.
        """
        repeatable = result.ran is Ran.NOT_RUN or context.may_be_repeated
        if not repeatable or context.attempts >= MAX_ATTEMPTS:
            return False
        if result.ran is not Ran.NOT_RUN:
            context.possible_runs += 1
        if context.possible_runs >= context.route.max_attempts:
            return False
        if not self.candidates(context):
            return False
        return not result.sent or self._charge(context)

    def reserve_retry(self, context: ServingContext, replica: Replica) -> bool:
        """Charges the retry that would follow the current attempt.

        Returns:
            Whether the request may go on elsewhere if the attempt is given up.
        """
        return self.can_replace(context, replica) and self._reserve(context)

    def release_retry(self, context: ServingContext) -> None:
        """Returns a retry that was reserved to the budget."""
        if context.next_retry is not None:
            context.next_retry.release()
            context.next_retry = None

    def can_replace(self, context: ServingContext, replica: Replica) -> bool:
        """Returns whether the current attempt may be given up for another."""
        if not context.may_be_repeated or context.attempts >= MAX_ATTEMPTS:
            return False
        if context.possible_runs + 1 >= context.route.max_attempts:
            return False
        can_follow = (
            self.can_fail_over
            if context.answer_began_at is None
            else self.can_resume_elsewhere
        )
        return can_follow(context, replica) and any(
            other.name != replica.name for other in self.candidates(context)
        )

    def _charge(self, context: ServingContext) -> bool:
        """Charges the next retry, unless it is reserved; False if refused."""
        if not self._reserve(context):
            return False
        context.retry, context.next_retry = context.next_retry, None
        return True

    def _reserve(self, context: ServingContext) -> bool:
        """Charges the retry after the current one; False if refused."""
        if context.next_retry is not None:
            return True
        context.next_retry = self._budget.charge(context.service)
        refused = context.next_retry is None
        if not refused or context.refused_retry_of != context.attempts:
            events.log(
                events.Event.RETRY_REFUSED
                if refused
                else events.Event.RETRY_CHARGED,
                request_id=context.request.request_id,
                service=context.service,
                **attrs.asdict(self._budget.account(context.service)),
            )
        if refused:
            context.refused_retry_of = context.attempts
        return not refused

    def can_fail_over(self, context: ServingContext, replica: Replica) -> bool:
        """Returns whether another replica could be tried after this one."""
        sent_to = {*context.sent_to, replica.name}
        if len(sent_to) >= min(context.route.max_attempts, MAX_ATTEMPTS):
            return False
        usable = self._deployment.usable_replicas(context.service)
        return any(
            other.name not in sent_to
            and self._deployment.statements.accepts(other)
            and self._continuation.allows(context, other)
            for other in usable
        )

    def can_resume_elsewhere(
        self, context: ServingContext, replica: Replica
    ) -> bool:
        """Returns whether another replica could continue a replica's stream."""
        usable = self._deployment.usable_replicas(context.service)
        return self.can_fail_over(context, replica) and any(
            other.name != replica.name
            and other.name not in context.sent_to
            and self._deployment.statements.accepts(other)
            and self._continuation.can_follow(other, replica)
            for other in usable
        )

    def candidates(self, context: ServingContext) -> list[Replica]:
        """Returns the replicas that the request may be sent to now.

        A stream that has begun may only go to its own software version.
        Once it was sent to as many replicas as its route allows, only those
        replicas remain candidates.
        """
        usable = [
            replica
            for replica in self._deployment.usable_replicas(context.service)
            if self._deployment.statements.accepts(replica)
            and self._connection_share.has_capacity(replica)
            and self._continuation.allows(context, replica)
        ]
        if len(context.sent_to) < context.route.max_attempts:
            return usable
        return [r for r in usable if r.name in context.sent_to]

    def rest_left_ms(self, context: ServingContext) -> float:
        """Returns the time until a replica accepts a request, if all rest.

        Returns:
            Milliseconds; 0 if not all replicas of the service want rest.
        """
        return self._deployment.statements.until_any_accepts_ms(
            self._deployment.usable_replicas(context.service)
        )

    def is_limited(self, replica: Replica) -> bool:
        """Returns whether the decider has to agree to a replica."""
        return self._request_limits.is_limited(replica)

    def excluded(self, context: ServingContext) -> set[str]:
        """Returns the names of engines that a placement must not use."""
        usable = self._deployment.usable_replicas(context.service)
        allowed = {r.name for r in self.candidates(context)}
        # Another daemon may not know yet which replicas leave.
        leaving = self._deployment.unusable_names(context.service)
        excluded = leaving | ({r.name for r in usable} - allowed)
        failed = set(context.failed_replicas)
        return excluded if allowed <= failed else excluded | failed

    def choose(
        self, context: ServingContext, *, among_limited: bool = False
    ) -> Replica | None:
        """Returns the replica with the least expected cost, or None.

        Only the decider of a service sends requests to its limited replicas,
        as it knows how many all daemons send there.

        Args:
            context: The request.
            among_limited: Whether the choice includes replicas that state a
                limit, to which the request may be sent if the decider agrees.
        """
        limits = self._request_limits
        return balance.choose(
            [
                replica
                for replica in self.candidates(context)
                if not limits.is_limited(replica)
                or (among_limited and limits.states_limit(replica))
            ],
            self._health,
            rng=self._rng,
            local_data_centre=self._data_centre,
            exclude=context.failed_replicas,
            loads=self._deployment.loads,
        )
