"""Tracks leaving backend servers from all sources of information."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
from result import Err

from cactusdyke.clock import Instant
from cactusdyke.infrastructure.host_list import HostState
from cactusdyke.kernel import Service
from cactusdyke.load.replicas import rank
from cactusdyke.membership.attachments import Attachment
from cactusdyke.membership.member import MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Configuration
    from cactusdyke.infrastructure.host_list import HostList, ListedHost
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.members import Members
    from cactusdyke.routing.router import Router

READERS_PER_DATA_CENTRE = 2
READ_INTERVAL_MS = 2_000.0
READ_JITTER = 0.25
CHECK_INTERVAL_MS = 500.0
CONFIRM_INTERVAL_MS = 10_000.0
DEPARTURE_LIFETIME_MS = 30_000.0
MAX_SENDS = 12
MAX_PER_MESSAGE = 8
AGE_STEP_MS = 100.0


@attrs.define(kw_only=True)
class _Departure:
    confirmed_at: Instant
    sends_left: int = MAX_SENDS


class Departures(Service, Attachment):
    """Combines the host list, refusals, load answers and peers' reports.

    The host list lags by seconds, so the first refusal or load answer is
    usually faster; the list covers servers that no daemon calls. A departure
    expires after 30 s unless it is confirmed, because a server may return
    under the same name.
    """

    urgent = True

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        members: Members,
        host_list: HostList,
        router: Router,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._members = members
        self._host_list = host_list
        self._router = router
        self._configuration = configuration
        self._leaving: dict[str, _Departure] = {}
        self._list_read_at: Instant = -math.inf
        members.attach("leaving", self)

    def mark_leaving(self, name: str) -> None:
        """Records a leaving backend server and notifies other daemons."""
        self._record(name, self._clock.now())

    async def run(self) -> None:
        """Polls refusals and, if this daemon is a reader, the host list."""
        interval = READ_INTERVAL_MS
        while True:
            for name in self._router.take_refusals():
                self.mark_leaving(name)
            self._drop_expired()
            now = self._clock.now()
            if now - self._list_read_at >= interval and self._is_reader():
                self._list_read_at = now
                await self._read_host_list()
                jitter = self._rng.uniform(-READ_JITTER, READ_JITTER)
                interval = READ_INTERVAL_MS * (1 + jitter)
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def write(self, receiver: Member | None) -> Any:
        """Returns the departures that were sent least often."""
        now = self._clock.now()
        chosen = sorted(
            (item for item in self._leaving.items() if item[1].sends_left > 0),
            key=lambda item: -item[1].sends_left,
        )[:MAX_PER_MESSAGE]
        for _, departure in chosen:
            departure.sends_left -= 1
        return [
            [name, math.ceil((now - d.confirmed_at) / AGE_STEP_MS)]
            for name, d in chosen
        ] or None

    def read(self, sender: Member, value: Any) -> None:
        """Merges departures reported by another daemon."""
        now = self._clock.now()
        for name, age in value:
            self._record(str(name), now - float(age) * AGE_STEP_MS)

    def _record(self, name: str, confirmed_at: Instant) -> None:
        known = self._leaving.get(name)
        if known and confirmed_at - known.confirmed_at < CONFIRM_INTERVAL_MS:
            return
        if self._clock.now() - confirmed_at > DEPARTURE_LIFETIME_MS:
            return
        self._leaving[name] = _Departure(confirmed_at=confirmed_at)
        self._router.mark_leaving(name)
        if known is None:
            self._members.request_urgent_update()

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - DEPARTURE_LIFETIME_MS
        for name, departure in list(self._leaving.items()):
            if departure.confirmed_at < oldest:
                del self._leaving[name]

    def _is_reader(self) -> bool:
        own = self._members.own
        local = [
            member.name
            for member in self._members.all()
            if member.data_centre == own.data_centre
            and member.state is MemberState.LIVE
        ]
        readers = rank("host-list", local)[:READERS_PER_DATA_CENTRE]
        return own.name in readers

    async def _read_host_list(self) -> None:
        listed = await self._host_list.read()
        if isinstance(listed, Err):
            return
        by_name, by_address = self._known_servers()
        for host in listed.ok_value:
            if host.state is HostState.LEAVING:
                self._record_host(host, by_name, by_address)

    def _record_host(
        self,
        host: ListedHost,
        by_name: set[str],
        by_address: dict[str, str],
    ) -> None:
        if host.name in by_name:
            self.mark_leaving(host.name)
        elif host.address in by_address:
            self.mark_leaving(by_address[host.address])

    def _known_servers(self) -> tuple[set[str], dict[str, str]]:
        servers = [
            server
            for pool in self._configuration().pools.values()
            for server in pool.backend_servers
        ]
        return (
            {server.name for server in servers},
            {server.address: server.name for server in servers},
        )
