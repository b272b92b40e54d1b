"""Membership among daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce
from cactusdyke.membership.members import GOSSIP_PATH, Members

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the membership service and its route."""
    app.setup_extension("cactusdyke.configuration")
    in_force = app.service("configuration", InForce)
    members = Members(
        settings=app.settings,
        clock=app.clock,
        rng=app.rng,
        network=app.network,
        revision=lambda: in_force.current.revision,
        heard_of=in_force.heard_of,
    )
    in_force.follow(members)
    app.add_service("membership", members)
    app.add_route("POST", GOSSIP_PATH, members.handle)
    return ExtensionMetadata(version="1")
