"""Generates a configuration from answers, the same for the same answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration import model
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from cactusdyke.questionnaire.answers import Answers, JobAnswer


def generate(answers: Answers) -> Result[model.Configuration, Failure]:
    """Returns the configuration, or every contradiction in the answers."""
    problems = list(_problems(answers))
    if problems:
        return Err(
            Failure(kind=FailureKind.INVALID, detail="; ".join(problems))
        )
    return Ok(
        model.Configuration(
            revision=0,
            policy=model.Policy(
                attainment_weight=answers.attainment_against_cost,
                when_unconfirmed=answers.when_cut_off,
                unconfirmed_after_ms=answers.cut_off_after_ms,
            ),
            customers={
                c.name: model.Customer(**attrs.asdict(c))
                for c in answers.customers
            },
            operators={
                o.name: model.Operator(**attrs.asdict(o))
                for o in answers.operators
            },
            pools={
                p.name: model.Pool(
                    name=p.name,
                    kind=p.kind,
                    backend_servers=p.backend_servers,
                    checks_fencing=p.checks_fencing_numbers,
                    calls_repeatable=p.calls_may_be_repeated,
                    models=p.models,
                )
                for p in answers.pools
            },
            pipelines={job.name: _pipeline(job) for job in answers.jobs},
            services={
                s.name: model.PlainService(
                    name=s.name,
                    pool=s.pool,
                    idempotent=not s.must_never_happen_twice,
                    deadline_ms=s.deadline_ms,
                )
                for s in answers.services
            },
        )
    )


def _pipeline(job: JobAnswer) -> model.Pipeline:
    return model.Pipeline(
        name=job.name,
        stages=tuple(
            model.Stage(
                name=stage.name,
                pool=stage.pool,
                model=stage.model,
                expected_ms=stage.usually_takes_ms,
            )
            for stage in job.stages
        ),
        deadline_ms=job.deadline_ms,
        priority=job.priority,
    )


def _problems(answers: Answers) -> list[str]:
    pools = {pool.name for pool in answers.pools}
    problems = []
    for job in answers.jobs:
        for stage in job.stages:
            if stage.pool not in pools:
                problems.append(
                    f"jobs/{job.name}/{stage.name}/pool: no pool is named"
                    f" {stage.pool!r}; name one of {sorted(pools)}"
                )
    for service in answers.services:
        if service.pool not in pools:
            problems.append(
                f"services/{service.name}/pool: no pool is named"
                f" {service.pool!r}; name one of {sorted(pools)}"
            )
    return problems
