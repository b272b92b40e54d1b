"""The roles of a daemon, and which measured lines make up their cost."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

HOURS_PER_DAY = 24.0
TOKEN_INTERVAL_S = 0.027
"""Time between tokens at the target, from which open streams follow."""


@attrs.frozen(kw_only=True)
class Size:
    """A deployment's size.

    Attributes:
        name: The deployment.
        daemons: Entry daemons.
        replicas: Backend servers of all pools.
        customers: Customers.
        models: Models.
        pipelines: Pipelines.
        changes_per_day: Accepted configuration changes.
        requests: Requests a second, over all daemons.
        tokens: Tokens a second, over all daemons.
    """

    name: str
    daemons: float
    replicas: float
    customers: float
    models: float
    pipelines: float
    changes_per_day: float
    requests: float
    tokens: float

    def of(self, axis: str) -> float:
        """Returns the size on an axis that one daemon sees."""
        return {
            "daemons": self.daemons,
            "replicas": self.replicas,
            "customers": self.customers,
            "models": self.models,
            "pipelines": self.pipelines,
            "changes_per_hour": self.changes_per_day / HOURS_PER_DAY,
            "requests": self.requests / self.daemons,
            "tokens": self.tokens / self.daemons,
            "open_streams": self.tokens / self.daemons * TOKEN_INTERVAL_S,
        }[axis]


TARGET = Size(
    name="target",
    daemons=350,
    replicas=1800,
    customers=210,
    models=12,
    pipelines=7,
    changes_per_day=8600,
    requests=920,
    tokens=350_000,
)


def _today(name: str, replicas: float) -> Size:
    """Returns a deployment of today.

    Its load was not given; the target's load by replica is taken.
    """
    part = replicas / TARGET.replicas
    return Size(
        name=name,
        daemons=6,
        replicas=replicas,
        customers=5,
        models=2,
        pipelines=2,
        changes_per_day=20,
        requests=TARGET.requests * part,
        tokens=TARGET.tokens * part,
    )


SIZES = (_today("Derwent", 22), _today("Tokachi", 17), TARGET)


@attrs.frozen(kw_only=True)
class Term:
    """One measured line's part of a cost.

    Attributes:
        axis: The axis that was grown.
        quantity: The quantity that was measured.
        with_intercept: Whether the value at size 0 belongs to it.
    """

    axis: str
    quantity: str
    with_intercept: bool = False

    def value(self, results: Mapping[str, Any], size: Size) -> float:
        """Returns the term's value for one daemon of a deployment."""
        line = results[self.axis]["lines"].get(self.quantity)
        if line is None:
            return 0.0
        base = line["intercept"] if self.with_intercept else 0.0
        return float(max(0.0, base + line["slope"] * size.of(self.axis)))

    def text(self) -> str:
        """Returns the term as a reader recomputes it."""
        base = "intercept + " if self.with_intercept else ""
        return f"{self.axis}.{self.quantity}: {base}slope x size"


@attrs.frozen(kw_only=True)
class Role:
    """Something that a daemon does, and what it takes.

    Attributes:
        key: The marker of its table in the page.
        terms: The lines that add up, by column of the table.
    """

    key: str
    terms: Mapping[str, tuple[Term, ...]]


def _grown(
    axis: str, *purposes: str, with_intercept: bool = False
) -> dict[str, tuple[Term, ...]]:
    def terms(*quantities: str) -> tuple[Term, ...]:
        return tuple(
            Term(axis=axis, quantity=q, with_intercept=with_intercept)
            for q in quantities
        )

    return {
        "messages/s": terms(*(f"messages_{p}" for p in purposes)),
        "bytes/s": terms(*(f"bytes_{p}" for p in purposes)),
        "CPU ms/s": terms("cpu_ms"),
        "memory MB": terms("memory_mb"),
        "store calls/s": terms("messages_store"),
    }


CONTROL_PURPOSES = ("peers", "store", "host_list", "load", "orders")

ROLES = (
    Role(
        key="membership",
        terms=_grown("daemons", *CONTROL_PURPOSES, with_intercept=True),
    ),
    Role(key="replicas", terms=_grown("replicas", *CONTROL_PURPOSES)),
    Role(key="customers", terms=_grown("customers", *CONTROL_PURPOSES)),
    Role(key="models", terms=_grown("models", *CONTROL_PURPOSES)),
    Role(key="objects", terms=_grown("pipelines", *CONTROL_PURPOSES)),
    Role(key="changes", terms=_grown("changes_per_hour", *CONTROL_PURPOSES)),
    Role(key="requests", terms=_grown("requests", *CONTROL_PURPOSES)),
    Role(key="streams", terms=_grown("open_streams", *CONTROL_PURPOSES)),
    Role(key="tokens", terms=_grown("tokens", *CONTROL_PURPOSES)),
)
SERVING = frozenset({"requests", "streams", "tokens"})
"""Roles that are not control: the budget for control does not bind them."""
