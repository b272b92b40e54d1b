"""Per-customer request limits across all daemons, and customer subsets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.configuration.in_force import InForce
from cactusdyke.limits.customer_limits import CustomerLimits
from cactusdyke.limits.fleet import FleetView, MembersFleet
from cactusdyke.limits.quota_leases import (
    QUOTA_LEASES_PATH,
    HttpQuotaLeaseClient,
    QuotaLeaseHandler,
)
from cactusdyke.limits.quota_owner import QuotaOwner
from cactusdyke.limits.subsets import Subsets
from cactusdyke.membership.members import Members
from cactusdyke.observe.metrics import Metrics

if TYPE_CHECKING:
    from cactusdyke.application import Application
    from cactusdyke.configuration.model import Customer


def setup(app: Application) -> ExtensionMetadata:
    """Registers the limits service and the route for quota leases."""
    app.setup_extension("cactusdyke.observe.extension")
    app.setup_extension("cactusdyke.configuration")
    app.setup_extension("cactusdyke.membership.extension")
    in_force = app.service("configuration", InForce)

    def find_customer(name: str) -> Customer | None:
        return in_force.current.customers.get(name)

    fleet = MembersFleet(members=app.service("membership", Members))
    view = FleetView(clock=app.clock, fleet=fleet)
    subsets = Subsets(view=view)
    quota_owner = QuotaOwner(
        clock=app.clock,
        view=view,
        subsets=subsets,
        find_customer=find_customer,
    )
    limits = CustomerLimits(
        clock=app.clock,
        view=view,
        subsets=subsets,
        quota_owner=quota_owner,
        lease_client=HttpQuotaLeaseClient(network=app.network),
        metrics=app.service("metrics", Metrics),
    )
    app.add_service("limits", limits)
    app.add_route(
        "POST",
        QUOTA_LEASES_PATH,
        QuotaLeaseHandler(quota_owner=quota_owner).handle,
    )
    return ExtensionMetadata(version="1")
