"""Choice of the daemons to probe."""

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
    """Iterates over the daemons in shuffled rounds.

    Two of three probes go to this daemon's own data centre, because load
    reports are attached to them; each third goes to any daemon. Every daemon
    is probed about once per interval, whatever the size of the fleet.
    """

    def __init__(self, *, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._tick = 0
        self._local: list[str] = []
        self._all: list[str] = []

    def next_target(self) -> Member | None:
        """Returns the daemon to probe now, or None if there is none."""
        self._tick += 1
        if self._tick % GLOBAL_PROBE_INTERVAL:
            member = self._pop(self._local, local=True)
            if member is not None:
                return member
        return self._pop(self._all, local=False)

    def helpers(self, target: Member) -> list[Member]:
        """Returns daemons for an indirect probe of the target.

        Most are in other data centres, whose network path to the target is
        a different one.
        """
        candidates = [m for m in self._candidates() if m.name != target.name]
        self._rng.shuffle(candidates)
        own = self._table.own.data_centre
        local = [m for m in candidates if m.data_centre == own]
        remote = [m for m in candidates if m.data_centre != own]
        chosen = remote[:REMOTE_HELPERS] + local[:LOCAL_HELPERS]
        wanted = REMOTE_HELPERS + LOCAL_HELPERS
        rest = [m for m in candidates if m not in chosen]
        return chosen + rest[: wanted - len(chosen)]

    def sample(
        self, count: int, *, exclude: Sequence[str] = ()
    ) -> list[Member]:
        """Returns a few daemons at random."""
        candidates = [m for m in self._candidates() if m.name not in exclude]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _candidates(self) -> list[Member]:
        return sorted(
            self._table.others(exclude={MemberState.DEAD}),
            key=lambda member: member.name,
        )

    def _pop(self, queue: list[str], *, local: bool) -> Member | None:
        for _ in range(2):
            while queue:
                member = self._table.find(queue.pop())
                if member and member.state is not MemberState.DEAD:
                    return member
            queue.extend(self._shuffled(local=local))
        return None

    def _shuffled(self, *, local: bool) -> list[str]:
        own = self._table.own.data_centre
        names = [
            m.name
            for m in self._candidates()
            if not local or m.data_centre == own
        ]
        self._rng.shuffle(names)
        return names
