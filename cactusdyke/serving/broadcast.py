"""Posts one message to many daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import orjson
from result import Ok

from cactusdyke.transport.messages import JSON_TYPE, Request
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.transport.network import Network

OK_STATUS = 200
CALL_TIMEOUT_MS = 500.0
MAX_CONCURRENT_CALLS = 16
"""To other daemons; a host can spend one core at most on them."""


class Broadcaster:
    """Posts messages to many daemons, to those that answer first.

    Silent daemons would otherwise hold the few calls at a time until these time
    out, and all others would get the message later.
    """

    def __init__(self, *, network: Network) -> None:
        self._network = network
        self._tried: set[str] = set()
        self._answering: set[str] = set()

    async def post(
        self, daemons: Iterable[PeerDaemon], path: str, body: Any
    ) -> None:
        """Posts a message to daemons; several may be under way at once."""
        ordered = sorted(daemons, key=self._rank)
        names = {daemon.name for daemon in ordered}
        self._tried &= names
        self._answering &= names
        await post(
            self._network,
            ordered,
            path,
            body,
            on_call=self._note_call,
            on_accepted=self._answering.add,
        )

    def _rank(self, daemon: PeerDaemon) -> int:
        if daemon.name in self._answering:
            return 0
        return 2 if daemon.name in self._tried else 1

    def _note_call(self, name: str) -> None:
        self._tried.add(name)
        self._answering.discard(name)


async def post(
    network: Network,
    daemons: Iterable[PeerDaemon],
    path: str,
    body: Any,
    *,
    on_call: Callable[[str], None] = lambda name: None,
    on_accepted: Callable[[str], None] = lambda name: None,
) -> list[str]:
    """Posts a message to daemons; returns the names of those that accept it.

    Args:
        network: Connections to other daemons.
        daemons: The receivers, the first ones first.
        path: Path of the request.
        body: The message, as JSON values.
        on_call: Called with a daemon's name before it is called.
        on_accepted: Called with its name once it has accepted the message.
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
            on_call(daemon.name)
            answer = await network.fetch(daemon.address, request, options)
        if isinstance(answer, Ok) and answer.ok_value.status == OK_STATUS:
            accepted.append(daemon.name)
            on_accepted(daemon.name)

    async with anyio.create_task_group() as tasks:
        for daemon in daemons:
            tasks.start_soon(post_to, daemon)
    return accepted
