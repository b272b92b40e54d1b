"""The failures that requests end with, each true of the whole request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    from cactusdyke.serving.attempt import AttemptResult
    from cactusdyke.serving.request import ServingContext

RETRY_AFTER_MS = 300
NOT_READY_RETRY_AFTER_MS = 500
STOPPING_RETRY_AFTER_MS = 50
"""Callers may wait a third of their time; a queue of a call or two is over by
then."""
UNREAD_RETRY_AFTER_MS = {
    FailureKind.STOPPING: STOPPING_RETRY_AFTER_MS,
    FailureKind.OVERLOADED: RETRY_AFTER_MS,
}


def for_unread_request(failure: Failure) -> Failure:
    """Returns the refusal of what was not read, with a time to come back."""
    retry_after_ms = UNREAD_RETRY_AFTER_MS.get(failure.kind)
    return attrs.evolve(failure, retry_after_ms=retry_after_ms)


def stopping() -> Failure:
    """Returns the refusal of a daemon that ends too soon."""
    return Failure(
        kind=FailureKind.STOPPING,
        detail="this daemon ends before the request could",
        retry_after_ms=STOPPING_RETRY_AFTER_MS,
    )


def for_whole_request(context: ServingContext, failure: Failure) -> Failure:
    """Returns a failure that tells the truth about the whole request."""
    if not context.may_have_run:
        retry_after_ms = failure.retry_after_ms or RETRY_AFTER_MS
        return attrs.evolve(failure, retry_after_ms=retry_after_ms)
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN,
        detail=failure.detail,
        ran=Ran.UNKNOWN if context.asking else context.ran,
    )


def timed_out(context: ServingContext) -> Failure:
    """Returns what ends a request whose time is over."""
    if context.may_have_run:
        return Failure(
            kind=FailureKind.DEADLINE,
            detail="no answer within the time that the request has",
            ran=Ran.UNKNOWN,
        )
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail="the request could not be begun within the time that it has",
        retry_after_ms=RETRY_AFTER_MS,
    )


def no_replica(context: ServingContext) -> Failure:
    """Returns what ends a request that nobody can be sent."""
    return for_whole_request(
        context,
        Failure(
            kind=FailureKind.NO_BACKEND_SERVER,
            detail=f"no replica of {context.service} can be used",
            retry_after_ms=NOT_READY_RETRY_AFTER_MS,
        ),
    )


def attempts_exhausted(
    context: ServingContext, result: AttemptResult
) -> Failure:
    """Returns what ends a request after its last attempt."""
    return for_whole_request(
        context,
        Failure(
            kind=FailureKind.NO_BACKEND_SERVER,
            detail=result.detail,
            retry_after_ms=RETRY_AFTER_MS,
        ),
    )
