"""Runs the stages of a pipeline under one deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.observe.cost import CostBook
from cactusdyke.observe.metrics import Metrics
from cactusdyke.observe.tracing import Tracing
from cactusdyke.pipeline.attempts import Attempts
from cactusdyke.pipeline.budgets import AttemptBudgets
from cactusdyke.pipeline.deadline import DeadlineShares
from cactusdyke.pipeline.retries import RetryPolicy
from cactusdyke.pipeline.runner import PipelineRunner
from cactusdyke.pipeline.streamed_stage import StreamedStage
from cactusdyke.pipeline.timings import Timings
from cactusdyke.pipeline.token_meter import TokenMeters
from cactusdyke.pipeline.whole_stage import WholeStage
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the `timings` and `pipeline` services."""
    app.setup_extension("cactusdyke.observe.extension")
    app.setup_extension("cactusdyke.routing")
    app.add_service("timings", Timings(clock=app.clock))
    app.add_service("pipeline", _runner(app))
    return ExtensionMetadata(version="1")


def _runner(app: Application) -> PipelineRunner:
    clock = app.clock
    metrics = app.service("metrics", Metrics)
    router = app.service("router", Router)
    tracing = app.service("tracing", Tracing)
    timings = app.service("timings", Timings)
    budgets = AttemptBudgets()
    shares = DeadlineShares(clock=clock, timings=timings)
    retries = RetryPolicy(
        clock=clock,
        rng=app.rng,
        router=router,
        metrics=metrics,
        timings=timings,
        budgets=budgets,
    )
    attempts = Attempts(
        clock=clock,
        router=router,
        client=BackendClient(network=app.network),
        tracing=tracing,
        metrics=metrics,
        cost=app.service("cost", CostBook),
        timings=timings,
        budgets=budgets,
    )
    return PipelineRunner(
        whole_stage=WholeStage(
            clock=clock,
            attempts=attempts,
            retries=retries,
            shares=shares,
            metrics=metrics,
        ),
        streamed_stage=StreamedStage(
            clock=clock,
            attempts=attempts,
            retries=retries,
            shares=shares,
            timings=timings,
            metrics=metrics,
        ),
        meters=TokenMeters(clock=clock, timings=timings, metrics=metrics),
        tracing=tracing,
    )
