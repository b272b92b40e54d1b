"""Which backend servers are leaving, by every word that there is of it."""

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

READERS_A_DATA_CENTRE = 2
READ_INTERVAL_MS = 2_000.0
READ_JITTER = 0.25
LOOK_INTERVAL_MS = 500.0
CONFIRM_EVERY_MS = 10_000.0
LIFETIME_MS = 30_000.0
SENDS = 12
MAX_CARRIED = 8
AGE_STEP_MS = 100.0


@attrs.define(kw_only=True)
class _Departure:
    confirmed_at: Instant
    sends_left: int = SENDS


class Departures(Service, Attachment):
    """Joins the host list, refusals, load answers and peers' word.

    The list lags by seconds, so the first refusal or load answer is usually
    faster; the list names those that nobody calls. A word lives 30 s unless
    it is confirmed, because a server may come back under its name.
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
        self._read_at: Instant = -math.inf
        members.attach("leaving", self)

    def leaves(self, name: str) -> None:
        """Notes that a backend server leaves and tells other daemons."""
        self._take(name, self._clock.now())

    async def run(self) -> None:
        """Looks at refusals often and at the host list in turn."""
        interval = READ_INTERVAL_MS
        while True:
            for name in self._router.take_refusals():
                self.leaves(name)
            self._forget_old()
            now = self._clock.now()
            if now - self._read_at >= interval and self._is_reader():
                self._read_at = now
                await self._read_list()
                jitter = self._rng.uniform(-READ_JITTER, READ_JITTER)
                interval = READ_INTERVAL_MS * (1 + jitter)
            await self._clock.sleep(LOOK_INTERVAL_MS)

    def write(self, receiver: Member | None) -> Any:
        """Returns the departures that were passed on least."""
        now = self._clock.now()
        chosen = sorted(
            (item for item in self._leaving.items() if item[1].sends_left > 0),
            key=lambda item: -item[1].sends_left,
        )[:MAX_CARRIED]
        for _, departure in chosen:
            departure.sends_left -= 1
        return [
            [name, math.ceil((now - d.confirmed_at) / AGE_STEP_MS)]
            for name, d in chosen
        ] or None

    def read(self, sender: Member, value: Any) -> None:
        """Takes what a sender knows."""
        now = self._clock.now()
        for name, age in value:
            self._take(str(name), now - float(age) * AGE_STEP_MS)

    def _take(self, name: str, confirmed_at: Instant) -> None:
        known = self._leaving.get(name)
        if known and confirmed_at - known.confirmed_at < CONFIRM_EVERY_MS:
            return
        if self._clock.now() - confirmed_at > LIFETIME_MS:
            return
        self._leaving[name] = _Departure(confirmed_at=confirmed_at)
        self._router.mark_leaving(name)
        if known is None:
            self._members.request_urgent_update()

    def _forget_old(self) -> None:
        oldest = self._clock.now() - LIFETIME_MS
        for name, departure in list(self._leaving.items()):
            if departure.confirmed_at < oldest:
                del self._leaving[name]

    def _is_reader(self) -> bool:
        own = self._members.own
        here = [
            member.name
            for member in self._members.all()
            if member.data_centre == own.data_centre
            and member.state is MemberState.LIVE
        ]
        first = rank("host-list", here)[:READERS_A_DATA_CENTRE]
        return own.name in first

    async def _read_list(self) -> None:
        listed = await self._host_list.read()
        if isinstance(listed, Err):
            return
        by_name, by_address = self._servers()
        for host in listed.ok_value:
            if host.state is HostState.LEAVING:
                self._take_host(host, by_name, by_address)

    def _take_host(
        self,
        host: ListedHost,
        by_name: set[str],
        by_address: dict[str, str],
    ) -> None:
        if host.name in by_name:
            self.leaves(host.name)
        elif host.address in by_address:
            self.leaves(by_address[host.address])

    def _servers(self) -> tuple[set[str], dict[str, str]]:
        servers = [
            server
            for pool in self._configuration().pools.values()
            for server in pool.backend_servers
        ]
        return (
            {server.name for server in servers},
            {server.address: server.name for server in servers},
        )
