"""The stored record of a non-idempotent call."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import attrs
import orjson
import xxhash
from result import Err, Result

from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from cactusdyke.infrastructure.object_store import StoredObject

RECORD_PREFIX = "bookings/"
MAX_RECORD_BYTES = 1_000_000
"""Below the megabyte that the object service takes."""


class RecordState(enum.StrEnum):
    """How far a call has come.

    OPEN and NOT_RUN records were provably never handed to a backend server,
    so any daemon may make them its own. A DISPATCHING one may have been, and
    stays with its owner for ever.
    """

    OPEN = "open"
    DISPATCHING = "dispatching"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Record:
    """Says who may make a call, and how it ended.

    Attributes:
        state: How far the call has come.
        owner: The daemon that may dispatch the call.
        nonce: Tells this claim on the call from every other.
        content: Digest of what the caller asked for.
        request_id: The id that backend servers were given.
        created_at: Milliseconds since the epoch.
        expires_at: When the owner stops being allowed to dispatch the call,
            in milliseconds since the epoch.
        output: The answer, once it is done.
        output_kept: False if the answer was too large to be stored.
    """

    state: RecordState
    owner: str
    nonce: str
    content: str
    request_id: str
    created_at: int
    expires_at: int
    output: Any = None
    output_kept: bool = True

    @property
    def may_be_claimed(self) -> bool:
        """Whether no daemon can have dispatched the call."""
        return self.state in {RecordState.OPEN, RecordState.NOT_RUN}

    def with_output(self, output: Any) -> Record:
        """Returns the record of a call that ran, within the size limit."""
        done = attrs.evolve(self, state=RecordState.DONE, output=output)
        if len(done.encode()) <= MAX_RECORD_BYTES:
            return done
        return attrs.evolve(done, output=None, output_kept=False)

    def encode(self) -> bytes:
        """Returns the stored bytes."""
        return jsonc.canonical(structure.unstructure(self))


@attrs.frozen(kw_only=True)
class StoredRecord:
    """A record and the version under which the store holds it."""

    record: Record
    version: int


def decode(stored: StoredObject) -> Result[StoredRecord, Failure]:
    """Reads a stored object."""
    try:
        value = orjson.loads(stored.value)
    except orjson.JSONDecodeError as error:
        return Err(_unreadable(stored.key, str(error)))
    return (
        structure.structure(value, Record, name=stored.key)
        .map_err(lambda failure: _unreadable(stored.key, failure.detail))
        .map(lambda r: StoredRecord(record=r, version=stored.version))
    )


def record_key(customer: str, idempotency_key: str) -> str:
    """Returns the key of a record; what callers choose is hashed."""
    hashed = xxhash.xxh3_128_hexdigest(idempotency_key.encode())
    return f"{RECORD_PREFIX}{customer}/{hashed}"


def _unreadable(key: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        detail=f"The record {key} can't be read: {detail}",
        # Somebody wrote it, so somebody may have made the call.
        ran=Ran.UNKNOWN,
    )
