"""Model of a deployment: routes, services, customers and replicas.

The classes do not depend on a platform; an adapter decodes a platform's
configuration and its list of replicas into them.
"""

from __future__ import annotations

import enum

import attrs


class RepeatPolicy(enum.StrEnum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE = "resumable"
    """A stream that another replica may resume after its last event."""


@attrs.frozen(kw_only=True)
class StageSpec:
    """One stage of work that a request needs before it can run.

    Attributes:
        service: Name of the service that runs the stage.
        after: Numbers of the stages whose results are its inputs.
        result_bytes: Typical size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@attrs.frozen(kw_only=True)
class WeightedService:
    """One share of a route's traffic."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests of one host and path prefix are served.

    Attributes:
        name: The route's name.
        host: The host that callers address.
        path_prefix: Begins and ends with a slash.
        targets: The services that share the traffic.
        repeat_policy: How often a request may run.
        streaming: Whether the answer is a stream of events.
        max_attempts: Maximum number of replicas that a request is sent to, and
            of attempts that may have run it.
        timeout_ms: Maximum time that a caller is kept waiting.
        objective_ms: Latency within which an answer has its full value.
        gap_objective_ms: Maximum time between two events that is on time.
        first_event_patience_ms: How long callers wait for a stream's first
            event before they abandon it.
        priority: 0 is the most urgent.
        public: Whether requests need no API key.
        generates: Whether requests state a model and a prompt, so that a
            decider chooses their engine.
        stages: The graph of stages, by number.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[WeightedService, ...]
    repeat_policy: RepeatPolicy
    streaming: bool
    max_attempts: int
    timeout_ms: float
    objective_ms: float
    gap_objective_ms: float
    first_event_patience_ms: float
    priority: int
    public: bool
    generates: bool
    stages: tuple[StageSpec, ...] = ()

    @property
    def resumable(self) -> bool:
        """Whether another replica may go on with a stream."""
        return self.streaming and self.repeat_policy is RepeatPolicy.RESUMABLE


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Capacity of one replica of a model service.

    Attributes:
        slots: Number of requests that it runs in one batch.
        kv_tokens: Capacity of its KV cache in tokens.
    """

    slots: int
    kv_tokens: int


@attrs.frozen(kw_only=True)
class BatchSpec:
    """Capacity and timing of one replica of a stage service.

    Attributes:
        concurrent_calls: Number of calls that it processes at the same time.
        queued_calls: Number of further calls that it queues.
        batch: Maximum number of pieces in one call.
        call_ms: Fixed time of a call, without its pieces.
        piece_ms: Typical time that each piece adds to a call.
        result_capacity_bytes: Memory for results that have not been freed.
        result_lifetime_ms: After how long a result expires that is not freed.
    """

    concurrent_calls: int
    queued_calls: int
    batch: int
    call_ms: float
    piece_ms: float
    result_capacity_bytes: float
    result_lifetime_ms: float

    @property
    def full_call_ms(self) -> float:
        """Typical duration of a call with the maximum number of pieces."""
        return self.expected_call_ms(self.batch)

    def expected_call_ms(self, pieces: int) -> float:
        """Returns the typical duration of a call."""
        return self.call_ms + pieces * self.piece_ms


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """One service: a pool of replicas of one kind.

    Attributes:
        name: The service's name.
        max_connections: Connections that a replica accepts from all daemons.
        health_path: Path of its health check.
        engine: Capacity of a replica, None if it is no model engine.
        batching: Capacity of a replica, None if it runs no stages.
        cold_ms: How long a replica is cold after its start, if it does not
            report it itself.
        cold_requests_per_s: Requests per second that a cold replica tolerates
            from all daemons; 0 if cold replicas need no limit.
    """

    name: str
    max_connections: int
    health_path: str = ""
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None
    cold_ms: float = 0.0
    cold_requests_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer and the keys that its callers use.

    Attributes:
        name: The customer's name.
        api_keys: The keys that its callers send.
        priority: Its priority, None if its requests have their routes'.
        weight: Its part of a service under overload, relative to others.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class ServingConfiguration:
    """One complete version of the serving configuration.

    Attributes:
        version: Increases with every version, not always by one.
        routes: All routes.
        services: Services by name.
        customers: All customers; without any, no API key is required.
        limits: Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    customers: tuple[Customer, ...]
    limits: CallerLimits


class ReplicaState(enum.StrEnum):
    """The state that a replica reports."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Replica:
    """One running incarnation of a backend server of a service.

    Attributes:
        name: Its id; a restarted server usually gets a new one.
        service: The service that it belongs to.
        address: `ip:port`.
        data_centre: The data centre that it runs in.
        state: Whether it accepts new work.
        slots: Number of requests that it processes at the same time.
        version: Version of its software, not of its weights; empty if it is
            not reported.
        born: Start of the incarnation, Unix milliseconds, 0 if not reported.
        cold_left_ms: How long it stays cold, in milliseconds from the report;
            None if it does not report it.
    """

    name: str
    service: str
    address: str
    data_centre: str
    state: ReplicaState
    slots: int
    version: str = ""
    born: int = 0
    cold_left_ms: float | None = None
