"""Member table: merges received updates and selects those to send."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from cactusdyke import events
from cactusdyke.membership.member import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from cactusdyke.clock import Clock, Instant

SUSPICION_MS = 3_000.0
SENDS_PER_DOUBLING = 2
TOMBSTONE_MS = 3_600_000.0
BUCKETS = 16


class MemberTable:
    """Entries of all daemons, this one included.

    Updates are ordered by incarnation, then by state. Only a daemon itself
    raises its incarnation, so that its own updates override those of others.
    """

    def __init__(self, *, own: Member, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._others: dict[str, Member] = {}
        self._deadlines: dict[str, Instant] = {}
        self._died_at: dict[str, Instant] = {}
        self._sends_left: dict[str, int] = {}
        self._digests: tuple[str, ...] | None = None
        self._names: tuple[str, ...] | None = None
        self._leaving_hook: Callable[[], None] = lambda: None
        self._queue_update(own)

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        return self._own

    @property
    def digests(self) -> tuple[str, ...]:
        """Hashes of the buckets of daemons that are not dead."""
        if self._digests is None:
            self._digests = self._hash_buckets()
        return self._digests

    @property
    def digest(self) -> str:
        """A hash of all daemons that are not dead."""
        return xxhash.xxh32_hexdigest("".join(self.digests).encode())

    @property
    def present_names(self) -> tuple[str, ...]:
        """The names of all daemons that are not dead, in order."""
        if self._names is None:
            self._names = tuple(sorted(m.name for m in self.present()))
        return self._names

    def present(self) -> list[Member]:
        """Returns every daemon that is not dead, this one first."""
        return [self._own, *(self.others(exclude={MemberState.DEAD}))]

    def others(self, *, exclude: Iterable[MemberState] = ()) -> list[Member]:
        """Returns the other daemons, except those in some states."""
        excluded = frozenset(exclude)
        return [m for m in self._others.values() if m.state not in excluded]

    def find(self, name: str) -> Member | None:
        """Returns a daemon by name; this one and dead ones are included."""
        return self._own if name == self._own.name else self._others.get(name)

    def refute(self, *, state: MemberState | None = None) -> None:
        """Raises this daemon's incarnation, which overrides earlier updates.

        Args:
            state: The new state of this daemon; None leaves it unchanged.
        """
        self._own = attrs.evolve(
            self._own,
            incarnation=self._own.incarnation + 1,
            state=state or self._own.state,
        )
        self._invalidate_caches()
        self._queue_update(self._own)

    def on_leaving(self, hook: Callable[[], None]) -> None:
        """Calls `hook` when another daemon changes to leaving."""
        self._leaving_hook = hook

    def record_revision(self, name: str, revision: int) -> None:
        """Records the revision in force at a daemon.

        For another daemon's incarnation, only a higher one is recorded.
        """
        if name == self._own.name:
            self._own = attrs.evolve(self._own, revision=revision)
            return
        known = self._others.get(name)
        if known is not None and revision > known.revision:
            self._others[name] = attrs.evolve(known, revision=revision)

    def merge(self, update: Member) -> None:
        """Merges an update if it is newer than the known entry."""
        if update.name == self._own.name:
            self._merge_own(update)
            return
        known = self._others.get(update.name)
        if known is None:
            self._store(update)
            return
        if update.precedence <= known.precedence:
            if update.incarnation == known.incarnation:
                self.record_revision(update.name, update.revision)
            return
        if update.state is MemberState.DEAD and _is_serving(known):
            # After a network partition heals, each side reports the other's
            # daemons as dead; a daemon that accepted this would have no
            # address for callers for a while. Such a report therefore only
            # starts a suspicion: a live daemon refutes it in time.
            update = attrs.evolve(update, state=MemberState.SUSPECTED)
            if update.precedence <= known.precedence:
                return
        self._store(update)

    def suspect(self, name: str) -> None:
        """Marks a daemon as suspected after a failed probe."""
        known = self._others.get(name)
        if known is None or known.state is MemberState.DEAD:
            return
        if known.state is MemberState.LIVE:
            self._store(attrs.evolve(known, state=MemberState.SUSPECTED))
        else:
            self._start_timer(name)

    def mark_dead(self, name: str) -> None:
        """Marks a daemon as dead at once, without a time-out."""
        known = self._others.get(name)
        if known is not None and known.state is not MemberState.DEAD:
            self._store(attrs.evolve(known, state=MemberState.DEAD))

    def expire_entries(self) -> None:
        """Marks daemons dead whose suspicion timed out; drops old dead ones."""
        now = self._clock.now()
        for name, deadline in list(self._deadlines.items()):
            if deadline <= now:
                self.mark_dead(name)
        for name, died_at in list(self._died_at.items()):
            if now - died_at > TOMBSTONE_MS:
                self._remove(name)

    def restart_suspicion_timers(self) -> None:
        """Gives every suspected daemon the full time to refute again."""
        for name in list(self._deadlines):
            self._deadlines[name] = (
                self._clock.now() + self.suspicion_timeout_ms()
            )

    def forget_unreachable(self) -> None:
        """Removes the entries of all suspected and dead daemons."""
        for name, member in list(self._others.items()):
            if member.state in {MemberState.SUSPECTED, MemberState.DEAD}:
                self._remove(name)
        self._invalidate_caches()

    def suspicion_timeout_ms(self) -> float:
        """Returns how long a suspected daemon has to refute."""
        count = len(self._others) + 1
        return SUSPICION_MS * max(1.0, math.log10(count))

    def next_updates(self, *, limit: int, receiver: str = "") -> list[Member]:
        """Returns the updates to send next and counts them as sent."""
        chosen = heapq.nlargest(
            limit, self._sends_left, key=self._sends_left.__getitem__
        )
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        members = [self.find(name) for name in chosen if name != receiver]
        about_receiver = self._others.get(receiver)
        if about_receiver and about_receiver.state is not MemberState.LIVE:
            members.append(about_receiver)
        return [member for member in members if member is not None]

    def in_buckets(self, buckets: Sequence[int]) -> list[Member]:
        """Returns all entries of some buckets, dead ones included."""
        wanted = frozenset(buckets)
        return [
            member
            for member in (self._own, *self._others.values())
            if bucket_of(member.name) in wanted
        ]

    def _merge_own(self, update: Member) -> None:
        # If the clock was set back, updates from an earlier run of this
        # daemon may have a higher incarnation than the one from the clock.
        differs = update.state is not self._own.state or (
            update.address != self._own.address
        )
        if update.incarnation > self._own.incarnation or (
            update.incarnation == self._own.incarnation and differs
        ):
            self._own = attrs.evolve(self._own, incarnation=update.incarnation)
            self.refute()

    def _store(self, member: Member) -> None:
        known = self._others.get(member.name)
        self._others[member.name] = member
        self._deadlines.pop(member.name, None)
        self._died_at.pop(member.name, None)
        if member.state is MemberState.SUSPECTED:
            self._start_timer(member.name)
        if member.state is MemberState.DEAD:
            self._died_at[member.name] = self._clock.now()
        self._invalidate_caches()
        self._queue_update(member)
        if known is None or known.state is not member.state:
            events.log(
                events.Event.MEMBER_CHANGED,
                member=member.name,
                state=str(member.state),
                incarnation=member.incarnation,
            )
            if member.state is MemberState.LEAVING:
                self._leaving_hook()

    def _start_timer(self, name: str) -> None:
        deadline = self._clock.now() + self.suspicion_timeout_ms()
        self._deadlines.setdefault(name, deadline)

    def _remove(self, name: str) -> None:
        self._others.pop(name, None)
        self._deadlines.pop(name, None)
        self._died_at.pop(name, None)
        self._sends_left.pop(name, None)

    def _queue_update(self, member: Member) -> None:
        doublings = math.ceil(math.log2(len(self._others) + 2))
        self._sends_left[member.name] = SENDS_PER_DOUBLING * doublings

    def _invalidate_caches(self) -> None:
        self._digests = None
        self._names = None

    def _hash_buckets(self) -> tuple[str, ...]:
        parts: list[list[str]] = [[] for _ in range(BUCKETS)]
        for member in self.present():
            leaving = member.state is MemberState.LEAVING
            parts[bucket_of(member.name)].append(
                f"{member.name}:{member.incarnation}:{leaving}"
            )
        return tuple(
            xxhash.xxh32_hexdigest(" ".join(sorted(part)).encode())
            for part in parts
        )


def bucket_of(name: str) -> int:
    """Returns the number of the digest bucket of a daemon's entry."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


def _is_serving(member: Member) -> bool:
    return member.state in {MemberState.LIVE, MemberState.SUSPECTED}
