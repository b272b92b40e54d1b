"""Bookings: non-idempotent calls, made at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.booking.bookings import Bookings
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the bookings service."""
    app.setup_extension("cactusdyke.routing")
    app.add_service(
        "bookings",
        Bookings(
            daemon=app.settings.name,
            clock=app.clock,
            rng=app.rng,
            object_store=app.object_store,
            router=app.service("router", Router),
            client=BackendClient(network=app.network),
        ),
    )
    return ExtensionMetadata(version="1")
