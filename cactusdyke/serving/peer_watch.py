"""Detects within a second that a daemon with pending calls is silent."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio

from cactusdyke import events
from cactusdyke.background import background_tasks
from cactusdyke.kernel import Service
from cactusdyke.transport.messages import Request, Response, json_response
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.transport.network import Network

ALIVE_PATH = "/internal/v1/alive"
PROBE_INTERVAL_MS = 300.0
"""About the length of a call for a batch: most end before a probe is due. With
half of it, probes were 68 of 190 requests a second at a decider."""
RETRY_INTERVAL_MS = 150.0
"""Between a failed probe and the next one."""
PROBE_TIMEOUT_MS = 250.0
SILENT_AFTER_FAILED_PROBES = 2
"""With 1, a single lost probe would move all batches of a service."""
AVOIDANCE_MS = 2_000.0
"""How long a silent daemon gets no calls."""


class PeerWatch(Service):
    """Probes each daemon that has pending calls from this one.

    A call for a batch receives no bytes for as long as the batch takes, which
    looks the same as a frozen or unreachable daemon; a probe tells them apart.
    One task probes each daemon, however many calls are pending there.
    """

    def __init__(self, *, clock: Clock, network: Network) -> None:
        self._clock = clock
        self._network = network
        self._scopes: dict[str, list[anyio.CancelScope]] = {}
        self._silent_until: dict[str, Instant] = {}
        self._probed: set[str] = set()
        self._answered_at: dict[str, Instant] = {}
        self._tasks: BackgroundTasks | None = None

    @property
    def silent(self) -> dict[str, Instant]:
        """Silent daemons, each with the time until which it is avoided."""
        now = self._clock.now()
        self._silent_until = {
            n: at for n, at in self._silent_until.items() if at > now
        }
        return self._silent_until

    def mark_silent(self, peer: PeerDaemon, *, detail: str) -> None:
        """Records that a daemon does not answer; it is avoided for a while."""
        if peer.name not in self.silent:
            events.log(events.Event.PEER_SILENT, peer=peer.name, detail=detail)
        self._silent_until[peer.name] = self._clock.now() + AVOIDANCE_MS

    def record_answer(self, address: str) -> None:
        """Records that a daemon has answered any request.

        Recent answers replace probes, which would otherwise be two fifths of
        all messages that a daemon sends.
        """
        self._answered_at[address] = self._clock.now()

    async def run(self) -> None:
        """Runs the probes until it is cancelled."""
        async with background_tasks() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def handle(self, request: Request) -> Response:
        """Answers another daemon's probe."""
        del request
        return json_response({})

    @contextlib.contextmanager
    def cancel_if_silent(self, peer: PeerDaemon) -> Iterator[anyio.CancelScope]:
        """Cancels the block when the daemon does not answer probes."""
        with anyio.CancelScope() as scope:
            scopes = self._scopes.setdefault(peer.name, [])
            scopes.append(scope)
            self.start_probing(peer)
            try:
                yield scope
            finally:
                scopes.remove(scope)

    def start_probing(self, peer: PeerDaemon) -> None:
        """Starts to probe a daemon, unless it is being probed."""
        if peer.name not in self._probed and self._tasks is not None:
            self._probed.add(peer.name)
            self._tasks.start_soon(self._monitor, peer)

    async def _monitor(self, peer: PeerDaemon) -> None:
        try:
            await self._probe_until_settled(peer)
        finally:
            self._probed.discard(peer.name)

    async def _probe_until_settled(self, peer: PeerDaemon) -> None:
        """Probes a daemon until it is silent, or nothing waits for it."""
        failed_probes = 0
        while True:
            await self._clock.sleep(
                RETRY_INTERVAL_MS if failed_probes else PROBE_INTERVAL_MS
            )
            failed_probes = 0 if await self._probe(peer) else failed_probes + 1
            if not failed_probes and not self._scopes.get(peer.name):
                return
            if failed_probes >= SILENT_AFTER_FAILED_PROBES:
                self.mark_silent(peer, detail="no answer to two probes")
                for scope in self._scopes.pop(peer.name, ()):
                    scope.cancel()
                return

    async def _probe(self, peer: PeerDaemon) -> bool:
        answered_at = self._answered_at.get(peer.address, -math.inf)
        if self._clock.now() - answered_at < PROBE_INTERVAL_MS:
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
