"""Finds contradictions in answers, and what is allowed but doubtful."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from cactusdyke.questionnaire.answers import Answers
from cactusdyke.util import checks, jsonc, structure

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from cactusdyke.questionnaire.answers import (
        JobAnswer,
        PoolAnswer,
        ServiceAnswer,
        StageAnswer,
    )


@attrs.frozen(kw_only=True)
class Report:
    """What a check of a questionnaire found.

    Attributes:
        answers: The answers, None where they could not be read.
        errors: Why they can't be submitted, each with path and remedy.
        warnings: What is allowed but looks like a mistake.
    """

    answers: Answers | None
    errors: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def check_text(text: str, *, name: str) -> Report:
    """Checks a questionnaire in JSON with comments."""
    match jsonc.parse_text(text, name=name):
        case Err(failure):
            return Report(answers=None, errors=(failure.detail,))
        case Ok(value):
            return check_value(value, name=name)


def check_value(value: object, *, name: str) -> Report:
    """Checks a questionnaire that was read from JSON."""
    match structure.structure_all(value, Answers, name=name):
        case Err(problems):
            return Report(answers=None, errors=problems)
        case Ok(answers):
            return Report(
                answers=answers,
                errors=tuple(errors(answers)),
                warnings=tuple(warnings(answers)),
            )


def errors(answers: Answers) -> Iterator[str]:
    """Yields every contradiction as `path: what is wrong; remedy`."""
    yield from _duplicate_names(answers)
    yield from _shared_values(answers)
    pools = {pool.name: pool for pool in answers.pools}
    for job in answers.jobs:
        for stage in job.stages:
            yield from _stage_errors(job, stage, pools)
    for service in answers.services:
        yield from _service_errors(service, pools)


def warnings(answers: Answers) -> Iterator[str]:
    """Yields what is allowed but looks like a mistake."""
    if not answers.operators:
        yield (
            "operators: there are none; only the tokens that the daemons'"
            " settings name may then submit"
        )
    if not answers.customers:
        yield "customers: there are none, so every request is refused"
    for job in answers.jobs:
        usual_ms = sum(stage.usually_takes_ms for stage in job.stages)
        if usual_ms > job.deadline_ms:
            yield (
                f"jobs/{job.name}: its stages usually take {usual_ms:g} ms"
                f" together, over its deadline of {job.deadline_ms:g} ms; allow"
                " more time or use faster stages"
            )
    used = {stage.pool for job in answers.jobs for stage in job.stages}
    used |= {service.pool for service in answers.services}
    for pool in answers.pools:
        if pool.name not in used:
            yield f"pools/{pool.name}: no job or service uses it"
        centres = {server.data_centre for server in pool.backend_servers}
        if len(centres) == 1 and len(pool.backend_servers) > 1:
            yield (
                f"pools/{pool.name}: all of it stands in {centres.pop()} and"
                " is lost with that data centre"
            )


def _duplicate_names(answers: Answers) -> Iterator[str]:
    lists: dict[str, Iterable[str]] = {
        "operators": (item.name for item in answers.operators),
        "customers": (item.name for item in answers.customers),
        "pools": (item.name for item in answers.pools),
        "jobs": (item.name for item in answers.jobs),
        "services": (item.name for item in answers.services),
        "pools/*/backend_servers": (
            server.name
            for pool in answers.pools
            for server in pool.backend_servers
        ),
    }
    for job in answers.jobs:
        lists[f"jobs/{job.name}/stages"] = (s.name for s in job.stages)
    for path, names in lists.items():
        for name in _repeated(names):
            yield f"{path}: two have the name {name!r}; give one another name"


def _shared_values(answers: Answers) -> Iterator[str]:
    addresses = (
        server.address
        for pool in answers.pools
        for server in pool.backend_servers
    )
    for address in _repeated(addresses):
        yield (
            f"pools/*/backend_servers: two have the address {address}; give"
            " each its own"
        )
    # A token that names two customers would show one the other's requests.
    for path, people in (
        ("customers", answers.customers),
        ("operators", answers.operators),
    ):
        hashes = (h for person in people for h in set(person.token_hashes))
        for shared in _repeated(hashes):
            yield (
                f"{path}: two share the token hash {shared[:8]}...; give each"
                " its own token"
            )


def _stage_errors(
    job: JobAnswer, stage: StageAnswer, pools: dict[str, PoolAnswer]
) -> Iterator[str]:
    path = f"jobs/{job.name}/stages/{stage.name}"
    pool = pools.get(stage.pool)
    if pool is None:
        yield _unknown_pool(f"{path}/pool", stage.pool, pools)
        return
    if not pool.calls_may_be_repeated:
        yield (
            f"{path}/pool: calls of {pool.name!r} may not be repeated, but"
            " stages are; make it a service that must_never_happen_twice, or"
            " say calls_may_be_repeated if that is true"
        )
    if pool.models and stage.model not in pool.models:
        yield (
            f"{path}/model: {stage.model!r} is no model of pool"
            f" {pool.name!r}; {checks.nearest(stage.model, pool.models)}"
        )


def _service_errors(
    service: ServiceAnswer, pools: dict[str, PoolAnswer]
) -> Iterator[str]:
    path = f"services/{service.name}"
    pool = pools.get(service.pool)
    if pool is None:
        yield _unknown_pool(f"{path}/pool", service.pool, pools)
    elif not (service.must_never_happen_twice or pool.calls_may_be_repeated):
        yield (
            f"{path}/must_never_happen_twice: is false, but calls of pool"
            f" {pool.name!r} may not be repeated; say true"
        )


def _unknown_pool(path: str, name: str, pools: Iterable[str]) -> str:
    return f"{path}: no pool is named {name!r}; {checks.nearest(name, pools)}"


def _repeated(names: Iterable[str]) -> list[str]:
    counts = collections.Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)
