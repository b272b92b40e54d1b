"""Bookings: non-idempotent calls, made at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.booking.asking import Asker
from cactusdyke.booking.bookings import Bookings
from cactusdyke.booking.call_runner import CallRunner
from cactusdyke.booking.records import Records
from cactusdyke.booking.sending import Sender
from cactusdyke.booking.sweeper import Sweeper
from cactusdyke.membership.members import Members
from cactusdyke.observe.tracing import Tracing
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the bookings service and the sweeper of its records."""
    app.setup_extension("cactusdyke.observe.extension")
    app.setup_extension("cactusdyke.routing")
    app.setup_extension("cactusdyke.membership.extension")
    records = Records(clock=app.clock, object_store=app.object_store)
    maker = CallRunner(
        daemon=app.settings.name,
        clock=app.clock,
        records=records,
        router=app.service("router", Router),
        sender=Sender(
            clock=app.clock,
            router=app.service("router", Router),
            client=BackendClient(network=app.network),
            tracing=app.service("tracing", Tracing),
        ),
        asker=Asker(network=app.network),
    )
    app.add_service(
        "bookings",
        Bookings(clock=app.clock, rng=app.rng, records=records, maker=maker),
    )
    members = app.service("membership", Members)
    app.add_service(
        "booking_sweeper",
        Sweeper(
            daemon=app.settings.name,
            clock=app.clock,
            object_store=app.object_store,
            members=lambda: [member.name for member in members.serving()],
        ),
    )
    return ExtensionMetadata(version="1")
