"""A router that believes the last report: the least loaded one, always."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.clock import Instant
from cactusdyke.configuration.model import BackendServer, Pool
from cactusdyke.routing.load_tracker import LoadTracker
from cactusdyke.routing.messages import LoadReport
from cactusdyke.routing.router import Router


class _ReportBook(LoadTracker):
    """Keeps what was reported last, and nothing of its age."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.reported: dict[str, int] = {}

    def record_report(
        self, server_name: str, report: LoadReport, received_at: Instant
    ) -> None:
        """Takes in a report."""
        self.reported[server_name] = report.running + report.waiting


class ReportRouter(Router):
    """Chooses by last reports alone."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._load: _ReportBook = _ReportBook(clock=options["clock"])

    def choose(
        self,
        pool: Pool,
        *,
        exclude: Collection[str] = (),
        prefix: str = "",
        attainment_weight: float = 1.0,
    ) -> BackendServer | None:
        """Returns the backend server that reported the least."""
        usable = [s for s in pool.backend_servers if s.name not in exclude]
        if not usable:
            return None
        return min(usable, key=lambda s: self._load.reported.get(s.name, 0))


def setup(app: Application) -> ExtensionMetadata:
    """Registers the router."""
    router = ReportRouter(
        clock=app.clock, rng=app.rng, data_centre=app.settings.data_centre
    )
    app.add_service("router", router)
    return ExtensionMetadata(version="1")
