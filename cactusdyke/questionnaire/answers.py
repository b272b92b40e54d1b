"""The questionnaire's answers, in the words of those who fill it in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.configuration.model import (
    BackendServer,
    PoolKind,
    WhenUnconfirmed,
)
from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.errors import Failure


@attrs.frozen(kw_only=True)
class PersonAnswer:
    """Who may operate the deployment."""

    name: str
    token_hashes: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CustomerAnswer:
    """Who sends requests, and how many."""

    name: str
    token_hashes: tuple[str, ...]
    requests_per_second: float
    burst: float
    share: float = 1.0
    priority: int = 0


@attrs.frozen(kw_only=True)
class PoolAnswer:
    """Which backend servers there are."""

    name: str
    kind: PoolKind
    backend_servers: tuple[BackendServer, ...]
    checks_fencing_numbers: bool = False
    calls_may_be_repeated: bool = True
    models: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StageAnswer:
    """One step of a job."""

    name: str
    pool: str
    model: str = ""
    usually_takes_ms: float = 100.0


@attrs.frozen(kw_only=True)
class JobAnswer:
    """A job that callers ask for, as stages under one deadline."""

    name: str
    deadline_ms: float
    stages: tuple[StageAnswer, ...]
    priority: int = 0


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """A plain service, and whether its calls must never happen twice."""

    name: str
    pool: str
    must_never_happen_twice: bool
    deadline_ms: float


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

    deployment: str
    attainment_against_cost: float
    when_cut_off: WhenUnconfirmed
    operators: tuple[PersonAnswer, ...]
    customers: tuple[CustomerAnswer, ...]
    pools: tuple[PoolAnswer, ...]
    jobs: tuple[JobAnswer, ...]
    services: tuple[ServiceAnswer, ...] = ()
    cut_off_after_ms: float = 30_000.0


def parse(text: str, *, name: str) -> Result[Answers, Failure]:
    """Reads answers from JSON with comments."""
    return jsonc.parse_text(text, name=name).and_then(
        lambda value: structure.structure(value, Answers, name=name)
    )
