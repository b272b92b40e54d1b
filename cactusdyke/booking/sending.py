"""Sends a call whose record says dispatching to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.booking import answers
from cactusdyke.errors import Failure, Ran
from cactusdyke.observe.tracing import traceparent
from cactusdyke.routing.messages import StageCall

if TYPE_CHECKING:
    from cactusdyke.booking.call import Call
    from cactusdyke.clock import Clock
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.router import Router

SERVERS_PER_CALL = 3


class Sender:
    """Hands calls to backend servers, each on a connection of its own."""

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        client: BackendClient,
        tracing: Tracing,
    ) -> None:
        self._clock = clock
        self._tracing = tracing
        self._router = router
        self._client = client

    async def send(self, call: Call) -> Result[Any, Failure]:
        """Hands the call to one backend server after the other.

        The next one is tried only after the one before is known not to have
        run the call: nothing was handed over, or it says so itself.
        """
        pool = call.context.configuration.pools[call.service.pool]
        tried: list[str] = []
        failure = answers.no_backend_server(call.service)
        for attempt in range(1, SERVERS_PER_CALL + 1):
            server = self._router.choose(pool, exclude=tried)
            if server is None:
                break
            remaining = call.context.remaining_ms(self._clock)
            # The clock counts pauses: an owner that wakes after its caller
            # has gone finds the time spent, and leaves the call unmade.
            if remaining <= 0:
                return Err(answers.too_late())
            tried.append(server.name)
            stage_call = StageCall(
                request_id=call.context.request_id,
                stage=call.service.name,
                attempt=attempt,
                model="",
                input=call.context.input,
                remaining_ms=remaining,
                idempotency_key=call.service_key,
            )
            patience_ms = remaining + answers.LATE_ANSWER_MS
            answer: Result[Any, Failure] = Err(
                answers.unknown(f"{server.name} did not answer in time")
            )
            with (
                self._tracing.span(
                    f"attempt {attempt}",
                    call.context.span,
                    backend_server=server.name,
                ) as span,
                self._clock.timeout(patience_ms),
                self._router.in_flight(server),
            ):
                answer = await self._client.call(
                    server,
                    stage_call,
                    progress_timeout_ms=patience_ms,
                    fresh=True,
                    traceparent=traceparent(span),
                )
            if isinstance(answer, Ok):
                return Ok(answer.ok_value.output)
            if answer.err_value.ran is not Ran.NOT_RUN:
                return answer
            failure = answer.err_value
        return Err(failure)
