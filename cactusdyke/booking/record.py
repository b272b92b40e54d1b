"""The stored record of a non-idempotent call."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import attrs
import orjson
import xxhash

from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.errors import Failure

RECORD_PREFIX = "bookings/"


class RecordState(enum.StrEnum):
    """How far a call has come."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Record:
    """Says who may make a call, and how it ended.

    Attributes:
        state: How far the call has come.
        owner: The daemon that may dispatch the call.
        nonce: Tells this owner's create from another's.
        content: Digest of what the caller asked for.
        created_at: Milliseconds since the epoch.
        output: The answer, once it is done.
    """

    state: RecordState
    owner: str
    nonce: str
    content: str
    created_at: int
    output: Any = None

    def encode(self) -> bytes:
        """Returns the stored bytes."""
        return jsonc.canonical(structure.unstructure(self))


def decode(data: bytes) -> Result[Record, Failure]:
    """Reads stored bytes."""
    return structure.structure(orjson.loads(data), Record, name="booking")


def record_key(customer: str, idempotency_key: str) -> str:
    """Returns the key of a record; what callers choose is hashed."""
    hashed = xxhash.xxh3_128_hexdigest(idempotency_key.encode())
    return f"{RECORD_PREFIX}{customer}/{hashed}"
