"""The memory that a daemon may use for bytes of callers and replicas.

Pure accounting and decisions. What is held here is counted as it is taken and
given back; nothing is allocated.
"""

from __future__ import annotations

import abc
import collections
import contextlib
import enum
from typing import TYPE_CHECKING

import anyio

from cactusdyke import events
from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.transport.log_limit import LogLimit
from cactusdyke.transport.uploads import Uploads

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from cactusdyke.clock import Clock

MEGABYTE = 1 << 20
PROCESS_BYTES = 70 * MEGABYTE
"""An idle daemon was measured at 55 MB; the rest is a margin."""
HELD_SHARE = 0.6
"""Of what the process leaves. The rest is for copies that are made while bytes
are encoded and parsed, and for what the allocator does not reuse."""
MIN_BUDGET_BYTES = 4 * MEGABYTE
WAIT_MARK = 0.6
DISCONNECT_MARK = 0.9
RELIEVED_MARK = 0.8
"""Requests that are not whole give way until no more than this is held."""
DEFAULT_WAIT_BYTES = 64 * MEGABYTE
"""Bodies wait above this where the host's memory is not in the settings."""
LARGE_BYTES = 65_536
MOST_WAIT_MS = 2_000.0
"""Bodies that are read in part hold memory too, and may wait for each other."""
STALL_CHECK_MS = 250.0
"""How often a body that waits for memory looks for requests that stall."""
MIN_PACE_BYTES_PER_S = 512
PACE_WINDOW_MS = 10_000.0
YOUNG_MS = 1_000.0
"""A reader's pace is not known before it has been observed for so long."""


class NoMemoryError(Exception):
    """No memory became free in time."""


class Kind(enum.Enum):
    """What bytes are held for; the values are labels of metrics."""

    CONNECTIONS = "connections"
    RECEIVED = "received"
    BODIES = "bodies"
    ANSWERS = "answers"
    UNSENT = "unsent"
    REPLICAS = "replicas"
    TUNNELS = "tunnels"


def available_bytes(
    memory_mb: float | None, process_bytes: int = PROCESS_BYTES
) -> int:
    """Returns what a host's memory leaves beside the process.

    Args:
        memory_mb: The host's memory, None if the settings do not tell it.
        process_bytes: What the process has beyond what is held.
    """
    if memory_mb is None:
        return round(DEFAULT_WAIT_BYTES / WAIT_MARK / HELD_SHARE)
    least = round(MIN_BUDGET_BYTES / HELD_SHARE)
    return max(least, round(memory_mb * MEGABYTE - process_bytes))


def budget_bytes(
    memory_mb: float | None, process_bytes: int = PROCESS_BYTES
) -> int:
    """Returns the budget of a host.

    Args:
        memory_mb: The host's memory, None if the settings do not tell it.
        process_bytes: What the process has beyond what is held.
    """
    return round(HELD_SHARE * available_bytes(memory_mb, process_bytes))


class Held:
    """What one holder has of the budget."""

    __slots__ = ("_budget", "_kind", "_size")

    def __init__(self, budget: MemoryBudget, kind: Kind) -> None:
        self._budget = budget
        self._kind = kind
        self._size = 0

    @property
    def size(self) -> int:
        """How many bytes are held."""
        return self._size

    async def add(self, size: int) -> None:
        """Waits until another `size` bytes of a body may be held.

        Raises:
            NoMemoryError: They could not be within `MOST_WAIT_MS`.
        """
        is_large = self._size + size >= LARGE_BYTES
        mark = WAIT_MARK if is_large else DISCONNECT_MARK
        await self._budget.wait_for_room(size, mark=mark)
        self.set(self._size + size)

    async def receive(self, size: int, *, must_finish: bool) -> None:
        """Counts `size` bytes of a response; waits while the budget is spent.

        Args:
            size: How many bytes the response has so far.
            must_finish: Whether it is read on if no memory becomes free.

        Raises:
            NoMemoryError: None did within `MOST_WAIT_MS`.
        """
        self.set(size)
        if self._budget.is_spent and not must_finish:
            await self._budget.wait_for_room(0, mark=1.0)

    def set(self, size: int) -> None:
        """Counts that so many bytes are held now, without waiting."""
        change, self._size = size - self._size, size
        if change:
            self._budget.change(self._kind, change)

    def release(self) -> None:
        """Gives back all that is held."""
        self.set(0)


class Reader(abc.ABC):
    """One that takes bytes which are held for it."""

    @property
    @abc.abstractmethod
    def held(self) -> Held:
        """What is held for it."""

    @property
    @abc.abstractmethod
    def pace(self) -> Pace:
        """How fast it reads."""

    @property
    @abc.abstractmethod
    def last_resort(self) -> bool:
        """Whether its response is to a request that may run only once."""

    @abc.abstractmethod
    def observe(self, now: Instant) -> None:
        """Records how much it has taken, and counts what is still held."""

    @abc.abstractmethod
    def disconnect(self) -> None:
        """Ends its connection so that its response does not look complete."""


class Pace:
    """How fast a reader takes bytes while some are pending."""

    def __init__(self, *, since: Instant, taken: int) -> None:
        self._samples: collections.deque[tuple[Instant, int]] = (
            collections.deque([(since, taken)])
        )

    def record(self, now: Instant, taken: int) -> None:
        """Records how many bytes it has taken altogether."""
        samples = self._samples
        samples.append((now, taken))
        # The oldest sample that is kept spans the whole window.
        while len(samples) > 2 and now - samples[1][0] >= PACE_WINDOW_MS:
            samples.popleft()

    @property
    def observed_ms(self) -> float:
        """For how long it was observed, at most about the window."""
        return self._samples[-1][0] - self._samples[0][0]

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second over the time that was observed."""
        if not self.observed_ms:
            return 0.0
        taken = self._samples[-1][1] - self._samples[0][1]
        return taken / self.observed_ms * MS_PER_SECOND

    @property
    def too_slow(self) -> bool:
        """Whether the reader is to be disconnected."""
        return (
            self.observed_ms >= PACE_WINDOW_MS
            and self.bytes_per_s < MIN_PACE_BYTES_PER_S
        )


def choose_victim(readers: Iterable[Reader]) -> Reader | None:
    """Returns the reader to disconnect when memory runs out.

    The one that would take longest to read what is held for it. Readers whose
    pace is not known come after the others, and responses to requests that may
    run only once come last.
    """
    return min(
        (reader for reader in readers if reader.held.size),
        key=lambda r: (
            r.last_resort,
            r.pace.observed_ms < YOUNG_MS,
            -r.held.size / max(1.0, r.pace.bytes_per_s),
        ),
        default=None,
    )


class MemoryBudget:
    """Counts what is held, and decides who waits and who is disconnected."""

    def __init__(
        self, *, clock: Clock, memory_mb: Callable[[], float | None]
    ) -> None:
        self._clock = clock
        self._memory_mb = memory_mb
        self._process_bytes = PROCESS_BYTES
        self._held = 0
        self._by_kind = dict.fromkeys(Kind, 0)
        self._given_back: anyio.Event | None = None
        self._readers: dict[Reader, None] = {}
        self._uploads = Uploads(clock=clock)
        self._refused = LogLimit(event=events.Event.BODY_REFUSED)
        self._evicted = LogLimit(event=events.Event.REQUEST_EVICTED)
        self._disconnected = LogLimit(event=events.Event.READER_DISCONNECTED)
        self._uploads.on_evicted = self._record_eviction
        self.on_evicted: Callable[[], None] = lambda: None
        self.on_refused: Callable[[], None] = lambda: None
        self.on_disconnected: Callable[[str], None] = lambda _: None

    @property
    def size(self) -> int:
        """The budget in bytes; follows the settings and the process's size."""
        return budget_bytes(self._memory_mb(), self._process_bytes)

    @property
    def held_bytes(self) -> int:
        """How many bytes are held."""
        return self._held

    @property
    def is_spent(self) -> bool:
        """Whether more is held than the budget allows."""
        return self._held > self.size

    @property
    def uploads(self) -> Uploads:
        """The requests that are being received and hold memory."""
        return self._uploads

    @property
    def readers(self) -> tuple[Reader, ...]:
        """The readers for which bytes are pending."""
        return tuple(self._readers)

    def held_of(self, kind: Kind) -> int:
        """Returns how many bytes of a kind are held."""
        return self._by_kind[kind]

    @contextlib.contextmanager
    def hold(self, kind: Kind) -> Iterator[Held]:
        """Yields a holder of nothing yet; gives back what it holds."""
        held = Held(self, kind)
        try:
            yield held
        finally:
            held.release()

    async def wait_for_room(self, size: int, *, mark: float) -> None:
        """Waits until another `size` bytes keep the budget below a mark.

        Args:
            size: How many bytes are to be held.
            mark: The share of the budget.

        Raises:
            NoMemoryError: There was no room within `MOST_WAIT_MS`.
        """
        until = self._clock.now() + MOST_WAIT_MS
        while not self._has_room(size, mark):
            left_ms = until - self._clock.now()
            if left_ms <= 0:
                raise NoMemoryError
            self._uploads.evict_stalled(
                while_needed=lambda: not self._has_room(size, mark)
            )
            if not self._has_room(size, mark):
                with self._clock.timeout(min(left_ms, STALL_CHECK_MS)):
                    await self._wait_given_back()

    def set_uncounted(self, size: int) -> None:
        """Notes how much memory the process has that is not counted here.

        What it has beyond `PROCESS_BYTES` is missing to the budget.
        """
        self._process_bytes = max(PROCESS_BYTES, size)
        self.relieve()

    def record_refusal(self) -> None:
        """Records that a body was refused as no memory became free."""
        self.on_refused()
        self._refused.record(
            self._clock.now(), held=self._held, budget=self.size
        )

    def _record_eviction(self, size: int) -> None:
        self.on_evicted()
        self._evicted.record(
            self._clock.now(), bytes=size, held=self._held, budget=self.size
        )

    async def _wait_given_back(self) -> None:
        if self._given_back is None:
            self._given_back = anyio.Event()
        await self._given_back.wait()

    def _has_room(self, size: int, mark: float) -> bool:
        return not self._held or self._held + size <= mark * self.size

    def change(self, kind: Kind, size: int) -> None:
        """Counts more or fewer bytes; makes room if there are too many."""
        self._held += size
        self._by_kind[kind] += size
        if size > 0:
            if self._readers or self._uploads:
                self.relieve()
        elif self._given_back is not None:
            self._given_back.set()
            self._given_back = None

    def add_reader(self, reader: Reader) -> None:
        """Adds one for which bytes are pending."""
        self._readers[reader] = None

    def remove_reader(self, reader: Reader) -> None:
        """Removes one for which no bytes are pending."""
        self._readers.pop(reader, None)

    def observe_readers(self) -> None:
        """Observes all readers, and disconnects those that are too slow."""
        now = self._clock.now()
        for reader in self.readers:
            reader.observe(now)
            if reader in self._readers and reader.pace.too_slow:
                self._disconnect(reader, "slow")

    def relieve(self) -> None:
        """Makes room if more than the upper mark is held.

        Requests that are not whole give way first: they have not run. Readers
        follow.
        """
        budget = self.size
        mark = DISCONNECT_MARK * budget
        if self._held <= mark:
            return
        self._uploads.evict(
            while_needed=lambda: self._held > RELIEVED_MARK * budget
        )
        while self._held > mark:
            reader = choose_victim(self._readers)
            if reader is None:
                return
            self._disconnect(reader, "memory")

    def _disconnect(self, reader: Reader, cause: str) -> None:
        self.remove_reader(reader)
        self._disconnected.record(
            self._clock.now(),
            cause=cause,
            pending=reader.held.size,
            bytes_per_s=round(reader.pace.bytes_per_s),
            held=self._held,
            budget=self.size,
        )
        reader.held.release()
        self.on_disconnected(cause)
        reader.disconnect()
