"""Open connections that wait for their next request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpcore

from cactusdyke.clock import Clock, Instant
from cactusdyke.transport.bounded_stream import BoundedBackend

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cactusdyke.transport.watchdog import Watchdog

OLDEST_MS = 300_000.0
LONGEST_IDLE_MS = 10_000.0
MOST_IDLE = 512
MOST_IDLE_PER_ADDRESS = 32


@attrs.define(kw_only=True, eq=False)
class KeptConnection:
    """One connection and its ages.

    Attributes:
        connection: The httpcore connection.
        backend: Bounds the waits of the connection's current answer.
        address: Where it leads.
        opened_at: Instant at which it was made.
        epoch: How often its address had been doubted by then.
        idle_since: Instant at which its last answer ended.
    """

    connection: httpcore.AsyncHTTPConnection
    backend: BoundedBackend
    address: str
    opened_at: Instant
    epoch: int
    idle_since: Instant = 0.0


class KeptConnections:
    """Idle connections by address, none of them old, idle long or doubted."""

    def __init__(self, *, clock: Clock, watchdog: Watchdog) -> None:
        self._clock = clock
        self._watchdog = watchdog
        self._idle: dict[str, list[KeptConnection]] = {}
        self._epochs: dict[str, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def open(self, address: str) -> KeptConnection:
        """Returns a new connection, which connects with its first request."""
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
        backend = BoundedBackend(clock=self._clock, watchdog=self._watchdog)
        return KeptConnection(
            connection=httpcore.AsyncHTTPConnection(
                origin=origin, network_backend=backend
            ),
            backend=backend,
            address=address,
            opened_at=self._clock.now(),
            epoch=self._epochs.get(address, 0),
        )

    async def take(self, address: str) -> KeptConnection | None:
        """Returns an idle connection that may be used again, or None."""
        idle = self._idle.get(address, [])
        while idle:
            kept = idle.pop()
            self._count -= 1
            if self._usable(kept):
                return kept
            await kept.connection.aclose()
        return None

    async def give_back(self, kept: KeptConnection) -> None:
        """Keeps a connection whose answer was read whole, else closes it."""
        kept.idle_since = self._clock.now()
        idle = self._idle.setdefault(kept.address, [])
        full = len(idle) >= MOST_IDLE_PER_ADDRESS or self._count >= MOST_IDLE
        if full or not self._usable(kept):
            await kept.connection.aclose()
            return
        idle.append(kept)
        self._count += 1

    async def doubt(self, address: str) -> None:
        """Closes what is idle to an address, and keeps nothing older open.

        A middlebox that lost its table drops the packets of every connection
        through it, and all of them go silent at once. Each would cost another
        request a time-out if it were taken from here.
        """
        self._epochs[address] = self._epochs.get(address, 0) + 1
        for kept in self._idle.pop(address, []):
            self._count -= 1
            await kept.connection.aclose()

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
            await kept.connection.aclose()

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
            kept.epoch == self._epochs.get(kept.address, 0)
            and now - kept.opened_at < OLDEST_MS
            and now - kept.idle_since < LONGEST_IDLE_MS
            and kept.connection.is_idle()
            # An idle socket that can be read holds its end, or an answer that
            # belongs to nobody.
            and not kept.connection.has_expired()
        )
