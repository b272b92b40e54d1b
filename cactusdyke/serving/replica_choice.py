"""Chooses the replica for the next attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.serving.dispatch import ChosenReplica
from cactusdyke.serving.model import Replica

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.serving.dispatch import Dispatch
    from cactusdyke.serving.replica_statements import ReplicaStatements
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.retry_policy import RetryPolicy
    from cactusdyke.serving.stream_continuation import StreamContinuation

MAX_CHOICES = 4
"""Choices that are dropped for one attempt, as they cannot continue a stream or
accept nothing now, before the attempt fails."""


@attrs.frozen(kw_only=True)
class Choice:
    """A replica for one attempt.

    Attributes:
        replica: The replica.
        placed: The decider's choice, None if this daemon chose by itself.
    """

    replica: Replica
    placed: ChosenReplica | None = None


class ReplicaChoice:
    """Asks the decider where it has to, and chooses by itself otherwise."""

    def __init__(
        self,
        *,
        dispatch: Dispatch,
        retry_policy: RetryPolicy,
        continuation: StreamContinuation,
        statements: ReplicaStatements,
    ) -> None:
        self._statements = statements
        self._dispatch = dispatch
        self._retry_policy = retry_policy
        self._continuation = continuation

    async def choose(
        self, context: ServingContext, inputs: Mapping[str, float]
    ) -> Choice | None:
        """Returns a replica that a request may be sent to, None without one.

        Args:
            context: The request.
            inputs: Bytes of stage results to fetch, by data centre.
        """
        for _ in range(MAX_CHOICES):
            if not self._retry_policy.candidates(context):
                return None
            choice = await self._choose(context, inputs)
            if choice is None:
                return None
            if await self._continuation.admits(
                context, choice.replica
            ) and self._statements.accepts(choice.replica):
                return choice
            self.end(choice, failed=False)
        return None

    def record_first_token(self, choice: Choice) -> None:
        """Tells the decider of a request's first token."""
        if choice.placed is not None:
            self._dispatch.notify_first_token(choice.placed)

    def end(self, choice: Choice, *, failed: bool) -> None:
        """Tells the decider that a request has ended at its replica."""
        if choice.placed is not None:
            self._dispatch.notify_end(choice.placed, failed=failed)

    async def _choose(
        self, context: ServingContext, inputs: Mapping[str, float]
    ) -> Choice | None:
        if context.route.generates:
            placed = await self._place(context, inputs)
            return _by_decider(placed) or self._own_choice(context)
        policy = self._retry_policy
        replica = policy.choose(context, among_limited=True)
        if replica is not None and not policy.is_limited(replica):
            return Choice(replica=replica)
        limited = await self._dispatch.choose_limited(
            context.service,
            f"{context.request.request_id}/{context.attempts}",
            policy.excluded(context),
            has_alternative=policy.choose(context) is not None,
        )
        return _by_decider(limited) or self._own_choice(context)

    async def _place(
        self, context: ServingContext, inputs: Mapping[str, float]
    ) -> ChosenReplica | None:
        """Asks the decider for an engine, if the request needs one."""
        generation = context.request.generation
        if generation is None:
            return None
        return await self._dispatch.place(
            context.service,
            f"{context.request.request_id}/{context.attempts}",
            generation,
            self._retry_policy.excluded(context),
            inputs,
            context.origin.version if context.origin else "",
        )

    def _own_choice(self, context: ServingContext) -> Choice | None:
        replica = self._retry_policy.choose(context)
        return Choice(replica=replica) if replica is not None else None


def _by_decider(placed: ChosenReplica | None) -> Choice | None:
    if placed is None:
        return None
    return Choice(replica=placed.replica, placed=placed)
