"""Reads one daemon's metrics before and after, and gives rates."""

from __future__ import annotations

import time
import urllib.request

import attrs
from prometheus_client.parser import text_string_to_metric_families

Sample = dict[str, float]


@attrs.frozen(kw_only=True)
class Scrape:
    """A daemon's counters at one instant.

    Attributes:
        at_s: The bench's monotonic clock in seconds.
        values: Values by name and labels, such as `name{a=b}`.
    """

    at_s: float
    values: Sample


def scrape(address: str) -> Scrape:
    """Reads /metrics."""
    with urllib.request.urlopen(
        f"http://{address}/metrics", timeout=10
    ) as response:
        text = response.read().decode()
    values: Sample = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(
                f"{name}={value}"
                for name, value in sorted(sample.labels.items())
            )
            values[f"{sample.name}{{{labels}}}"] = sample.value
    return Scrape(at_s=time.monotonic(), values=values)


def rates(before: Scrape, after: Scrape) -> Sample:
    """Returns what happened per second between two scrapes.

    The keys are `cpu_ms`, `memory_mb` (at the end), and for each purpose
    `messages_PURPOSE` (exchanges) and `bytes_PURPOSE` (both directions).
    """
    seconds = after.at_s - before.at_s
    result: Sample = {
        "seconds": seconds,
        "cpu_ms": 1000
        * _grown(before, after, "process_cpu_seconds_total")
        / seconds,
        "memory_mb": after.values["process_resident_memory_bytes{}"] / 1e6,
    }
    for key in after.values:
        kind = _kind(key)
        if kind is None:
            continue
        grown = after.values[key] - before.values.get(key, 0.0)
        result[kind] = result.get(kind, 0.0) + grown / seconds
    return result


def _grown(before: Scrape, after: Scrape, name: str) -> float:
    key = f"{name}{{}}"
    return after.values[key] - before.values.get(key, 0.0)


def _kind(key: str) -> str | None:
    name, _, labels = key.rstrip("}").partition("{")
    pairs = dict(part.split("=", 1) for part in labels.split(",") if part)
    if name == "cactusdyke_exchanges_total":
        return f"messages_{pairs['purpose']}"
    if name == "cactusdyke_exchange_bytes_total":
        return f"bytes_{pairs['purpose']}"
    return None
