"""Routing: selects a backend server for a stage call and calls it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the router."""
    router = Router(
        clock=app.clock, rng=app.rng, data_centre=app.settings.data_centre
    )
    app.add_service("router", router)
    return ExtensionMetadata(version="1")
