"""Naive ways to know load: all read all, or only what answers carry."""

from __future__ import annotations

import anyio

from cactusdyke.load.collector import LoadCollector
from cactusdyke.load.readings import Reading

CALLS_A_SECOND = 10


class AllReadAll(LoadCollector):
    """Reads every replica of the data centre each second."""

    def __init__(self, *, members, **others) -> None:
        super().__init__(members=_Silent(members), **others)

    def assigned(self):
        """Returns every replica of the data centre."""
        return list(self._local_replicas().replicas)

    def _due(self):
        return self.assigned()


class PiggybackOnly(AllReadAll):
    """Knows of a replica what came with its last answer to a call here."""

    def __init__(self, *, rng=None, **others) -> None:
        super().__init__(**others)
        self._next = 0

    async def run(self) -> None:
        """Calls replicas at random, as serving would."""
        while True:
            replicas = self.assigned()
            if replicas:
                # A multiplicative sequence spreads the calls like chance.
                self._next = (self._next * 48271 + 11) % 2147483647
                replica = replicas[self._next % len(replicas)]
                self.readings.add(
                    replica.server.name,
                    Reading(
                        running=0,
                        waiting=0,
                        model_index=None,
                        measured_at=self._clock.now(),
                    ),
                )
            await anyio.sleep(1 / CALLS_A_SECOND)


class _Silent:
    """Members that send no attachments."""

    def __init__(self, members) -> None:
        self._members = members
        self.own = members.own

    def all(self):
        return self._members.all()

    def attach(self, key, attachment) -> None:
        """Ignores the attachment."""
