"""Gossip membership service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from cactusdyke.background import background_tasks
from cactusdyke.infrastructure.directory import Directory, Peer
from cactusdyke.kernel import Service
from cactusdyke.membership.attachments import (
    Attachment,
    Provider,
    Reader,
    VersionedAttachment,
)
from cactusdyke.membership.exchange import Exchange
from cactusdyke.membership.member import Member, MemberState
from cactusdyke.membership.messages import GossipKind
from cactusdyke.membership.probe_schedule import ProbeSchedule
from cactusdyke.membership.prober import MIN_PAUSE_MS, Prober
from cactusdyke.membership.revisions import RevisionMap
from cactusdyke.membership.table import MemberTable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.infrastructure.host_list import HostList
    from cactusdyke.membership.control_client import (
        ControlClient,
        ControlTraffic,
    )
    from cactusdyke.membership.exchange import RevisionHook
    from cactusdyke.membership.messages import Gossip
    from cactusdyke.settings import Settings
    from cactusdyke.transport.messages import Request, Response

PROBE_INTERVAL_MS = 1_000.0
RETRY_INTERVAL_MS = 5_000.0
PULL_INTERVAL_MS = 5_000.0
STARTING_MS = 3_000.0
STARTING_INTERVAL_MS = 200.0
JOINING_MS = 30_000.0
JOINING_PULL_INTERVAL_MS = 1_000.0
CALL_TIMEOUT_MS = 1_000.0
URGENT_FANOUT = 3
URGENT_INTERVAL_MS = 500.0
LEAVE_FANOUT = 6
GREETED = 16
"""Daemons an announcement is sent to; with more, these pass it on."""


class Members(Service, Directory):
    """Probes one daemon per second and spreads updates among daemons."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        client: ControlClient,
        traffic: ControlTraffic,
        host_list: HostList,
        revision: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._host_list = host_list
        self._revision = revision
        self._table = MemberTable(own=_own_member(settings, clock), clock=clock)
        self._table.on_leaving(self.request_urgent_update)
        self._schedule = ProbeSchedule(table=self._table, rng=rng)
        self._exchange = Exchange(
            table=self._table, client=client, traffic=traffic
        )
        self._prober = Prober(
            table=self._table,
            schedule=self._schedule,
            exchange=self._exchange,
            clock=clock,
        )
        self._exchange.attach("revisions", RevisionMap(table=self._table))
        self._seeds = {peer.address for peer in settings.peers}
        self._started_at: Instant = clock.now()
        self._pulled_at: Instant = -PULL_INTERVAL_MS
        self._urgent_update = anyio.Event()
        self._joined = anyio.Event()
        self._announcement = anyio.Event()

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        self._table.record_revision(self._settings.name, self._revision())
        return self._table.own

    @property
    def known_count(self) -> int:
        """Number of known daemons, including this one and dead ones."""
        return 1 + len(self._table.others())

    def all(self) -> tuple[Member, ...]:
        """Returns every daemon that is not dead, this one first."""
        others = self._table.others(exclude={MemberState.DEAD})
        return (self.own, *sorted(others, key=_by_name))

    def peers(self) -> tuple[Peer, ...]:
        """Returns the other daemons, as sources of configuration."""
        return tuple(
            Peer(name=m.name, address=m.address, data_centre=m.data_centre)
            for m in self.all()[1:]
        )

    def serving(self) -> tuple[Member, ...]:
        """Returns the daemons whose addresses callers are given.

        Suspected daemons are omitted unless most are suspected: then a fault
        of this daemon is more likely. If all others and this one are leaving
        or dead, those marked dead are returned, or else those of the settings.
        A leaving daemon is never returned.
        """
        known = [m for m in self.all() if m.state is not MemberState.LEAVING]
        live = [m for m in known if m.state is MemberState.LIVE]
        if 2 * len(live) >= len(known) and live:
            return tuple(live)
        if known:
            return tuple(known)
        dead = [m for m in self._table.others() if m.state is MemberState.DEAD]
        return tuple(sorted(dead, key=_by_name)) or self._from_settings()

    def attach(self, key: str, attachment: Attachment) -> None:
        """Sends an attachment's values with each probe and its answer."""
        self._exchange.attach(key, attachment)

    def attach_provider(
        self, key: str, provider: Provider, reader: Reader
    ) -> None:
        """Spreads a small dictionary of each daemon to all the others.

        Args:
            key: The key of the dictionaries in messages.
            provider: Returns this daemon's dictionary, at most 256 bytes.
            reader: Called with a daemon's name and dictionary on each change.
        """
        attachment = VersionedAttachment(
            table=self._table,
            provider=provider,
            reader=reader,
            rng=self._rng,
        )
        self._exchange.attach(key, attachment)

    def on_revision(self, hook: RevisionHook) -> None:
        """Calls `hook(revision, address)` if a sender's revision is higher."""
        self._exchange.on_revision(hook)

    async def handle(self, request: Request) -> Response:
        """Applies another daemon's message and answers with updates."""
        self._refresh()
        return await self._exchange.handle(request)

    def request_urgent_update(self) -> None:
        """Sends the latest updates to a few daemons without delay."""
        self._urgent_update.set()

    def leave(self) -> None:
        """Marks this daemon as leaving."""
        if self._table.own.state is not MemberState.LEAVING:
            self._table.refute(state=MemberState.LEAVING)

    async def announce_stop(self) -> None:
        """Marks this daemon as leaving and sends this to several others."""
        self.leave()
        await self._send_urgent(self._schedule.sample(LEAVE_FANOUT))

    def announce(self) -> None:
        """Sends this daemon's current state to many daemons without delay."""
        self._announcement.set()

    async def run(self) -> None:
        """Probes, retries, pulls and sends updates until cancelled."""
        async with background_tasks() as tasks:
            tasks.start_loop(self._run_urgent)
            tasks.start_loop(self._run_announcements)
            tasks.start_loop(self._run_retries)
            await self._join()
            await self._sleep(self._rng.uniform(0, self._interval_ms))
            while True:
                started = self._clock.now()
                await self._tick()
                took = self._clock.now() - started
                await self._sleep(max(0.0, self._interval_ms - took))

    @property
    def _interval_ms(self) -> float:
        """Time between probes, shorter in the first seconds after the start.

        If all daemons start at once, each knows only a few others, and needs
        several probe rounds to discover all. With rounds of one second, six
        daemons disagreed for 6 s on the decider of a service.
        """
        age = self._clock.now() - self._started_at
        return STARTING_INTERVAL_MS if age < STARTING_MS else PROBE_INTERVAL_MS

    def _from_settings(self) -> tuple[Member, ...]:
        # A daemon that stops right after its start has no other entries yet.
        return tuple(
            Member(
                name=peer.name,
                address=peer.address,
                data_centre=peer.data_centre,
                region="",
                incarnation=0,
            )
            for peer in self._settings.peers
            if self._table.find(peer.name) is None
        )

    async def _tick(self) -> None:
        self._refresh()
        self._table.expire_entries()
        member = self._schedule.next_target()
        if member is None:
            return
        answer = await self._prober.probe(member)
        if answer is not None:
            await self._pull(answer)

    async def _join(self) -> None:
        listed = await self._host_list.read()
        if not isinstance(listed, Err):
            self._seeds |= {host.address for host in listed.ok_value}
        self._seeds.discard(self._settings.address)
        self._joined.set()

    async def _run_announcements(self) -> None:
        """Probes many daemons on each announcement.

        After a power loss all daemons start within a second. With regular
        probes alone, they discovered each other one second later; until then
        up to nine of nine daemons acted as decider of the same service.
        """
        await self._joined.wait()
        while True:
            await self._announcement.wait()
            self._announcement = anyio.Event()
            known = {member.address for member in self._table.present()}
            addresses = sorted((self._seeds | known) - {self._settings.address})
            self._rng.shuffle(addresses)
            async with anyio.create_task_group() as tasks:
                for address in addresses[:GREETED]:
                    tasks.start_soon(self._probe_and_pull, address)
            await self._clock.sleep(URGENT_INTERVAL_MS)

    async def _probe_and_pull(self, address: str) -> None:
        answer = await self._exchange.send(
            GossipKind.PROBE, address, timeout_ms=CALL_TIMEOUT_MS
        )
        if not isinstance(answer, Err):
            await self._pull(answer.ok_value)

    async def _run_retries(self) -> None:
        while True:
            await self._clock.sleep(self._retry_interval_ms)
            await self._retry()

    @property
    def _retry_interval_ms(self) -> float:
        """Time between probes of addresses without a present daemon.

        Hosts that lost power together come back within half a second. With a
        fixed interval of five seconds, seeds that were not up at first were
        probed again only then: six daemons stayed split in two groups, each
        with its own deciders, for five seconds.
        """
        age = self._clock.now() - self._started_at
        if age < STARTING_MS:
            return STARTING_INTERVAL_MS
        alone = len(self._table.present()) == 1
        if age < JOINING_MS or alone:
            return PROBE_INTERVAL_MS
        return RETRY_INTERVAL_MS

    async def _retry(self) -> None:
        """Probes an address that no present daemon has.

        After a partition between regions, each side has marked the other's
        daemons as dead. One answer is enough for both sides to merge.
        """
        present = {member.address for member in self._table.present()}
        known = {member.address for member in self._table.others()}
        absent = sorted((self._seeds | known) - present)
        if not absent:
            return
        address = self._rng.choice(absent)
        answer = await self._exchange.send(
            GossipKind.PROBE, address, timeout_ms=CALL_TIMEOUT_MS
        )
        if not isinstance(answer, Err):
            await self._pull(answer.ok_value)

    async def _pull(self, answer: Gossip) -> None:
        if answer.digest == self._table.digest:
            return
        now = self._clock.now()
        age = now - self._started_at
        interval = PULL_INTERVAL_MS
        if age < STARTING_MS:
            interval = STARTING_INTERVAL_MS
        elif age < JOINING_MS:
            interval = JOINING_PULL_INTERVAL_MS
        if now - self._pulled_at < interval:
            return
        self._pulled_at = now
        await self._exchange.send(
            GossipKind.PULL,
            answer.sender.address,
            receiver=answer.sender,
            timeout_ms=CALL_TIMEOUT_MS,
            digests=self._table.digests,
        )

    async def _run_urgent(self) -> None:
        # With regular probes alone, the number of daemons that have received
        # a departure doubles once per probe interval, which takes longer than
        # callers keep an address. Each daemon that receives it therefore sends
        # it to a few others at once. The pause bounds the messages when many
        # daemons leave together.
        while True:
            await self._urgent_update.wait()
            self._urgent_update = anyio.Event()
            await self._send_urgent(self._schedule.sample(URGENT_FANOUT))
            await self._clock.sleep(URGENT_INTERVAL_MS)

    async def _send_urgent(self, members: list[Member]) -> None:
        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(self._send_urgent_to, member)

    async def _send_urgent_to(self, member: Member) -> None:
        await self._exchange.send(
            GossipKind.URGENT,
            member.address,
            receiver=member,
            timeout_ms=CALL_TIMEOUT_MS,
        )

    async def _sleep(self, duration_ms: float) -> None:
        started = self._clock.now()
        await self._clock.sleep(duration_ms)
        if self._clock.now() - started > duration_ms + MIN_PAUSE_MS:
            self._prober.on_pause()

    def _refresh(self) -> None:
        self._table.record_revision(self._settings.name, self._revision())


def _own_member(settings: Settings, clock: Clock) -> Member:
    return Member(
        name=settings.name,
        address=settings.address,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=clock.wall(),
    )


def _by_name(member: Member) -> str:
    return member.name
