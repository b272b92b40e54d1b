"""Whom a daemon probes next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.membership.member import Member, MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cactusdyke.membership.table import MemberTable

GLOBAL_PROBE_INTERVAL = 3
REMOTE_HELPERS = 2
LOCAL_HELPERS = 1


class ProbeSchedule:
    """Goes through the daemons in shuffled rounds.

    Two of three probes go to the own data centre, where load reports ride
    on them; each third goes through all daemons. Every daemon is probed by
    some other about once an interval whatever the size of the fleet.
    """

    def __init__(self, *, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._tick = 0
        self._near: list[str] = []
        self._all: list[str] = []

    def next_target(self) -> Member | None:
        """Returns the daemon to probe now, or None if there is none."""
        self._tick += 1
        if self._tick % GLOBAL_PROBE_INTERVAL:
            member = self._take(self._near, near=True)
            if member is not None:
                return member
        return self._take(self._all, near=False)

    def helpers(self, target: Member) -> list[Member]:
        """Returns daemons to probe the target in this one's stead.

        Most stand in other data centres, whose way to the target is another.
        """
        candidates = [m for m in self._known() if m.name != target.name]
        self._rng.shuffle(candidates)
        own = self._table.own.data_centre
        here = [m for m in candidates if m.data_centre == own]
        elsewhere = [m for m in candidates if m.data_centre != own]
        chosen = elsewhere[:REMOTE_HELPERS] + here[:LOCAL_HELPERS]
        wanted = REMOTE_HELPERS + LOCAL_HELPERS
        rest = [m for m in candidates if m not in chosen]
        return chosen + rest[: wanted - len(chosen)]

    def sample(
        self, count: int, *, exclude: Sequence[str] = ()
    ) -> list[Member]:
        """Returns a few daemons at random."""
        candidates = [m for m in self._known() if m.name not in exclude]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _known(self) -> list[Member]:
        return sorted(
            self._table.others(exclude={MemberState.DEAD}),
            key=lambda member: member.name,
        )

    def _take(self, waiting: list[str], *, near: bool) -> Member | None:
        for _ in range(2):
            while waiting:
                member = self._table.find(waiting.pop())
                if member and member.state is not MemberState.DEAD:
                    return member
            waiting.extend(self._shuffled(near=near))
        return None

    def _shuffled(self, *, near: bool) -> list[str]:
        own = self._table.own.data_centre
        names = [
            m.name for m in self._known() if not near or m.data_centre == own
        ]
        self._rng.shuffle(names)
        return names
