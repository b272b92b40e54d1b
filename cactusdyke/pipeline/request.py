"""The context of a request: identity, deadline and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from opentelemetry.trace import Span

from cactusdyke.clock import Instant
from cactusdyke.configuration.model import Configuration, Customer

if TYPE_CHECKING:
    from cactusdyke.clock import Clock


@attrs.frozen(kw_only=True)
class RequestContext:
    """Data that every stage of a request uses.

    Attributes:
        request_id: Unique id, sent to backend servers and echoed by them.
        customer: The customer that sent the request.
        configuration: The revision in force when the request arrived; it is
            used until the request ends.
        arrived: Instant on this daemon's clock at which the request arrived.
        deadline: Instant on this daemon's clock by which it must end.
        span: The trace span of the request in this daemon.
        idempotency_key: The caller's key, if it sent one.
        input: The input that the caller sent.
    """

    request_id: str
    customer: Customer
    configuration: Configuration
    arrived: Instant
    deadline: Instant
    span: Span
    idempotency_key: str | None
    input: Any

    def remaining_ms(self, clock: Clock) -> float:
        """Returns the time left until the deadline, in milliseconds."""
        return self.deadline - clock.now()
