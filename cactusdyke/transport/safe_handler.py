"""Answers requests also where their handler fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import failure_response

if TYPE_CHECKING:
    from cactusdyke.transport.messages import Handler, Request, Response


async def respond(handler: Handler, request: Request) -> Response:
    """Returns a handler's response, or the error response if it fails.

    An error that the handler does not expect is logged and answered with 500:
    it must not end the requests of other callers.
    """
    try:
        return await handler(request)
    except CactusdykeError as error:
        return failure_response(error.failure)
    except Exception as error:
        events.log(
            events.Event.INTERNAL_ERROR,
            path=request.path,
            error=repr(error),
        )
        return failure_response(
            Failure(
                kind=FailureKind.INTERNAL,
                detail="The daemon met an unexpected error",
                ran=Ran.UNKNOWN,
            )
        )
