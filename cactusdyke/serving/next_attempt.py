"""Prepares a request's next attempt while the current one is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.retry_policy import RetryPolicy
    from cactusdyke.serving.stream_state import StreamState


class NextAttempt:
    """What a request needs to go on elsewhere."""

    def __init__(
        self,
        *,
        context: ServingContext,
        replica: Replica,
        state: StreamState,
        retry_policy: RetryPolicy,
    ) -> None:
        """Prepares nothing yet.

        Args:
            context: The request.
            replica: The replica of the current attempt.
            state: What the caller has received.
            retry_policy: Decides on retries.
        """
        self._context = context
        self._replica = replica
        self._state = state
        self._retry_policy = retry_policy

    async def prepare(self) -> bool:
        """Charges the retry; returns whether the request may go on."""
        return self._state.may_resume and self._retry_policy.reserve_retry(
            self._context, self._replica
        )
