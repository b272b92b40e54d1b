"""How many connections a listener keeps, and which one yields to a new one."""

from __future__ import annotations

import abc
import collections
from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.transport.log_limit import LogLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant

CLOSING_SHARE = 0.125
"""Connections beyond the limit that are being closed take some time for it."""


class LimitedConnection(abc.ABC):
    """A connection that may be closed in favour of another one."""

    @property
    @abc.abstractmethod
    def idle(self) -> bool:
        """Whether no byte has come of a request that is not answered."""

    @property
    @abc.abstractmethod
    def grace_ms(self) -> float:
        """How long the caller may take before it makes way for another.

        That is to send its request, or to read its answer; 0 if it does
        neither.
        """

    @abc.abstractmethod
    def free_slot(self) -> None:
        """Ends the connection, where it can in order."""


class ConnectionLimit:
    """Counts a listener's connections.

    At the limit a new connection takes the place of the one that has waited
    longest for its caller, and for longer than its caller is granted. If all
    others are being answered, the new one is closed: its caller knows that
    nothing was read, and tries another daemon.

    Args:
        listener: The listener's name, in metrics and log events.
        most: How many connections there may be.
        clock: This daemon's clock.
    """

    def __init__(
        self, *, listener: str, most: Callable[[], int], clock: Clock
    ) -> None:
        self._listener = listener
        self._most = most
        self._clock = clock
        self._connections: set[LimitedConnection] = set()
        self._waiting: collections.OrderedDict[LimitedConnection, Instant] = (
            collections.OrderedDict()
        )
        self._log = LogLimit(event=events.Event.CONNECTION_CLOSED)
        self.on_closed: Callable[[str, str], None] = lambda listener, cause: (
            None
        )

    @property
    def listener(self) -> str:
        """The listener's name."""
        return self._listener

    @property
    def most(self) -> int:
        """How many connections there may be; follows the settings."""
        return self._most()

    @property
    def count(self) -> int:
        """How many connections there are."""
        return len(self._connections)

    def admit(self, connection: LimitedConnection) -> bool:
        """Counts a new connection; returns whether it may stay."""
        most = self._most()
        if self.count >= most and not (
            self.count < most * (1 + CLOSING_SHARE) and self._free_slot()
        ):
            self._record("refused")
            return False
        self._connections.add(connection)
        self.wait_for_caller(connection)
        return True

    def remove(self, connection: LimitedConnection) -> None:
        """Stops counting a connection that has ended."""
        self._connections.discard(connection)
        self._waiting.pop(connection, None)

    def wait_for_caller(self, connection: LimitedConnection) -> None:
        """Notes that the caller is to send a request, or to read an answer."""
        if connection in self._connections:
            self._waiting[connection] = self._clock.now()
            self._waiting.move_to_end(connection)

    def stop_waiting(self, connection: LimitedConnection) -> None:
        """Notes that a request is being answered, or refused."""
        self._waiting.pop(connection, None)

    def _free_slot(self) -> bool:
        """Ends a connection; returns whether there was one to end."""
        now = self._clock.now()
        for connection, since in self._waiting.items():
            if now - since >= connection.grace_ms:
                del self._waiting[connection]
                self._record("idle" if connection.idle else "stalled")
                connection.free_slot()
                return True
        return False

    def _record(self, cause: str) -> None:
        self.on_closed(self._listener, cause)
        self._log.record(
            self._clock.now(),
            listener=self._listener,
            cause=cause,
            connections=self.count,
        )
