"""Extension that registers the membership services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce
from cactusdyke.membership.control_client import ControlClient, ControlTraffic
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.membership.members import Members

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the control client, the membership service and its route."""
    app.setup_extension("cactusdyke.configuration")
    in_force = app.service("configuration", InForce)
    traffic = ControlTraffic(app.metrics)
    app.add_service("control_traffic", traffic)
    client = ControlClient(network=app.network, traffic=traffic)
    app.add_service("control_client", client)
    members = Members(
        settings=app.settings,
        clock=app.clock,
        rng=app.rng,
        client=client,
        traffic=traffic,
        host_list=app.host_list,
        revision=lambda: in_force.current.revision,
    )
    members.on_revision(in_force.heard_of)
    in_force.follow(members)
    app.add_service("membership", members)
    app.add_route("POST", GOSSIP_PATH, members.handle)
    return ExtensionMetadata(version="1")
