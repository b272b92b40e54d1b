"""The daemons of the deployment, from membership and announcements."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from cactusdyke.membership.member import MemberState
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
from cactusdyke.transport.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.members import Members

WARM_UP_MS = 2_000.0
"""Time in which a started daemon learns the members and the store's state."""
MAX_ANNOUNCED_HASHES = 16
"""Services beyond this are not announced and may change decider sooner."""
ATTACHMENT_KEY = "front"
CACHE_MS = 50.0
"""Small beside gossip, which takes half a second to reach all daemons."""


class MemberView(PeerDaemons):
    """Joins membership with what each daemon announces over gossip."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Members,
        public_address: str,
        size_class: int,
        ready: Callable[[], bool],
        decided_hashes: Callable[[], frozenset[int]],
        min_count: Callable[[], int],
        listed_at: Callable[[], Instant | None] | None = None,
        busy: Callable[[], bool] = lambda: False,
        cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._members = members
        self._public_address = public_address
        self._size_class = size_class
        self._ready = ready
        self._decided_hashes = decided_hashes
        self._min_count = min_count
        self._listed_at = listed_at or (lambda: self._started_at)
        self._told_at: Instant | None = None
        self._busy = busy
        self._cut_off = cut_off
        self._announced: dict[str, Mapping[str, Any]] = {}
        self._cache: dict[str, tuple[Mapping[str, Any], PeerDaemon]] = {}
        self._daemons: tuple[PeerDaemon, ...] = ()
        self._valid_until: Instant = -math.inf
        members.attach_provider(
            ATTACHMENT_KEY, self._announcement, self._record_announcement
        )

    def all(self) -> tuple[PeerDaemon, ...]:
        """Returns every daemon presumed alive and not leaving, and this one.

        Returns the same tuple until something changes. It is called about 30
        times a request; without the cache it took a third of a daemon's
        processor time among 75 daemons.
        """
        now = self._clock.now()
        if now >= self._valid_until:
            self._valid_until = now + CACHE_MS
            known = self._build()
            if known != self._daemons:
                self._daemons = known
        return self._daemons

    def _build(self) -> tuple[PeerDaemon, ...]:
        own_name = self._members.own.name
        others = [
            self._remote_daemon(member)
            for member in self._members.serving()
            if member.name != own_name and member.name in self._announced
        ]
        return (self._local_daemon(), *others)

    def estimated_count(self) -> int:
        """Returns an upper estimate that includes daemons presumed dead."""
        return max(self._members.known_count, self._min_count())

    @property
    def count_known_at(self) -> Instant | None:
        """When the list of daemons was read, or gossip had told of them."""
        self._note_told()
        known = [
            at for at in (self._listed_at(), self._told_at) if at is not None
        ]
        return min(known, default=None)

    def daemons_for_callers(self) -> list[PeerDaemon]:
        """Returns the ready daemons; if there are none, the others known."""
        known = [d for d in self.all() if d.public_address]
        ready = [d for d in known if d.ready]
        others = [d for d in known if not d.is_local]
        return ready or others or known

    def _local_daemon(self) -> PeerDaemon:
        own = self._members.own
        leaving = own.state is MemberState.LEAVING
        return PeerDaemon(
            name=own.name,
            address=own.address,
            public_address=self._public_address,
            data_centre=own.data_centre,
            ready=self._ready() and not leaving,
            warmed_up=self._is_warmed_up(),
            size_class=self._size_class,
            decided_hashes=self._decided_hashes(),
            busy=self._busy(),
            cut_off=self._cut_off(),
            is_local=True,
        )

    def _remote_daemon(self, member: Member) -> PeerDaemon:
        """Returns a daemon, rebuilt only if something has changed.

        Nearly every request needs all daemons, and there may be hundreds.
        """
        announced = self._announced[member.name]
        previous, daemon = self._cache.get(member.name, (None, None))
        if (
            daemon is None
            or previous is not announced
            or daemon.address != member.address
            or daemon.data_centre != member.data_centre
        ):
            daemon = _decode(member, announced)
            self._cache[member.name] = (announced, daemon)
        return daemon

    def _announcement(self) -> Mapping[str, Any]:
        self._note_told()
        announced = {
            "a": self._public_address,
            "r": int(self._ready()),
            "s": int(self._is_warmed_up()),
            "w": self._size_class,
            "b": int(self._busy()),
            "c": int(self._cut_off()),
            "d": sorted(self._decided_hashes())[:MAX_ANNOUNCED_HASHES],
        }
        # Absent fields read as zero; all daemons send this at their start.
        return {key: value for key, value in announced.items() if value}

    def _is_warmed_up(self) -> bool:
        return self._clock.now() - self._started_at > WARM_UP_MS

    def _note_told(self) -> None:
        """Notes when gossip has told of others and had time to reach all."""
        if (
            self._told_at is None
            and self._is_warmed_up()
            and self._members.known_count > 1
        ):
            self._told_at = self._clock.now()

    def _record_announcement(self, name: str, value: Mapping[str, Any]) -> None:
        """Keeps what a daemon announced.

        Raises:
            TypeError, ValueError: It can't be read.
        """
        _check_announcement(value)
        self._announced[name] = value


def _check_announcement(value: Mapping[str, Any]) -> None:
    if not isinstance(value, dict):
        raise TypeError(f"no announcement: {value!r:.60}")
    address = value.get("a", "")
    if address != "":
        NetworkAddress.parse(address)
    hashes = value.get("d", ())
    numbers = (value.get("w", 0), *hashes)
    if not all(isinstance(each, int) for each in numbers):
        raise TypeError(f"no whole numbers: {numbers!r:.60}")


def _decode(member: Member, announced: Mapping[str, Any]) -> PeerDaemon:
    return PeerDaemon(
        name=member.name,
        address=member.address,
        public_address=str(announced.get("a", "")),
        data_centre=member.data_centre,
        ready=bool(announced.get("r")),
        warmed_up=bool(announced.get("s")),
        size_class=int(announced.get("w", 0)),
        decided_hashes=frozenset(announced.get("d", ())),
        busy=bool(announced.get("b")),
        cut_off=bool(announced.get("c")),
    )
