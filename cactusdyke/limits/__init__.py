"""Limits by customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.limits.customer_limits import CustomerLimits
from cactusdyke.membership.members import Members

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the limits service."""
    app.setup_extension("cactusdyke.membership")
    members = app.service("membership", Members)
    app.add_service(
        "limits",
        CustomerLimits(clock=app.clock, daemons=lambda: len(members.serving())),
    )
    return ExtensionMetadata(version="1")
