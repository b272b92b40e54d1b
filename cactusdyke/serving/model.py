"""What a deployment serves: routes, services, customers and replicas.

These are the project's own notions; an adapter decodes a platform's
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
    """A stream that may go on at another replica from its last event."""


@attrs.frozen(kw_only=True)
class StageSpec:
    """One stage of work that a request needs before it can run.

    Attributes:
        service: Name of the service that runs the stage.
        after: Numbers of the stages whose results are its inputs.
        result_bytes: About how large one result is.
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
    """Where requests of one host and path prefix go, and what they need.

    Attributes:
        name: The route's name.
        host: The host that callers name.
        path_prefix: Begins and ends with a slash.
        targets: The services that share the traffic.
        repeat: How often a request may run.
        streaming: Whether the answer is a series of events.
        max_attempts: Most replicas that one request may be sent to.
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: Latency within which an answer has its full value.
        gap_objective_ms: Longest pause between events that is on time.
        first_event_patience_ms: How long callers wait for a stream's first
            event before they give it up.
        priority: 0 is the most urgent.
        public: Whether no API key is asked for.
        generates: Whether requests name a model and their prompt.
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


@attrs.frozen(kw_only=True)
class EngineSpec:
    """What one replica of a model service can hold.

    Attributes:
        slots: Requests that it batches.
        kv_tokens: Tokens that its KV cache holds.
    """

    slots: int
    kv_tokens: int


@attrs.frozen(kw_only=True)
class BatchSpec:
    """How a replica of a stage service takes calls.

    Attributes:
        concurrent_calls: Calls in progress at the same time.
        waiting_calls: Calls that may wait.
        batch: Most pieces in one call.
        call_ms: Time of a call without its pieces.
        piece_ms: About the time that each piece adds.
        result_room_bytes: Memory for results that were not freed.
        result_lifetime_ms: How long a result is kept if nobody frees it.
    """

    concurrent_calls: int
    queued_calls: int
    batch: int
    call_ms: float
    piece_ms: float
    result_capacity_bytes: float
    result_lifetime_ms: float


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """One service: a pool of replicas of one kind."""

    name: str
    max_connections: int
    health_path: str = ""
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None


@attrs.frozen(kw_only=True)
class Customer:
    """A customer and the keys that its callers use."""

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class ServingConfiguration:
    """One whole version of what is served.

    Attributes:
        version: Grows with every version, in uneven steps.
        routes: All routes.
        services: Services by name.
        customers: Customers by name; where there are none, no key is asked.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    customers: tuple[Customer, ...]
    limits: CallerLimits


class ReplicaState(enum.StrEnum):
    """What a replica says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Replica:
    """One running incarnation of a backend server of a service.

    Attributes:
        name: Its id; a new start mostly has a new one.
        service: The service that it belongs to.
        address: `ip:port`.
        data_centre: Where it stands.
        state: Whether it takes new work.
        slots: Requests that it works on at the same time.
        born: Start of the incarnation, Unix milliseconds, 0 if not told.
    """

    name: str
    service: str
    address: str
    data_centre: str
    state: ReplicaState
    slots: int
    born: int = 0
