"""Daemons, replicas and requests, of which some share a part that crashes."""

from __future__ import annotations

import itertools
import random

import anyio

from features.support.quarantine_fleet import (
    QuarantineFleet,
    replica,
    request,
)

BAD = "bad-part"
BEGIN_S = 0.1
"""From a request's arrival at a replica to its first event, or to a crash."""
STREAM_S = 0.5
WITNESS_S = 0.1
"""A daemon that ends sooner after a crash tells nobody of it."""
DOWN_S = 2.0
FIRST_AND_OTHERS = ("system", "topic-a", "topic-b", "topic-c")


class PartFleet(QuarantineFleet):
    """Daemons of one deployment with requests in progress at replicas."""

    def __init__(self, *, count, seed):
        super().__init__(count=count, probes=True)
        self.sent_bad = []
        self.crashed_at = []
        self.sound_refused = 0
        self.sound_served = 0
        self.out_of_touch = set()
        self._draw = random.Random(seed)
        self._numbers = itertools.count()
        self._replicas = {n: {} for n in range(max(6, count // 8))}
        self._starts = itertools.count(len(self._replicas))

    async def send_bad(self, *, every_s, for_s):
        """Sends requests with the bad part, each at a random daemon."""
        ends_at = anyio.current_time() + for_s
        while anyio.current_time() < ends_at:
            self.hub.start(self._send, BAD)
            await anyio.sleep(self._draw.expovariate(1 / every_s))

    async def send_sound(self, *, every_s, for_s):
        """Sends requests that share all their other parts."""
        ends_at = anyio.current_time() + for_s
        while anyio.current_time() < ends_at:
            self.hub.start(self._send)
            await anyio.sleep(self._draw.expovariate(1 / every_s))

    def crash_some(self, count):
        """Crashes replicas for another cause, all at once."""
        up = sorted(self._replicas)
        for number in self._draw.sample(up, min(count, len(up))):
            self._crash(number)

    @property
    def sent_after_third(self):
        """How often such a request was sent after the third crash."""
        third = self.crashed_at[2]
        return sum(at > third for at in self.sent_bad)

    def _parts(self, *bad):
        first, *others = FIRST_AND_OTHERS
        parts = [first, self._draw.choice(others), *bad]
        self._draw.shuffle(parts)
        return parts

    async def _send(self, *bad):
        number = next(self._numbers)
        sent = request(f"digest-{number}", *self._parts(*bad))
        if not self.quarantines:
            return
        name = self._draw.choice(sorted(self.quarantines))
        refusal = await self.quarantines[name].check(sent)
        if refusal is not None:
            self.sound_refused += not bad
            return
        if name not in self.quarantines or not self._replicas:
            return
        place = self._draw.choice(sorted(self._replicas))
        running = self._replicas[place]
        running[number] = (name, sent)
        if bad and name not in self.out_of_touch:
            self.sent_bad.append(anyio.current_time())
        await anyio.sleep(BEGIN_S)
        if number not in running:
            return
        if bad:
            await self._crash_under(name, place)
            return
        sent.answer_began_at = anyio.current_time() * 1_000
        if name in self.quarantines:
            self.quarantines[name].on_first_event(sent)
        await anyio.sleep(STREAM_S)
        if running.pop(number, None) is not None:
            self.sound_served += 1
            if name in self.quarantines:
                self.quarantines[name].on_served(sent)

    async def _crash_under(self, name, place):
        """Crashes a replica; it counts if its only witness lives on."""
        crashed_at = anyio.current_time()
        witness = self.quarantines.get(name)
        self._crash(place)
        await anyio.sleep(WITNESS_S)
        if witness is not None and self.quarantines.get(name) is witness:
            self.crashed_at.append(crashed_at)
            self.crashed_at.sort()

    def _crash(self, number):
        crashed = replica(number)
        self.replicas.down.add(crashed.address)
        running = self._replicas.pop(number)
        for name, sent in running.values():
            if name in self.quarantines:
                self.quarantines[name].on_attempt_broken(sent, crashed)
        running.clear()
        self.hub.start(self._come_back)

    async def _come_back(self):
        await anyio.sleep(DOWN_S)
        self._replicas[next(self._starts)] = {}
