"""What a caller has received of a stream."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from cactusdyke.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.serving.dialect import StreamEvent

CONTRADICTIONS = 3
"""Streams in a row with the same other first number that show a change."""


class FirstEventNumbers:
    """With which number the streams of each service begin.

    Nothing else shows that the number of a stream's first event is spoiled. A
    version is taken to begin with the same number as others until several of
    its streams in a row show another one.
    """

    def __init__(self) -> None:
        self._known: dict[str, int] = {}
        self._by_version: dict[tuple[str, str], int | None] = {}
        self._contradicted: dict[tuple[str, str], list[int]] = {}

    def known(self, service: str, version: str = "") -> int | None:
        """Returns the number, None before two events of a stream came."""
        known = self._known.get(service)
        return self._by_version.get((service, version), known)

    def confirm(self, service: str, number: int, version: str = "") -> None:
        """Records a first number that the second event follows."""
        self._known[service] = self._by_version[service, version] = number
        self._contradicted.pop((service, version), None)

    def contradict(self, service: str, number: int, version: str = "") -> None:
        """Records another first number; several alike replace the known one."""
        key = (service, version)
        others = self._contradicted.setdefault(key, [])
        others.append(number)
        if len(others) < CONTRADICTIONS:
            return
        del self._contradicted[key]
        if set(others) == {number}:
            self._by_version[key] = None


@attrs.define(kw_only=True)
class StreamState:
    """What a caller has received of a stream, over all attempts.

    An event counts as received once it has been written to the caller, never
    before: the next attempt resumes after the last one that counts. Only the
    head counts before it is written, as no second one may follow half of it.

    Attributes:
        head_sent: Whether the head of the answer was sent.
        last_event_number: Number of the last event that the caller has.
        first_event_at: When the first event arrived.
        longest_gap_ms: The longest time between two events.
        last_event_at: When the last event arrived.
        event_count: How many events were written.
        may_resume: Whether the last number can be relied on: the first one may
            be spoiled until another event follows it.
        versions: Software versions of the replicas whose events were
            forwarded, in order.
        on_head: Called just before the head is sent.
    """

    head_sent: bool = False
    last_event_number: int | None = None
    first_event_at: Instant | None = None
    longest_gap_ms: float = 0.0
    last_event_at: Instant = 0.0
    event_count: int = 0
    may_resume: bool = True
    versions: list[str] = attrs.field(factory=list)
    on_head: Callable[[], None] = lambda: None

    def record_version(self, version: str) -> None:
        """Records that events of a replica with a version are forwarded."""
        if not self.versions or self.versions[-1] != version:
            self.versions.append(version)

    def split(
        self, events: Sequence[StreamEvent], first_number: int | None
    ) -> tuple[Sequence[StreamEvent], str]:
        """Separates the events that continue the stream from what follows.

        Args:
            events: What came together.
            first_number: The number that streams begin with, None if unknown.

        Returns:
            The events that the caller may get, and what is wrong with the one
            behind them, empty if nothing is.
        """
        last = self.last_event_number
        expected = first_number if last is None else last + 1
        for position, event in enumerate(events):
            if event.is_comment:
                continue
            if event.number is None:
                return events[:position], "an event has no readable number"
            if expected is not None and event.number != expected:
                fault = f"event {event.number} came in place of {expected}"
                return events[:position], fault
            expected = event.number + 1
        return events, ""

    def record_head(self, arrived_at: Instant) -> None:
        """Records that the head is being written, with the first event."""
        self.head_sent = True
        self.first_event_at = self.last_event_at = arrived_at

    def record_events(
        self,
        events: Sequence[StreamEvent],
        arrived_at: Instant,
        *,
        first_number: int | None,
    ) -> int | None:
        """Records that events have been written to the caller.

        Args:
            events: The events.
            arrived_at: When they arrived.
            first_number: The number that streams begin with, None if unknown.

        Returns:
            The number of the first event if these show that it is right, None
            otherwise.
        """
        gap_ms = arrived_at - self.last_event_at
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_at = arrived_at
        self.event_count += len(events)
        numbers = [e.number for e in events if e.number is not None]
        if not numbers:
            return None
        confirmed = None
        if self.last_event_number is None:
            # Another stream may have shown the number while this was written.
            self.may_resume = numbers[0] == first_number
            if len(numbers) > 1 or self.may_resume:
                confirmed = numbers[0]
        elif not self.may_resume:
            confirmed = self.last_event_number
        self.last_event_number = numbers[-1]
        self.may_resume = self.may_resume or confirmed is not None
        return confirmed
