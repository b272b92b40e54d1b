"""What a daemon answers to callers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.api import addresses
from cactusdyke.api.authentication import OperatorGate
from cactusdyke.api.calls import CallHandlers
from cactusdyke.api.in_flight import RequestsInFlight
from cactusdyke.api.operations import OperationHandlers
from cactusdyke.api.submissions import SubmissionHandlers
from cactusdyke.application import ExtensionMetadata
from cactusdyke.booking.bookings import Bookings
from cactusdyke.configuration.in_force import InForce
from cactusdyke.configuration.submission_handler import SubmissionHandler
from cactusdyke.limits.admission import Admission
from cactusdyke.limits.limiter import Limiter
from cactusdyke.membership.members import Members
from cactusdyke.observe.cost import CostBook
from cactusdyke.observe.metrics import Metrics
from cactusdyke.observe.tracing import Tracing
from cactusdyke.pipeline.runner import PipelineRunner

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the routes of callers and operators."""
    in_flight = RequestsInFlight(
        clock=app.clock, linger_ms=app.settings.linger_ms
    )
    calls = CallHandlers(
        clock=app.clock,
        rng=app.rng,
        in_force=app.service("configuration", InForce),
        limits=app.service("limits", Limiter),  # type: ignore[type-abstract]
        admission=app.service("admission", Admission),  # type: ignore[type-abstract]
        pipelines=app.service("pipeline", PipelineRunner),
        bookings=app.service("bookings", Bookings),
        in_flight=in_flight,
        tracing=app.service("tracing", Tracing),
        metrics=app.service("metrics", Metrics),
    )
    gate = OperatorGate(
        in_force=app.service("configuration", InForce),
        settings_token_hashes=app.settings.operator_token_hashes,
    )
    operations = OperationHandlers(
        app=app,
        gate=gate,
        in_force=app.service("configuration", InForce),
        members=app.service("membership", Members),
        tracing=app.service("tracing", Tracing),
        cost=app.service("cost", CostBook),
    )
    submissions = SubmissionHandlers(
        gate=gate,
        in_force=app.service("configuration", InForce),
        submissions=app.service("submissions", SubmissionHandler),
    )
    app.add_route("POST", "/v1/submissions", submissions.submit)
    app.add_route("GET", "/v1/submissions/{id}", submissions.find)
    app.add_route("GET", "/v1/history", submissions.history)
    app.add_route("GET", "/v1/configuration", submissions.configuration)
    book = addresses.of_application(app, app.service("configuration", InForce))
    app.add_route("POST", "/v1/pipelines/{name}", book.telling(calls.pipeline))
    app.add_route("POST", "/v1/services/{name}", book.telling(calls.service))
    app.add_route("GET", "/v1/requests/{key}", calls.find)
    app.add_route("GET", "/v1/addresses", book.handle)
    app.add_route("GET", "/v1/status", operations.status)
    app.add_route("GET", "/v1/cost", operations.cost)
    app.add_route("GET", "/v1/traces/{trace_id}", operations.trace)
    app.add_route("GET", "/health", operations.health)
    app.add_route("GET", "/ready", operations.ready)
    app.add_route("GET", "/metrics", operations.metrics)
    app.add_service("requests_in_flight", in_flight)
    return ExtensionMetadata(version="1")
