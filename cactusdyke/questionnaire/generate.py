"""Generates a configuration from answers, the same for the same answers."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration import model
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.questionnaire import check
from cactusdyke.questionnaire.answers import (
    Answers,
    CustomerAnswer,
    JobAnswer,
    PersonAnswer,
    PoolAnswer,
    ServiceAnswer,
    StageAnswer,
)


def generate(answers: Answers) -> Result[model.Configuration, Failure]:
    """Returns the configuration, or every contradiction in the answers."""
    problems = list(check.errors(answers))
    if problems:
        return Err(
            Failure(kind=FailureKind.INVALID, detail="; ".join(problems))
        )
    return Ok(
        model.Configuration(
            revision=0,
            policy=model.Policy(
                deployment=answers.deployment,
                attainment_weight=answers.attainment_against_cost,
                when_unconfirmed=answers.when_cut_off,
                unconfirmed_after_ms=answers.cut_off_after_ms,
            ),
            customers={
                c.name: model.Customer(**_fields(c)) for c in answers.customers
            },
            operators={
                o.name: model.Operator(**_fields(o)) for o in answers.operators
            },
            pools={p.name: _pool(p) for p in answers.pools},
            pipelines={job.name: _pipeline(job) for job in answers.jobs},
            services={
                s.name: model.PlainService(
                    name=s.name,
                    pool=s.pool,
                    idempotent=not s.must_never_happen_twice,
                    answers_by_key=s.can_be_asked_by_key,
                    deadline_ms=s.deadline_ms,
                )
                for s in answers.services
            },
        )
    )


def answers_of(configuration: model.Configuration) -> Answers:
    """Returns answers that generate the configuration, lists by name."""
    policy = configuration.policy
    return Answers(
        deployment=policy.deployment,
        attainment_against_cost=policy.attainment_weight,
        when_cut_off=policy.when_unconfirmed,
        cut_off_after_ms=policy.unconfirmed_after_ms,
        operators=tuple(
            PersonAnswer(**_fields(o))
            for _, o in sorted(configuration.operators.items())
        ),
        customers=tuple(
            CustomerAnswer(**_fields(c))
            for _, c in sorted(configuration.customers.items())
        ),
        pools=tuple(
            PoolAnswer(
                name=p.name,
                kind=p.kind,
                backend_servers=p.backend_servers,
                checks_fencing_numbers=p.checks_fencing,
                calls_may_be_repeated=p.calls_repeatable,
                models=p.models,
            )
            for _, p in sorted(configuration.pools.items())
        ),
        jobs=tuple(_job(p) for _, p in sorted(configuration.pipelines.items())),
        services=tuple(
            ServiceAnswer(
                name=s.name,
                pool=s.pool,
                must_never_happen_twice=not s.idempotent,
                can_be_asked_by_key=s.answers_by_key,
                deadline_ms=s.deadline_ms,
            )
            for _, s in sorted(configuration.services.items())
        ),
    )


def _fields(value: attrs.AttrsInstance) -> dict[str, Any]:
    return attrs.asdict(value, recurse=False)


def _pool(pool: PoolAnswer) -> model.Pool:
    # Ordered by name, so that the order of the answers changes nothing.
    servers = sorted(pool.backend_servers, key=lambda server: server.name)
    return model.Pool(
        name=pool.name,
        kind=pool.kind,
        backend_servers=tuple(servers),
        checks_fencing=pool.checks_fencing_numbers,
        calls_repeatable=pool.calls_may_be_repeated,
        models=pool.models,
    )


def _job(pipeline: model.Pipeline) -> JobAnswer:
    return JobAnswer(
        name=pipeline.name,
        stages=tuple(
            StageAnswer(
                name=stage.name,
                pool=stage.pool,
                model=stage.model,
                usually_takes_ms=stage.expected_ms,
            )
            for stage in pipeline.stages
        ),
        deadline_ms=pipeline.deadline_ms,
        priority=pipeline.priority,
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
