"""The daemons of the deployment, from membership and what they tell."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from cactusdyke.membership.member import MemberState
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.members import Members

SETTLED_MS = 2_000.0
"""By then a daemon that has just started knows its members and the store."""
MOST_DECIDED = 16
"""Marks told of; what a daemon decides beyond may move sooner."""
ATTACHMENT = "front"
FRESH_MS = 50.0
"""Gossip itself takes half a second to reach all."""


class MemberView(PeerDaemons):
    """Joins membership with each daemon's front address and readiness."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Members,
        front_address: str,
        size: int,
        ready: Callable[[], bool],
        decides: Callable[[], frozenset[int]],
        least_count: Callable[[], int],
        busy: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._members = members
        self._front_address = front_address
        self._size = size
        self._ready = ready
        self._decides = decides
        self._least_count = least_count
        self._busy = busy
        self._told: dict[str, Mapping[str, Any]] = {}
        self._described: dict[str, tuple[Mapping[str, Any], PeerDaemon]] = {}
        self._known: tuple[PeerDaemon, ...] = ()
        self._fresh_until: Instant = -math.inf
        members.attach_provider(ATTACHMENT, self._tell, self._hear)

    def all(self) -> tuple[PeerDaemon, ...]:
        """Returns every daemon believed alive and not leaving, and this one.

        The same tuple as long as nothing has changed: asked some thirty times
        a request, it was seen to take a third of a daemon's time among 75.
        """
        now = self._clock.now()
        if now >= self._fresh_until:
            self._fresh_until = now + FRESH_MS
            known = self._now()
            if known != self._known:
                self._known = known
        return self._known

    def _now(self) -> tuple[PeerDaemon, ...]:
        own_name = self._members.own.name
        others = [
            self._daemon(member)
            for member in self._members.serving()
            if member.name != own_name and member.name in self._told
        ]
        return (self._own(), *others)

    def believed_count(self) -> int:
        """Returns how many daemons there may be, those believed dead too."""
        return max(self._members.known_count, self._least_count())

    def callers_may_use(self) -> list[PeerDaemon]:
        """Returns where callers are sent: ready daemons, or any known."""
        known = [d for d in self.all() if d.front_address]
        ready = [d for d in known if d.ready]
        others = [d for d in known if not d.own]
        return ready or others or known

    def _own(self) -> PeerDaemon:
        own = self._members.own
        leaving = own.state is MemberState.LEAVING
        return PeerDaemon(
            name=own.name,
            address=own.address,
            front_address=self._front_address,
            data_centre=own.data_centre,
            ready=self._ready() and not leaving,
            settled=self._settled(),
            size=self._size,
            decides=self._decides(),
            busy=self._busy(),
            own=True,
        )

    def _daemon(self, member: Member) -> PeerDaemon:
        """Returns a daemon, described anew only if something has changed.

        All are asked for with nearly each request, and there may be hundreds.
        """
        told = self._told[member.name]
        told_before, daemon = self._described.get(member.name, (None, None))
        if (
            daemon is None
            or told_before is not told
            or daemon.address != member.address
            or daemon.data_centre != member.data_centre
        ):
            daemon = _describe(member, told)
            self._described[member.name] = (told, daemon)
        return daemon

    def _tell(self) -> Mapping[str, Any]:
        return {
            "a": self._front_address,
            "r": int(self._ready()),
            "s": int(self._settled()),
            "w": self._size,
            "b": int(self._busy()),
            "d": sorted(self._decides())[:MOST_DECIDED],
        }

    def _settled(self) -> bool:
        return self._clock.now() - self._started_at > SETTLED_MS

    def _hear(self, name: str, value: Mapping[str, Any]) -> None:
        self._told[name] = value


def _describe(member: Member, told: Mapping[str, Any]) -> PeerDaemon:
    return PeerDaemon(
        name=member.name,
        address=member.address,
        front_address=str(told.get("a", "")),
        data_centre=member.data_centre,
        ready=bool(told.get("r")),
        settled=bool(told.get("s")),
        size=int(told.get("w", 0)),
        decides=frozenset(told.get("d", ())),
        busy=bool(told.get("b")),
    )
