"""Metrics of how the requests of each customer end."""

from __future__ import annotations

import prometheus_client

from cactusdyke.clock import MS_PER_SECOND

MAX_CUSTOMERS = 256
"""Customers with series of their own. Each has up to 14 series, and hosts with
160 MB of memory hold those of all customers."""
OTHERS = "(others)"
SECONDS_BUCKETS = (0.2, 0.7, 1.5, 4.0)


class CustomerMetrics:
    """Counts requests by customer; the customers seen last are aggregated."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._names: set[str] = set()
        self._requests = prometheus_client.Counter(
            "cactusdyke_customer_requests",
            "Requests by customer and how they ended.",
            ("customer", "outcome"),
            registry=registry,
        )
        self._seconds = prometheus_client.Histogram(
            "cactusdyke_customer_first_seconds",
            "Time to the first event, or to the whole answer, by customer.",
            ("customer",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )

    def request_ended(
        self, customer: str, outcome: str, first_ms: float | None
    ) -> None:
        """Counts a request that has ended.

        Args:
            customer: Name of the customer, empty if unknown.
            outcome: served, late, refused, failed, left or cut.
            first_ms: Time to the first event, None if there was none.
        """
        name = self._label(customer)
        self._requests.labels(name, outcome).inc()
        if first_ms is not None:
            self._seconds.labels(name).observe(first_ms / MS_PER_SECOND)

    def _label(self, customer: str) -> str:
        if customer in self._names:
            return customer
        if len(self._names) >= MAX_CUSTOMERS:
            return OTHERS
        self._names.add(customer)
        return customer
