"""Open connections that wait for their next request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.clock import Clock, Instant
from cactusdyke.transport.bounded_stream import BoundedStream
from cactusdyke.transport.exchange import SocketExchange

if TYPE_CHECKING:
    from collections.abc import Iterator


OLDEST_MS = 300_000.0
LONGEST_IDLE_MS = 10_000.0
MOST_IDLE = 512
MOST_IDLE_PER_ADDRESS = 32


@attrs.define(kw_only=True, eq=False)
class KeptConnection:
    """One connection and its ages.

    Attributes:
        stream: Bounds the waits of the connection's current answer.
        exchange: The current request and its answer.
        address: Where it leads.
        opened_at: Instant at which it was made.
        epoch: How often its address had been doubted by then.
        idle_since: Instant at which its last answer ended.
    """

    stream: BoundedStream
    exchange: SocketExchange
    address: str
    opened_at: Instant
    epoch: int
    idle_since: Instant = 0.0

    async def aclose(self) -> None:
        """Ends the connection at once."""
        await anyio.aclose_forcefully(self.stream)


class KeptConnections:
    """Idle connections by address, none of them old, idle long or doubted."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[KeptConnection]] = {}
        self._epochs: dict[str, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def epoch(self, address: str) -> int:
        """Returns how often an address has been doubted."""
        return self._epochs.get(address, 0)

    async def take(self, address: str) -> KeptConnection | None:
        """Returns an idle connection that may be used again, or None."""
        idle = self._idle.get(address, [])
        while idle:
            kept = idle.pop()
            self._count -= 1
            # The kernel is asked: what has come in this turn of the loop is not
            # known yet.
            if self._usable(kept) and not kept.stream.readable:
                return kept
            await kept.aclose()
        return None

    def give_back(self, kept: KeptConnection) -> bool:
        """Keeps a connection whose answer was read whole.

        Returns:
            Whether it is kept; otherwise its owner has to close it.
        """
        kept.idle_since = self._clock.now()
        idle = self._idle.setdefault(kept.address, [])
        full = len(idle) >= MOST_IDLE_PER_ADDRESS or self._count >= MOST_IDLE
        if full or not self._usable(kept):
            return False
        idle.append(kept)
        self._count += 1
        return True

    async def doubt(self, address: str) -> None:
        """Closes what is idle to an address, and keeps nothing older open.

        A middlebox that lost its table drops the packets of every connection
        through it, and all of them go silent at once. Each would cost another
        request a time-out if it were taken from here.
        """
        self._epochs[address] = self._epochs.get(address, 0) + 1
        for kept in self._idle.pop(address, []):
            self._count -= 1
            await kept.aclose()

    async def close_old(self) -> None:
        """Closes idle connections that nobody will use again."""
        # All are taken out before the first is closed: while one closes, a
        # request may take another (seen as a request that failed because
        # the connection it had just taken was no longer in the list).
        old = [kept for kept in self._all() if not self._usable(kept)]
        for kept in old:
            self._idle[kept.address].remove(kept)
            self._count -= 1
        self._idle = {a: idle for a, idle in self._idle.items() if idle}
        for kept in old:
            await kept.aclose()

    async def aclose(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            await self.doubt(address)

    def _all(self) -> Iterator[KeptConnection]:
        for idle in self._idle.values():
            yield from idle

    def _usable(self, kept: KeptConnection) -> bool:
        now = self._clock.now()
        return (
            kept.epoch == self.epoch(kept.address)
            and now - kept.opened_at < OLDEST_MS
            and now - kept.idle_since < LONGEST_IDLE_MS
            # An idle connection on which something has come holds its end, or
            # an answer that belongs to nobody.
            and kept.stream.quiet
        )
