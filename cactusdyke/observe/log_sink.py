"""Writes log lines to standard output without ever waiting for a reader."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson

from cactusdyke import events
from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

LINES_PER_SECOND = 200.0
"""Of one kind; a daemon answers fewer requests a second than that."""
BURST = 1_000.0
MOST_WAITING_BYTES = 1 << 20
FLUSH_EVERY_MS = 100.0


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float = BURST
    at: Instant = 0.0
    dropped: int = 0


class LogSink(Service):
    """A destination of eliot's that is bounded in rate and in memory.

    Under load the lines are dropped and counted, not the requests delayed: a
    full pipe, or a storm of one kind of event, costs lines only.
    """

    def __init__(self, *, clock: Clock, daemon: str, descriptor: int) -> None:
        self._clock = clock
        self._daemon = daemon
        self._descriptor = descriptor
        self._buckets: dict[str, _Bucket] = {}
        # One buffer: the encoder's own keep several times their lines' bytes.
        self._waiting = bytearray()
        self._lost = 0
        self._line_added = anyio.Event()
        os.set_blocking(descriptor, False)

    @property
    def waiting_bytes(self) -> int:
        """How many bytes wait for the reader of the log."""
        return len(self._waiting)

    def __call__(self, message: dict[str, Any]) -> None:
        """Takes one message of eliot's."""
        kind = str(message.get("message_type", message.get("action_type", "")))
        bucket = self._filled(kind)
        if bucket.tokens < 1:
            bucket.dropped += 1
            return
        bucket.tokens -= 1
        if bucket.dropped:
            dropped, bucket.dropped = bucket.dropped, 0
            self._put({"event": _dropped(), "kind": kind, "lines": dropped})
        fields = {k: v for k, v in message.items() if k not in _ELIOT_FIELDS}
        self._put({"event": kind, **fields})

    async def run(self) -> None:
        """Writes what waits, a few times a second; sleeps without lines."""
        while True:
            await self._line_added.wait()
            await self._clock.sleep(FLUSH_EVERY_MS)
            self._line_added = anyio.Event()
            self.flush()
            if self._waiting or self._lost:
                self._line_added.set()

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        self._tell_lost()
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            del self._waiting[:written]

    def _tell_lost(self) -> None:
        """Says how many lines were lost, once there is room to say it."""
        if self._lost and len(self._waiting) < MOST_WAITING_BYTES // 2:
            lost, self._lost = self._lost, 0
            self._put({"event": _dropped(), "kind": "full", "lines": lost})

    def _filled(self, kind: str) -> _Bucket:
        now = self._clock.now()
        bucket = self._buckets.setdefault(kind, _Bucket(at=now))
        gained = (now - bucket.at) / MS_PER_SECOND * LINES_PER_SECOND
        bucket.tokens = min(BURST, bucket.tokens + gained)
        bucket.at = now
        return bucket

    def _put(self, fields: dict[str, Any]) -> None:
        line = orjson.dumps(
            {"at": self._clock.wall(), "daemon": self._daemon}
            | {
                key: value
                for key, value in fields.items()
                if key not in {"at", "daemon"}
            },
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if not self._line_added.is_set():
            self._line_added.set()
        if len(self._waiting) + len(line) > MOST_WAITING_BYTES:
            self._lost += 1
            return
        self._waiting += line


_ELIOT_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type"}
)


def _dropped() -> str:
    event = events.Event.LINES_DROPPED
    return f"{event.code}:{event.name.lower()}"
