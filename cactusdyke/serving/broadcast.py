"""Posts one message to many daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import orjson
from result import Ok

from cactusdyke.transport.messages import JSON_TYPE, Request
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.transport.network import Network

OK_STATUS = 200
CALL_TIMEOUT_MS = 500.0
MAX_CONCURRENT_CALLS = 16
"""To other daemons; a host can spend one core at most on them."""


async def post(
    network: Network, daemons: Iterable[PeerDaemon], path: str, body: Any
) -> list[str]:
    """Posts a message to daemons; returns the names of those that accept it.

    Args:
        network: Connections to other daemons.
        daemons: The receivers.
        path: Path of the request.
        body: The message, as JSON values.
    """
    request = Request(
        method="POST",
        path=path,
        headers={"content-type": JSON_TYPE},
        body=orjson.dumps(body),
    )
    options = CallOptions(
        connect_timeout_ms=CALL_TIMEOUT_MS,
        progress_timeout_ms=CALL_TIMEOUT_MS,
    )
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    accepted: list[str] = []

    async def post_to(daemon: PeerDaemon) -> None:
        async with limiter:
            answer = await network.fetch(daemon.address, request, options)
        if isinstance(answer, Ok) and answer.ok_value.status == OK_STATUS:
            accepted.append(daemon.name)

    async with anyio.create_task_group() as tasks:
        for daemon in daemons:
            tasks.start_soon(post_to, daemon)
    return accepted
