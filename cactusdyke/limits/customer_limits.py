"""Limits by customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Customer


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float
    filled_at: Instant


class CustomerLimits(Service):
    """A token bucket per customer, of this daemon's equal share."""

    def __init__(self, *, clock: Clock, daemons: Callable[[], int]) -> None:
        self._clock = clock
        self._daemons = daemons
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from a customer's share, or refuses it."""
        share = 1.0 / max(1, self._daemons())
        rate = customer.requests_per_second * share
        depth = max(1.0, customer.burst * share)
        now = self._clock.now()
        bucket = self._buckets.setdefault(
            customer.name, _Bucket(tokens=depth, filled_at=now)
        )
        grown = (now - bucket.filled_at) / MS_PER_SECOND * rate
        bucket.tokens = min(depth, bucket.tokens + grown)
        bucket.filled_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return Ok(None)
        wait_ms = (1.0 - bucket.tokens) / max(rate, 1e-9) * MS_PER_SECOND
        return Err(
            Failure(
                kind=FailureKind.LIMITED,
                detail=f"The customer {customer.name} is over its limit",
                retry_after_ms=int(min(wait_ms, 60_000.0)) + 1,
            )
        )
