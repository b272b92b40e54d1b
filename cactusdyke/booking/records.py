"""Conditional writes of records whose answers may be lost or come late."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke.booking.record import Record, StoredRecord, decode
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.infrastructure.object_store import MUST_NOT_EXIST

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.infrastructure.object_store import ObjectStore, StoredObject

WRITE_TRIES = 2
READ_BACK_AFTER_MS = 400.0
"""Far above what the store takes, far below a caller's deadline."""


@attrs.frozen(kw_only=True)
class Written:
    """The record is in the store, as it was meant."""

    version: int


@attrs.frozen(kw_only=True)
class Superseded:
    """The store holds something else, so the write was not and won't be done.

    Attributes:
        stored: What the store holds; None where it holds nothing.
    """

    stored: StoredRecord | None


WriteOutcome: TypeAlias = Written | Superseded


class Records:
    """Reads and writes records.

    An answer of the store can be lost after the write was done (seen as a
    time-out, and as a conflict with oneself at the next try). Every claim has
    a nonce of its own and each state is written once for a claim, so reading
    the record back tells whether it was this very write that was done.
    """

    def __init__(self, *, clock: Clock, object_store: ObjectStore) -> None:
        self._clock = clock
        self._object_store = object_store

    async def read(self, key: str) -> Result[StoredRecord | None, Failure]:
        """Returns the record, or None where there is none."""
        return _decoded(await self._object_store.read(key))

    async def create(
        self, key: str, record: Record
    ) -> Result[WriteOutcome, Failure]:
        """Writes a record that must be the first of its key."""
        return await self.replace(key, record, if_version=MUST_NOT_EXIST)

    async def replace(
        self, key: str, record: Record, *, if_version: int
    ) -> Result[WriteOutcome, Failure]:
        """Writes a record in the place of the given version.

        A failure with `ran` NOT_RUN means that nothing was or will be
        written; any other, that the write may still be done, also later.
        """
        failure: Failure | None = None
        doubtful = False
        for _ in range(WRITE_TRIES):
            written = await self._write(key, record, if_version=if_version)
            if isinstance(written, Ok):
                return Ok(Written(version=written.ok_value))
            failure = written.err_value
            conflict = failure.kind is FailureKind.STORE_CONFLICT
            if not conflict and failure.ran is not Ran.NOT_RUN:
                doubtful = True
            if not conflict and not doubtful:
                return Err(failure)
            found = await self.read(key)
            if isinstance(found, Err):
                # A conflict says that the key is taken, perhaps by an
                # earlier try of our own, perhaps by a call that ran.
                return Err(attrs.evolve(failure, ran=Ran.UNKNOWN))
            stored = found.ok_value
            if stored is not None and _is_same(stored.record, record):
                return Ok(Written(version=stored.version))
            version = MUST_NOT_EXIST if stored is None else stored.version
            if version != if_version:
                # Versions only grow, so a try that is still on its way
                # can't find its version again.
                return Ok(Superseded(stored=stored))
        assert failure is not None
        return Err(attrs.evolve(failure, ran=Ran.UNKNOWN))

    async def _write(
        self, key: str, record: Record, *, if_version: int
    ) -> Result[int, Failure]:
        """Writes, and reads back beside it if the answer is slow to come.

        Waiting for a lost answer until it times out would use up a caller's
        time (seen as refusals while the store works); giving up early would
        refuse whatever a slow store does in the end.
        """
        outcome: list[Result[int, Failure]] = []
        ended = anyio.Event()

        async def write() -> None:
            outcome.append(
                await self._object_store.write(
                    key, record.encode(), if_version=if_version
                )
            )
            ended.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            with self._clock.timeout(READ_BACK_AFTER_MS):
                await ended.wait()
            if not outcome:
                found = await self.read(key)
                stored = found.unwrap_or(None)
                if stored is not None and _is_same(stored.record, record):
                    outcome.append(Ok(stored.version))
                    tasks.cancel_scope.cancel()
        return outcome[0]

    async def wait(
        self, key: str, *, above_version: int, wait_ms: float
    ) -> Result[StoredRecord | None, Failure]:
        """Waits for a record's next version; None where there was none."""
        stored = await self._object_store.watch(
            key, above_version=above_version, wait_ms=wait_ms
        )
        return _decoded(stored)


def _decoded(
    stored: Result[StoredObject | None, Failure],
) -> Result[StoredRecord | None, Failure]:
    if isinstance(stored, Err):
        return stored
    if stored.ok_value is None:
        return Ok(None)
    record = decode(stored.ok_value)
    if isinstance(record, Err):
        return record
    return Ok(record.ok_value)


def _is_same(stored: Record, wanted: Record) -> bool:
    return stored.nonce == wanted.nonce and stored.state is wanted.state
