"""Load and departures of backend servers, shared between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce
from cactusdyke.load.collector import LoadCollector
from cactusdyke.load.departures import Departures
from cactusdyke.membership.control_client import ControlClient
from cactusdyke.membership.members import Members
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the load collector and the tracking of departures."""
    app.setup_extension("cactusdyke.membership.extension")
    app.setup_extension("cactusdyke.routing")
    in_force = app.service("configuration", InForce)
    members = app.service("membership", Members)
    router = app.service("router", Router)
    departures = Departures(
        clock=app.clock,
        rng=app.rng,
        members=members,
        host_list=app.host_list,
        router=router,
        configuration=lambda: in_force.current,
    )
    app.add_service("departures", departures)
    collector = LoadCollector(
        clock=app.clock,
        client=app.service("control_client", ControlClient),
        members=members,
        departures=departures,
        load_tracker=router.load,
        configuration=lambda: in_force.current,
    )
    app.add_service("load", collector)
    return ExtensionMetadata(version="1")
