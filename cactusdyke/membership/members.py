"""Which daemons there are, by messages between the daemons themselves."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Ok

from cactusdyke import events
from cactusdyke.configuration.peers import Directory, Peer
from cactusdyke.kernel import Service
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.settings import Settings
    from cactusdyke.transport.network import Network

GOSSIP_PATH = "/internal/v1/gossip"
GOSSIP_INTERVAL_MS = 1_000.0
SUSPECT_AFTER_MS = 5_000.0
GOSSIP_TIMEOUT_MS = 1_000.0


class MemberState(enum.StrEnum):
    """What a daemon says of itself, or others of it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Member:
    """One daemon as it describes itself.

    Attributes:
        name: The daemon's name.
        address: Where it serves.
        data_centre: Where it stands.
        region: The region of its data centre.
        incarnation: Grows with each start and each change of state.
        heartbeat: Grows with each message that it sends.
        state: Whether it is live or leaving.
        revision: The configuration revision in force there.
    """

    name: str
    address: str
    data_centre: str
    region: str
    incarnation: int
    heartbeat: int
    state: MemberState
    revision: int


class Members(Service, Directory):
    """The table of daemons, exchanged with one other each second."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        network: Network,
        revision: Callable[[], int],
        heard_of: Callable[[int, str], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._network = network
        self._revision = revision
        self._heard_of = heard_of
        self._state = MemberState.LIVE
        self._incarnation = clock.wall()
        self._heartbeat = 0
        self._members: dict[str, Member] = {}
        self._heard_at: dict[str, Instant] = {}

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        return Member(
            name=self._settings.name,
            address=self._settings.address,
            data_centre=self._settings.data_centre,
            region=self._settings.region,
            incarnation=self._incarnation,
            heartbeat=self._heartbeat,
            state=self._state,
            revision=self._revision(),
        )

    def all(self) -> tuple[Member, ...]:
        """Returns every daemon heard of lately, this one first."""
        now = self._clock.now()
        others = [
            member
            for name, member in self._members.items()
            if now - self._heard_at[name] <= SUSPECT_AFTER_MS
        ]
        return (self.own, *sorted(others, key=lambda member: member.name))

    def peers(self) -> tuple[Peer, ...]:
        """Returns the other daemons that configuration may be had from."""
        return tuple(
            Peer(name=m.name, address=m.address, data_centre=m.data_centre)
            for m in self.all()[1:]
        )

    def serving(self) -> tuple[Member, ...]:
        """Returns the daemons that callers may be sent to."""
        return tuple(m for m in self.all() if m.state is MemberState.LIVE)

    def leave(self) -> None:
        """Says from now on that this daemon is leaving."""
        self._state = MemberState.LEAVING
        self._incarnation += 1

    async def run(self) -> None:
        """Exchanges the table with one other daemon each interval."""
        while True:
            await self._exchange()
            await self._clock.sleep(GOSSIP_INTERVAL_MS)

    async def drain(self) -> None:
        """Says that this daemon is leaving, to as many as there are."""
        self.leave()
        for _ in self._targets():
            await self._exchange()

    async def handle(self, request: Request) -> Response:
        """Takes another daemon's table and answers with this one's."""
        match request.json():
            case Ok(value):
                self._merge(value)
                return json_response(self._table())
            case Err(failure):
                return failure_response(failure)

    def _targets(self) -> list[str]:
        seeds = [peer.address for peer in self._settings.peers]
        known = [member.address for member in self._members.values()]
        own = self._settings.address
        return sorted({a for a in (*seeds, *known) if a != own})

    async def _exchange(self) -> None:
        targets = self._targets()
        if not targets:
            return
        self._heartbeat += 1
        request = Request(
            method="POST",
            path=GOSSIP_PATH,
            body=orjson.dumps(self._table()),
        )
        options = CallOptions(
            connect_timeout_ms=GOSSIP_TIMEOUT_MS,
            progress_timeout_ms=GOSSIP_TIMEOUT_MS,
        )
        address = self._rng.choice(targets)
        answer = await self._network.fetch(address, request, options)
        if isinstance(answer, Ok) and isinstance(answer.ok_value.body, bytes):
            self._merge(orjson.loads(answer.ok_value.body))

    def _table(self) -> dict[str, Any]:
        return {"members": [attrs.asdict(member) for member in self.all()]}

    def _merge(self, table: dict[str, Any]) -> None:
        for item in table["members"]:
            member = Member(**{**item, "state": MemberState(item["state"])})
            if member.name != self._settings.name:
                self._take(member)

    def _take(self, member: Member) -> None:
        known = self._members.get(member.name)
        order = (member.incarnation, member.heartbeat)
        if known and order <= (known.incarnation, known.heartbeat):
            return
        self._members[member.name] = member
        self._heard_at[member.name] = self._clock.now()
        self._heard_of(member.revision, member.address)
        if known is None or known.state is not member.state:
            events.log(
                events.Event.MEMBER_CHANGED,
                member=member.name,
                state=str(member.state),
            )
