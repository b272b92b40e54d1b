"""Counts the bytes that keep a daemon's copies of the store current."""

from __future__ import annotations

import prometheus_client

STORE = "store"
DAEMON = "daemon"


class StateTraffic:
    """Counts the bytes received, by where they come from."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        self._received = prometheus_client.Counter(
            "cactusdyke_state_received_bytes",
            "Bytes of answers with the store's state, by who sent them.",
            ("source",),
            registry=registry,
        )

    def count_received(self, source: str, size: int) -> None:
        """Counts an answer that has come whole."""
        self._received.labels(source).inc(size)
