"""Which requests were under way as replicas crashed, and which crashed them.

A request is known by its digest: method, path, caller and body. Each crash
leaves several suspects, for whatever else ran on the replica broke with it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.clock import Clock

CRASHES = 3
"""Crashes with which a request is quarantined; one that is sound meets as many
only if replicas crash again and again for other reasons."""
SUSPECT_MS = 300_000.0
QUARANTINE_MS = 1_800_000.0
"""From the last crash on; a new release of the replicas may be free of it."""
FORGET_EVERY_MS = 1_000.0
MOST_SUSPECTS = 1_024
MOST_CRASHES = 16
"""Kept of each request; what it has crashed beyond changes nothing."""
MOST_SERVED = 1_024
TOLD_CRASHES = 2
"""Crashes of a request that all daemons are told of."""
MOST_TOLD = 32
"""Requests that all daemons are told of."""


@attrs.define(kw_only=True)
class _Suspect:
    crashes: dict[str, Instant] = attrs.field(factory=dict)

    @property
    def last_at(self) -> Instant:
        return max(self.crashes.values())

    @property
    def kept_ms(self) -> float:
        return QUARANTINE_MS if len(self.crashes) >= CRASHES else SUSPECT_MS


class CrashSuspects:
    """Evidence against requests, bounded in number and age.

    Evidence of several daemons adds up in any order and however often it comes.
    A request that was served is cleared, and older evidence against it no
    longer counts.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}
        self._under: dict[str, set[str]] = {}
        self._served: dict[str, Instant] = {}
        self._version = 0
        self._told_version = 0
        self._forgotten_at = clock.now()

    @property
    def empty(self) -> bool:
        """Whether nothing is known against any request."""
        return not self._suspects

    @property
    def version(self) -> int:
        """Grows with each change of what is known."""
        return self._version

    @property
    def told_version(self) -> int:
        """Grows with each change of what all daemons are told."""
        return self._told_version

    def __contains__(self, digest: str) -> bool:
        return digest in self._suspects

    def crashed(
        self, digest: str, replica: str, at: Instant | None = None
    ) -> None:
        """Notes that a request was under way as a replica crashed."""
        at = self._clock.now() if at is None else at
        if at <= self._served.get(digest, at - 1):
            return
        self._forget()
        suspect = self._suspects.setdefault(digest, _Suspect())
        if replica in suspect.crashes or len(suspect.crashes) >= MOST_CRASHES:
            return
        suspect.crashes[replica] = at
        self._under.setdefault(replica, set()).add(digest)
        self._version += 1
        self._told_version += len(suspect.crashes) >= TOLD_CRASHES
        if len(self._suspects) > MOST_SUSPECTS:
            self._drop(min(self._suspects, key=self._weight))

    def served(self, digest: str, at: Instant | None = None) -> None:
        """Notes that a replica has run a request to its end."""
        at = self._clock.now() if at is None else at
        known = self._served.get(digest)
        if known is not None and known >= at:
            return
        self._served[digest] = at
        if len(self._served) > MOST_SERVED:
            del self._served[min(self._served, key=self._served.__getitem__)]
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.last_at <= at:
            self._drop(digest)
            self._told_version += len(suspect.crashes) >= TOLD_CRASHES
        self._version += 1

    def quarantined_ms(self, digest: str) -> float:
        """Returns for how long a request is quarantined, 0 if it is not.

        A crash counts against the request that has most crashes of all that
        were under way: the others are explained by it. Where two have as many,
        it counts against neither until one of them is told apart.
        """
        self._forget()
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0.0
        caused = sum(self._has_caused(digest, c) for c in suspect.crashes)
        if caused < CRASHES:
            return 0.0
        left_ms = suspect.last_at + QUARANTINE_MS - self._clock.now()
        return max(0.0, left_ms)

    def quarantined(self) -> set[str]:
        """Returns the digests of all requests that are quarantined."""
        return {d for d in self._suspects if self.quarantined_ms(d) > 0}

    def crashes(self, digest: str) -> list[str]:
        """Returns the replicas that crashed under a request."""
        suspect = self._suspects.get(digest)
        return sorted(suspect.crashes) if suspect else []

    def to_wire(
        self, *, least: int = 1, most: int = MOST_SUSPECTS
    ) -> dict[str, Any] | None:
        """Returns the evidence as JSON values, None if there is none.

        Args:
            least: Crashes of the requests that are told; those with fewer are
                left out.
            most: How many requests are told, those with most crashes first.
        """
        self._forget()
        now = self._clock.now()
        told = [d for d, s in self._suspects.items() if len(s.crashes) >= least]
        told.sort(key=self._weight, reverse=True)
        crashes = [
            [digest, replica, round(now - at)]
            for digest in told[:most]
            for replica, at in self._suspects[digest].crashes.items()
        ]
        served = [[d, round(now - at)] for d, at in self._served.items()]
        if not crashes and not served:
            return None
        return {"crashes": crashes, "served": served[-most:]}

    def take(self, value: Mapping[str, Any], *, passed_ms: float = 0.0) -> None:
        """Takes evidence as `to_wire` returned it.

        Args:
            value: The evidence.
            passed_ms: How long ago it was returned.

        Raises:
            KeyError, TypeError, ValueError: The value is of no known form.
        """
        now = self._clock.now() - passed_ms
        for digest, age_ms in value["served"]:
            self.served(str(digest), now - max(0.0, float(age_ms)))
        for digest, replica, age_ms in value["crashes"]:
            at = now - max(0.0, float(age_ms))
            self.crashed(str(digest), str(replica), at)

    def _has_caused(self, digest: str, replica: str) -> bool:
        count = len(self._suspects[digest].crashes)
        return all(
            len(self._suspects[other].crashes) < count
            for other in self._under[replica]
            if other != digest
        )

    def _weight(self, digest: str) -> tuple[int, Instant]:
        suspect = self._suspects[digest]
        return (len(suspect.crashes), suspect.last_at)

    def _forget(self) -> None:
        now = self._clock.now()
        if now - self._forgotten_at < FORGET_EVERY_MS:
            return
        self._forgotten_at = now
        for digest, suspect in list(self._suspects.items()):
            if now - suspect.last_at > suspect.kept_ms:
                self._drop(digest)
        for digest, at in list(self._served.items()):
            if now - at > SUSPECT_MS:
                del self._served[digest]

    def _drop(self, digest: str) -> None:
        for replica in self._suspects.pop(digest).crashes:
            under = self._under[replica]
            under.discard(digest)
            if not under:
                del self._under[replica]
