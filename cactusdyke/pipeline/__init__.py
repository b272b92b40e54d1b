"""Pipelines: running stages under one deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.observe.cost import CostBook
from cactusdyke.observe.metrics import Metrics
from cactusdyke.observe.tracing import Tracing
from cactusdyke.pipeline.runner import PipelineRunner
from cactusdyke.routing.backend_client import BackendClient
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the pipeline runner."""
    app.setup_extension("cactusdyke.observe")
    app.setup_extension("cactusdyke.routing")
    app.add_service(
        "pipeline",
        PipelineRunner(
            clock=app.clock,
            router=app.service("router", Router),
            client=BackendClient(network=app.network),
            tracing=app.service("tracing", Tracing),
            metrics=app.service("metrics", Metrics),
            cost=app.service("cost", CostBook),
        ),
    )
    return ExtensionMetadata(version="1")
