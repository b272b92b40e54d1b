"""What a process that ends leaves of its share of retries to its successor."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from cactusdyke.clock import MachineTime

MOST_SERVICES = 1_000
MOST_USED = 100_000


@attrs.frozen(kw_only=True)
class ServiceHandover:
    """What a process has used of its share for one service.

    Attributes:
        used: Retries of the last window that count against the slack.
        saved: Retries that its requests have earned and that are left.
    """

    used: int
    saved: float


@attrs.frozen(kw_only=True)
class RetryHandover:
    """What is left of a process's share after its last retry.

    Attributes:
        closed_at: After this time the process sends no retries.
        daemons: The daemon count that its share was divided by.
        services: What it has used, by service; nothing of the others.
    """

    closed_at: MachineTime
    daemons: int
    services: Mapping[str, ServiceHandover]

    def encode(self) -> dict[str, Any]:
        """Returns the handover as a JSON value."""
        return {
            "closed_at": self.closed_at.encode(),
            "daemons": self.daemons,
            "services": {
                service: [part.used, part.saved]
                for service, part in self.services.items()
            },
        }


def decode_handover(value: Any) -> RetryHandover:
    """Returns a handover from a JSON value.

    Raises:
        KeyError, TypeError, ValueError: It can't be read.
    """
    services = {
        str(service): ServiceHandover(
            used=_whole(used, most=MOST_USED), saved=_amount(saved)
        )
        for service, (used, saved) in dict(value["services"]).items()
    }
    if len(services) > MOST_SERVICES:
        raise ValueError(f"{len(services)} services")
    return RetryHandover(
        closed_at=MachineTime.decode(value["closed_at"]),
        daemons=max(1, _whole(value["daemons"], most=MOST_USED)),
        services=services,
    )


def _whole(value: Any, *, most: int) -> int:
    if not isinstance(value, int) or not 0 <= value <= most:
        raise ValueError(f"no whole number up to {most}: {value!r:.60}")
    return value


def _amount(value: Any) -> float:
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"no amount: {value!r:.60}")
    return amount
