"""Runs many daemons in one process, as the crowd around a measured one."""

from __future__ import annotations

import json
import pathlib
import random
import sys
from typing import Any

import anyio

from cactusdyke.application import Application
from cactusdyke.clock import SystemClock
from cactusdyke.infrastructure.host_list import HttpHostList
from cactusdyke.infrastructure.http_object_store import HttpObjectStore
from cactusdyke.settings import Settings
from cactusdyke.transport.asgi import AsgiAdapter
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.server import HttpServer
from cactusdyke.util import structure


async def _daemon(settings: Settings) -> None:
    clock = SystemClock()
    async with HttpNetwork() as network:
        app = Application(
            settings=settings,
            clock=clock,
            rng=random.Random(),
            network=network,
            object_store=HttpObjectStore(
                address=settings.object_service, network=network
            ),
            host_list=HttpHostList(address=settings.host_list, network=network),
        )
        app.setup_all()
        server = HttpServer(
            host=settings.host,
            port=settings.port,
            adapter=AsgiAdapter(handler=app.routes.handle, clock=clock),
        )
        async with app:
            await server.serve()


async def run(values: list[dict[str, Any]]) -> None:
    """Runs a daemon for each settings value until SIGTERM ends the process.

    The crowd has no callers to serve to the end, so it doesn't drain.
    """
    async with anyio.create_task_group() as tasks:
        for value in values:
            settings = structure.structure(
                value, Settings, name=value["name"]
            ).unwrap()
            tasks.start_soon(_daemon, settings)


if __name__ == "__main__":
    anyio.run(run, json.loads(pathlib.Path(sys.argv[1]).read_text()))
