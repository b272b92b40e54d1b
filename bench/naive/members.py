"""Naive membership: a heartbeat to every daemon, silence taken for death."""

from __future__ import annotations

import anyio
import orjson

from cactusdyke.kernel import Service
from cactusdyke.membership.exchange import GOSSIP_PATH
from cactusdyke.membership.member import Member, MemberState, decode_member
from cactusdyke.transport.messages import json_response

DEAD_AFTER_MS = 5_000.0
INTERVAL_MS = 1_000.0


class FullMeshMembers(Service):
    """Tells everyone everything, and believes whoever spoke lately."""

    def __init__(
        self, *, settings, clock, rng, client, traffic, host_list, revision
    ) -> None:
        del rng, traffic, host_list
        self._settings = settings
        self._clock = clock
        self._client = client
        self._revision = revision
        self._state = MemberState.LIVE
        self._heard: dict[str, tuple[float, Member]] = {}
        self._addresses = {peer.address for peer in settings.peers}
        self._incarnation = clock.wall()

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        return Member(
            name=self._settings.name,
            address=self._settings.address,
            data_centre=self._settings.data_centre,
            region=self._settings.region,
            incarnation=self._incarnation,
            state=self._state,
            revision=self._revision(),
        )

    def all(self):
        """Returns every daemon heard lately."""
        now = self._clock.now()
        others = [
            member
            for at, member in self._heard.values()
            if now - at <= DEAD_AFTER_MS
        ]
        return (self.own, *others)

    def serving(self):
        """Returns the daemons heard lately that are not leaving."""
        return tuple(m for m in self.all() if m.state is MemberState.LIVE)

    async def announce_stop(self) -> None:
        """Will say so with the next heartbeat."""
        self._state = MemberState.LEAVING

    async def run(self) -> None:
        """Sends a heartbeat to everyone each interval."""
        while True:
            async with anyio.create_task_group() as tasks:
                for address in sorted(self._addresses):
                    tasks.start_soon(self._beat, address)
            await self._clock.sleep(INTERVAL_MS)

    async def handle(self, request):
        """Takes a heartbeat and answers with the table."""
        self._take(orjson.loads(request.body))
        return json_response(self._table())

    async def _beat(self, address: str) -> None:
        answer = await self._client.post(
            "probe", address, GOSSIP_PATH, self._table(), timeout_ms=1_000.0
        )
        if answer.is_ok():
            self._take(answer.ok_value)

    def _table(self):
        return {
            "from": self.own.encode(),
            "addresses": sorted({*self._addresses, self.own.address}),
        }

    def _take(self, table) -> None:
        member = decode_member(table["from"]).unwrap()
        if member.name == self.own.name:
            return
        self._heard[member.name] = (self._clock.now(), member)
        self._addresses |= {*table["addresses"], member.address}
        self._addresses.discard(self.own.address)
