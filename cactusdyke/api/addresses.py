"""Says which addresses a customer's callers should use.

A caller keeps the list and is corrected lazily: whoever it calls serves the
request, and names the current list in the answer's headers if the caller
holds another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err

from cactusdyke.api import authentication
from cactusdyke.limits.fleet import FleetView, MembersFleet
from cactusdyke.limits.limiter import Limiter
from cactusdyke.limits.subsets import LARGEST_SUBSET, Subsets
from cactusdyke.membership.members import Members
from cactusdyke.transport.address_list import LIST_HEADER, AddressList
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    json_response,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cactusdyke.application import Application
    from cactusdyke.configuration.in_force import InForce
    from cactusdyke.limits.fleet import Daemon

ADDRESS_LIFETIME_MS = 3_000.0
LINGER_PART = 0.5
"""A list is kept for at most this part of a stopping daemon's linger."""


class Addresses:
    """Answers the address question by customer."""

    def __init__(
        self,
        *,
        in_force: InForce,
        limiter: Limiter,
        view: FleetView,
        subsets: Subsets,
        rng: random.Random,
        linger_ms: float,
    ) -> None:
        self._in_force = in_force
        self._limiter = limiter
        self._view = view
        self._subsets = subsets
        self._rng = rng
        # Who stops serves on while callers hold its address; a list kept for
        # longer would send them to a closed port.
        self._lifetime_ms = min(ADDRESS_LIFETIME_MS, linger_ms * LINGER_PART)

    async def handle(self, request: Request) -> Response:
        """Says which addresses to use, and for how long."""
        daemons = self._customers_daemons(request) or self._anybodys_daemons()
        return json_response(
            {
                "addresses": [
                    {"address": d.address, "data_centre": d.data_centre}
                    for d in daemons
                ],
                "list": self._address_list(daemons).list_id,
                "lifetime_ms": self._lifetime_ms,
            }
        )

    def telling(self, handler: Handler) -> Handler:
        """Returns a handler that also corrects a caller's list."""

        async def handle(request: Request) -> Response:
            response = await handler(request)
            told = self._correction(request)
            if not told:
                return response
            headers = {**response.headers, **told}
            return attrs.evolve(response, headers=headers)

        return handle

    def _correction(self, request: Request) -> dict[str, str]:
        daemons = self._customers_daemons(request)
        if not daemons:
            return {}
        current = self._address_list(daemons)
        held = request.headers.get(LIST_HEADER)
        if held is None:
            is_right = self._view.own_name in {d.name for d in daemons}
        else:
            is_right = held == current.list_id
        return {} if is_right else current.to_headers()

    def _customers_daemons(self, request: Request) -> tuple[Daemon, ...]:
        customer = authentication.customer_of(request, self._in_force.current)
        if isinstance(customer, Err):
            return ()
        name = customer.ok_value.name
        return self._subsets.members(name, self._limiter.subset_size(name))

    def _anybodys_daemons(self) -> Sequence[Daemon]:
        serving = self._view.serving
        if len(serving) <= LARGEST_SUBSET:
            return serving
        return self._rng.sample(serving, LARGEST_SUBSET)

    def _address_list(self, daemons: Sequence[Daemon]) -> AddressList:
        return AddressList(
            addresses=tuple(daemon.address for daemon in daemons),
            lifetime_ms=self._lifetime_ms,
        )


def of_application(app: Application, in_force: InForce) -> Addresses:
    """Returns the answers of a daemon whose services are registered."""
    fleet = MembersFleet(members=app.service("membership", Members))
    view = FleetView(clock=app.clock, fleet=fleet)
    return Addresses(
        in_force=in_force,
        limiter=app.service("limits", Limiter),  # type: ignore[type-abstract]
        view=view,
        subsets=Subsets(view=view),
        rng=app.rng,
        linger_ms=app.settings.linger_ms,
    )
