"""Prepares a request's next attempt while the current one is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.stages import StageResults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from result import Result

    from cactusdyke.errors import Failure
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.retry_policy import RetryPolicy
    from cactusdyke.serving.stages import StageRunner
    from cactusdyke.serving.stream_state import StreamState


class NextAttempt:
    """What a request needs to go on elsewhere: a retry and its inputs."""

    def __init__(
        self,
        *,
        context: ServingContext,
        replica: Replica,
        state: StreamState,
        results: StageResults,
        retry_policy: RetryPolicy,
        stages: StageRunner,
        run_stages: Callable[
            [ServingContext, StageResults],
            Awaitable[Result[list[str], Failure]],
        ],
    ) -> None:
        """Prepares nothing yet.

        Args:
            context: The request.
            replica: The replica of the current attempt.
            state: What the caller has received.
            results: Results of the request's stages, which the current attempt
                may free.
            retry_policy: Decides on retries.
            stages: Frees results.
            run_stages: Computes the results that are missing.
        """
        self._context = context
        self._replica = replica
        self._state = state
        self._results = results
        self._retry_policy = retry_policy
        self._stages = stages
        self._run_stages = run_stages

    async def prepare(self) -> bool:
        """Charges the retry and computes its inputs.

        Returns:
            Whether the request can go on elsewhere. If not, or if this is
            cancelled, the retry is returned and the inputs are freed.
        """
        if not self._state.may_resume:
            return False
        if not self._retry_policy.reserve_retry(self._context, self._replica):
            return False
        spare = StageResults(self._context)
        ready = False
        try:
            ready = await self._compute_inputs(spare)
        finally:
            if not ready:
                self._stages.free(self._context, spare)
                self._retry_policy.release_retry(self._context)
        return ready

    async def _compute_inputs(self, spare: StageResults) -> bool:
        if self._results.complete:
            return True
        handles = await self._run_stages(self._context, spare)
        # Replicas may have left while the stages ran.
        if handles.is_err() or not self._retry_policy.can_replace(
            self._context, self._replica
        ):
            return False
        self._stages.free(self._context, self._results)
        self._results.take(spare)
        return True
