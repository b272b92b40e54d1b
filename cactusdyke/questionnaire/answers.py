"""The questionnaire's answers, in the words of those who fill it in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.configuration.model import (
    BackendServer,
    PoolKind,
    WhenUnconfirmed,
)
from cactusdyke.util import checks, jsonc, structure
from cactusdyke.util.checks import Each, Within, checked

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.errors import Failure

MAX_DEADLINE_MS = 600_000.0

_NAME = checked(checks.NAME)
_HASHES = checked(Each(check=checks.TOKEN_HASH, at_least=1))
_DEADLINE = checked(
    Within(low=0, high=MAX_DEADLINE_MS, above_low=True, unit="ms")
)
_PRIORITY = checked(Within(low=-1000, high=1000))


@attrs.frozen(kw_only=True)
class PersonAnswer:
    """Who may operate the deployment."""

    name: str = attrs.field(metadata=_NAME)
    token_hashes: tuple[str, ...] = attrs.field(metadata=_HASHES)


@attrs.frozen(kw_only=True)
class CustomerAnswer:
    """Who sends requests, and how many."""

    name: str = attrs.field(metadata=_NAME)
    token_hashes: tuple[str, ...] = attrs.field(metadata=_HASHES)
    requests_per_second: float = attrs.field(
        metadata=checked(Within(low=0, high=1e6, unit="a second"))
    )
    burst: float = attrs.field(
        metadata=checked(Within(low=0, high=1e6, unit="requests"))
    )
    share: float = attrs.field(
        default=1.0,
        metadata=checked(Within(low=0, high=1e6, above_low=True)),
    )
    priority: int = attrs.field(default=0, metadata=_PRIORITY)


@attrs.frozen(kw_only=True)
class PoolAnswer:
    """Which backend servers there are."""

    name: str = attrs.field(metadata=_NAME)
    kind: PoolKind
    backend_servers: tuple[BackendServer, ...] = attrs.field(
        metadata=checked(Each(at_least=1))
    )
    checks_fencing_numbers: bool = False
    calls_may_be_repeated: bool = True
    models: tuple[str, ...] = attrs.field(
        default=(), metadata=checked(Each(check=checks.NAME))
    )


@attrs.frozen(kw_only=True)
class StageAnswer:
    """One step of a job."""

    name: str = attrs.field(metadata=_NAME)
    pool: str
    model: str = ""
    usually_takes_ms: float = attrs.field(default=100.0, metadata=_DEADLINE)


@attrs.frozen(kw_only=True)
class JobAnswer:
    """A job that callers ask for, as stages under one deadline."""

    name: str = attrs.field(metadata=_NAME)
    deadline_ms: float = attrs.field(metadata=_DEADLINE)
    stages: tuple[StageAnswer, ...] = attrs.field(
        metadata=checked(Each(at_least=1))
    )
    priority: int = attrs.field(default=0, metadata=_PRIORITY)


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """A plain service, and whether its calls must never happen twice.

    Attributes:
        name: The service's name.
        pool: The pool that runs it.
        must_never_happen_twice: Whether a call may run at most once.
        deadline_ms: Longest time for a call.
        can_be_asked_by_key: Whether its servers tell, by idempotency key,
            what became of a call.
    """

    name: str = attrs.field(metadata=_NAME)
    pool: str
    must_never_happen_twice: bool
    deadline_ms: float = attrs.field(metadata=_DEADLINE)
    can_be_asked_by_key: bool = False


@attrs.frozen(kw_only=True)
class Answers:
    """A whole questionnaire.

    Attributes:
        deployment: The deployment's name.
        attainment_against_cost: 0 if only cost counts, 1 if only attainment.
        when_cut_off: What a daemon does that can't confirm its configuration.
        cut_off_after_ms: How long without confirmation counts as cut off.
        operators: Who may operate the deployment.
        customers: Who sends requests.
        pools: Which backend servers there are.
        jobs: What callers ask for.
        services: Plain services that are routed to as well.
    """

    deployment: str = attrs.field(metadata=_NAME)
    attainment_against_cost: float = attrs.field(
        metadata=checked(Within(low=0, high=1))
    )
    when_cut_off: WhenUnconfirmed
    operators: tuple[PersonAnswer, ...]
    customers: tuple[CustomerAnswer, ...]
    pools: tuple[PoolAnswer, ...]
    jobs: tuple[JobAnswer, ...]
    services: tuple[ServiceAnswer, ...] = ()
    cut_off_after_ms: float = attrs.field(
        default=30_000.0,
        metadata=checked(Within(low=5_000, high=600_000, unit="ms")),
    )


def parse(text: str, *, name: str) -> Result[Answers, Failure]:
    """Reads answers from JSON with comments."""
    return jsonc.parse_text(text, name=name).and_then(
        lambda value: structure.structure(value, Answers, name=name)
    )
