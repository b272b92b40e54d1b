"""Bounds and counts the calls to the platform's object service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import prometheus_client
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.infrastructure.call_budget import CallBudget
from cactusdyke.infrastructure.circuit import Circuit
from cactusdyke.infrastructure.object_store import ObjectStore, StoredObject

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Mapping

    from cactusdyke.clock import Clock

T = TypeVar("T")

READ_TRIES = 3
FIRST_BACKOFF_MS = 50.0
PATIENCE_MS = 500.0
READ_TIMEOUT_MS = 2_500.0
WRITE_TIMEOUT_MS = 3_000.0
WATCH_MARGIN_MS = 3_000.0


class CallKind(enum.StrEnum):
    """What the platform counts."""

    READ = "read"
    WRITE = "write"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


CALLS_PER_SECOND: Mapping[CallKind, tuple[float, float]] = {
    CallKind.READ: (100.0, 500.0),
    CallKind.WRITE: (200.0, 400.0),
    CallKind.DELETE: (20.0, 40.0),
    CallKind.LIST: (10.0, 20.0),
    CallKind.WATCH: (5.0, 10.0),
}
"""Rate and burst of each kind, for one daemon."""

_UNREACHED = frozenset(
    {FailureKind.STORE_UNAVAILABLE, FailureKind.STORE_UNKNOWN}
)


class GuardedObjectStore(ObjectStore):
    """An object store with timeouts, a call budget and a circuit.

    Reads and lists are repeated a few times with growing, random waits.
    Writes and deletes are made once: whoever writes knows whether a second
    one does harm, and how to read back what became of the first.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._circuit = Circuit(clock=clock, rng=rng)
        self._budgets = {
            kind: CallBudget(clock=clock, calls_per_second=rate, burst=burst)
            for kind, (rate, burst) in CALLS_PER_SECOND.items()
        }
        self._calls = prometheus_client.Counter(
            "cactusdyke_store_calls",
            "Calls to the object service by kind and outcome.",
            ["kind", "outcome"],
            registry=None,
        )
        self._held_back = prometheus_client.Gauge(
            "cactusdyke_store_circuit_open",
            "1 while calls to the object service are held back.",
            registry=None,
        )

    def publish(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Registers the counts of calls and the state of the circuit."""
        registry.register(self._calls)
        registry.register(self._held_back)

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Returns an object, or None where there is none."""
        return await self._repeat(CallKind.READ, lambda: self._store.read(key))

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> Result[list[StoredObject], Failure]:
        """Returns objects by key order, from the first key above `after`."""
        return await self._repeat(
            CallKind.LIST,
            lambda: self._store.list(prefix, after=after, limit=limit),
        )

    async def write(
        self, key: str, value: bytes, *, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Writes an object, once, and returns its new version."""
        return await self._call(
            CallKind.WRITE,
            lambda: self._store.write(key, value, if_version=if_version),
            timeout_ms=WRITE_TIMEOUT_MS,
        )

    async def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Result[None, Failure]:
        """Deletes an object, once; deleting one that isn't there succeeds."""
        return await self._call(
            CallKind.DELETE,
            lambda: self._store.delete(key, if_version=if_version),
            timeout_ms=WRITE_TIMEOUT_MS,
        )

    async def watch(
        self, key: str, *, above_version: int, wait_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Waits until an object's version is above `above_version`."""
        if self._circuit.is_open:
            # A watch says nothing for as long as it waits, so it can't probe
            # whether the service is back; reads do.
            return Err(self._refusal())
        return await self._call(
            CallKind.WATCH,
            lambda: self._store.watch(
                key, above_version=above_version, wait_ms=wait_ms
            ),
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )

    async def _repeat(
        self, kind: CallKind, call: Callable[[], Awaitable[Result[T, Failure]]]
    ) -> Result[T, Failure]:
        backoff_ms = FIRST_BACKOFF_MS
        for _ in range(READ_TRIES - 1):
            answer = await self._call(kind, call, timeout_ms=READ_TIMEOUT_MS)
            if answer.is_ok() or self._circuit.is_open:
                return answer
            await self._clock.sleep(self._rng.uniform(0.0, backoff_ms))
            backoff_ms *= 2
        return await self._call(kind, call, timeout_ms=READ_TIMEOUT_MS)

    async def _call(
        self,
        kind: CallKind,
        call: Callable[[], Awaitable[Result[T, Failure]]],
        *,
        timeout_ms: float,
    ) -> Result[T, Failure]:
        if not self._circuit.allow():
            return Err(self._refusal())
        if not await self._budgets[kind].take(patience_ms=PATIENCE_MS):
            self._count(kind, "over_budget")
            return Err(_over_budget(kind))
        answer: Result[T, Failure] = Err(_timed_out(kind, timeout_ms))
        with self._clock.timeout(timeout_ms):
            answer = await call()
        self._note(kind, answer)
        return answer

    def _note(self, kind: CallKind, answer: Result[T, Failure]) -> None:
        if isinstance(answer, Ok) or answer.err_value.kind not in _UNREACHED:
            self._circuit.succeeded()
            self._count(kind, "answered")
        else:
            self._count(kind, "unknown" if _is_doubtful(answer) else "failed")
            if self._circuit.failed():
                events.log(
                    events.Event.STORE_CIRCUIT_OPENED,
                    detail=answer.err_value.message,
                )
        self._held_back.set(int(self._circuit.is_open))

    def _count(self, kind: CallKind, outcome: str) -> None:
        self._calls.labels(str(kind), outcome).inc()

    def _refusal(self) -> Failure:
        return Failure(
            kind=FailureKind.STORE_UNAVAILABLE,
            detail="The object service does not answer; calls are held back",
            retry_after_ms=self._circuit.retry_after_ms(),
        )


def _is_doubtful(answer: Err[Failure]) -> bool:
    return answer.err_value.kind is FailureKind.STORE_UNKNOWN


def _timed_out(kind: CallKind, timeout_ms: float) -> Failure:
    writes = kind in (CallKind.WRITE, CallKind.DELETE)
    return Failure(
        kind=(
            FailureKind.STORE_UNKNOWN
            if writes
            else FailureKind.STORE_UNAVAILABLE
        ),
        detail=f"The {kind} was not answered within {timeout_ms:.0f} ms",
        ran=Ran.UNKNOWN if writes else Ran.NOT_RUN,
        retry_after_ms=int(FIRST_BACKOFF_MS),
    )


def _over_budget(kind: CallKind) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"This daemon's budget of {kind} calls is spent",
        retry_after_ms=int(PATIENCE_MS),
    )
