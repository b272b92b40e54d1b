"""The entry daemon: an application on real adapters, until SIGTERM."""

from __future__ import annotations

import random
import signal
import sys
from typing import TYPE_CHECKING

import anyio
import eliot
import prometheus_client

from cactusdyke import background, events
from cactusdyke.application import Application
from cactusdyke.clock import SystemClock
from cactusdyke.infrastructure import adapters
from cactusdyke.infrastructure.guarded_object_store import GuardedObjectStore
from cactusdyke.observe.traffic import MeteredNetwork, Traffic
from cactusdyke.serving.memory_metrics import MemoryMetrics
from cactusdyke.transport.asgi import AsgiAdapter
from cactusdyke.transport.connection_limit import ConnectionLimit
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.listener_shares import Listener, most_connections
from cactusdyke.transport.memory_budget import MemoryBudget
from cactusdyke.transport.resident_memory import ResidentMemory
from cactusdyke.transport.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cactusdyke.settings import Settings


async def run(settings: Settings) -> None:
    """Serves until a planned stop has been asked for and has ended.

    Raises:
        OSError: The address can't be bound.
    """
    clock = SystemClock()
    rng = random.SystemRandom()
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    traffic = Traffic(registry)
    async with HttpNetwork() as connections:
        network = MeteredNetwork(network=connections, traffic=traffic)
        app = Application(
            settings=settings,
            clock=clock,
            rng=rng,
            network=network,
            object_store=GuardedObjectStore(
                store=adapters.object_store(settings, network),
                clock=clock,
                rng=rng,
            ),
            host_list=adapters.host_list(settings, network),
            registry=registry,
        )
        app.setup_all()
        memory = MemoryBudget(clock=clock, memory_mb=lambda: settings.memory_mb)
        metrics = MemoryMetrics(registry)
        metrics.watch(memory)
        limit = ConnectionLimit(
            listener=Listener.FRONT.value,
            most=lambda: most_connections(
                Listener.FRONT,
                max_fds=settings.max_fds,
                memory_mb=settings.memory_mb,
            ),
            clock=clock,
        )
        metrics.watch_connections(limit)
        server = HttpServer(
            host=settings.host,
            port=settings.port,
            adapter=AsgiAdapter(
                handler=traffic.metered(app.routes.handle),
                clock=clock,
                budget=memory,
                is_draining=lambda: app.draining,
            ),
            connections=limit,
        )
        async with app, anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            resident = ResidentMemory(clock=clock, budget=memory)
            tasks.start_soon(background.keep_running, resident.run)
            events.log(
                events.Event.DAEMON_STARTED,
                daemon=settings.name,
                address=settings.address,
            )
            if not settings.peer_token:
                events.log(events.Event.PEERS_UNGUARDED, daemon=settings.name)
            # The handler stays until the end: a second signal, sent by an
            # impatient supervisor, would otherwise kill the process and cut
            # what the first one lets run to its end. So would SIGHUP.
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                await _stop_asked(signals)
                events.log(events.Event.DAEMON_DRAINING, daemon=settings.name)
                await app.drain()
                server.stop()
                await server.wait_stopped()
                tasks.cancel_scope.cancel()
        events.log(events.Event.DAEMON_STOPPED, daemon=settings.name)


async def _stop_asked(signals: AsyncIterator[signal.Signals]) -> None:
    async for number in signals:
        if number != signal.SIGHUP:
            return
        events.log(events.Event.SIGHUP_WITHOUT_EFFECT)


def main(settings: Settings) -> None:
    """Runs the daemon in this process."""
    if settings.log_file:
        # The log is open for as long as the process lives.
        eliot.to_file(open(settings.log_file, "ab"))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr)
    anyio.run(run, settings, backend="asyncio")
