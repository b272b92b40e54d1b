"""Runs one stand-in as a process: `python -m standins.serve KIND ...`."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import anyio
import fire

from cactusdyke.clock import SystemClock
from cactusdyke.transport.asgi import AsgiAdapter
from cactusdyke.transport.server import HttpServer
from standins.engine import Engine
from standins.host_list import HostListService
from standins.object_service import ObjectService
from standins.plain import PlainServer

if TYPE_CHECKING:
    from standins.base import StandIn

KINDS: dict[str, type[StandIn]] = {
    "object_service": ObjectService,
    "host_list": HostListService,
    "engine": Engine,
    "plain": PlainServer,
}

# Nothing of theirs is lost by a cut: a watch would hold the stop up.
WITHOUT_GRACE = ("object_service", "host_list")


async def serve(kind: str, host: str, port: int, options: dict[str, Any]):
    """Serves a stand-in until it is told to stop."""
    clock = SystemClock()
    stand_in = KINDS[kind](clock=clock, **options)
    server = HttpServer(
        host=host,
        port=port,
        adapter=AsgiAdapter(handler=stand_in.routes.handle, clock=clock),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        server.stop()
        if kind in WITHOUT_GRACE:
            tasks.cancel_scope.cancel()


def main(kind: str, port: int, host: str = "127.0.0.1", **options: Any) -> None:
    """Runs the stand-in KIND on a port, with its own options."""
    anyio.run(serve, kind, host, port, options)


if __name__ == "__main__":
    fire.Fire(main)
