"""What is known of a request while its stages run."""

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


class RanHistory:
    """Whether any attempt of a request has run, over all its stages."""

    def __init__(self) -> None:
        self._worst = Ran.NOT_RUN

    @property
    def ran(self) -> Ran:
        """NOT_RUN only if no attempt ran or may have run."""
        return self._worst

    def add(self, ran: Ran) -> None:
        """Notes how one attempt ended."""
        if self._worst is Ran.RAN or ran is Ran.NOT_RUN:
            return
        self._worst = ran

    def tell(self, failure: Failure) -> Failure:
        """Returns the failure with what is true of the whole request.

        The last attempt may not have run while an earlier one did. Its own
        word would be a false "not run" to the caller.
        """
        if failure.ran is self._worst:
            return failure
        return attrs.evolve(failure, ran=self._worst)


@attrs.define(kw_only=True)
class StageWork:
    """One stage of one request under way.

    Attributes:
        context: The request.
        history: Whether anything of the request has run.
        pipeline: The pipeline that it runs.
        stage: The stage.
        later: The stages after it.
        pool: The pool that runs the stage.
        input: What the stage works on.
        prefix: Names the prompt prefix, empty where it has none.
        span: The stage's span.
        attempts: How many attempts were started.
        tried: Names of the backend servers tried, in order.
    """

    context: RequestContext
    history: RanHistory
    pipeline: Pipeline
    stage: Stage
    later: tuple[Stage, ...]
    pool: Pool
    input: Any
    prefix: str
    span: Span
    attempts: int = 0
    tried: list[str] = attrs.field(factory=list)

    @property
    def timing(self) -> tuple[str, str]:
        """The name under which the stage's times are kept."""
        return self.pipeline.name, self.stage.name

    def next_call(
        self,
        server: BackendServer,
        remaining_ms: float,
        *,
        stream: bool = False,
        resume_from: int = 0,
    ) -> StageCall:
        """Returns the next attempt, under a number of its own."""
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
