"""Orders to engines under a fenced lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce
from cactusdyke.load.collector import LoadCollector
from cactusdyke.load.departures import Departures
from cactusdyke.load.replicas import rank
from cactusdyke.membership.member import MemberState
from cactusdyke.membership.members import Members
from cactusdyke.orders.controller import OrderController
from cactusdyke.orders.engines import EngineClient
from cactusdyke.orders.lease import LEASE_KEY, LeaseKeeper
from cactusdyke.orders.wiring import AggregateDemand, DepartureDrain

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the lease keeper and the controller of engines."""
    app.setup_extension("cactusdyke.load")
    in_force = app.service("configuration", InForce)
    members = app.service("membership", Members)

    def own_rank() -> int | None:
        orders = any(p.models for p in in_force.current.pools.values())
        live = [m.name for m in members.all() if m.state is MemberState.LIVE]
        name = app.settings.name
        if not orders or name not in live:
            return None
        return rank(LEASE_KEY, live).index(name)

    keeper = LeaseKeeper(
        name=app.settings.name,
        clock=app.clock,
        rng=app.rng,
        object_store=app.object_store,
        rank=own_rank,
    )
    app.add_service("orders_lease", keeper)
    app.add_service(
        "orders",
        OrderController(
            clock=app.clock,
            keeper=keeper,
            engines=EngineClient(network=app.network),
            demand=AggregateDemand(load=app.service("load", LoadCollector)),
            drain=DepartureDrain(
                departures=app.service("departures", Departures)
            ),
            configuration=lambda: in_force.current,
        ),
    )
    return ExtensionMetadata(version="1")
