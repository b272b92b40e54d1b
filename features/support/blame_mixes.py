"""Random mixes of requests and crashes, and rules that say what to blame."""

from __future__ import annotations

import collections
import random

import attrs

from cactusdyke.serving.crash_suspects import CrashSuspects
from cactusdyke.serving.quarantine import MAX_TRIED_CRASHES, TRIAL_DELAY_MS
from cactusdyke.serving.recent_answers import RecentAnswers

TICK_MS = 10.0
BEGUN_MS = 250.0
BAD = "part bad"
MOST_MS = 30_000.0


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at


class OurRule:
    """The evidence as daemons keep it, without the way between them."""

    def __init__(self, clock):
        self._clock = clock
        self._known = CrashSuspects(clock=clock)
        self._begun = {}
        self._tried = {}
        self._answers = RecentAnswers(clock=clock)

    def crash(self, replica, suspects):
        common = self._answers.common()
        for suspect in suspects:
            self._known.record_crash(suspect, replica, common=common)
        for name in self._known.properties:
            if name in self._begun:
                self._known.record_harmless(name, self._begun[name])

    def answer(self, properties, began_at):
        self._answers.record(properties)
        for name in properties:
            self._begun[name] = began_at
            if name in self._known:
                self._known.record_harmless(name, began_at)

    def refuses(self, properties):
        blames = self._known.blames_for(properties)
        if len(blames) == 1 and self._may_try(blames[0]):
            return False
        return bool(blames)

    def _may_try(self, blame):
        now = self._clock.now()
        tried_at = self._tried.setdefault(blame.properties, now)
        if (
            not blame.doubtful
            or len(blame.replicas) >= MAX_TRIED_CRASHES
            or now - tried_at < TRIAL_DELAY_MS
        ):
            return False
        self._tried[blame.properties] = now
        return True


class _CountingRule:
    """Counts crashes by property since the last answer with it."""

    def __init__(self, clock):
        self._crashes = collections.defaultdict(set)

    def crash(self, replica, suspects):
        for name in set().union(*suspects):
            self._crashes[name].add(replica)

    def answer(self, properties, began_at):
        for name in properties:
            self._crashes.pop(name, None)

    def refuses(self, properties):
        return any(name in self.blamed() for name in properties)


class CrashCountRule(_CountingRule):
    """Blames every property with three crashes."""

    def blamed(self):
        return {n for n, r in self._crashes.items() if len(r) >= 3}


class MostCrashesRule(_CountingRule):
    """Blames the one property with most crashes, if it has three."""

    def blamed(self):
        most = max(map(len, self._crashes.values()), default=0)
        found = {n for n, r in self._crashes.items() if len(r) == most}
        return found if most >= 3 and len(found) == 1 else set()


class FewestPropertiesRule(_CountingRule):
    """Blames the fewest properties that explain all crashes."""

    def blamed(self):
        left = set().union(*self._crashes.values())
        found = set()
        while left:
            name = max(
                sorted(self._crashes),
                key=lambda n: len(self._crashes[n] & left),
            )
            explained = self._crashes[name] & left
            if len(explained) < 3:
                break
            found.add(name)
            left -= explained
        return found


class LikelihoodRule(_CountingRule):
    """Blames what makes crashes a thousand times likelier than chance."""

    def __init__(self, clock):
        super().__init__(clock)
        self._answers = collections.Counter()
        self._all = 1

    def answer(self, properties, began_at):
        super().answer(properties, began_at)
        self._answers.update(properties)
        self._all += 1

    def blamed(self):
        found = set()
        for name, replicas in self._crashes.items():
            share = (self._answers[name] + 1) / (self._all + 1)
            if share ** -len(replicas) >= 1_000 and len(replicas) >= 2:
                found.add(name)
        return found


@attrs.frozen(kw_only=True)
class Mix:
    """How requests and crashes are drawn.

    Attributes:
        replicas: How many there are.
        sound_per_s: Sound requests a second and replica.
        first_share: Sound requests with the most popular part.
        parts: How many further parts there are to draw from.
        length: Parts of a prompt beside the first one.
        bad_every_ms: Mean time between requests with the bad part; 0 for none.
        others: Crashes of other causes for one under the bad part.
        wave: Replicas that crash together for another cause.
    """

    replicas: int
    sound_per_s: float
    first_share: float
    parts: int
    length: int
    bad_every_ms: float
    others: float
    wave: int


def draw_mix(rng):
    """Returns a mix in which most replicas are up most of the time."""
    replicas = rng.choice([9, 30])
    return Mix(
        replicas=replicas,
        sound_per_s=rng.uniform(2.0, 10.0),
        first_share=rng.choice([0.5, 0.9, 1.0]),
        parts=rng.choice([3, 10, 40]),
        length=rng.randrange(1, 7),
        bad_every_ms=rng.choice([0.0, 400.0, 1_000.0]),
        others=rng.choice([0.1, 0.3, 1.0]),
        wave=rng.choice([1, 1, 2, replicas // 3]),
    )


def draw_collapse(rng):
    """Returns a mix without bad parts in which most replicas are down."""
    return Mix(
        replicas=5,
        sound_per_s=rng.uniform(2.0, 10.0),
        first_share=rng.choice([0.5, 0.9, 1.0]),
        parts=rng.choice([3, 10, 40]),
        length=rng.randrange(1, 7),
        bad_every_ms=0.0,
        others=3.0,
        wave=rng.choice([1, 2, 4]),
    )


@attrs.define(kw_only=True, eq=False)
class _Running:
    properties: frozenset[str]
    began_at: float
    ends_at: float
    bad: bool
    spoke: bool = False


class MixPlay:
    """Plays one mix with one rule.

    Attributes:
        crashes: Crashes until the bad part was refused, or in all.
        blamed: Whether it was refused in the end.
        sound_refused: Sound requests that were refused.
        sound: Sound requests that came while a replica was up.
    """

    def __init__(self, *, mix, rule, seed):
        self._mix = mix
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._rule = rule(self._clock)
        self._running = {n: [] for n in range(mix.replicas)}
        self._down = {}
        self._numbers = iter(range(10**9))
        self._other_crashes_due = 0.0
        self.crashes = 0
        self.blamed = False
        self.sound_refused = 0
        self.sound = 0
        while self._clock.at < MOST_MS and not self.blamed:
            self._clock.at += TICK_MS
            self._tick()

    def _tick(self):
        mix, rng = self._mix, self._rng
        for number, back_at in list(self._down.items()):
            if back_at <= self._clock.at:
                del self._down[number]
                self._running[next(self._numbers) + mix.replicas] = []
        rate = mix.sound_per_s * mix.replicas * TICK_MS / 1_000
        for _ in range(int(rate) + (rng.random() < rate % 1)):
            self._arrive(bad=False)
        if mix.bad_every_ms and rng.random() < TICK_MS / mix.bad_every_ms:
            self._arrive(bad=True)
        if not mix.bad_every_ms and rng.random() < TICK_MS / 3_000:
            self._other_crashes_due += mix.others
        while self._other_crashes_due >= 1:
            self._other_crashes_due -= 1
            for _ in range(mix.wave):
                if self._running:
                    self._crash(rng.choice(sorted(self._running)))
        for number in list(self._running):
            if number in self._running:
                self._advance(number)

    def _arrive(self, *, bad):
        if not self._running:
            return
        mix, rng = self._mix, self._rng
        names = {f"request {next(self._numbers)}"}
        if rng.random() < mix.first_share:
            names.add("part first")
        for _ in range(mix.length):
            names.add(f"part {int(mix.parts * rng.random() ** 1.5)}")
        if bad:
            names.add(BAD)
        properties = frozenset(names)
        self.sound += not bad
        if self._rule.refuses(properties):
            self.blamed |= bad
            self.sound_refused += not bad
            return
        began_at = self._clock.at + rng.uniform(50.0, 400.0)
        number = rng.choice(sorted(self._running))
        self._running[number].append(
            _Running(
                properties=properties,
                began_at=began_at,
                ends_at=began_at + rng.uniform(300.0, 1_500.0),
                bad=bad,
            )
        )

    def _advance(self, number):
        now = self._clock.at
        for one in list(self._running[number]):
            if one.bad and one.began_at <= now:
                self.crashes += 1
                self._other_crashes_due += self._mix.others
                self._crash(number)
                return
            if not one.spoke and one.began_at + BEGUN_MS <= now:
                one.spoke = True
                self._rule.answer(one.properties, one.began_at)
            if one.ends_at <= now:
                self._running[number].remove(one)

    def _crash(self, number):
        running = self._running.pop(number)
        now = self._clock.at
        suspects = [
            one.properties
            if now - one.began_at < BEGUN_MS
            else frozenset(p for p in one.properties if p[0] == "r")
            for one in running
        ]
        if suspects:
            self._rule.crash(f"r{number}", suspects)
        self._down[number] = now + 2_000.0
