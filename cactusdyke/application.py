"""The daemon as an object: settings in, services loaded by name."""

from __future__ import annotations

import contextlib
import importlib
from typing import TYPE_CHECKING, Self

import attrs
import prometheus_client

from cactusdyke.kernel import Kernel, Service, ServiceType
from cactusdyke.transport.peer_guard import (
    INTERNAL_PREFIX,
    PeerNetwork,
    guarded,
)
from cactusdyke.transport.routes import Routes

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping
    from types import TracebackType

    from cactusdyke.clock import Clock
    from cactusdyke.infrastructure.host_list import HostList
    from cactusdyke.infrastructure.object_store import ObjectStore
    from cactusdyke.settings import Settings
    from cactusdyke.transport.messages import Handler
    from cactusdyke.transport.network import Network

BUILTIN_EXTENSIONS = (
    "cactusdyke.observe.extension",
    "cactusdyke.configuration",
    "cactusdyke.membership.extension",
    "cactusdyke.limits",
    "cactusdyke.routing",
    "cactusdyke.load",
    "cactusdyke.pipeline",
    "cactusdyke.limits.overload",
    "cactusdyke.booking",
    "cactusdyke.orders",
    "cactusdyke.api",
)


@attrs.frozen(kw_only=True)
class ExtensionMetadata:
    """What an extension's `setup` returns.

    Attributes:
        version: The extension's own version.
    """

    version: str


class Application:
    """One daemon: its adapters, its services and its routes.

    Everything that a decision can sense or do comes in here, so that the same
    services run on real adapters and on others.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        network: Network,
        object_store: ObjectStore,
        host_list: HostList,
        registry: prometheus_client.CollectorRegistry | None = None,
        replacements: Mapping[str, str] | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._network = (
            PeerNetwork(network=network, token=settings.peer_token)
            if settings.peer_token
            else network
        )
        self._object_store = object_store
        self._host_list = host_list
        self._replacements = replacements or {}
        self._kernel = Kernel()
        self._routes = Routes()
        self._extensions: dict[str, ExtensionMetadata] = {}
        self._registry = registry or prometheus_client.CollectorRegistry()
        self._draining = False
        self._stack = contextlib.AsyncExitStack()

    @property
    def settings(self) -> Settings:
        """The daemon's settings."""
        return self._settings

    @property
    def clock(self) -> Clock:
        """The daemon's clock."""
        return self._clock

    @property
    def rng(self) -> random.Random:
        """The daemon's source of random numbers."""
        return self._rng

    @property
    def network(self) -> Network:
        """How the daemon calls others."""
        return self._network

    @property
    def object_store(self) -> ObjectStore:
        """The platform's object service."""
        return self._object_store

    @property
    def host_list(self) -> HostList:
        """The platform's host list."""
        return self._host_list

    @property
    def routes(self) -> Routes:
        """Which handler answers which path."""
        return self._routes

    @property
    def metrics(self) -> prometheus_client.CollectorRegistry:
        """The daemon's metrics."""
        return self._registry

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining

    def setup_extension(self, name: str) -> None:
        """Loads an extension by module name, once.

        An extension that the application was built to replace is loaded from
        the module that stands in for it, under its own name.

        Raises:
            ImportError: There is no such module.
            TypeError: The module has no `setup`, or it returns no metadata.
        """
        if name in self._extensions:
            return
        module = importlib.import_module(self._replacements.get(name, name))
        setup = getattr(module, "setup", None)
        if setup is None:
            raise TypeError(f"the extension {name} has no setup(app)")
        metadata = setup(self)
        if not isinstance(metadata, ExtensionMetadata):
            raise TypeError(f"setup of {name} returned no ExtensionMetadata")
        self._extensions[name] = metadata

    def setup_all(self) -> None:
        """Loads the built-in extensions and those the settings name."""
        for name in (*BUILTIN_EXTENSIONS, *self._settings.extensions):
            self.setup_extension(name)

    def add_service(self, name: str, service: Service) -> None:
        """Registers a service under its name."""
        self._kernel.add(name, service)

    def service(self, name: str, kind: type[ServiceType]) -> ServiceType:
        """Returns the service of that name."""
        return self._kernel.find(name, kind)

    def add_route(self, method: str, path: str, handler: Handler) -> None:
        """Registers the handler of a method and path."""
        token = self._settings.peer_token
        if token and path.startswith(INTERNAL_PREFIX):
            handler = guarded(handler, token=token)
        self._routes.add(method, path, handler)

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._kernel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    async def drain(self) -> None:
        """Begins a planned stop; returns when nothing is in flight."""
        self._draining = True
        await self._kernel.drain()
