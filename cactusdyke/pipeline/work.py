"""State of a request while its stages run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from opentelemetry.trace import Span

from cactusdyke.configuration.model import Pipeline, Pool, Stage
from cactusdyke.errors import Failure, Ran
from cactusdyke.pipeline.request import RequestContext
from cactusdyke.routing.messages import StageCall

if TYPE_CHECKING:
    from cactusdyke.configuration.model import BackendServer


class ExecutionHistory:
    """Tracks whether any attempt of a request ran, over all its stages."""

    def __init__(self) -> None:
        self._ran = Ran.NOT_RUN

    @property
    def ran(self) -> Ran:
        """NOT_RUN only if no attempt ran or may have run."""
        return self._ran

    def record_ran(self, ran: Ran) -> None:
        """Records whether one attempt ran."""
        if self._ran is Ran.RAN or ran is Ran.NOT_RUN:
            return
        self._ran = ran

    def apply_to(self, failure: Failure) -> Failure:
        """Returns the failure with the `ran` value of the whole request.

        The last attempt may not have run although an earlier one did; its own
        value would be a false "not run" for the caller.
        """
        if failure.ran is self._ran:
            return failure
        return attrs.evolve(failure, ran=self._ran)


@attrs.define(kw_only=True)
class StageWork:
    """One running stage of a request.

    Attributes:
        context: The request.
        history: Whether any attempt of the request ran.
        pipeline: The pipeline that the request runs.
        stage: The stage that is run.
        later: The stages after it.
        pool: The pool that runs the stage.
        input: The input of the stage.
        prefix: Identifier of the prompt prefix, empty without one.
        span: The stage's span.
        attempts: Number of attempts started.
        tried: Names of the backend servers called, in order.
        retry_reserved: Whether the next retry was charged to the budget while
            an attempt was silent.
    """

    context: RequestContext
    history: ExecutionHistory
    pipeline: Pipeline
    stage: Stage
    later: tuple[Stage, ...]
    pool: Pool
    input: Any
    prefix: str
    span: Span
    attempts: int = 0
    tried: list[str] = attrs.field(factory=list)
    retry_reserved: bool = False

    @property
    def timing_key(self) -> tuple[str, str]:
        """Key of the stage's durations in the timings."""
        return self.pipeline.name, self.stage.name

    def next_call(
        self,
        server: BackendServer,
        remaining_ms: float,
        *,
        stream: bool = False,
        resume_from: int = 0,
    ) -> StageCall:
        """Returns the call of the next attempt, which it counts."""
        self.attempts += 1
        self.tried.append(server.name)
        return StageCall(
            request_id=self.context.request_id,
            stage=self.stage.name,
            attempt=self.attempts,
            model=self.stage.model,
            input=self.input,
            remaining_ms=remaining_ms,
            priority=self.pipeline.priority,
            stream=stream,
            resume_from=resume_from,
            prefix=self.prefix,
        )
