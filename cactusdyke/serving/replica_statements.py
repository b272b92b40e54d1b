"""Knows what replicas said of themselves, and whether they may be sent to.

A statement belongs to one process of a replica, so it is kept by name and
start. It outlives the replica's entry in the platform's list: an entry that
lapses and returns is about the same process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from cactusdyke.clock import Clock
    from cactusdyke.serving.dialect import ReplicaStatement
    from cactusdyke.serving.model import Replica

MAX_REST_MS = 60_000.0
"""Longest rest that is kept to; replicas ask for seconds."""
ABSENT_KEPT_MS = 120_000.0
"""How long a leaving replica without an entry is remembered."""
MAX_ABSENT = 4_096
"""Leaving replicas without an entry that are remembered at most."""


@attrs.define(kw_only=True)
class _Leaving:
    born: int
    last_listed_at: Instant


@attrs.frozen(kw_only=True)
class _Rest:
    born: int
    ends_at: Instant


class ReplicaStatements:
    """The replicas that leave, and those that want nothing for a while.

    That a replica leaves holds for all daemons and until its process ends. A
    rest is asked of the daemon that was refused, and holds for that one only.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._leaving: dict[str, _Leaving] = {}
        self._rests: dict[str, _Rest] = {}
        self._version = 0
        self._leaving_hooks: list[Callable[[str, int, str], None]] = []
        self._rest_hook: Callable[[Replica], None] = _ignore

    @property
    def version(self) -> int:
        """Grows whenever another replica is known to leave."""
        return self._version

    @property
    def leaving(self) -> list[tuple[str, int]]:
        """Names and starts of replicas that leave, the newest first."""
        known = reversed(self._leaving.items())
        return [(name, leaving.born) for name, leaving in known]

    def on_leaving(self, hook: Callable[[str, int, str], None]) -> None:
        """Adds a hook that gets name, start and reason of each that leaves."""
        self._leaving_hooks.append(hook)

    def on_rest(self, hook: Callable[[Replica], None]) -> None:
        """Sets the hook that is called with each replica that asks for rest."""
        self._rest_hook = hook

    def record(self, replica: Replica, statement: ReplicaStatement) -> None:
        """Records what a replica said in an answer to this daemon.

        Args:
            replica: The replica, as its entry was when the call was made.
            statement: What its answer said.
        """
        if statement.leaves:
            self.record_leaving(
                replica.name, replica.born, reason="it says so in an answer"
            )
        if statement.rest_ms is not None:
            self.record_rest(replica, statement.rest_ms)

    def record_refusal(
        self, replica: Replica, statement: ReplicaStatement
    ) -> bool:
        """Records the rest that an answer asks for which names no replica.

        Another process may have the address. It wants rest all the same; that
        it leaves would be kept too long for another one's word.

        Returns:
            Whether the answer asks for rest.
        """
        if statement.rest_ms is None:
            return False
        self.record_rest(replica, statement.rest_ms)
        return True

    def record_rest(self, replica: Replica, rest_ms: float) -> None:
        """Records that a replica wants nothing from this daemon for a while.

        A shorter rest does not end a longer one.
        """
        ends_at = self._clock.now() + min(rest_ms, MAX_REST_MS)
        known = self._rests.get(replica.name)
        if known is not None and known.born == replica.born:
            ends_at = max(ends_at, known.ends_at)
        self._rests[replica.name] = _Rest(born=replica.born, ends_at=ends_at)
        self._rest_hook(replica)

    def record_leaving(self, name: str, born: int, *, reason: str) -> None:
        """Records that a replica leaves.

        Args:
            name: Its name.
            born: Its start, in Unix milliseconds; 0 if it is not known.
            reason: How it was recognised, for the log.
        """
        known = self._leaving.get(name)
        if known is not None and known.born >= born:
            return
        self._leaving.pop(name, None)
        self._leaving[name] = _Leaving(
            born=born, last_listed_at=self._clock.now()
        )
        self._version += 1
        for hook in self._leaving_hooks:
            hook(name, born, reason)

    def leaves(self, replica: Replica) -> bool:
        """Returns whether a replica is known to leave."""
        known = self._leaving.get(replica.name)
        return known is not None and known.born == replica.born

    def rest_left_ms(self, replica: Replica) -> float:
        """Returns for how long a replica wants nothing from this daemon."""
        rest = self._rests.get(replica.name)
        if rest is None or rest.born != replica.born:
            return 0.0
        left_ms = rest.ends_at - self._clock.now()
        if left_ms <= 0:
            del self._rests[replica.name]
        return max(0.0, left_ms)

    def accepts(self, replica: Replica) -> bool:
        """Returns whether this daemon may send something to a replica now."""
        name = replica.name
        if name not in self._leaving and name not in self._rests:
            return True
        return not self.leaves(replica) and not self.rest_left_ms(replica)

    def until_any_accepts_ms(self, replicas: Iterable[Replica]) -> float:
        """Returns the time until one of some replicas accepts something.

        Returns:
            Milliseconds; 0 if one does now, or if there are none.
        """
        return min((self.rest_left_ms(r) for r in replicas), default=0.0)

    def update_listed(self, listed: Mapping[str, Replica]) -> None:
        """Forgets what was said by processes that are replaced or long gone.

        Args:
            listed: All replicas that the platform lists, by name.
        """
        now = self._clock.now()
        for name, leaving in list(self._leaving.items()):
            replica = listed.get(name)
            if replica is not None:
                leaving.last_listed_at = now
            # Without its start, another process would look like this one.
            elif not leaving.born or (
                now - leaving.last_listed_at > ABSENT_KEPT_MS
            ):
                del self._leaving[name]
        absent = [name for name in self._leaving if name not in listed]
        for name in absent[: max(0, len(absent) - MAX_ABSENT)]:
            del self._leaving[name]
        for name, rest in list(self._rests.items()):
            if rest.ends_at <= now:
                del self._rests[name]


def _ignore(replica: Replica) -> None:
    """Does nothing; the default of the hook."""
    del replica
