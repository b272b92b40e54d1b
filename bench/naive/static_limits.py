"""Limits as an equal share for each daemon, whoever is called."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.clock import MS_PER_SECOND, Clock, Instant
from cactusdyke.configuration.model import Customer
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.limits.limiter import Limiter
from cactusdyke.membership.members import Members


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float
    filled_at: Instant


class StaticLimits(Limiter):
    """A token bucket per customer, of this daemon's equal share."""

    def __init__(self, *, clock: Clock, daemons) -> None:
        self._clock = clock
        self._daemons = daemons
        self._buckets: dict[str, _Bucket] = {}

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from the share, or refuses it."""
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
        return Err(
            Failure(kind=FailureKind.LIMITED, detail="Over the share here")
        )


class OneBucket(Limiter):
    """One token bucket that all daemons would see at once, as a measure."""

    def __init__(self, *, clock: Clock, buckets: dict[str, _Bucket]) -> None:
        self._clock = clock
        self._buckets = buckets

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from the limit, or refuses it."""
        now = self._clock.now()
        bucket = self._buckets.setdefault(
            customer.name, _Bucket(tokens=customer.burst, filled_at=now)
        )
        grown = (now - bucket.filled_at) / MS_PER_SECOND
        grown *= customer.requests_per_second
        bucket.tokens = min(customer.burst, bucket.tokens + grown)
        bucket.filled_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return Ok(None)
        return Err(Failure(kind=FailureKind.LIMITED, detail="Over the limit"))


class NoLimits(Limiter):
    """Admits everything."""

    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Admits the request."""
        return Ok(None)


def setup(app: Application) -> ExtensionMetadata:
    """Registers the naive limits."""
    app.setup_extension("cactusdyke.membership.extension")
    members = app.service("membership", Members)
    limits = StaticLimits(
        clock=app.clock, daemons=lambda: len(members.serving())
    )
    app.add_service("limits", limits)
    return ExtensionMetadata(version="1")
