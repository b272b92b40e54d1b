"""Failures that end requests, covering all attempts of a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    from cactusdyke.serving.attempt import AttemptResult
    from cactusdyke.serving.request import ServingContext

RETRY_AFTER_MS = 300
NOT_READY_RETRY_AFTER_MS = 500
STOPPING_RETRY_AFTER_MS = 50
"""Callers wait at most a third of their time before they try again; a queue of
one or two calls has drained by then."""
UNREAD_RETRY_AFTER_MS = {
    FailureKind.STOPPING: STOPPING_RETRY_AFTER_MS,
    FailureKind.OVERLOADED: RETRY_AFTER_MS,
}


def for_unread_request(failure: Failure) -> Failure:
    """Returns the failure of a request that was not read, with retry delay."""
    retry_after_ms = UNREAD_RETRY_AFTER_MS.get(
        failure.kind, failure.retry_after_ms
    )
    return attrs.evolve(failure, retry_after_ms=retry_after_ms)


def stopping() -> Failure:
    """Returns the refusal of a request that would not end before the stop."""
    return Failure(
        kind=FailureKind.STOPPING,
        detail="this daemon ends before the request could",
        retry_after_ms=STOPPING_RETRY_AFTER_MS,
    )


def for_whole_request(context: ServingContext, failure: Failure) -> Failure:
    """Returns the failure, adjusted to all attempts of the request.

    If any attempt ran or may have run, the failure does not claim that the
    request was not run.
    """
    if not context.may_have_run:
        retry_after_ms = failure.retry_after_ms or RETRY_AFTER_MS
        return attrs.evolve(failure, retry_after_ms=retry_after_ms)
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN,
        detail=failure.detail,
        ran=Ran.UNKNOWN if context.current_replica else context.ran,
    )


def timed_out(context: ServingContext) -> Failure:
    """Returns the failure of a request whose deadline has passed."""
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


def no_replica(context: ServingContext, *, rest_left_ms: float) -> Failure:
    """Returns the failure of a request that no replica can be sent.

    Args:
        context: The request.
        rest_left_ms: Time until a replica accepts it, 0 if not all want rest.
    """
    if rest_left_ms:
        detail = f"all replicas of {context.service} have asked for rest"
    else:
        detail = f"no replica of {context.service} can be used"
    return for_whole_request(
        context,
        Failure(
            kind=FailureKind.NO_BACKEND_SERVER,
            detail=detail,
            retry_after_ms=math.ceil(rest_left_ms) or NOT_READY_RETRY_AFTER_MS,
        ),
    )


def attempts_exhausted(
    context: ServingContext, result: AttemptResult, *, rest_left_ms: float
) -> Failure:
    """Returns the failure of a request after its last attempt.

    Args:
        context: The request.
        result: The result of the last attempt.
        rest_left_ms: Time until a replica accepts it, 0 if not all want rest.
    """
    return for_whole_request(
        context,
        Failure(
            kind=FailureKind.NO_BACKEND_SERVER,
            detail=result.detail,
            retry_after_ms=math.ceil(rest_left_ms) or RETRY_AFTER_MS,
        ),
    )
