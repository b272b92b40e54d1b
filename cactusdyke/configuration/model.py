"""The configuration that is in force: small objects by name."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from cactusdyke.util import checks
from cactusdyke.util.checks import Within, checked


class PoolKind(enum.StrEnum):
    """What the backend servers of a pool do."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class WhenUnconfirmed(enum.StrEnum):
    """What a daemon does that can't confirm its configuration."""

    SERVE = "serve"
    REFUSE_BOOKINGS = "refuse_bookings"
    REFUSE_ALL = "refuse_all"


@attrs.frozen(kw_only=True)
class Customer:
    """Somebody whose callers may send requests.

    Attributes:
        name: The customer's name.
        token_hashes: SHA-256 of each valid bearer token, in hexadecimal.
        requests_per_second: The limit over all daemons.
        burst: Requests that may come at once on top of the steady rate.
        share: Weight among customers when there is not enough for all.
        priority: Higher is served first.
    """

    name: str
    token_hashes: tuple[str, ...]
    requests_per_second: float
    burst: float
    share: float = 1.0
    priority: int = 0


@attrs.frozen(kw_only=True)
class Operator:
    """Somebody who may submit configurations and read status."""

    name: str
    token_hashes: tuple[str, ...]


@attrs.frozen(kw_only=True)
class BackendServer:
    """One replica of a pool.

    Attributes:
        name: The backend server's name, unique in the deployment.
        address: Where it listens, `host:port`.
        data_centre: Where it stands.
        accelerator: What it runs on.
        speed: Relative speed that the operator declares; 1 is the norm.
        price_per_second: What a busy second costs.
        slots: Requests that it runs at once.
    """

    name: str = attrs.field(metadata=checked(checks.NAME))
    address: str = attrs.field(metadata=checked(checks.ADDRESS))
    data_centre: str = attrs.field(metadata=checked(checks.NAME))
    accelerator: str = "none"
    speed: float = attrs.field(
        default=1.0, metadata=checked(Within(low=0, high=1e6, above_low=True))
    )
    price_per_second: float = attrs.field(
        default=0.0, metadata=checked(Within(low=0, high=1e6))
    )
    slots: int = attrs.field(
        default=8, metadata=checked(Within(low=1, high=100_000))
    )


@attrs.frozen(kw_only=True)
class Pool:
    """Backend servers that do the same work.

    Attributes:
        name: The pool's name.
        kind: What its backend servers do.
        backend_servers: Its replicas.
        checks_fencing: Whether they refuse orders with old fencing numbers.
        calls_repeatable: Whether a call may run twice without harm.
        models: Models that its engines may be ordered to load.
    """

    name: str
    kind: PoolKind
    backend_servers: tuple[BackendServer, ...]
    checks_fencing: bool = False
    calls_repeatable: bool = True
    models: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Stage:
    """One step of a pipeline.

    Attributes:
        name: The stage's name within its pipeline.
        pool: The pool that runs it.
        model: The model that an engine is asked for.
        expected_ms: How long it usually takes, to share out the deadline.
    """

    name: str
    pool: str
    model: str = ""
    expected_ms: float = 100.0


@attrs.frozen(kw_only=True)
class Pipeline:
    """Stages run one after the other, each fed with the one before."""

    name: str
    stages: tuple[Stage, ...]
    deadline_ms: float
    priority: int = 0


@attrs.frozen(kw_only=True)
class PlainService:
    """A service that requests are routed to as they are.

    Attributes:
        name: The service's name.
        pool: The pool that runs it.
        idempotent: Whether a call may run more than once.
        answers_by_key: Whether its backend servers can be asked what became
            of a call, by its idempotency key.
        deadline_ms: Longest time for a call.
    """

    name: str
    pool: str
    idempotent: bool
    deadline_ms: float
    answers_by_key: bool = False


@attrs.frozen(kw_only=True)
class Policy:
    """What the operator weighs.

    Attributes:
        deployment: The deployment's name.
        attainment_weight: From 0 (only cost counts) to 1 (only attainment).
        when_unconfirmed: What a daemon does that is cut off.
        unconfirmed_after_ms: How long without confirmation counts as cut off.
    """

    deployment: str = ""
    attainment_weight: float = 0.5
    when_unconfirmed: WhenUnconfirmed = WhenUnconfirmed.REFUSE_BOOKINGS
    unconfirmed_after_ms: float = 30_000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One whole revision; a request keeps the one it began with."""

    revision: int
    policy: Policy = attrs.field(factory=Policy)
    customers: Mapping[str, Customer] = attrs.field(factory=dict)
    operators: Mapping[str, Operator] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    pipelines: Mapping[str, Pipeline] = attrs.field(factory=dict)
    services: Mapping[str, PlainService] = attrs.field(factory=dict)


EMPTY = Configuration(revision=0)
