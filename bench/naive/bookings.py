"""Naive bookings: no records, and a retry of whatever failed."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.booking import answers
from cactusdyke.booking.asking import Asker
from cactusdyke.booking.bookings import Bookings
from cactusdyke.booking.call_runner import CallRunner
from cactusdyke.booking.records import Records
from cactusdyke.booking.sending import Sender
from cactusdyke.configuration.model import PlainService
from cactusdyke.errors import Failure
from cactusdyke.observe.tracing import Tracing
from cactusdyke.pipeline.request import RequestContext
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.messages import StageCall
from cactusdyke.routing.router import Router

TRIES = 3
TRY_MS = 1_000.0


class NaiveBookings(Bookings):
    """Calls a backend server, and the next one if that fails."""

    def __init__(
        self, *, router: Router, client: BackendClient, **options: Any
    ) -> None:
        super().__init__(**options)
        self._router = router
        self._client = client

    async def book(
        self, context: RequestContext, service: PlainService
    ) -> Result[Any, Failure]:
        """Tries until somebody answers; says `not_run` if nobody does."""
        pool = context.configuration.pools[service.pool]
        for attempt in range(1, TRIES + 1):
            server = self._router.choose(pool)
            if server is None:
                break
            call = StageCall(
                request_id=context.request_id,
                stage=service.name,
                attempt=attempt,
                model="",
                input=context.input,
                remaining_ms=context.remaining_ms(self._clock),
                idempotency_key=(
                    f"{context.customer.name}/{context.idempotency_key}"
                ),
            )
            answer = await self._client.call(
                server, call, progress_timeout_ms=TRY_MS
            )
            if isinstance(answer, Ok):
                return Ok(answer.ok_value.output)
        return Err(answers.no_backend_server(service))


def setup(app: Application) -> ExtensionMetadata:
    """Registers the naive service under the real one's name."""
    app.setup_extension("cactusdyke.routing")
    router = app.service("router", Router)
    client = BackendClient(network=app.network)
    records = Records(clock=app.clock, object_store=app.object_store)
    maker = CallRunner(
        daemon=app.settings.name,
        clock=app.clock,
        records=records,
        router=router,
        sender=Sender(
            clock=app.clock,
            router=router,
            client=client,
            tracing=app.service("tracing", Tracing),
        ),
        asker=Asker(network=app.network),
    )
    app.add_service(
        "bookings",
        NaiveBookings(
            clock=app.clock,
            rng=app.rng,
            records=records,
            maker=maker,
            router=router,
            client=client,
        ),
    )
    return ExtensionMetadata(version="1")
