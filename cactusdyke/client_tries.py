"""When a client tries again, moves on, waits or gives up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock

ROUND_PAUSE_MS = 200.0
"""Pause after a round in which no address could be reached."""
RETRY_JITTER = 0.2
KEYED_SHARE = 0.4
"""Share of the time left that a call with a key spends on one daemon."""
MOVE_ON = frozenset(
    {
        FailureKind.NOT_SENT,
        FailureKind.STOPPING,
        FailureKind.UNCONFIRMED,
    }
)
"""Refusals that speak of one daemon, not of the deployment."""


class Tries:
    """The tries at one call: when to move on, to wait, and to give up.

    A call without an idempotency key is sent again only if the last try did
    not run. One with a key may be, for the key makes it run at most once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        deadline_ms: float,
        has_key: bool,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._deadline = clock.now() + deadline_ms
        self._has_key = has_key
        self._doubtful = False
        self._last = no_address()

    @property
    def remaining_ms(self) -> float:
        """Time left until the deadline."""
        return self._deadline - self._clock.now()

    @property
    def patience_ms(self) -> float:
        """Longest wait for one try's answer.

        A frozen daemon keeps its connections open and says nothing. A call
        with a key leaves time to ask another daemon, which answers from the
        same record; without a key there is nothing to be done but wait.
        """
        share = KEYED_SHARE if self._has_key else 1.0
        return self.remaining_ms * share

    @property
    def may_move_on(self) -> bool:
        """Whether another address may be tried at once."""
        if self._last.kind is FailureKind.CONNECTION_LOST:
            return self._has_key
        return self._last.kind in MOVE_ON and self._last.ran is Ran.NOT_RUN

    @property
    def failure(self) -> Failure:
        """Why the call failed.

        An earlier try with the same key whose answer was lost may still be
        under way. What a later try says of itself, `not_run`, does not hold
        for the call then (seen as a booking made after it was called off).
        """
        if self._doubtful and self._last.ran is Ran.NOT_RUN:
            return attrs.evolve(self._last, ran=Ran.UNKNOWN)
        return self._last

    def failed(self, failure: Failure) -> None:
        """Notes how a try failed."""
        self._last = failure
        if failure.ran is not Ran.NOT_RUN:
            self._doubtful = True

    async def wait_until_next(self) -> bool:
        """Waits until a next round makes sense; returns whether it does."""
        may_repeat = self._has_key or self._last.ran is Ran.NOT_RUN
        wait_ms: float | None = self._last.retry_after_ms
        if wait_ms is None and self.may_move_on:
            wait_ms = ROUND_PAUSE_MS
        if wait_ms is None or not may_repeat:
            return False
        wait_ms *= 1 + RETRY_JITTER * self._rng.random()
        if wait_ms >= self.remaining_ms:
            return False
        await self._clock.sleep(wait_ms)
        return True


def no_address() -> Failure:
    """Nothing of a call was sent."""
    return Failure(
        kind=FailureKind.NOT_SENT, detail="No address of the deployment works"
    )
