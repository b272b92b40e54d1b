"""The current serving configuration and the known replicas."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.serving.cold_replicas import ColdReplicas
from cactusdyke.serving.model import ReplicaState
from cactusdyke.serving.replica_load import ReplicaLoads
from cactusdyke.serving.replica_statements import ReplicaStatements
from cactusdyke.serving.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from cactusdyke.clock import Clock
    from cactusdyke.serving.model import (
        Customer,
        Replica,
        Route,
        ServiceSpec,
        ServingConfiguration,
    )


class Deployment(Service):
    """The configuration and the replicas that this daemon serves with.

    A configuration replaces the previous one as a whole, and only if its
    version is higher. The current version therefore never decreases while the
    process runs, whether a configuration comes from the store, from another
    daemon or in a delayed answer.

    Replicas of an evacuated data centre receive no new work.
    """

    def __init__(
        self, *, clock: Clock, follows_evacuations: bool = False
    ) -> None:
        """Creates a deployment that knows nothing yet.

        Args:
            clock: The clock.
            follows_evacuations: Whether the evacuated data centres have to be
                known before requests can be served.
        """
        self._clock = clock
        self._cold = ColdReplicas(clock=clock)
        self._evacuations_known = not follows_evacuations
        self._evacuated: frozenset[str] = frozenset()
        self._configuration: ServingConfiguration | None = None
        self._routes = RouteTable(())
        self._replicas: dict[str, Replica] = {}
        self._replicas_by_address: dict[str, Replica] = {}
        self._usable_by_service: dict[str, list[Replica]] = {}
        self._unusable_by_service: dict[str, set[str]] = {}
        self._replicas_received = False
        self._rejected_count = 0
        self._statements = ReplicaStatements(clock=clock)
        self._statements.on_leaving(self._exclude_leaving)
        self._loads = ReplicaLoads(clock=clock)
        self._customer_by_key: dict[str, Customer] = {}
        self._customer_weights: dict[str, float] = {}
        self._route_priority_count = 1
        self._hooks: list[Callable[[], None]] = []
        self._batch_depth = 0
        self._index_due = False

    @property
    def statements(self) -> ReplicaStatements:
        """What replicas said of themselves; asked before each send."""
        return self._statements

    @property
    def rejected_count(self) -> int:
        """How many revisions of entries could not be read."""
        return self._rejected_count

    def record_rejected(self) -> None:
        """Counts an entry that can't be read."""
        self._rejected_count += 1

    @property
    def loads(self) -> ReplicaLoads:
        """How slow replicas say that they are."""
        return self._loads

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

    def customer_weight(self, name: str) -> float:
        """Returns a customer's weight, 1 if the customer is unknown."""
        return self._customer_weights.get(name, 1.0)

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
        """Whether all that is needed to serve requests is known."""
        return (
            self._configuration is not None
            and self._replicas_received
            and self._evacuations_known
        )

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose replicas receive no new work."""
        return self._evacuated

    @property
    def cold_count(self) -> int:
        """Number of replicas that may receive new work and are cold."""
        usable = self._usable_by_service.values()
        return sum(self.is_cold(r) for replicas in usable for r in replicas)

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
        self._customer_weights = {
            customer.name: customer.weight
            for customer in configuration.customers
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

    def replace_evacuated(
        self, data_centres: frozenset[str], *, source: str
    ) -> None:
        """Replaces the evacuated data centres.

        Args:
            data_centres: All data centres that are evacuated now.
            source: Where the change comes from, for the log.
        """
        self._evacuations_known = True
        before, self._evacuated = self._evacuated, data_centres
        for data_centre in sorted(data_centres - before):
            self._log_evacuation(
                events.Event.DATA_CENTRE_EVACUATED, data_centre, source
            )
        for data_centre in sorted(before - data_centres):
            self._cold.record_return(data_centre)
            self._log_evacuation(
                events.Event.DATA_CENTRE_RETURNED, data_centre, source
            )
        self._index()

    def _log_evacuation(
        self, event: events.Event, data_centre: str, source: str
    ) -> None:
        affected = self._replicas.values()
        events.log(
            event,
            data_centre=data_centre,
            source=source,
            backend_servers=sum(r.data_centre == data_centre for r in affected),
        )

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """Indexes the replicas once for all changes within the block.

        Indexed for each change, thousands of replicas that register within a
        second take each daemon as many times longer.
        """
        self._batch_depth += 1
        try:
            yield
        finally:
            self._batch_depth -= 1
            if self._index_due and not self._batch_depth:
                self._index_due = False
                self._index()

    def replace_replicas(self, replicas: Iterable[Replica]) -> None:
        """Replaces all known replicas."""
        self._replicas = {r.name: r for r in replicas}
        self._replicas_received = True
        for replica in self._replicas.values():
            self._cold.record(replica)
        self._index()

    def put_replica(self, replica: Replica) -> None:
        """Adds or updates one replica."""
        known = self._replicas.get(replica.name)
        if known == replica:
            return
        self._replicas[replica.name] = replica
        self._cold.record(replica)
        if known is None or not _differ_in_cold_time_only(known, replica):
            self._index()
        elif self.replica_at(replica.address) is known:
            self._replicas_by_address[replica.address] = replica

    def remove_replica(self, name: str) -> None:
        """Removes a replica that has left."""
        if self._replicas.pop(name, None) is not None:
            self._index()

    @property
    def replica_names(self) -> set[str]:
        """The names of all known replicas."""
        return set(self._replicas)

    @property
    def replica_addresses(self) -> set[str]:
        """The addresses of all known replicas."""
        return {replica.address for replica in self._replicas.values()}

    def replica(self, name: str) -> Replica | None:
        """Returns a replica by name, None if unknown."""
        return self._replicas.get(name)

    def replica_at(self, address: str) -> Replica | None:
        """Returns the replica at an address, None if unknown."""
        return self._replicas_by_address.get(address)

    def is_replaced(self, replica: Replica) -> bool:
        """Returns whether a replica's address is known to be of another.

        A replica that is no longer listed may still run.
        """
        known = self.replica_at(replica.address)
        if known is None:
            return False
        started_again = replica.born and known.born != replica.born
        return known.name != replica.name or bool(started_again)

    def data_centre_at(self, address: str) -> str:
        """Returns the data centre of an address, empty if unknown."""
        replica = self.replica_at(address)
        return replica.data_centre if replica else ""

    def service(self, name: str) -> ServiceSpec | None:
        """Returns a configured service, None if unknown."""
        if self._configuration is None:
            return None
        return self._configuration.services.get(name)

    def usable_replicas(self, service: str) -> list[Replica]:
        """Returns the replicas of a service that may receive new work.

        Some of them may be cold, and must not receive more than they tolerate.
        """
        return self._usable_by_service.get(service, [])

    def software_versions(self, service: str) -> set[str]:
        """Returns the versions of a service's known replicas, usable or not.

        The version of a replica that states none is empty.
        """
        return {
            replica.version
            for replica in self._replicas.values()
            if replica.service == service
        }

    def replica_count(self, service: str) -> int:
        """Returns how many replicas of a service are known, usable or not."""
        return len(self.usable_replicas(service)) + len(
            self.unusable_names(service)
        )

    def unusable_names(self, service: str) -> set[str]:
        """Returns the names of a service's replicas that must get no work."""
        return self._unusable_by_service.get(service, set())

    def is_cold(self, replica: Replica) -> bool:
        """Returns whether requests to a replica are limited as it is cold."""
        return self.cold_left_ms(replica) > 0

    def cold_left_ms(self, replica: Replica) -> float:
        """Returns for how long requests to a replica are limited."""
        return self._cold.left_ms(replica, self.service(replica.service))

    def is_usable(self, replica: Replica) -> bool:
        """Returns whether a replica chosen earlier may still receive work."""
        known = self._replicas.get(replica.name)
        return (
            known is not None
            and known.address == replica.address
            and self._may_get_work(known)
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
        self._statements.record_leaving(
            replica.name, replica.born, reason=reason
        )

    def _exclude_leaving(self, name: str, born: int, reason: str) -> None:
        events.log(
            events.Event.BACKEND_SERVER_LEAVING,
            backend_server=name,
            born=born,
            reason=reason,
        )
        self._index()

    def _index(self) -> None:
        if self._batch_depth:
            self._index_due = True
            return
        self._statements.update_listed(self._replicas)
        # Of several entries with one address the oldest one counts.
        self._replicas_by_address = {
            r.address: r for r in reversed(self._replicas.values())
        }
        self._cold.remove_unknown(self.replica_names)
        self._loads.keep(self._replicas)
        usable: dict[str, list[Replica]] = {}
        unusable: dict[str, set[str]] = {}
        for replica in self._replicas.values():
            if self._may_get_work(replica):
                usable.setdefault(replica.service, []).append(replica)
            else:
                unusable.setdefault(replica.service, set()).add(replica.name)
        self._usable_by_service = usable
        self._unusable_by_service = unusable
        self._notify()

    def _may_get_work(self, replica: Replica) -> bool:
        return (
            replica.state is ReplicaState.READY
            and replica.data_centre not in self._evacuated
            and not self._statements.leaves(replica)
        )

    def _notify(self) -> None:
        for hook in self._hooks:
            hook()


def _differ_in_cold_time_only(one: Replica, other: Replica) -> bool:
    """Returns whether replicas are equal but for the time they stay cold.

    A cold replica reports it with each heartbeat, to every daemon.
    """
    return attrs.evolve(one, cold_left_ms=other.cold_left_ms) == other
