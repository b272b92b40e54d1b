"""Registers the services of this package with the application."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.observe.cost import CostBook
from cactusdyke.observe.metrics import Metrics
from cactusdyke.observe.tracing import Tracing

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers metrics, tracing and the cost book."""
    app.add_service("metrics", Metrics(app.metrics))
    app.add_service("tracing", Tracing(daemon=app.settings.name))
    app.add_service("cost", CostBook())
    return ExtensionMetadata(version="1")
