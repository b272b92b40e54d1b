"""Takes the configuration from other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from cactusdyke.configuration import peers
from cactusdyke.infrastructure.directory import Peer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.confirmation import Confirmations
    from cactusdyke.configuration.revisions import Revisions
    from cactusdyke.configuration.roles import Roles
    from cactusdyke.transport.network import Network

FOLLOW_MS = 8_000.0
"""How long a follower's question waits at the daemon that it follows."""

RETRY_MS = 1_000.0
ROLE_CHECK_MS = 1_000.0
HINT_REPEAT_MS = 1_000.0
START_ASK_MS = 250.0
START_WAIT_MS = 2_000.0
MAX_HINTS = 16
ASKS_PER_LIMIT = 6


class PeerFollower:
    """Follows a parent, pulls what it hears of, and asks around in doubt."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        revisions: Revisions,
        roles: Roles,
        confirmations: Confirmations,
        unconfirmed_after_ms: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._client = peers.PeerClient(network=network)
        self._revisions = revisions
        self._roles = roles
        self._confirmations = confirmations
        self._unconfirmed_after_ms = unconfirmed_after_ms
        self._hints: dict[str, int] = {}
        self._hinted = anyio.Event()

    def heard_of(self, revision: int, address: str) -> None:
        """Notes that the daemon at an address has a revision in force."""
        if revision <= self._revisions.number:
            return
        if address not in self._hints and len(self._hints) >= MAX_HINTS:
            return
        self._hints[address] = revision
        self._hinted.set()
        self._hinted = anyio.Event()

    async def run(self) -> None:
        """Takes higher revisions from others until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_parent)
            tasks.start_soon(self._pull_hinted)
            tasks.start_soon(self._ask_around)

    async def _follow_parent(self) -> None:
        while True:
            parent = self._roles.parent()
            if parent is None:
                await self._clock.sleep(ROLE_CHECK_MS)
                continue
            asked_at = self._clock.now()
            before = self._revisions.number
            if not await self._ask(parent, wait_ms=FOLLOW_MS):
                # A silent or dead parent would leave its followers behind.
                # Passing it over makes another one the parent, or this
                # daemon a watcher, until it is tried again.
                self._roles.distrust(parent)
            elif (
                self._revisions.number == before
                and self._clock.now() - asked_at < FOLLOW_MS / 2
            ):
                # A parent with too many followers answers at once.
                await self._pause(RETRY_MS)

    async def _pull_hinted(self) -> None:
        while True:
            higher = {
                address: revision
                for address, revision in self._hints.items()
                if revision > self._revisions.number
            }
            self._hints = higher
            if not higher:
                await self._hinted.wait()
                continue
            best = max(higher.values())
            loading_ms = self._revisions.loading_for_ms(best)
            if loading_ms is not None and loading_ms < HINT_REPEAT_MS:
                await self._revisions.wait_above(
                    best - 1, wait_ms=HINT_REPEAT_MS
                )
                continue
            address = self._rng.choice(
                sorted(a for a, revision in higher.items() if revision == best)
            )
            # Forgotten before it is asked: a daemon that can't give what it
            # announced is asked again only when it is heard of again.
            del self._hints[address]
            await self._ask(Peer(name="", address=address, data_centre=""))

    async def _ask_around(self) -> None:
        """Asks daemons of all data centres while the store is not heard."""
        while True:
            limit_ms = self._unconfirmed_after_ms()
            age_ms = self._confirmations.store_age_ms(self._clock.now())
            starting = self._revisions.number == 0
            if starting or age_ms is None or age_ms > limit_ms / 2:
                # Peers that are starting too answer once they have something.
                wait_ms = START_WAIT_MS if starting else 0.0
                async with anyio.create_task_group() as tasks:
                    for peer in self._one_of_each_data_centre():
                        tasks.start_soon(self._ask, peer, wait_ms)
            starting = self._revisions.number == 0
            await self._pause(
                START_ASK_MS if starting else limit_ms / ASKS_PER_LIMIT
            )

    async def _ask(self, peer: Peer, wait_ms: float = 0.0) -> bool:
        """Takes a peer's revision; returns whether the peer gave it whole."""
        asked_at = self._clock.now()
        answer = await self._client.head(
            peer.address, above=self._revisions.number, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return False
        heard = answer.ok_value
        if heard.head is not None:
            source = peers.PeerSource(
                client=self._client, address=peer.address, parts=heard.parts
            )
            if not await self._revisions.take(heard.head, source):
                return False
        if peer.data_centre:
            self._confirmations.peer_answered(
                peer.data_centre, heard.revision, asked_at
            )
        if (
            heard.confirmed_ms_ago is not None
            and heard.revision == self._revisions.number
        ):
            # Counted from when the question left, as the answer may have
            # waited on its way: never younger than the store's own word.
            self._confirmations.store_answered(
                asked_at - heard.confirmed_ms_ago
            )
        return True

    def _one_of_each_data_centre(self) -> list[Peer]:
        by_data_centre: dict[str, list[Peer]] = {}
        for peer in self._roles.others():
            by_data_centre.setdefault(peer.data_centre, []).append(peer)
        return [self._rng.choice(some) for some in by_data_centre.values()]

    async def _pause(self, duration_ms: float) -> None:
        await self._clock.sleep(duration_ms * self._rng.uniform(0.8, 1.2))
