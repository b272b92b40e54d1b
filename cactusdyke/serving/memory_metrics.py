"""Metrics of what a daemon holds for callers and replicas."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import prometheus_client

from cactusdyke.transport.memory_budget import Kind

if TYPE_CHECKING:
    from cactusdyke.transport.connection_limit import ConnectionLimit
    from cactusdyke.transport.memory_budget import MemoryBudget


class MemoryMetrics:
    """Gauges and counters of a memory budget and of listeners."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._held = prometheus_client.Gauge(
            "cactusdyke_held_bytes",
            "Bytes held for callers and replicas, by kind.",
            ("kind",),
            registry=registry,
        )
        self._budget = prometheus_client.Gauge(
            "cactusdyke_held_bytes_budget",
            "Bytes that may be held for callers and replicas.",
            registry=registry,
        )
        self._disconnected = prometheus_client.Counter(
            "cactusdyke_disconnected_readers",
            "Callers that were disconnected, as slow or for lack of memory.",
            ("cause",),
            registry=registry,
        )
        self._refused = prometheus_client.Counter(
            "cactusdyke_refused_bodies",
            "Bodies that were refused, as no memory for them became free.",
            registry=registry,
        )
        self._evicted = prometheus_client.Counter(
            "cactusdyke_evicted_requests",
            "Requests that had not come whole and gave way for lack of memory.",
            registry=registry,
        )
        self._connections = prometheus_client.Gauge(
            "cactusdyke_connections",
            "Connections to a listener.",
            ("listener",),
            registry=registry,
        )
        self._most_connections = prometheus_client.Gauge(
            "cactusdyke_connections_limit",
            "How many connections a listener keeps.",
            ("listener",),
            registry=registry,
        )
        self._closed = prometheus_client.Counter(
            "cactusdyke_closed_connections",
            "Connections that were closed as there were too many.",
            ("listener", "cause"),
            registry=registry,
        )

    def watch_connections(self, limit: ConnectionLimit) -> None:
        """Reads the gauges of a listener when asked for, and counts events."""
        self._connections.labels(limit.listener).set_function(
            lambda: limit.count
        )
        self._most_connections.labels(limit.listener).set_function(
            lambda: limit.most
        )
        limit.on_closed = lambda listener, cause: self._closed.labels(
            listener, cause
        ).inc()

    def watch(self, budget: MemoryBudget) -> None:
        """Reads the gauges from a budget when asked for, and counts events."""
        for kind in Kind:
            self._held.labels(kind.value).set_function(
                functools.partial(budget.held_of, kind)
            )
        self._budget.set_function(lambda: budget.size)
        budget.on_evicted = self._evicted.inc
        budget.on_refused = self._refused.inc
        budget.on_disconnected = lambda cause: self._disconnected.labels(
            cause
        ).inc()
