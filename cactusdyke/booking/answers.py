"""What callers are told of a non-idempotent call.

`not_run` is said only where no later reading of the record can contradict
it: nothing was dispatched, and the record, if one lands late, is one that
any daemon may claim.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke.booking.record import Record, RecordState
from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    from cactusdyke.configuration.model import PlainService

RETRY_AFTER_MS = 500
LATE_ANSWER_MS = 10_000.0
"""How long an owner waits for an answer beyond its caller's deadline."""
CLOCK_SKEW_MS = 60_000
"""How far the hosts' clocks are taken to be apart."""


@attrs.frozen(kw_only=True)
class Outcome:
    """How a call stands, as `GET /v1/requests/KEY` tells it.

    Attributes:
        state: in_progress, done, not_run or unknown.
        ran: Whether the call was executed.
        output: The answer, where it ran and the answer was kept.
        output_kept: False if the answer was too large to be stored.
    """

    state: str
    ran: Ran
    output: Any = None
    output_kept: bool = True


def done(output: Any) -> Outcome:
    """Returns the outcome of a call whose answer is at hand."""
    return Outcome(state="done", ran=Ran.RAN, output=output)


def outcome_of(record: Record, *, wall: int) -> Outcome:
    """Returns how a call stands at `wall` milliseconds since the epoch."""
    match record.state:
        case RecordState.DONE:
            return Outcome(
                state="done",
                ran=Ran.RAN,
                output=record.output,
                output_kept=record.output_kept,
            )
        case RecordState.NOT_RUN:
            return Outcome(state="not_run", ran=Ran.NOT_RUN)
        case RecordState.UNKNOWN:
            return Outcome(state="unknown", ran=Ran.UNKNOWN)
        case RecordState.OPEN if is_over(record, wall=wall):
            return Outcome(state="not_run", ran=Ran.NOT_RUN)
        case RecordState.DISPATCHING if is_over(record, wall=wall):
            return Outcome(state="unknown", ran=Ran.UNKNOWN)
        case _:
            # Nothing was dispatched under an open record, but its owner may
            # do so in the next moment: `not_run` would soon be false.
            return Outcome(state="in_progress", ran=Ran.UNKNOWN)


def is_over(record: Record, *, wall: int) -> bool:
    """Returns whether the owner has stopped working on the call.

    Hosts' clocks differ. What hangs on this is only whether a caller is told
    `in_progress` or the final word; no call is made on the strength of it.
    """
    return wall > record.expires_at + LATE_ANSWER_MS + CLOCK_SKEW_MS


def answer_from(record: Record) -> Result[Any, Failure]:
    """Returns what a record says that nobody may claim."""
    if record.state is not RecordState.DONE:
        return Err(unknown("The call's answer was lost"))
    if record.output_kept:
        return Ok(record.output)
    return Err(
        Failure(
            kind=FailureKind.ANSWER_NOT_KEPT,
            detail="The call ran, but its answer was too large to be kept",
            ran=Ran.RAN,
        )
    )


def key_reused() -> Failure:
    """The key stands for another request."""
    return Failure(
        kind=FailureKind.KEY_REUSED,
        detail="The idempotency key was used for another request",
    )


def unknown(detail: str) -> Failure:
    """The call may or may not have run."""
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN, detail=detail, ran=Ran.UNKNOWN
    )


def in_progress(detail: str = "A call with this key is under way") -> Failure:
    """The call's outcome will be known later."""
    return Failure(
        kind=FailureKind.IN_PROGRESS,
        detail=detail,
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def no_backend_server(service: PlainService) -> Failure:
    """Nothing was dispatched, for want of a backend server."""
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"No backend server of {service.name} can be chosen",
        retry_after_ms=RETRY_AFTER_MS,
    )


def too_late() -> Failure:
    """Nothing was dispatched before the deadline."""
    return Failure(
        kind=FailureKind.DEADLINE,
        detail="The deadline passed before the call was made",
    )


def store_down(failure: Failure) -> Failure:
    """Nothing was dispatched, since it could not be recorded."""
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The call was not recorded and not made: {failure.detail}",
        retry_after_ms=failure.retry_after_ms or RETRY_AFTER_MS,
    )


def overloaded() -> Failure:
    """Nothing was dispatched, for too many calls are under way."""
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail="Too many calls are under way or wait to be recorded",
        retry_after_ms=RETRY_AFTER_MS,
    )
