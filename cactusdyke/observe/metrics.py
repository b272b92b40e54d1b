"""The daemon's metrics, with bounded label sets."""

from __future__ import annotations

import prometheus_client

from cactusdyke.background import FAILURES
from cactusdyke.kernel import Service
from cactusdyke.observe.quick_histogram import QuickHistogram

SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.3, 0.6, 0.92, 2.0, 4.0, 6.0, 10.0)

GAP_BUCKETS = (0.001, 0.003, 0.01, 0.02, 0.027, 0.05, 0.1, 0.3, 1.0, 2.0)


class Metrics(Service):
    """Counters and histograms; labels are names from the configuration."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        registry.register(FAILURES)
        self.requests = prometheus_client.Counter(
            "cactusdyke_requests",
            "Requests by target and outcome.",
            ("target", "outcome"),
            registry=registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "cactusdyke_request_seconds",
            "Time from arrival to the whole answer.",
            ("target",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.attempts = prometheus_client.Counter(
            "cactusdyke_attempts",
            "Attempts at backend servers by pool and outcome.",
            ("pool", "outcome"),
            registry=registry,
        )
        self.dropped_answers = prometheus_client.Counter(
            "cactusdyke_dropped_answers",
            "Late, crossed or broken answers that were dropped.",
            ("pool",),
            registry=registry,
        )
        self.retries = prometheus_client.Counter(
            "cactusdyke_retries",
            "Retries by pool, made or refused by the retry budget.",
            ("pool", "outcome"),
            registry=registry,
        )
        self.hedges = prometheus_client.Counter(
            "cactusdyke_hedges",
            "Hedges by pool, made or refused by the hedge budget.",
            ("pool", "outcome"),
            registry=registry,
        )
        self.first_token_seconds = prometheus_client.Histogram(
            "cactusdyke_first_token_seconds",
            "Time from arrival to the first token.",
            ("target",),
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.token_gap_seconds = QuickHistogram(
            "cactusdyke_token_gap_seconds",
            "Time between batches of tokens, divided by the tokens that came.",
            "target",
            buckets=GAP_BUCKETS,
        )
        registry.register(self.token_gap_seconds)
        self.tokens = prometheus_client.Counter(
            "cactusdyke_tokens",
            "Tokens forwarded to callers.",
            ("target",),
            registry=registry,
        )
        self.limit_decisions = prometheus_client.Counter(
            "cactusdyke_limit_decisions",
            "Requests held against a customer's limit, by decision.",
            ("customer", "decision"),
            registry=registry,
        )
        self.limit_questions = prometheus_client.Counter(
            "cactusdyke_limit_questions",
            "Questions to owners of limits, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.shed = prometheus_client.Counter(
            "cactusdyke_shed_requests",
            "Requests refused because they would end too late.",
            ("target",),
            registry=registry,
        )
