"""Composes and runs the daemon on the users' platform."""

from __future__ import annotations

import random
import signal
import sys
from typing import TYPE_CHECKING

import anyio
import eliot
import prometheus_client
from result import Err, Ok

from cactusdyke import background, events
from cactusdyke.clock import SystemClock
from cactusdyke.kernel import Kernel, Service
from cactusdyke.membership.control_client import ControlClient, ControlTraffic
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.membership.members import Members
from cactusdyke.observe.log_sink import LogSink
from cactusdyke.observe.tracing import Tracing, request_span, trace_id
from cactusdyke.platform import settings as platform_settings
from cactusdyke.platform.addresses import READY_PATH, RESOLVE_PATH, Addresses
from cactusdyke.platform.follow import (
    ConfigurationState,
    DeploymentState,
    EvacuationState,
    ReplicaState,
)
from cactusdyke.platform.registry import DaemonRegistry
from cactusdyke.platform.settings import Endpoint
from cactusdyke.platform.store import StoreClient
from cactusdyke.platform.stream_store import PlatformOriginStore
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.core import ServingCore
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.memory_metrics import MemoryMetrics
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.peers import size_class
from cactusdyke.serving.planned_stop import PlannedStop
from cactusdyke.serving.processor_load import ProcessorLoad
from cactusdyke.serving.state_exchange import STATE_PATH, StateExchange
from cactusdyke.serving.state_traffic import StateTraffic
from cactusdyke.transport.allocator import return_large_buffers
from cactusdyke.transport.connection_limit import ConnectionLimit
from cactusdyke.transport.direct_server import DirectServer
from cactusdyke.transport.event_loop import new_event_loop
from cactusdyke.transport.exchange import SocketConnections
from cactusdyke.transport.front import Front
from cactusdyke.transport.front_interface import Limits
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.listener_shares import (
    SHARES,
    Listener,
    most_connections,
)
from cactusdyke.transport.memory_budget import MemoryBudget
from cactusdyke.transport.messages import Request, Response, json_response
from cactusdyke.transport.resident_memory import ResidentMemory
from cactusdyke.transport.routes import Routes
from cactusdyke.transport.tunnel import SocketTunnels

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.platform.settings import PlatformSettings
    from cactusdyke.transport.messages import Handler
    from cactusdyke.transport.network import Network

SETTINGS_LOOK_MS = 2_000.0
METRICS_PATH = "/metrics"
SPANS_PATH = "/internal/v1/spans"
KEPT_SPANS = 2_000
"""Spans of some minutes on a busy daemon. They take 3 MB of memory; a small
host has 200."""
MOST_STATE_BYTES = 16 << 20


class Daemon:
    """One daemon: its services and listeners, from start to planned stop."""

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        settings_path: str,
        clock: Clock,
        rng: random.Random,
        network: Network,
        sink: LogSink,
        metrics_port: int = 0,
    ) -> None:
        self._settings = settings
        self._metrics_port = metrics_port
        self._settings_path = settings_path
        self._clock = clock
        self._rng = rng
        self._network = network
        self._sink = sink
        self._stopping = PlannedStop(
            clock=clock,
            daemon=settings.node,
            grace_ms=lambda: self._settings.grace_ms,
        )
        self._announced_ready = False
        self._kernel = Kernel()
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        self._registry.register(background.FAILURES)
        self._build()

    @property
    def ready(self) -> bool:
        """Whether this daemon accepts new callers."""
        informed = self._deployment.ready and self._core.quarantine.loaded
        return informed and not self._stopping.started

    def _build(self) -> None:
        clock, rng, network = self._clock, self._rng, self._network
        self._deployment = Deployment(
            clock=clock, follows_evacuations=self._settings.follows_evacuations
        )
        state_traffic = StateTraffic(self._registry)
        store = StoreClient(
            address=self._settings.store,
            network=network,
            clock=clock,
            traffic=state_traffic,
        )
        registry = self._daemon_registry = DaemonRegistry(
            settings=self._settings, store=store, clock=clock
        )
        traffic = ControlTraffic(self._registry)
        self._members = Members(
            settings=self._settings.product_settings(),
            clock=clock,
            rng=rng,
            client=ControlClient(network=network, traffic=traffic),
            traffic=traffic,
            host_list=registry,
            revision=lambda: self._deployment.version,
        )
        load = ProcessorLoad(clock=clock, cores=self._settings.cores)
        self._view = MemberView(
            clock=clock,
            members=self._members,
            public_address=self._settings.front.address,
            size_class=size_class(
                cores=self._settings.cores, link_mbps=self._settings.link_mbps
            ),
            ready=lambda: self.ready,
            decided_hashes=lambda: self._core.decided_service_hashes,
            min_count=lambda: max(
                registry.registered_count, len(self._settings.seeds) + 1
            ),
            listed_at=lambda: registry.listed_at,
            busy=lambda: load.busy,
            cut_off=lambda: self._core.cut_off,
        )
        kinds: list[type[DeploymentState]] = [ConfigurationState, ReplicaState]
        if self._settings.follows_evacuations:
            kinds.append(EvacuationState)
        states = [
            kind(store=store, clock=clock, deployment=self._deployment)
            for kind in kinds
        ]
        self._deployment.on_change(self._announce_when_ready)
        self._exchange = StateExchange(
            clock=clock,
            rng=rng,
            network=network,
            daemons=self._view,
            states=states,
            timings=lambda: self._settings.state_timings,
            traffic=state_traffic,
        )
        self._tracing = Tracing(daemon=self._settings.node, kept=KEPT_SPANS)
        metrics = ServingMetrics(self._registry)
        metrics.watch_deployment(self._deployment)
        memory = MemoryBudget(
            clock=clock, memory_mb=lambda: self._settings.memory_mb
        )
        self._memory = memory
        self._memory_metrics = MemoryMetrics(self._registry)
        self._memory_metrics.watch(memory)
        self._core = ServingCore(
            clock=clock,
            rng=rng,
            network=network,
            connections=SocketConnections(clock=clock, budget=memory),
            tunnels=SocketTunnels(clock=clock, budget=memory),
            dialect=PlatformDialect(),
            deployment=self._deployment,
            daemons=self._view,
            data_centre=self._settings.zone,
            retry_allowance=lambda: self._settings.retries,
            cold_allowance=lambda: self._settings.cold_requests,
            stop_times=lambda: self._stopping.times,
            announce=self._members.announce,
            quarantine_store=registry,
            origin_store=PlatformOriginStore(
                store=store, daemon=self._settings.node
            ),
            metrics=metrics,
            tracing=self._tracing,
            memory=memory,
        )
        registry.keep(self._core.quarantine)
        registry.pass_on(self._core.retry_budget)
        self._core.quarantine.on_loaded(self._announce_when_ready)
        self._members.attach("crash-evidence", self._core.quarantine.attachment)
        self._members.attach("limits", self._core.limits_attachment)
        self._members.attach("leaving", self._core.statements_attachment)
        self._front = Front(
            host=self._settings.front.host,
            port=self._settings.front.port,
            handler=self._core.forwarder,
            clock=clock,
            limits=self._limits,
            budget=memory,
            connections=self._connection_limit(Listener.FRONT),
        )
        services: dict[str, Service] = {
            "log_sink": self._sink,
            "tracing": self._tracing,
            "deployment": self._deployment,
            "registry": registry,
            "membership": self._members,
            "state_exchange": self._exchange,
            "serving_metrics": metrics,
            **self._core.services,
        }
        for name, service in services.items():
            self._kernel.add(name, service)

    def _announce_when_ready(self) -> None:
        """Announces this daemon once, as it becomes ready.

        An announcement probes many daemons, and each change of a replica
        reaches every daemon.
        """
        if self.ready and not self._announced_ready:
            self._announced_ready = True
            self._members.announce()

    async def run(self) -> None:
        """Serves until a planned stop has ended."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with self._kernel, anyio.create_task_group() as tasks:
                for listener, endpoint, routes in self._interfaces():
                    server = self._server(listener, endpoint, routes)
                    tasks.start_soon(server.serve)
                metrics = self._metrics_server()
                if metrics is not None:
                    tasks.start_soon(background.keep_running, metrics.serve)
                tasks.start_soon(self._front.serve)
                resident = ResidentMemory(
                    clock=self._clock, budget=self._memory
                )
                tasks.start_soon(background.keep_running, resident.run)
                tasks.start_soon(
                    background.keep_running, self._look_at_settings
                )
                events.log(
                    events.Event.DAEMON_STARTED,
                    daemon=self._settings.node,
                    address=self._settings.front.address,
                )
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload("SIGHUP")
                    else:
                        break
                in_flight = await self.stop()
                tasks.cancel_scope.cancel()
        events.log(
            events.Event.DAEMON_STOPPED,
            daemon=self._settings.node,
            in_flight=in_flight,
        )
        self._sink.flush()

    def _connection_limit(self, listener: Listener) -> ConnectionLimit:
        limit = ConnectionLimit(
            listener=listener.value,
            most=lambda: most_connections(
                listener,
                max_fds=self._settings.max_fds,
                memory_mb=self._settings.memory_mb,
            ),
            clock=self._clock,
        )
        self._memory_metrics.watch_connections(limit)
        return limit

    def _interfaces(self) -> list[tuple[Listener, Endpoint, Routes]]:
        addresses = Addresses(view=self._view, ready=lambda: self.ready)
        peers = Routes()
        for method, path, handler in self._peer_routes():
            peers.add(method, path, handler)
        peers.add("GET", METRICS_PATH, self._metrics)
        directory = Routes()
        directory.add("GET", RESOLVE_PATH, addresses.resolve)
        ready = Routes()
        ready.add("GET", READY_PATH, addresses.ready)
        return [
            (Listener.DAEMONS, self._settings.peer, peers),
            (Listener.DIRECTORY, self._settings.directory, directory),
            (Listener.READINESS, self._settings.ready, ready),
        ]

    def _metrics_server(self) -> DirectServer | None:
        """Returns the listener for metrics, None if its port is taken.

        Its port stands in the deploy file, while the platform draws all others
        each time: one of them may be the same. Callers are worth more.
        """
        if not self._metrics_port:
            return None
        routes = Routes()
        routes.add("GET", METRICS_PATH, self._metrics)
        try:
            return self._server(
                Listener.METRICS,
                Endpoint(
                    host=self._settings.front.host, port=self._metrics_port
                ),
                routes,
            )
        except OSError as error:
            events.log(
                events.Event.METRICS_NOT_SERVED,
                port=self._metrics_port,
                detail=str(error),
            )
            return None

    def _server(
        self, listener: Listener, endpoint: Endpoint, routes: Routes
    ) -> DirectServer:
        is_internal = listener is Listener.DAEMONS
        return DirectServer(
            host=endpoint.host,
            port=endpoint.port,
            handler=routes.handle,
            max_body_bytes=MOST_STATE_BYTES if is_internal else 0,
            clock=self._clock,
            budget=self._memory,
            connections=self._connection_limit(listener),
            receive_buffer_bytes=SHARES[listener].buffer_bytes,
            tunnels=self._core.tunnel_gate if is_internal else None,
        )

    def _peer_routes(self) -> list[tuple[str, str, Handler]]:
        return [
            ("POST", GOSSIP_PATH, self._members.handle),
            *self._core.peer_routes,
            ("GET", STATE_PATH, self._exchange.handle),
            ("GET", SPANS_PATH, self._spans),
        ]

    async def _spans(self, request: Request) -> Response:
        """Returns the spans that this daemon kept of a request."""
        span = request_span(request.query.get("request_id", ""))
        return json_response({"spans": self._tracing.find(trace_id(span))})

    async def _metrics(self, request: Request) -> Response:
        del request
        return Response(
            headers={"content-type": prometheus_client.CONTENT_TYPE_LATEST},
            body=prometheus_client.generate_latest(self._registry),
        )

    def _limits(self) -> Limits:
        configuration = self._deployment.configuration
        if configuration is None:
            return Limits(
                max_header_bytes=16_384,
                max_body_bytes=4_194_304,
                header_timeout_ms=3_000.0,
                idle_timeout_ms=15_000.0,
            )
        limits = configuration.limits
        return Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )

    async def stop(self) -> int:
        """Stops gracefully; returns how many requests were cut."""
        aborted = await self._stopping.run(
            self._front,
            drain=self._kernel.drain,
            end_requests=self._core.forwarder.end_before_stop,
        )
        await self._daemon_registry.leave_share(self._core.retry_budget.close())
        return aborted

    async def _look_at_settings(self) -> None:
        """Reloads settings that changed without a signal, or at the start."""
        known = _content(self._settings_path)
        if platform_settings.load(self._settings_path) != Ok(self._settings):
            self._reload("the file changed during the start")
        while True:
            await self._clock.sleep(SETTINGS_LOOK_MS)
            content = _content(self._settings_path)
            if content != known:
                known = content
                self._reload("the file changed")

    def _reload(self, cause: str) -> None:
        loaded = platform_settings.load(self._settings_path)
        if isinstance(loaded, Err):
            events.log(
                events.Event.SETTINGS_REJECTED,
                cause=cause,
                detail=loaded.err_value.message,
            )
            return
        self._settings = loaded.ok_value
        events.log(events.Event.SETTINGS_RELOADED, cause=cause)


def _content(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError:
        return b""


async def run(
    settings: PlatformSettings, settings_path: str, metrics_port: int
) -> None:
    """Runs one daemon until a planned stop has ended.

    Args:
        settings: The decoded settings.
        settings_path: The file they were read from.
        metrics_port: Port that serves metrics; 0 to serve them only on
            the port between daemons.
    """
    clock = SystemClock()
    sink = LogSink(
        clock=clock, daemon=settings.node, descriptor=sys.stdout.fileno()
    )
    eliot.add_destinations(sink)
    async with HttpNetwork() as network:
        await Daemon(
            settings=settings,
            settings_path=settings_path,
            clock=clock,
            # Chances only: what the system's source costs is a call each.
            rng=random.Random(random.SystemRandom().getrandbits(128)),
            network=network,
            sink=sink,
            metrics_port=metrics_port,
        ).run()


def main() -> int:
    """Runs the daemon that the settings file describes."""
    path = platform_settings.path()
    loaded = platform_settings.load(path)
    if isinstance(loaded, Err):
        print(loaded.err_value.message, file=sys.stderr)
        return 2
    port = platform_settings.metrics_port()
    if isinstance(port, Err):
        print(port.err_value.message, file=sys.stderr)
        return 2
    return_large_buffers()
    anyio.run(
        run,
        loaded.ok_value,
        path,
        port.ok_value,
        backend="asyncio",
        backend_options={"loop_factory": new_event_loop},
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
