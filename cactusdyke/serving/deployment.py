"""The current serving configuration and the known replicas."""

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
    """The configuration and the replicas that this daemon serves with.

    A configuration replaces the previous one as a whole, and only if its
    version is higher. The current version therefore never decreases while the
    process runs, whether a configuration comes from the store, from another
    daemon or in a delayed answer.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._configuration: ServingConfiguration | None = None
        self._routes = RouteTable(())
        self._replicas: dict[str, Replica] = {}
        self._usable_by_service: dict[str, list[Replica]] = {}
        self._replicas_received = False
        self._leaving: dict[str, Instant] = {}
        self._customer_by_key: dict[str, Customer] = {}
        self._route_priority_count = 1
        self._hooks: list[Callable[[], None]] = []

    @property
    def configuration(self) -> ServingConfiguration | None:
        """The current configuration, None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """The current configuration's version, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def routes(self) -> RouteTable:
        """The current configuration's routes."""
        return self._routes

    def customer_for_key(self, api_key: str) -> Customer | None:
        """Returns the customer that an API key belongs to, None if unknown."""
        return self._customer_by_key.get(api_key) if api_key else None

    def effective_priority(
        self, route: Route, customer: Customer | None
    ) -> int:
        """Returns a request's priority among all requests; 0 goes first.

        The customer's priority takes precedence over the route's, which
        orders requests of customers with equal priority.
        """
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority * self._route_priority_count + route.priority

    @property
    def ready(self) -> bool:
        """Whether a configuration and a list of replicas are known."""
        return self._configuration is not None and self._replicas_received

    def on_change(self, hook: Callable[[], None]) -> None:
        """Registers a function that is called after each change."""
        self._hooks.append(hook)

    def apply(
        self, configuration: ServingConfiguration, *, source: str
    ) -> bool:
        """Applies a configuration if its version is higher.

        Args:
            configuration: The complete configuration.
            source: Where it comes from, for the log.

        Returns:
            Whether it was applied.
        """
        if configuration.version <= self.version:
            return False
        previous = self.version
        self._configuration = configuration
        self._routes = RouteTable(configuration.routes)
        priorities = [route.priority for route in configuration.routes]
        self._route_priority_count = 1 + max(priorities, default=0)
        self._customer_by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.api_keys
        }
        events.log(
            events.Event.SERVING_CONFIGURATION_APPLIED,
            version=configuration.version,
            before=previous,
            source=source,
            routes=len(configuration.routes),
        )
        self._notify()
        return True

    def replace_replicas(self, replicas: Iterable[Replica]) -> None:
        """Replaces all known replicas."""
        self._replicas = {replica.name: replica for replica in replicas}
        self._replicas_received = True
        self._index()

    def put_replica(self, replica: Replica) -> None:
        """Adds or updates one replica."""
        known = self._replicas.get(replica.name)
        if known == replica:
            return
        if known is not None and known.born != replica.born:
            # It has restarted under its id, so it is no longer leaving.
            self._leaving.pop(replica.name, None)
        self._replicas[replica.name] = replica
        self._index()

    def remove_replica(self, name: str) -> None:
        """Removes a replica that has left."""
        if self._replicas.pop(name, None) is not None:
            self._index()

    @property
    def replica_names(self) -> set[str]:
        """The names of all known replicas."""
        return set(self._replicas)

    def replica(self, name: str) -> Replica | None:
        """Returns a replica by name, None if unknown."""
        return self._replicas.get(name)

    def replica_at(self, address: str) -> Replica | None:
        """Returns the replica at an address, None if unknown."""
        known = self._replicas.values()
        return next((r for r in known if r.address == address), None)

    def data_centre_at(self, address: str) -> str:
        """Returns the data centre of an address, empty if unknown."""
        replica = self.replica_at(address)
        return replica.data_centre if replica else ""

    def usable_replicas(self, service: str) -> list[Replica]:
        """Returns the replicas of a service that may receive new work."""
        return self._usable_by_service.get(service, [])

    def is_usable(self, replica: Replica) -> bool:
        """Returns whether a replica chosen earlier may still receive work."""
        known = self._replicas.get(replica.name)
        return (
            known is not None
            and known.state is ReplicaState.READY
            and known.address == replica.address
            and replica.name not in self._leaving
        )

    def mark_leaving(self, replica: Replica, *, reason: str) -> None:
        """Sends no more work to a replica that has indicated that it leaves.

        The platform's list of replicas lags behind: a replica that answers
        421, or closes connections as it leaves, shows this to its callers
        first.

        Args:
            replica: The replica.
            reason: How it was recognised, for the log.
        """
        if replica.name not in self._leaving:
            self._leaving[replica.name] = self._clock.now()
            events.log(
                events.Event.BACKEND_SERVER_LEAVING,
                backend_server=replica.name,
                reason=reason,
            )
            self._index()

    def _index(self) -> None:
        self._leaving = {
            name: at
            for name, at in self._leaving.items()
            if name in self._replicas
        }
        grouped: dict[str, list[Replica]] = {}
        for replica in self._replicas.values():
            if replica.state is not ReplicaState.READY:
                continue
            if replica.name in self._leaving:
                continue
            grouped.setdefault(replica.service, []).append(replica)
        self._usable_by_service = grouped
        self._notify()

    def _notify(self) -> None:
        for hook in self._hooks:
            hook()
