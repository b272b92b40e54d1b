"""Configuration: its objects, how it is accepted, and what is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the service that keeps a configuration in force."""
    app.add_service(
        "configuration",
        InForce(clock=app.clock, object_store=app.object_store),
    )
    return ExtensionMetadata(version="1")
