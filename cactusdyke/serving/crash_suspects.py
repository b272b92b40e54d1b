"""Evidence of what the requests in progress at replica crashes had in common.

A suspect is one request that was in progress at a crash, as the set of its
properties: what it shares with its repetitions, and with other requests. A
crash has several suspects, because all requests on the replica break with it.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING, Any

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cactusdyke.clock import Clock

MIN_BLAMED_CRASHES = 3
"""Crashes after which a property is blamed. A harmless one reaches this number
only if replicas keep crashing for other reasons."""
SPARED_MS = 500.0
"""How long an answer speaks for its properties. Replicas that crash together
for another reason do so within this time of answers of popular requests."""
TOGETHER_MS = 30.0
"""Replicas that crash within this time count once: they may have a cause in
common that is no request, such as a host that is lost."""
WIDER_CRASHES = 2
"""Crashes more from which on a property is blamed by itself, not only together
with others that are narrower."""
COMMON_WEIGHT = 0.5
"""How much a crash counts against what many requests have: some of them were on
the replica in any case."""
STEADY_MS = 200.0
"""What has been blamed for so long is no error of evidence that is under way,
and remains blamed until an answer refutes it."""
SUSPECT_MS = 300_000.0
QUARANTINE_MS = 1_800_000.0
"""From the last crash on; a newer release of the replicas may have fixed it."""
EXPIRY_INTERVAL_MS = 1_000.0
MAX_SUSPECTS = 1_024
MAX_CRASHES = 16
"""Crashes recorded for each property; further ones would change nothing."""
MAX_HARMLESS = 1_024
MIN_SHARED_CRASHES = 2
"""Crashes from which on a property's evidence is sent to all daemons."""
MAX_SHARED_PROPERTIES = 32
"""Properties whose evidence is sent to all daemons at most."""

Suspect = frozenset[str]


@attrs.frozen(kw_only=True)
class Blame:
    """What crashes replicas: requests that have all of some properties.

    Attributes:
        properties: Properties that the suspects of all these crashes have in
            common. Which of them is the cause is not known yet.
        replicas: The replicas that crashed, in order of time.
        since: When the crash happened that sufficed.
        ends_at: When the blame ends without a further crash.
        doubtful: Whether other causes may explain these crashes: replicas crash
            without such requests as well, or many requests are such ones.
    """

    properties: frozenset[str]
    replicas: tuple[str, ...]
    since: Instant
    ends_at: Instant
    doubtful: bool


@attrs.frozen(kw_only=True)
class _Candidate:
    """A property with enough crashes to be blamed.

    Attributes:
        name: The property.
        together: What all suspects with it have in common.
    """

    name: str
    together: frozenset[str]

    def is_wider_than(self, other: _Candidate) -> bool:
        """Returns whether it is shared by all suspects with another one."""
        return self.name in other.together and other.together != self.together


class CrashSuspects:
    """Evidence against properties of requests, bounded in number and age.

    Neither order nor repetition of merged evidence makes a difference, but what
    has been blamed for a while stays so until it is refuted. A
    property whose request was answered is harmless until then and a little
    longer: crashes up to that time are no evidence against it.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashed_at: dict[str, Instant] = {}
        self._suspects: dict[str, set[Suspect]] = {}
        self._common: dict[str, set[str]] = {}
        self._replicas: dict[str, set[str]] = {}
        self._harmless: dict[str, Instant] = {}
        self._suspect_count = 0
        self._version = 0
        self._shared_version = 0
        self._blames: list[Blame] = []
        self._blamed_at: dict[frozenset[str], Instant] = {}
        self._blames_version = 0
        self._counts_by_name: dict[str, float] = {}
        self._last_expiry_at = clock.now()

    @property
    def empty(self) -> bool:
        """Whether there is no evidence against any property."""
        return not self._replicas

    @property
    def version(self) -> int:
        """Increases with each change of the evidence."""
        return self._version

    @property
    def shared_version(self) -> int:
        """Increases with each change of the evidence for all daemons."""
        return self._shared_version

    @property
    def properties(self) -> list[str]:
        """All properties against which there is evidence."""
        return list(self._replicas)

    def __contains__(self, name: str) -> bool:
        return name in self._replicas

    def record_crash(
        self,
        suspect: Iterable[str],
        replica: str,
        at: Instant | None = None,
        *,
        common: Iterable[str] = (),
    ) -> None:
        """Records that a request was in progress when a replica crashed.

        Args:
            suspect: The request's properties.
            replica: The replica's name and start.
            at: When it crashed, on this daemon's clock.
            common: Those of its properties that many requests had just before.
        """
        at = self._clock.now() if at is None else at
        at = self._crashed_at.get(replica, at)
        self._expire()
        suspect = frozenset(suspect)
        if suspect in self._suspects.get(replica, ()):
            return
        added = [p for p in suspect if self._counts(p, replica, at)]
        known = [p for p in suspect if replica in self._replicas.get(p, ())]
        if not added and not known:
            return
        self._crashed_at[replica] = at
        self._suspects.setdefault(replica, set()).add(suspect)
        self._common.setdefault(replica, set()).update(common)
        self._suspect_count += 1
        for name in added:
            self._replicas.setdefault(name, set()).add(replica)
        self._note_change(suspect)
        if self._suspect_count > MAX_SUSPECTS:
            self._drop_crash(min(self._crashed_at, key=self._crash_weight))

    def record_harmless(self, name: str, at: Instant | None = None) -> bool:
        """Records that a replica answered a request with a property.

        Returns:
            Whether evidence against the property was dropped.
        """
        at = self._clock.now() if at is None else at
        if at <= self._harmless.get(name, at - 1):
            return False
        self._harmless[name] = at
        if len(self._harmless) > MAX_HARMLESS:
            del self._harmless[
                min(self._harmless, key=self._harmless.__getitem__)
            ]
        refuted = {
            replica
            for replica in self._replicas.get(name, ())
            if self._crashed_at[replica] <= at + SPARED_MS
        }
        self._note_change([name])
        self._drop(name, refuted)
        return bool(refuted)

    def is_refuted_by(self, name: str, at: Instant) -> bool:
        """Returns whether an answer at that time refutes some evidence."""
        return any(
            self._crashed_at[replica] <= at + SPARED_MS
            for replica in self._replicas.get(name, ())
        )

    def blames(self) -> list[Blame]:
        """Returns what crashes replicas, as far as the evidence tells."""
        self._expire()
        if self._blames_version != self._version:
            self._blames = self._judge()
            self._blames_version = self._version
        now = self._clock.now()
        return [blame for blame in self._blames if blame.ends_at > now]

    def blame_for(self, properties: frozenset[str]) -> Blame | None:
        """Returns why a request is not sent, None if nothing is against it."""
        if self.empty:
            return None
        return next(
            (b for b in self.blames() if b.properties <= properties), None
        )

    def blames_for(self, properties: frozenset[str]) -> list[Blame]:
        """Returns everything for which a request is not sent."""
        return [b for b in self.blames() if b.properties <= properties]

    def crashed_replicas(self, name: str) -> list[str]:
        """Returns the replicas whose crashes count against a property."""
        return sorted(self._replicas.get(name, ()))

    def encode(
        self, *, min_crashes: int = 1, max_properties: int | None = None
    ) -> dict[str, Any] | None:
        """Returns the evidence as JSON values, None if there is none.

        Args:
            min_crashes: Properties with fewer crashes are left out.
            max_properties: Limit; properties with most crashes come first.
        """
        self._expire()
        now = self._clock.now()
        names = [n for n, r in self._replicas.items() if len(r) >= min_crashes]
        names.sort(key=self._weight, reverse=True)
        kept = set(names[:max_properties])
        crashes = []
        for replica, at in self._crashed_at.items():
            suspects = {
                self._live(suspect, replica) & kept
                for suspect in self._suspects[replica]
            }
            told = sorted(sorted(suspect) for suspect in suspects if suspect)
            if told:
                common = sorted(self._common[replica] & kept)
                crashes.append([replica, round(now - at), told, common])
        harmless = [[n, round(now - at)] for n, at in self._harmless.items()]
        if not crashes and not harmless:
            return None
        limit = max_properties or MAX_HARMLESS
        return {
            "crashes": crashes,
            "harmless": harmless[-limit:],
            "blamed": sorted(map(sorted, self._steady())),
        }

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
        for name, age_ms in value["harmless"]:
            self.record_harmless(str(name), now - max(0.0, float(age_ms)))
        for replica, age_ms, suspects, common in value["crashes"]:
            at = now - max(0.0, float(age_ms))
            for suspect in suspects:
                if not isinstance(suspect, list):
                    raise TypeError(f"no list of properties: {suspect!r}")
                self.record_crash(
                    map(str, suspect),
                    str(replica),
                    at,
                    common=map(str, common),
                )
        for names in value["blamed"]:
            blamed = frozenset(map(str, names))
            if blamed and blamed not in self._blamed_at:
                self._blamed_at[blamed] = now - STEADY_MS
                self._version += 1

    def _judge(self) -> list[Blame]:
        """Blames the properties that explain crashes.

        What has been blamed for a while remains so until an answer refutes it:
        another property may have as many crashes for a moment.

        Requests that share one property often share others, which have as many
        crashes or more. The properties that all suspects with one of them have
        in common are therefore blamed together: other requests are not refused.
        The next crash tells more.
        """
        self._counts_by_name = {
            name: self._count(name, replicas)
            for name, replicas in self._replicas.items()
        }
        candidates = [
            _Candidate(name=name, together=self._always_with(name))
            for name, count in self._counts_by_name.items()
            if count >= MIN_BLAMED_CRASHES
        ]
        explained = [c for c in candidates if self._is_explained(c, candidates)]
        for candidate in explained:
            # It explains nothing itself, so it is no rival of others either.
            self._counts_by_name[candidate.name] = 0.0
        blames: dict[frozenset[str], Blame] = {}
        for candidate in candidates:
            if candidate in explained:
                continue
            name = candidate.name
            caused = [
                replica
                for replica in self._replicas[name]
                if self._has_caused(name, candidate.together, replica)
            ]
            if self._count(name, caused) >= self._needed(
                name, caused, candidates
            ):
                blames[candidate.together] = self._blame(
                    candidate.together, name, caused
                )
        for together in self._steady() - blames.keys():
            shared = self._crashed_with(together)
            if len(shared) >= MIN_BLAMED_CRASHES:
                name = min(together)
                blames[together] = self._blame(together, name, list(shared))
        now = self._clock.now()
        self._blamed_at = {t: self._blamed_at.get(t, now) for t in blames}
        return list(blames.values())

    def _is_explained(
        self, candidate: _Candidate, candidates: list[_Candidate]
    ) -> bool:
        """Returns whether a property only shares the crashes of others."""
        replicas = self._replicas[candidate.name]
        unrelated = {
            replica
            for other in candidates
            if other.name not in candidate.together
            and not candidate.is_wider_than(other)
            for replica in self._replicas[other.name]
        }
        return any(
            self._count(
                candidate.name,
                replicas - self._replicas[other.name] - unrelated,
            )
            < WIDER_CRASHES
            for other in candidates
            if candidate.is_wider_than(other)
        )

    def _steady(self) -> set[frozenset[str]]:
        """Returns what has been blamed for a while."""
        steady_from = self._clock.now() - STEADY_MS
        return {t for t, at in self._blamed_at.items() if at <= steady_from}

    def _crashed_with(self, together: frozenset[str]) -> set[str]:
        """Returns the crashes that count against each of some properties."""
        return set.intersection(
            *(self._replicas.get(name, set()) for name in together)
        )

    def _blame(
        self, together: frozenset[str], name: str, caused: list[str]
    ) -> Blame:
        caused.sort(key=self._crashed_at.__getitem__)
        last_at = max(self._crashed_at[r] for r in self._replicas[name])
        return Blame(
            properties=together,
            replicas=tuple(caused),
            since=self._crashed_at[caused[MIN_BLAMED_CRASHES - 1]],
            ends_at=last_at + QUARANTINE_MS,
            doubtful=bool(self._crashed_without(name))
            or any(name in self._common[replica] for replica in caused),
        )

    def _has_caused(
        self, name: str, together: frozenset[str], replica: str
    ) -> bool:
        """Returns whether a crash counts against a property.

        It counts only against the one with most crashes among those of the
        requests in progress, since that one explains it. If several have the
        most, it counts against none until one of them has a further crash.
        """
        count = self._counts_by_name[name]
        return all(
            self._counts_by_name[rival] < count
            for crashed in self._crashed_together(replica)
            for suspect in self._suspects[crashed]
            for rival in self._live(suspect, crashed) - together
        )

    def _crashed_together(self, replica: str) -> list[str]:
        """Returns the replicas that crashed at nearly the same time."""
        at = self._crashed_at[replica]
        return [
            other
            for other, other_at in self._crashed_at.items()
            if abs(other_at - at) <= TOGETHER_MS
        ]

    def _needed(
        self, name: str, caused: list[str], candidates: list[_Candidate]
    ) -> int:
        """Returns how many crashes it takes to blame a property.

        One more is needed among as many crashes that nothing explains.
        """
        if not caused:
            return MIN_BLAMED_CRASHES
        explained = {
            replica
            for candidate in candidates
            for replica in self._replicas[candidate.name]
            if candidate.name not in self._common[replica]
        }
        times = [self._crashed_at[replica] for replica in caused]
        others = sum(
            min(times) <= self._crashed_at[replica] <= max(times)
            for replica in self._crashed_without(name) - explained
        )
        return MIN_BLAMED_CRASHES + (others >= len(caused))

    def _crashed_without(self, name: str) -> set[str]:
        """Returns the replicas that crashed without such a request."""
        return {
            replica
            for replica, suspects in self._suspects.items()
            if not any(name in suspect for suspect in suspects)
        }

    def _count(self, name: str, replicas: Iterable[str]) -> float:
        """Returns how much crashes count against a property."""
        count = 0.0
        counted_at = -math.inf
        for replica in sorted(replicas, key=self._crashed_at.__getitem__):
            at = self._crashed_at[replica]
            if at > counted_at + TOGETHER_MS:
                is_common = name in self._common[replica]
                count += COMMON_WEIGHT if is_common else 1.0
                counted_at = at
        return count

    def _always_with(self, name: str) -> frozenset[str]:
        """Returns what all suspects with a property have in common."""
        return functools.reduce(
            frozenset.intersection,
            (
                self._live(suspect, replica)
                for replica in self._replicas[name]
                for suspect in self._suspects[replica]
                if name in suspect
            ),
        )

    def _live(self, suspect: Suspect, replica: str) -> frozenset[str]:
        """Returns a suspect's properties against which the crash counts."""
        return frozenset(
            p for p in suspect if replica in self._replicas.get(p, ())
        )

    def _counts(self, name: str, replica: str, at: Instant) -> bool:
        """Returns whether a crash is new evidence against a property."""
        replicas = self._replicas.get(name, ())
        harmless_at = self._harmless.get(name)
        return (
            replica not in replicas
            and len(replicas) < MAX_CRASHES
            and (harmless_at is None or at > harmless_at + SPARED_MS)
        )

    def _note_change(self, names: Iterable[str]) -> None:
        self._version += 1
        self._shared_version += any(
            len(self._replicas.get(name, ())) >= MIN_SHARED_CRASHES
            for name in names
        )

    def _weight(self, name: str) -> tuple[int, Instant]:
        return (len(self._replicas[name]), self._last_at(name))

    def _last_at(self, name: str) -> Instant:
        return max(self._crashed_at[r] for r in self._replicas[name])

    def _crash_weight(self, replica: str) -> tuple[int, Instant]:
        most = max(
            len(self._replicas[name])
            for suspect in self._suspects[replica]
            for name in self._live(suspect, replica)
        )
        return (most, self._crashed_at[replica])

    def _expire(self) -> None:
        now = self._clock.now()
        if now - self._last_expiry_at < EXPIRY_INTERVAL_MS:
            return
        self._last_expiry_at = now
        for name, replicas in list(self._replicas.items()):
            is_blamable = len(replicas) >= MIN_BLAMED_CRASHES
            kept_ms = QUARANTINE_MS if is_blamable else SUSPECT_MS
            if now - self._last_at(name) > kept_ms:
                self._drop(name, set(replicas))
        for name, at in list(self._harmless.items()):
            if now - at > SUSPECT_MS:
                del self._harmless[name]

    def _drop_crash(self, replica: str) -> None:
        names = set().union(*self._suspects[replica])
        for name in names & self._replicas.keys():
            self._drop(name, {replica} & self._replicas[name])

    def _drop(self, name: str, replicas: set[str]) -> None:
        """Drops crashes as evidence against a property."""
        if not replicas:
            return
        self._version += 1
        left = self._replicas[name] - replicas
        if left:
            self._replicas[name] = left
        else:
            del self._replicas[name]
        for replica in replicas:
            suspects = self._suspects[replica]
            live = {s for s in suspects if self._live(s, replica)}
            self._suspect_count -= len(suspects) - len(live)
            self._suspects[replica] = live
            if not live:
                del self._suspects[replica], self._crashed_at[replica]
                del self._common[replica]
