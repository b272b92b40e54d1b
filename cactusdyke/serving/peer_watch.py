"""Finds out quickly that a daemon one waits for has gone silent."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.transport.messages import Request, Response, json_response
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.transport.network import Network

ALIVE_PATH = "/internal/v1/alive"
PROBE_INTERVAL_MS = 150.0
PROBE_TIMEOUT_MS = 250.0
MAX_FAILED_PROBES = 2
"""One question lost on the way must not move a whole service's batches."""
AVOIDANCE_MS = 2_000.0


class PeerWatch(Service):
    """Asks each daemon that something waits for whether it is still there.

    A call that waits for a batch says nothing for as long as the batch takes.
    A frozen or cut-off daemon is silent too; only a question tells them apart.
    One task a daemon asks, however many calls wait for it.
    """

    def __init__(self, *, clock: Clock, network: Network) -> None:
        self._clock = clock
        self._network = network
        self._waiting: dict[str, list[anyio.CancelScope]] = {}
        self._silent: dict[str, Instant] = {}
        self._watched: set[str] = set()
        self._heard: dict[str, Instant] = {}
        self._tasks: TaskGroup | None = None

    @property
    def silent(self) -> dict[str, Instant]:
        """Daemons that did not answer, and until when they are avoided."""
        now = self._clock.now()
        self._silent = {n: at for n, at in self._silent.items() if at > now}
        return self._silent

    def mark_silent(self, peer: PeerDaemon, *, detail: str) -> None:
        """Avoids a daemon for a while."""
        if peer.name not in self.silent:
            events.log(events.Event.PEER_SILENT, peer=peer.name, detail=detail)
        self._silent[peer.name] = self._clock.now() + AVOIDANCE_MS

    def record_answer(self, address: str) -> None:
        """Notes that a daemon has answered something.

        What is known need not be asked: beside other messages the questions
        were two fifths of all that a daemon sent.
        """
        self._heard[address] = self._clock.now()

    async def run(self) -> None:
        """Runs the questions."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def handle(self, request: Request) -> Response:
        """Answers another daemon's question."""
        del request
        return json_response({})

    @contextlib.contextmanager
    def cancel_if_silent(self, peer: PeerDaemon) -> Iterator[anyio.CancelScope]:
        """Cancels the block when the daemon goes silent."""
        with anyio.CancelScope() as scope:
            scopes = self._waiting.setdefault(peer.name, [])
            scopes.append(scope)
            self.start_probing(peer)
            try:
                yield scope
            finally:
                scopes.remove(scope)

    def start_probing(self, peer: PeerDaemon) -> None:
        """Begins to ask a daemon, if that is not under way."""
        if peer.name not in self._watched and self._tasks is not None:
            self._watched.add(peer.name)
            self._tasks.start_soon(self._watch, peer)

    async def _watch(self, peer: PeerDaemon) -> None:
        strikes = 0
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS)
            strikes = 0 if await self._ask(peer) else strikes + 1
            if not strikes and not self._waiting.get(peer.name):
                break
            if strikes >= MAX_FAILED_PROBES:
                self.mark_silent(peer, detail="no answer to two questions")
                for scope in self._waiting.pop(peer.name, ()):
                    scope.cancel()
                break
        self._watched.discard(peer.name)

    async def _ask(self, peer: PeerDaemon) -> bool:
        heard_at = self._heard.get(peer.address, -math.inf)
        if self._clock.now() - heard_at < PROBE_INTERVAL_MS:
            return True
        options = CallOptions(
            connect_timeout_ms=PROBE_TIMEOUT_MS,
            progress_timeout_ms=PROBE_TIMEOUT_MS,
        )
        request = Request(method="GET", path=ALIVE_PATH)
        answer = await self._network.fetch(peer.address, request, options)
        if answer.is_ok():
            self.record_answer(peer.address)
        return answer.is_ok()
