"""The project's router without its prefix hints."""

from __future__ import annotations

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.configuration.model import BackendServer
from cactusdyke.routing.pool_index import PoolIndex
from cactusdyke.routing.router import Router


class NoHintsRouter(Router):
    """Chooses by load alone."""

    def _prefer_cached(
        self,
        index: PoolIndex,
        prefix: str,
        exclude: object,
        best: BackendServer,
    ) -> BackendServer:
        return best


def setup(app: Application) -> ExtensionMetadata:
    """Registers the router."""
    router = NoHintsRouter(
        clock=app.clock, rng=app.rng, data_centre=app.settings.data_centre
    )
    app.add_service("router", router)
    return ExtensionMetadata(version="1")
