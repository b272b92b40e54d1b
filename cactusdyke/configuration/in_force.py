"""Keeps the highest accepted revision in force in this daemon."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import confirmation, loader, objects, peers
from cactusdyke.configuration.confirmation import Confirmation, Confirmations
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration import model
    from cactusdyke.errors import Failure
    from cactusdyke.platform.object_store import ObjectStore
    from cactusdyke.transport.network import Network

WATCH_MS = 10_000.0
"""How long a watch on the store waits; a renewal confirms the revision."""

FOLLOW_MS = 8_000.0
"""How long a follower's question waits at the daemon that it follows."""

WATCHER_READ_MS = 5_000.0
"""Between a watcher's reads of the head, in case its watch went silent."""

FOLLOWER_READ_MS = 30_000.0
"""Between a follower's reads of the head, at the least."""

READ_MS_PER_DAEMON = 500.0
"""Stretches followers' reads so that all of them make two a second."""

PATIENCE_MS = 2_000.0
"""Longest wait for peers before parts are read from the store instead."""

RETRY_MS = 1_000.0
ROLE_CHECK_MS = 1_000.0
DISTRUST_MS = 15_000.0
LOAD_TIMEOUT_MS = 10_000.0
HINT_REPEAT_MS = 1_000.0
START_ASK_MS = 500.0
MAX_HINTS = 16
RECENT_SNAPSHOTS = 4
JITTER = 0.2


class InForce(Service):
    """Applies whole, higher revisions only, from the store or from peers."""

    def __init__(
        self,
        *,
        own: peers.Peer,
        seeds: Iterable[peers.Peer],
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        network: Network,
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._directory: peers.Directory = peers.FixedDirectory(
            peers=self._seeds
        )
        self._clock = clock
        self._rng = rng
        self._object_store = object_store
        self._store_source = loader.StoreSource(object_store=object_store)
        self._client = peers.PeerClient(network=network)
        self._snapshot = loader.NOTHING
        self._recent: collections.OrderedDict[int, loader.Snapshot] = (
            collections.OrderedDict()
        )
        self._changed = anyio.Event()
        self._confirmations = Confirmations(data_centre=own.data_centre)
        self._store_version = 0
        self._store_up = True
        self._hints: dict[str, int] = {}
        self._hinted = anyio.Event()
        self._loading: dict[int, Instant] = {}
        self._distrusted: dict[str, Instant] = {}

    @property
    def current(self) -> model.Configuration:
        """The configuration in force."""
        return self._snapshot.configuration

    @property
    def snapshot(self) -> loader.Snapshot:
        """The configuration in force with its head and parts."""
        return self._snapshot

    @property
    def recent(self) -> Mapping[int, loader.Snapshot]:
        """The last few revisions that were in force here."""
        return self._recent

    @property
    def watches_store(self) -> bool:
        """Whether this daemon is one that watches the store."""
        return self._parent() is None

    def follow(self, directory: peers.Directory) -> None:
        """Takes the other daemons from `directory` from now on."""
        self._directory = directory

    def heard_of(self, revision: int, address: str) -> None:
        """Notes that the daemon at an address has a revision in force.

        Membership calls this with every revision that it hears; one higher
        than the one in force here is pulled from that daemon.
        """
        if revision <= self.current.revision:
            return
        if address not in self._hints and len(self._hints) >= MAX_HINTS:
            return
        self._hints[address] = revision
        self._hinted.set()
        self._hinted = anyio.Event()

    async def learn(
        self, head: objects.Head, parts: Mapping[str, bytes]
    ) -> None:
        """Takes a revision that was accepted through this daemon.

        The change spreads from here even if every watch has gone silent.
        """
        await self._take(head, loader.KnownSource(parts=parts))

    def confirmation(self) -> Confirmation:
        """Returns who has lately confirmed the revision in force."""
        return self._confirmations.state(
            self._clock.now(),
            revision=self.current.revision,
            within_ms=self.current.policy.unconfirmed_after_ms,
            data_centres={p.data_centre for p in self._all_peers()},
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
        with self._clock.timeout(wait_ms):
            while self.current.revision <= revision:
                await self._changed.wait()

    async def run(self) -> None:
        """Follows the head for as long as the daemon runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_store)
            tasks.start_soon(self._read_store)
            tasks.start_soon(self._follow_parent)
            tasks.start_soon(self._pull_hinted)
            tasks.start_soon(self._ask_peers)

    async def _watch_store(self) -> None:
        while True:
            if not self.watches_store:
                await self._clock.sleep(ROLE_CHECK_MS)
                continue
            asked_at = self._clock.now()
            answer = await self._object_store.watch(
                objects.HEAD_KEY,
                above_version=self._store_version,
                wait_ms=WATCH_MS,
            )
            match answer:
                case Ok(None):
                    self._confirmations.store_answered(asked_at)
                    continue
                case Ok(stored):
                    assert stored is not None
                    if await self._take_stored(
                        stored.value, stored.version, asked_at
                    ):
                        continue
            await self._pause(RETRY_MS)

    async def _read_store(self) -> None:
        # A watch that went silent looks like one that waits. Reads show what
        # it missed; their jitter spreads daemons that started together.
        while True:
            asked_at = self._clock.now()
            answer = await self._object_store.read(objects.HEAD_KEY)
            self._note_store(answer)
            match answer:
                case Ok(None):
                    self._confirmations.store_answered(asked_at)
                case Ok(stored):
                    assert stored is not None
                    await self._take_stored(
                        stored.value, stored.version, asked_at
                    )
            failed = answer.is_err() and self.watches_store
            await self._pause(RETRY_MS if failed else self._read_interval_ms())

    async def _follow_parent(self) -> None:
        while True:
            parent = self._parent()
            if parent is None:
                await self._clock.sleep(ROLE_CHECK_MS)
                continue
            asked_at = self._clock.now()
            before = self.current.revision
            if not await self._ask(parent, wait_ms=FOLLOW_MS):
                # A silent or dead parent would leave its followers behind.
                # Passing it over makes another one the parent, or this
                # daemon a watcher, until it is tried again.
                self._distrusted[parent.name] = self._clock.now()
            elif (
                self.current.revision == before
                and self._clock.now() - asked_at < FOLLOW_MS / 2
            ):
                # A parent with too many followers answers at once.
                await self._pause(RETRY_MS)

    async def _pull_hinted(self) -> None:
        while True:
            higher = {
                address: revision
                for address, revision in self._hints.items()
                if revision > self.current.revision
            }
            self._hints = higher
            if not higher:
                await self._hinted.wait()
                continue
            best = max(higher.values())
            started_at = self._loading.get(best)
            if (
                started_at is not None
                and self._clock.now() - started_at < HINT_REPEAT_MS
            ):
                await self.wait_above(best - 1, wait_ms=HINT_REPEAT_MS)
                continue
            address = self._rng.choice(
                sorted(a for a, revision in higher.items() if revision == best)
            )
            # Forgotten before it is asked: a daemon that can't give what it
            # announced is asked again only when it is heard of again.
            del self._hints[address]
            await self._ask(
                peers.Peer(name="", address=address, data_centre=""), wait_ms=0
            )

    async def _ask_peers(self) -> None:
        """Asks daemons of all data centres while the store is not heard."""
        while True:
            limit_ms = self.current.policy.unconfirmed_after_ms
            age = self.confirmed_ms_ago()
            starting = self.current.revision == 0
            if starting or age is None or age > limit_ms / 2:
                async with anyio.create_task_group() as tasks:
                    for peer in self._one_of_each_data_centre():
                        tasks.start_soon(self._ask, peer)
            starting = self.current.revision == 0
            await self._pause(START_ASK_MS if starting else limit_ms / 6)

    async def _ask(self, peer: peers.Peer, wait_ms: float = 0.0) -> bool:
        """Takes a peer's revision; returns whether the peer answered."""
        asked_at = self._clock.now()
        answer = await self._client.head(
            peer.address, above=self.current.revision, wait_ms=wait_ms
        )
        if isinstance(answer, Err):
            return False
        heard = answer.ok_value
        if heard.head is not None:
            source = peers.PeerSource(
                client=self._client, address=peer.address, parts=heard.parts
            )
            if not await self._take(heard.head, source):
                return False
        if peer.data_centre:
            self._confirmations.peer_answered(
                peer.data_centre, heard.revision, asked_at
            )
        if (
            heard.confirmed_ms_ago is not None
            and heard.revision == self.current.revision
        ):
            # Counted from when the question left, as the answer may have
            # waited on its way: never younger than the store's own word.
            self._confirmations.store_answered(
                asked_at - heard.confirmed_ms_ago
            )
        return True

    async def _take_stored(
        self, data: bytes, version: int, asked_at: Instant
    ) -> bool:
        match objects.decode_head(data):
            case Err(failure):
                self._reject("head", failure)
                return False
            case Ok(head):
                if head.revision < self.current.revision:
                    events.log(
                        events.Event.CONFIGURATION_STORE_BEHIND,
                        revision=self.current.revision,
                        stored=head.revision,
                    )
                await self._let_peers_go_first(head)
                if not await self._take(head, self._store_source):
                    return False
        # Only a head that is whole here moves the watch on: one that could
        # not be loaded has to come again.
        self._store_version = max(self._store_version, version)
        if head.revision == self.current.revision:
            self._confirmations.store_answered(asked_at)
        return True

    async def _let_peers_go_first(self, head: objects.Head) -> None:
        """Waits a little where peers can give what the store would.

        If all daemons start at once, each would read every part from the
        store. Those whose wait is short do; the others find it at peers.
        """
        starting = self.current.revision == 0 and self._all_peers()
        if starting or not self.watches_store:
            await self.wait_above(
                head.revision - 1,
                wait_ms=self._rng.uniform(0.0, PATIENCE_MS),
            )

    async def _take(
        self, head: objects.Head, source: loader.PartSource
    ) -> bool:
        """Puts a head's revision in force if it is higher and whole."""
        if head.revision <= self.current.revision:
            return True
        self._loading[head.revision] = self._clock.now()
        with self._clock.timeout(LOAD_TIMEOUT_MS):
            loaded = await loader.load(
                head, source=source, known=self._snapshot
            )
            match loaded:
                case Ok(snapshot):
                    self._apply(snapshot)
                    return True
                case Err(failure):
                    self._reject(str(head.revision), failure)
        return False

    def _apply(self, snapshot: loader.Snapshot) -> None:
        # Several loads run at once, and a slow one of an older revision may
        # end last (seen as a daemon that reverts). Nothing is awaited between
        # this comparison and the change, so revisions only rise.
        if snapshot.head.revision <= self.current.revision:
            return
        self._snapshot = snapshot
        self._recent[snapshot.head.revision] = snapshot
        while len(self._recent) > RECENT_SNAPSHOTS:
            self._recent.popitem(last=False)
        self._loading = {
            revision: at
            for revision, at in self._loading.items()
            if revision > snapshot.head.revision
        }
        self._changed.set()
        self._changed = anyio.Event()
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            daemon=self._own.name,
            revision=snapshot.head.revision,
        )

    def _reject(self, revision: str, failure: Failure) -> None:
        events.log(
            events.Event.CONFIGURATION_REJECTED,
            daemon=self._own.name,
            revision=revision,
            detail=failure.message,
        )

    def _note_store(self, answer: Result[object, Failure]) -> None:
        if answer.is_ok() == self._store_up:
            return
        self._store_up = answer.is_ok()
        if isinstance(answer, Err):
            events.log(
                events.Event.STORE_UNAVAILABLE,
                daemon=self._own.name,
                detail=answer.err_value.message,
            )
        else:
            events.log(events.Event.STORE_AVAILABLE, daemon=self._own.name)

    def _parent(self) -> peers.Peer | None:
        now = self._clock.now()
        trusted = [
            peer
            for peer in self._directory.peers()
            if now - self._distrusted.get(peer.name, -DISTRUST_MS)
            >= DISTRUST_MS
        ]
        return peers.parent_of(self._own, trusted)

    def _read_interval_ms(self) -> float:
        if self.watches_store:
            return WATCHER_READ_MS
        daemons = len(self._directory.peers()) + 1
        return max(FOLLOWER_READ_MS, daemons * READ_MS_PER_DAEMON)

    def _all_peers(self) -> list[peers.Peer]:
        known = {peer.address: peer for peer in self._seeds}
        known.update({p.address: p for p in self._directory.peers()})
        known.pop(self._own.address, None)
        return list(known.values())

    def _one_of_each_data_centre(self) -> list[peers.Peer]:
        by_data_centre: dict[str, list[peers.Peer]] = {}
        for peer in self._all_peers():
            by_data_centre.setdefault(peer.data_centre, []).append(peer)
        return [self._rng.choice(some) for some in by_data_centre.values()]

    async def _pause(self, duration_ms: float) -> None:
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        await self._clock.sleep(duration_ms * spread)
