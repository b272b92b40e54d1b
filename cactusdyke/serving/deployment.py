"""The configuration in force and the replicas known, with their ages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.serving.model import ReplicaState
from cactusdyke.serving.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.model import (
        Customer,
        Replica,
        Route,
        ServingConfiguration,
    )


class Deployment(Service):
    """What this daemon serves, as last learned.

    A configuration is applied whole and only if its version is higher, so
    that whatever path brings it (store, another daemon, a late answer) the
    one in force never goes back while the process lives.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._configuration: ServingConfiguration | None = None
        self._table = RouteTable(())
        self._replicas: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._replicas_known = False
        self._gone: dict[str, Instant] = {}
        self._customers: dict[str, Customer] = {}
        self._route_ranks = 1
        self._hooks: list[Callable[[], None]] = []

    @property
    def configuration(self) -> ServingConfiguration | None:
        """The configuration in force, None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def routes(self) -> RouteTable:
        """The routes in force."""
        return self._table

    def customer_for_key(self, api_key: str) -> Customer | None:
        """Returns the customer that holds a key."""
        return self._customers.get(api_key) if api_key else None

    def effective_priority(
        self, route: Route, customer: Customer | None
    ) -> int:
        """Returns where a request stands among all, 0 first.

        A customer's priority goes before its route's; among customers of one
        priority the route's decides.
        """
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority * self._route_ranks + route.priority

    @property
    def ready(self) -> bool:
        """Whether a configuration and a list of replicas are known."""
        return self._configuration is not None and self._replicas_known

    def on_change(self, hook: Callable[[], None]) -> None:
        """Calls `hook` after each change."""
        self._hooks.append(hook)

    def apply(
        self, configuration: ServingConfiguration, *, source: str
    ) -> bool:
        """Puts a configuration in force if its version is higher."""
        if configuration.version <= self.version:
            return False
        before = self.version
        self._configuration = configuration
        self._table = RouteTable(configuration.routes)
        priorities = [route.priority for route in configuration.routes]
        self._route_ranks = 1 + max(priorities, default=0)
        self._customers = {
            key: customer
            for customer in configuration.customers
            for key in customer.api_keys
        }
        events.log(
            events.Event.SERVING_CONFIGURATION_APPLIED,
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.routes),
        )
        self._notify()
        return True

    def replace_replicas(self, replicas: Iterable[Replica]) -> None:
        """Takes a whole list of replicas."""
        self._replicas = {replica.name: replica for replica in replicas}
        self._replicas_known = True
        self._index()

    def put_replica(self, replica: Replica) -> None:
        """Takes news of one replica."""
        known = self._replicas.get(replica.name)
        if known == replica:
            return
        if known is not None and known.born != replica.born:
            # It has started again under its id and knows nothing of before.
            self._gone.pop(replica.name, None)
        self._replicas[replica.name] = replica
        self._index()

    def remove_replica(self, name: str) -> None:
        """Forgets a replica that has left."""
        if self._replicas.pop(name, None) is not None:
            self._index()

    @property
    def replica_names(self) -> set[str]:
        """The names of all replicas known."""
        return set(self._replicas)

    def replica(self, name: str) -> Replica | None:
        """Returns a replica by name."""
        return self._replicas.get(name)

    def replica_at(self, address: str) -> Replica | None:
        """Returns the replica at an address."""
        known = self._replicas.values()
        return next((r for r in known if r.address == address), None)

    def data_centre_at(self, address: str) -> str:
        """Returns where the replica at an address stands, empty if unknown."""
        replica = self.replica_at(address)
        return replica.data_centre if replica else ""

    def usable_replicas(self, service: str) -> list[Replica]:
        """Returns the replicas of a service that may get new work."""
        return self._by_service.get(service, [])

    def is_usable(self, replica: Replica) -> bool:
        """Returns whether a replica chosen before may still get work."""
        known = self._replicas.get(replica.name)
        return (
            known is not None
            and known.state is ReplicaState.READY
            and known.address == replica.address
            and replica.name not in self._gone
        )

    def mark_leaving(self, replica: Replica, *, reason: str) -> None:
        """Keeps work from a replica that itself said that it leaves.

        The list lags: a replica that answers 421 or closes as it leaves is
        found out by its callers first.
        """
        if replica.name not in self._gone:
            self._gone[replica.name] = self._clock.now()
            events.log(
                events.Event.BACKEND_SERVER_LEAVING,
                backend_server=replica.name,
                reason=reason,
            )
            self._index()

    def _index(self) -> None:
        self._gone = {
            name: at
            for name, at in self._gone.items()
            if name in self._replicas
        }
        grouped: dict[str, list[Replica]] = {}
        for replica in self._replicas.values():
            if replica.state is not ReplicaState.READY:
                continue
            if replica.name in self._gone:
                continue
            grouped.setdefault(replica.service, []).append(replica)
        self._by_service = grouped
        self._notify()

    def _notify(self) -> None:
        for hook in self._hooks:
            hook()
