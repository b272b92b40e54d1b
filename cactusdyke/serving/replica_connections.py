"""Connects to replicas, through other daemons where the own path is lost."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from cactusdyke.background import background_tasks
from cactusdyke.kernel import Service
from cactusdyke.transport.exchange import (
    BackendConnections,
    Exchange,
    ExchangeError,
)
from cactusdyke.transport.tunnel import (
    TunnelNotWantedError,
    TunnelUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AsyncExitStack

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.metrics import ServingMetrics
    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.serving.reach_check import ReachCheck
    from cactusdyke.serving.relay_choice import RelayChoice
    from cactusdyke.serving.replica_paths import ReplicaPaths
    from cactusdyke.transport.tunnel import Tunnels

PROBE_INTERVAL_MS = 500.0
MAX_PROBES = 8
"""Lost paths that are tried at a time: the replicas accept few connections."""


class ReplicaConnections(Service, BackendConnections):
    """Connections to replicas over this daemon's paths or those of others.

    Only the connection is made elsewhere. This daemon writes the request and
    reads the answer, so that it alone knows whether the request may have run,
    and keeps deadlines, limits and budgets.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        direct: BackendConnections,
        tunnels: Tunnels,
        check: ReachCheck,
        paths: ReplicaPaths,
        relays: RelayChoice,
        deployment: Deployment,
        metrics: ServingMetrics,
    ) -> None:
        self._clock = clock
        self._direct = direct
        self._tunnels = tunnels
        self._check = check
        self._paths = paths
        self._relays = relays
        self._deployment = deployment
        self._metrics = metrics
        self._relays_used: dict[str, PeerDaemon] = {}
        self._unverified: set[str] = set()
        self._unverified_added = anyio.Event()
        self._path_lost = anyio.Event()

    def is_path_lost(self, address: str) -> bool:
        """Returns whether only other daemons reach a replica."""
        return self._paths.is_lost(address)

    def relay_of(self, address: str) -> PeerDaemon | None:
        """Returns the daemon that an address was last reached through.

        Returns:
            None if this daemon reaches it by itself.
        """
        if not self._paths.is_lost(address):
            return None
        return self._relays_used.get(address)

    def remove_unknown(self, known_addresses: set[str]) -> None:
        """Forgets the relays to addresses that no replica has."""
        for address in self._relays_used.keys() - known_addresses:
            del self._relays_used[address]

    def is_path_in_doubt(self, address: str) -> bool:
        """Returns whether a failure just now may have been the path's fault."""
        return self._paths.is_in_doubt(address)

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[Exchange]:
        """Opens a connection for one exchange, and closes it.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        async with contextlib.AsyncExitStack() as stack:
            exchange = await self._open(stack, address)
            try:
                yield exchange
            except ExchangeError:
                self._paths.record_broken(address)
                raise

    async def run(self) -> None:
        """Verifies failures and tries lost paths again until cancelled."""
        async with background_tasks() as tasks:
            tasks.start_loop(self._try_lost_paths)
            while True:
                await self._unverified_added.wait()
                self._unverified_added = anyio.Event()
                addresses, self._unverified = self._unverified, set()
                for address in addresses:
                    tasks.start_soon(self._verify, address)

    async def _try_lost_paths(self) -> None:
        while True:
            addresses = self._paths.next_probes(MAX_PROBES)
            if not addresses:
                await self._path_lost.wait()
                self._path_lost = anyio.Event()
            await self._clock.sleep(PROBE_INTERVAL_MS)
            async with background_tasks() as tasks:
                for address in addresses:
                    tasks.start_soon(self._check.reaches, address)

    async def _verify(self, address: str) -> None:
        """Finds out whether another daemon reaches a replica."""
        with contextlib.suppress(ExchangeError):
            async with contextlib.AsyncExitStack() as stack:
                await self._open_tunnel(stack, address)

    async def _open(self, stack: AsyncExitStack, address: str) -> Exchange:
        if self._paths.is_lost(address):
            return await self._open_relayed(stack, address, None)
        began = self._clock.now()
        try:
            return await self._open_direct(stack, address)
        except ExchangeError as error:
            if self._paths.is_down(address):
                raise
            reaches_others = self._paths.connected_since(began) or (
                error.refused and await self._check.reaches_others(address)
            )
            if reaches_others:
                # The request had better go there than wait for the verdict.
                self._unverified.add(address)
                self._unverified_added.set()
                raise
            return await self._open_relayed(stack, address, error)

    async def _open_direct(
        self, stack: AsyncExitStack, address: str
    ) -> Exchange:
        try:
            exchange = await stack.enter_async_context(
                self._direct.connect(address)
            )
        except ExchangeError as error:
            self._paths.record_failed(address, detail=str(error))
            raise
        self._paths.record_connected(address)
        return exchange

    async def _open_relayed(
        self,
        stack: AsyncExitStack,
        address: str,
        direct_error: ExchangeError | None,
    ) -> Exchange:
        """Connects through another daemon.

        Args:
            stack: Closes the connection.
            address: The replica's address.
            direct_error: Why there is no direct connection; None if it was not
                tried, which is then done last.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        exchange = await self._open_tunnel(stack, address)
        if exchange is not None:
            return exchange
        if direct_error is None:
            return await self._open_direct(stack, address)
        # Without any path a refusal may come from what is between, and does
        # not show that the replica is down.
        raise ExchangeError(str(direct_error), sent=False)

    async def _open_tunnel(
        self, stack: AsyncExitStack, address: str
    ) -> Exchange | None:
        """Connects through another daemon; None if there is none to ask.

        Raises:
            ExchangeError: Another daemon does not reach the replica either.
        """
        data_centre = self._deployment.data_centre_at(address)
        for relay in self._relays.candidates(data_centre):
            try:
                exchange = await stack.enter_async_context(
                    self._tunnels.connect(relay.address, address)
                )
            except TunnelNotWantedError:
                continue
            except TunnelUnavailableError:
                self._relays.avoid(relay)
            except ExchangeError:
                self._paths.record_down(address)
                raise
            else:
                self._relays_used[address] = relay
                self._paths.record_relayed(address)
                self._path_lost.set()
                self._metrics.connection_relayed()
                return exchange
        return None
