"""Configuration: its objects, how it is accepted, and what is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.exchange import ExchangeHandlers
from cactusdyke.configuration.in_force import InForce
from cactusdyke.configuration.peers import HEAD_PATH, PARTS_PATH
from cactusdyke.configuration.submission_handler import SubmissionHandler
from cactusdyke.infrastructure.directory import Peer

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers what keeps a configuration in force and what accepts one."""
    return setup_with(app, in_force_type=InForce, desk_type=SubmissionHandler)


def setup_with(
    app: Application,
    *,
    in_force_type: type[InForce],
    desk_type: type[SubmissionHandler],
) -> ExtensionMetadata:
    """Registers the services as these classes, such as naive versions."""
    settings = app.settings
    in_force = in_force_type(
        own=Peer(
            name=settings.name,
            address=settings.address,
            data_centre=settings.data_centre,
        ),
        seeds=[
            Peer(
                name=peer.name,
                address=peer.address,
                data_centre=peer.data_centre,
            )
            for peer in settings.peers
        ],
        clock=app.clock,
        rng=app.rng,
        object_store=app.object_store,
        network=app.network,
    )
    app.add_service("configuration", in_force)
    app.add_service(
        "submissions",
        desk_type(
            clock=app.clock,
            rng=app.rng,
            object_store=app.object_store,
            in_force=in_force,
        ),
    )
    exchange = ExchangeHandlers(in_force=in_force)
    app.add_route("GET", HEAD_PATH, exchange.head)
    app.add_route("POST", PARTS_PATH, exchange.parts)
    app.object_store.publish(app.metrics)
    return ExtensionMetadata(version="2")
