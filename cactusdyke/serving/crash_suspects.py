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

MIN_QUARANTINE_CRASHES = 3
"""Crashes with which a request is quarantined; one that is sound meets as many
only if replicas crash again and again for other reasons."""
SUSPECT_MS = 300_000.0
QUARANTINE_MS = 1_800_000.0
"""From the last crash on; a new release of the replicas may be free of it."""
EXPIRY_INTERVAL_MS = 1_000.0
MAX_SUSPECTS = 1_024
MAX_CRASHES = 16
"""Kept of each request; what it has crashed beyond changes nothing."""
MAX_SERVED = 1_024
MIN_SHARED_CRASHES = 2
"""Crashes of a request that all daemons are told of."""
MAX_SHARED_REQUESTS = 32
"""Requests that all daemons are told of."""


@attrs.define(kw_only=True)
class _Suspect:
    crashes: dict[str, Instant] = attrs.field(factory=dict)

    @property
    def last_at(self) -> Instant:
        return max(self.crashes.values())

    @property
    def kept_ms(self) -> float:
        return (
            QUARANTINE_MS
            if len(self.crashes) >= MIN_QUARANTINE_CRASHES
            else SUSPECT_MS
        )


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
    def shared_version(self) -> int:
        """Grows with each change of what all daemons are told."""
        return self._told_version

    def __contains__(self, digest: str) -> bool:
        return digest in self._suspects

    def record_crash(
        self, digest: str, replica: str, at: Instant | None = None
    ) -> None:
        """Notes that a request was under way as a replica crashed."""
        at = self._clock.now() if at is None else at
        if at <= self._served.get(digest, at - 1):
            return
        self._forget()
        suspect = self._suspects.setdefault(digest, _Suspect())
        if replica in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES:
            return
        suspect.crashes[replica] = at
        self._under.setdefault(replica, set()).add(digest)
        self._version += 1
        self._told_version += len(suspect.crashes) >= MIN_SHARED_CRASHES
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop(min(self._suspects, key=self._weight))

    def record_served(self, digest: str, at: Instant | None = None) -> None:
        """Notes that a replica has run a request to its end."""
        at = self._clock.now() if at is None else at
        known = self._served.get(digest)
        if known is not None and known >= at:
            return
        self._served[digest] = at
        if len(self._served) > MAX_SERVED:
            del self._served[min(self._served, key=self._served.__getitem__)]
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.last_at <= at:
            self._drop(digest)
            self._told_version += len(suspect.crashes) >= MIN_SHARED_CRASHES
        self._version += 1

    def quarantine_left_ms(self, digest: str) -> float:
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
        if caused < MIN_QUARANTINE_CRASHES:
            return 0.0
        left_ms = suspect.last_at + QUARANTINE_MS - self._clock.now()
        return max(0.0, left_ms)

    def quarantined(self) -> set[str]:
        """Returns the digests of all requests that are quarantined."""
        return {d for d in self._suspects if self.quarantine_left_ms(d) > 0}

    def crashed_replicas(self, digest: str) -> list[str]:
        """Returns the replicas that crashed under a request."""
        suspect = self._suspects.get(digest)
        return sorted(suspect.crashes) if suspect else []

    def encode(
        self, *, min_crashes: int = 1, max_requests: int = MAX_SUSPECTS
    ) -> dict[str, Any] | None:
        """Returns the evidence as JSON values, None if there is none.

        Args:
            min_crashes: Requests with fewer crashes are left out.
            max_requests: Limit; requests with most crashes come first.
        """
        self._forget()
        now = self._clock.now()
        told = [
            d
            for d, s in self._suspects.items()
            if len(s.crashes) >= min_crashes
        ]
        told.sort(key=self._weight, reverse=True)
        crashes = [
            [digest, replica, round(now - at)]
            for digest in told[:max_requests]
            for replica, at in self._suspects[digest].crashes.items()
        ]
        served = [[d, round(now - at)] for d, at in self._served.items()]
        if not crashes and not served:
            return None
        return {"crashes": crashes, "served": served[-max_requests:]}

    def merge(
        self, value: Mapping[str, Any], *, elapsed_ms: float = 0.0
    ) -> None:
        """Takes evidence as `to_wire` returned it.

        Args:
            value: The evidence.
            elapsed_ms: How long ago it was returned.

        Raises:
            KeyError, TypeError, ValueError: The value is of no known form.
        """
        now = self._clock.now() - elapsed_ms
        for digest, age_ms in value["served"]:
            self.record_served(str(digest), now - max(0.0, float(age_ms)))
        for digest, replica, age_ms in value["crashes"]:
            at = now - max(0.0, float(age_ms))
            self.record_crash(str(digest), str(replica), at)

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
        if now - self._forgotten_at < EXPIRY_INTERVAL_MS:
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
