"""Keeps the highest accepted revision in force in this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from cactusdyke.configuration import confirmation, loader
from cactusdyke.configuration.confirmation import Confirmation, Confirmations
from cactusdyke.configuration.peer_follower import PeerFollower
from cactusdyke.configuration.revisions import Revisions
from cactusdyke.configuration.roles import Roles
from cactusdyke.configuration.store_follower import StoreFollower
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from result import Result

    from cactusdyke.clock import Clock
    from cactusdyke.configuration import model, objects
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.directory import Directory, Peer
    from cactusdyke.infrastructure.object_store import ObjectStore
    from cactusdyke.transport.network import Network


class InForce(Service):
    """Applies whole, higher revisions only, from the store or from peers."""

    def __init__(
        self,
        *,
        own: Peer,
        seeds: Iterable[Peer],
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        network: Network,
    ) -> None:
        self._clock = clock
        self._object_store = object_store
        self._revisions = Revisions(daemon=own.name, clock=clock)
        self._roles = Roles(own=own, seeds=seeds, clock=clock)
        self._confirmations = Confirmations(data_centre=own.data_centre)
        self._store = StoreFollower(
            clock=clock,
            rng=rng,
            object_store=object_store,
            revisions=self._revisions,
            roles=self._roles,
            confirmations=self._confirmations,
        )
        self._peers = PeerFollower(
            clock=clock,
            rng=rng,
            network=network,
            revisions=self._revisions,
            roles=self._roles,
            confirmations=self._confirmations,
            unconfirmed_after_ms=lambda: (
                self.current.policy.unconfirmed_after_ms
            ),
        )

    @property
    def current(self) -> model.Configuration:
        """The configuration in force."""
        return self._revisions.snapshot.configuration

    @property
    def snapshot(self) -> loader.Snapshot:
        """The configuration in force with its head and parts."""
        return self._revisions.snapshot

    @property
    def recent(self) -> Mapping[int, loader.Snapshot]:
        """The last few revisions that were in force here."""
        return self._revisions.recent

    @property
    def watches_store(self) -> bool:
        """Whether this daemon is one that watches the store."""
        return self._roles.watches_store

    def follow(self, directory: Directory) -> None:
        """Takes the other daemons from `directory` from now on."""
        self._roles.follow(directory)

    def heard_of(self, revision: int, address: str) -> None:
        """Notes that the daemon at an address has a revision in force.

        Membership calls this with every revision that it hears; one higher
        than the one in force here is pulled from that daemon.
        """
        self._peers.heard_of(revision, address)

    async def learn(
        self, head: objects.Head, parts: Mapping[str, bytes]
    ) -> None:
        """Takes a revision that was accepted through this daemon.

        The change spreads from here even if every watch has gone silent.
        """
        await self._revisions.take(head, loader.KnownSource(parts=parts))

    def confirmation(self) -> Confirmation:
        """Returns who has lately confirmed the revision in force."""
        return self._confirmations.state(
            self._clock.now(),
            revision=self.current.revision,
            within_ms=self.current.policy.unconfirmed_after_ms,
            data_centres=lambda: self._roles.data_centres,
        )

    def confirmed_ms_ago(self) -> float | None:
        """Returns the age of the store's last word, None if there is none."""
        return self._confirmations.store_age_ms(self._clock.now())

    def permit(self, *, idempotent: bool) -> Result[None, Failure]:
        """Refuses a request that may not run while this daemon is cut off."""
        return confirmation.permit(
            self.confirmation(), self.current.policy, idempotent=idempotent
        )

    async def wait_above(self, revision: int, *, wait_ms: float) -> None:
        """Returns once a higher revision is in force, or time is up."""
        await self._revisions.wait_above(revision, wait_ms=wait_ms)

    async def run(self) -> None:
        """Follows the store and the peers for as long as the daemon runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store.run)
            tasks.start_soon(self._peers.run)
