"""Calls that end as they make no progress, however long their answers are."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import Response

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.transport.messages import Request
    from cactusdyke.transport.network import CallOptions, Network


@attrs.frozen(kw_only=True)
class FetchLimits:
    """How long the parts of a call may take, in milliseconds.

    Attributes:
        head_ms: Until the head of the answer has come.
        progress_ms: Between two parts of the body.
        body_ms: From the head to the end of the body.
    """

    head_ms: float
    progress_ms: float
    body_ms: float


@attrs.frozen(kw_only=True)
class TimedResponse:
    """A whole response, and when its head had come."""

    response: Response
    head_at: Instant


async def fetch(
    network: Network,
    address: str,
    request: Request,
    options: CallOptions,
    *,
    limits: FetchLimits,
    clock: Clock,
) -> Result[TimedResponse, Failure]:
    """Sends a request and returns its whole response.

    A limit on the whole call would discard a long answer on a narrow link
    however much of it has come, to have it sent once more.
    """
    with clock.timeout(limits.head_ms) as scope:
        async with network.open(address, request, options) as opened:
            if isinstance(opened, Err):
                return opened
            incoming = opened.ok_value
            head_at = clock.now()
            ends_at = anyio.current_time() + limits.body_ms / MS_PER_SECOND
            body = bytearray()
            try:
                async with contextlib.aclosing(incoming.chunks()) as chunks:  # type: ignore[type-var]
                    scope.deadline = _deadline(limits, ends_at)
                    async for chunk in chunks:
                        scope.deadline = _deadline(limits, ends_at)
                        body += chunk
                        if len(body) > options.max_body_bytes:
                            return Err(_failure("the answer is too long"))
            except CactusdykeError as error:
                return Err(error.failure)
            return Ok(
                TimedResponse(
                    response=Response(
                        status=incoming.status,
                        headers=incoming.headers,
                        body=bytes(body),
                    ),
                    head_at=head_at,
                )
            )
    return Err(_failure("no answer in time"))


def _deadline(limits: FetchLimits, ends_at: float) -> float:
    progress_s = limits.progress_ms / MS_PER_SECOND
    return min(ends_at, anyio.current_time() + progress_s)


def _failure(detail: str) -> Failure:
    return Failure(
        kind=FailureKind.CONNECTION_LOST, detail=detail, ran=Ran.UNKNOWN
    )
