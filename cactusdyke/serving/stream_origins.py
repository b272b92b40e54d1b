"""What daemons remember of the streams that replicas have begun."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant

LIFETIME_MS = 60_000.0
"""Longer than callers wait for a stream, its repetitions included."""
MAX_ORIGINS = 16_384
"""Further ones replace the oldest."""


@attrs.define(kw_only=True)
class StreamOrigin:
    """The software that began a stream; only the same can continue it.

    Attributes:
        service: Service of the replica that began it.
        version: Software version of that replica; empty if it is not known,
            and the stream then cannot go on.
        replica: Name of that replica, empty if it is not known.
        born: Start of the incarnation that was sent the stream, as its entry
            said; 0 if it did not.
        is_confirmed: Whether the replica said that this was its start.
        is_local: Whether this daemon sent the stream there.
    """

    service: str
    version: str
    replica: str = ""
    born: int = 0
    is_confirmed: bool = False
    is_local: bool = False

    def is_same_incarnation(self, other: StreamOrigin) -> bool:
        """Returns whether two origins name the same replica and start."""
        return (self.replica, self.born) == (other.replica, other.born)


class StreamOrigins:
    """The origins of recent streams, by the names of the stream.

    A name is the caller's id of the attempt that brought the first event, or
    says what the caller asked for, see `ServingContext.content_id`.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._origins: collections.OrderedDict[
            str, tuple[StreamOrigin, Instant]
        ] = collections.OrderedDict()

    @property
    def count(self) -> int:
        """Number of origins that are remembered."""
        return len(self._origins)

    def put(self, stream_id: str, origin: StreamOrigin) -> StreamOrigin:
        """Remembers an origin; one that became unknown stays unknown.

        It becomes unknown if what is known of it differs.

        Returns:
            The origin that is remembered.
        """
        known, _ = self._origins.pop(stream_id, (origin, 0.0))
        if not known.replica:
            known.replica, known.born = origin.replica, origin.born
        if origin.replica and not known.is_same_incarnation(origin):
            known.version = ""
        known.is_local = known.is_local or origin.is_local
        if (known.service, known.version) != (origin.service, origin.version):
            known.version = ""
        self._origins[stream_id] = (known, self._clock.now())
        self._expire()
        return known

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Returns the origin of a stream, None if it is not remembered."""
        self._expire()
        origin, _ = self._origins.get(stream_id, (None, 0.0))
        return origin

    def begun_here(self) -> list[tuple[str, StreamOrigin]]:
        """Returns the streams that this daemon began, each with its origin."""
        return [
            (stream_id, origin)
            for stream_id, (origin, _) in self._origins.items()
            if origin.is_local
        ]

    def _expire(self) -> None:
        oldest = self._clock.now() - LIFETIME_MS
        while self._origins:
            stream_id, (_, at) = next(iter(self._origins.items()))
            if at >= oldest and len(self._origins) <= MAX_ORIGINS:
                return
            del self._origins[stream_id]
