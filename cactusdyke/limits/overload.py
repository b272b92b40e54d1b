"""The extension for admission control and load shedding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata
from cactusdyke.limits.fair_admission import FairAdmission
from cactusdyke.limits.pool_limits import PoolLimits
from cactusdyke.membership.members import Members
from cactusdyke.observe.metrics import Metrics
from cactusdyke.pipeline.timings import Timings
from cactusdyke.routing.router import Router

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers the admission service."""
    app.setup_extension("cactusdyke.membership.extension")
    app.setup_extension("cactusdyke.pipeline")
    members = app.service("membership", Members)
    pool_limits = PoolLimits(
        clock=app.clock,
        rng=app.rng,
        timings=app.service("timings", Timings),
        router=app.service("router", Router),
        daemons=lambda: len(members.serving()),
    )
    admission = FairAdmission(
        clock=app.clock,
        rng=app.rng,
        pool_limits=pool_limits,
        metrics=app.service("metrics", Metrics),
    )
    app.add_service("admission", admission)
    return ExtensionMetadata(version="1")
