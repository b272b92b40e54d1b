"""A request under way: its identity, its deadline and its configuration."""

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
    """What every hop of a request needs to know.

    Attributes:
        request_id: Unique id, sent to backend servers and echoed by them.
        customer: Whose request it is.
        configuration: The revision that the request began with and keeps.
        arrived: Instant at which the request was taken in.
        deadline: Instant on this daemon's clock.
        span: The daemon's span of the request.
        idempotency_key: The caller's key, if it sent one.
        input: What the caller sent.
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
