"""Typed failures: what went wrong, whether it ran, and what to do."""

from __future__ import annotations

import enum
from typing import Any

import attrs


class Ran(enum.StrEnum):
    """Whether the work that a failure speaks of was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Raised by code that takes parsed JSON apart where it has another form. A
value that is nested deeply can't be formatted for an error's text."""

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses of requests that are counted as refused, others as failed."""


@enum.unique
class FailureKind(enum.Enum):
    """Every kind of failure, with its HTTP status and its remedy.

    Two kinds of the same status and remedy would be one kind under two names,
    and callers would read the first one's name; hence `unique`.
    """

    BAD_REQUEST = (400, "Correct the request as described and send it again")
    UNAUTHENTICATED = (401, "Send a valid bearer token of this customer")
    FORBIDDEN = (403, "Use a token that is allowed to do this")
    NOT_FOUND = (404, "Check the name against the configuration in force")
    METHOD_NOT_ALLOWED = (405, "Use the method named in the reference")
    CONFLICT = (409, "Read what changed, adapt the change and submit again")
    KEY_REUSED = (409, "Use a new idempotency key for a new request")
    IN_PROGRESS = (409, "Ask again with the same key after retry_after_ms")
    ANSWER_NOT_KEPT = (410, "Ask the plain service; do not send it again")
    TOO_LARGE = (413, "Send a smaller body")
    LIMITED = (
        429,
        "Send fewer requests, or ask the operator for a higher limit",
    )
    OVERLOADED = (503, "Send the request again after retry_after_ms")
    TOO_MUCH_WORK = (
        503,
        "Ask for less in one request, or allow a longer deadline",
    )
    NO_BACKEND_SERVER = (
        503,
        "Send the request again after retry_after_ms; the pool is failing",
    )
    QUARANTINED = (
        503,
        "Change the request; replicas crash under it, and until retry_after_ms"
        " it is sent to none",
    )
    STOPPING = (503, "Ask for addresses again and use another one")
    UNCONFIRMED = (503, "Try another address; this daemon is cut off")
    STORE_UNAVAILABLE = (
        503,
        "Send the request again after retry_after_ms; the store is down",
    )
    STORE_UNKNOWN = (503, "Read the object back before writing it again")
    STORE_CONFLICT = (409, "Read the object again and repeat the change")
    BACKEND_FAILED = (502, "Send the request again; it may be repeated")
    BACKEND_LEAVING = (503, "Send the request again; others take it")
    BROKEN_ANSWER = (502, "Send the request again; the answer was dropped")
    OUTCOME_UNKNOWN = (502, "Ask for the outcome with the same key")
    DEADLINE = (504, "Allow a longer deadline or send it again later")
    NOT_SENT = (502, "Try another backend server; nothing was handed over")
    CONNECTION_LOST = (502, "Treat the outcome as unknown")
    STAGE_INPUT_GONE = (503, "Send the request again; its inputs are remade")
    STREAM_LOST = (
        503,
        "Resume it after retry_after_ms at another address, or begin it again",
    )
    TIMED_OUT = (408, "Send the whole request again, and faster")
    HEADERS_TOO_LARGE = (431, "Send smaller headers")
    INVALID = (422, "Correct the named values")
    INTERNAL = (500, "Report this with the request id")

    def __init__(self, status: int, remedy: str) -> None:
        self.status = status
        self.remedy = remedy

    @property
    def code(self) -> str:
        """The kind's name as callers see it."""
        return self.name.lower()


@attrs.frozen(kw_only=True)
class Failure:
    """An expected failure, returned inside `result.Err`.

    Attributes:
        kind: Which kind of failure it is.
        detail: What happened, without a closing full stop.
        ran: Whether the work was executed.
        retry_after_ms: When it makes sense to try again, in milliseconds.
    """

    kind: FailureKind
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None

    @property
    def message(self) -> str:
        """What happened and the remedy, as one line."""
        return f"{self.detail}. {self.kind.remedy}."

    def to_body(self, *, request_id: str | None = None) -> dict[str, Any]:
        """Returns the documented error body for callers."""
        body: dict[str, Any] = {
            "kind": self.kind.code,
            "ran": str(self.ran),
            "message": self.detail,
            "remedy": self.kind.remedy,
        }
        if self.retry_after_ms is not None:
            body["retry_after_ms"] = self.retry_after_ms
        if request_id is not None:
            body["request_id"] = request_id
        return {"error": body}


class CactusdykeError(Exception):
    """Carries a `Failure` where a value can't be returned, as in iterators."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure
