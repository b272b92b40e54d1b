"""Evidence of the requests in progress at replica crashes, and their causes.

A request is identified by its digest, a hash of method, path, caller and body.
Each crash has several suspects, because all requests that run on the replica
break with it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.clock import Clock

MIN_QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined. A harmless request reaches this
number only if replicas keep crashing for other reasons."""
SUSPECT_MS = 300_000.0
QUARANTINE_MS = 1_800_000.0
"""From the last crash on; a newer release of the replicas may have fixed it."""
EXPIRY_INTERVAL_MS = 1_000.0
MAX_SUSPECTS = 1_024
MAX_CRASHES = 16
"""Crashes recorded for each request; further ones would change nothing."""
MAX_SERVED = 1_024
MIN_SHARED_CRASHES = 2
"""Crashes from which on a request's evidence is sent to all daemons."""
MAX_SHARED_REQUESTS = 32
"""Requests whose evidence is sent to all daemons at most."""


@attrs.define(kw_only=True)
class _Suspect:
    crashes: dict[str, Instant] = attrs.field(factory=dict)

    @property
    def last_at(self) -> Instant:
        return max(self.crashes.values())

    @property
    def retention_ms(self) -> float:
        return (
            QUARANTINE_MS
            if len(self.crashes) >= MIN_QUARANTINE_CRASHES
            else SUSPECT_MS
        )


class CrashSuspects:
    """Evidence against requests, bounded in number and age.

    Neither order nor repetition of merged evidence makes a difference. A
    request that was served is cleared, and older evidence against it is
    ignored.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}
        self._digests_by_replica: dict[str, set[str]] = {}
        self._served: dict[str, Instant] = {}
        self._version = 0
        self._shared_version = 0
        self._last_expiry_at = clock.now()

    @property
    def empty(self) -> bool:
        """Whether there is no evidence against any request."""
        return not self._suspects

    @property
    def version(self) -> int:
        """Increases with each change of the evidence."""
        return self._version

    @property
    def shared_version(self) -> int:
        """Increases with each change of the evidence for all daemons."""
        return self._shared_version

    def __contains__(self, digest: str) -> bool:
        return digest in self._suspects

    def record_crash(
        self, digest: str, replica: str, at: Instant | None = None
    ) -> None:
        """Records that a request was in progress when a replica crashed."""
        at = self._clock.now() if at is None else at
        if at <= self._served.get(digest, at - 1):
            return
        self._expire()
        suspect = self._suspects.setdefault(digest, _Suspect())
        if replica in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES:
            return
        suspect.crashes[replica] = at
        self._digests_by_replica.setdefault(replica, set()).add(digest)
        self._version += 1
        self._shared_version += len(suspect.crashes) >= MIN_SHARED_CRASHES
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop(min(self._suspects, key=self._weight))

    def record_served(self, digest: str, at: Instant | None = None) -> None:
        """Records that a replica has completed a request."""
        at = self._clock.now() if at is None else at
        served_at = self._served.get(digest)
        if served_at is not None and served_at >= at:
            return
        self._served[digest] = at
        if len(self._served) > MAX_SERVED:
            del self._served[min(self._served, key=self._served.__getitem__)]
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.last_at <= at:
            self._drop(digest)
            self._shared_version += len(suspect.crashes) >= MIN_SHARED_CRASHES
        self._version += 1

    def quarantine_left_ms(self, digest: str) -> float:
        """Returns how long a request remains quarantined in ms, 0 if it is not.

        A crash counts only against the one request with the most crashes among
        those in progress at it, since that one explains it. If several have the
        most, it counts against none until one of them has a further crash.
        """
        self._expire()
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0.0
        caused_count = sum(self._has_caused(digest, c) for c in suspect.crashes)
        if caused_count < MIN_QUARANTINE_CRASHES:
            return 0.0
        left_ms = suspect.last_at + QUARANTINE_MS - self._clock.now()
        return max(0.0, left_ms)

    def quarantined(self) -> set[str]:
        """Returns the digests of all quarantined requests."""
        return {d for d in self._suspects if self.quarantine_left_ms(d) > 0}

    def crashed_replicas(self, digest: str) -> list[str]:
        """Returns the replicas that crashed while they ran a request."""
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
        self._expire()
        now = self._clock.now()
        shared = [
            d
            for d, s in self._suspects.items()
            if len(s.crashes) >= min_crashes
        ]
        shared.sort(key=self._weight, reverse=True)
        crashes = [
            [digest, replica, round(now - at)]
            for digest in shared[:max_requests]
            for replica, at in self._suspects[digest].crashes.items()
        ]
        served = [[d, round(now - at)] for d, at in self._served.items()]
        if not crashes and not served:
            return None
        return {"crashes": crashes, "served": served[-max_requests:]}

    def merge(
        self, value: Mapping[str, Any], *, elapsed_ms: float = 0.0
    ) -> None:
        """Merges evidence as `encode` returned it.

        Args:
            value: The evidence.
            elapsed_ms: How long ago it was returned.

        Raises:
            KeyError, TypeError, ValueError: The value is malformed.
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
            for other in self._digests_by_replica[replica]
            if other != digest
        )

    def _weight(self, digest: str) -> tuple[int, Instant]:
        suspect = self._suspects[digest]
        return (len(suspect.crashes), suspect.last_at)

    def _expire(self) -> None:
        now = self._clock.now()
        if now - self._last_expiry_at < EXPIRY_INTERVAL_MS:
            return
        self._last_expiry_at = now
        for digest, suspect in list(self._suspects.items()):
            if now - suspect.last_at > suspect.retention_ms:
                self._drop(digest)
        for digest, at in list(self._served.items()):
            if now - at > SUSPECT_MS:
                del self._served[digest]

    def _drop(self, digest: str) -> None:
        for replica in self._suspects.pop(digest).crashes:
            digests = self._digests_by_replica[replica]
            digests.discard(digest)
            if not digests:
                del self._digests_by_replica[replica]
