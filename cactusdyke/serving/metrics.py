"""Metrics of the requests that the daemon serves."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import prometheus_client

from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.kernel import Service
from cactusdyke.serving.customer_metrics import CustomerMetrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.relay import Relay
    from cactusdyke.serving.replica_paths import ReplicaPaths
    from cactusdyke.serving.retry_budget import RetryBudget
    from cactusdyke.serving.stated_limits import StatedLimits

SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 4.0, 8.0, 15.0)

RETURN_OUTCOMES = ("held", "reserved", "returned", "expired", "final")


class ServingMetrics(Service):
    """Counters and histograms, labelled with names from the configuration."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter(
            "cactusdyke_served_requests",
            "Requests by route and how they ended.",
            ("route", "outcome"),
            registry=registry,
        )
        self._customers = CustomerMetrics(registry)
        self._seconds = prometheus_client.Histogram(
            "cactusdyke_served_first_seconds",
            "Time to the first event, or to the whole answer, by route.",
            ("route",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self._stage_seconds = prometheus_client.Histogram(
            "cactusdyke_stage_seconds",
            "Time that a request's stages took together, by route.",
            ("route",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self._failed_attempts = prometheus_client.Counter(
            "cactusdyke_failed_attempts",
            "Attempts that brought no answer to pass on, by service.",
            ("service",),
            registry=registry,
        )
        self._crashes = prometheus_client.Counter(
            "cactusdyke_replica_crashes",
            "Replicas that crashed under requests of this daemon, by service.",
            ("service",),
            registry=registry,
        )
        self._evacuated = prometheus_client.Gauge(
            "cactusdyke_evacuated_data_centres",
            "Data centres whose replicas receive no new work.",
            registry=registry,
        )
        self._rejected = prometheus_client.Gauge(
            "cactusdyke_rejected_entries",
            "Revisions of configuration or replicas that could not be read.",
            registry=registry,
        )
        self._cold = prometheus_client.Gauge(
            "cactusdyke_cold_replicas",
            "Replicas to which requests are limited, as they are cold.",
            registry=registry,
        )
        self._reported = prometheus_client.Gauge(
            "cactusdyke_replica_load_reports",
            "Replicas that this daemon knows the present speed of.",
            registry=registry,
        )
        self._slow = prometheus_client.Gauge(
            "cactusdyke_slow_replicas",
            "Replicas that say that they are slow now.",
            registry=registry,
        )
        self._discarded_reports = prometheus_client.Gauge(
            "cactusdyke_discarded_load_reports",
            "Other daemons' reports of replicas' speed that were of no use.",
            registry=registry,
        )
        self._limited = prometheus_client.Gauge(
            "cactusdyke_limited_replicas",
            "Replicas that state how many requests they take.",
            registry=registry,
        )
        self._brittle = prometheus_client.Gauge(
            "cactusdyke_brittle_replicas",
            "Replicas that say that they fall over if they refuse too much.",
            registry=registry,
        )
        self._unreachable = prometheus_client.Gauge(
            "cactusdyke_unreachable_replicas",
            "Replicas that this daemon could not connect to.",
            registry=registry,
        )
        self._relayed = prometheus_client.Counter(
            "cactusdyke_relayed_connections",
            "Connections to replicas that were made through other daemons.",
            registry=registry,
        )
        self._tunnels = prometheus_client.Gauge(
            "cactusdyke_open_tunnels",
            "Connections to replicas that are open for other daemons.",
            registry=registry,
        )
        self._returns = prometheus_client.Gauge(
            "cactusdyke_refused_returns",
            "Requests that stages refused here, by what became of them.",
            ("outcome",),
            registry=registry,
        )
        self._pending_retries = prometheus_client.Gauge(
            "cactusdyke_pending_retries",
            "Retries that are charged to the retry budget and not sent yet.",
            registry=registry,
        )
        self._quarantined = prometheus_client.Gauge(
            "cactusdyke_quarantined",
            "Requests that no replica gets, as replicas crash under them.",
            registry=registry,
        )

    @property
    def customers(self) -> CustomerMetrics:
        """The metrics by customer."""
        return self._customers

    def watch_deployment(self, deployment: Deployment) -> None:
        """Reads the gauges of replicas from a deployment when asked for."""
        self._evacuated.set_function(lambda: len(deployment.evacuated))
        self._rejected.set_function(lambda: deployment.rejected_count)
        self._cold.set_function(lambda: deployment.cold_count)
        loads = deployment.loads
        self._reported.set_function(lambda: loads.fresh_count)
        self._slow.set_function(lambda: loads.slow_count)
        self._discarded_reports.set_function(lambda: loads.discarded_count)

    def watch_limits(self, limits: StatedLimits) -> None:
        """Reads the gauge of limited replicas when asked for."""
        self._limited.set_function(lambda: limits.count)
        self._brittle.set_function(lambda: limits.brittle_count)

    def watch_returns(self, count: Callable[[str], int]) -> None:
        """Reads the gauge of refused requests when asked for."""
        for outcome in RETURN_OUTCOMES:
            self._returns.labels(outcome).set_function(
                functools.partial(count, outcome)
            )

    def watch_retries(self, budget: RetryBudget) -> None:
        """Reads the gauge of charged retries when asked for."""
        self._pending_retries.set_function(lambda: budget.pending_count)

    def watch_paths(self, paths: ReplicaPaths) -> None:
        """Reads the gauge of unreachable replicas when asked for."""
        self._unreachable.set_function(lambda: paths.unreachable_count)

    def watch_relay(self, relay: Relay) -> None:
        """Reads the gauge of open tunnels when asked for."""
        self._tunnels.set_function(lambda: relay.open_count)

    def connection_relayed(self) -> None:
        """Counts a connection that was made through another daemon."""
        self._relayed.inc()

    def replica_crashed(self, service: str) -> None:
        """Counts a replica that crashed under requests of this daemon."""
        self._crashes.labels(service).inc()

    def set_quarantined(self, count: int) -> None:
        """Sets the number of quarantined requests."""
        self._quarantined.set(count)

    def request_ended(self, route: str, outcome: str, took_ms: float) -> None:
        """Counts a request that has ended."""
        self._requests.labels(route, outcome).inc()
        if outcome in {"on_time", "late"}:
            self._seconds.labels(route).observe(took_ms / MS_PER_SECOND)

    def observe_stages(self, route: str, took_ms: float) -> None:
        """Records the time that a request's stages took together."""
        self._stage_seconds.labels(route).observe(took_ms / MS_PER_SECOND)

    def attempt_failed(self, service: str) -> None:
        """Counts a failed attempt."""
        self._failed_attempts.labels(service).inc()
